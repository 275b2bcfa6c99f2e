//! The names of the active methods and tenants, with which requests are parsed.

use birchhub::interface::Idempotency;
use birchhub_settings::ParsedSettings;
use hyper::Method;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;

/// The active names. Only the decision actor replaces them, together with the settings and without yielding to another
/// task in between.
pub(crate) type ActiveNames = Rc<RefCell<Arc<NameTable>>>;

/// Why a request is not a valid RPC of an active method.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(crate) enum MethodError {
    /// The request's path does not name an active method.
    #[error("unknown method")]
    UnknownMethod,
    /// RPCs of this method use another HTTP method.
    #[error("the method requires another HTTP method")]
    WrongHttpMethod,
    /// RPCs of this method require an idempotency key, and the request has none.
    #[error("the idempotency key is missing")]
    MissingIdempotencyKey,
}

/// An active method.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ActiveMethod {
    /// Index in the settings' list of methods.
    pub index: usize,
    idempotency: Idempotency,
}

impl ActiveMethod {
    /// Returns the HTTP method of this method's RPCs.
    fn http_method(self) -> Method {
        if self.idempotency == Idempotency::Idempotent {
            Method::GET
        } else {
            Method::POST
        }
    }

    /// Checks that a request can be an RPC of this method. `has_key` tells whether it has an idempotency key.
    pub(crate) fn check_request(self, method: &Method, has_key: bool) -> Result<(), MethodError> {
        if *method != self.http_method() {
            return Err(MethodError::WrongHttpMethod);
        }
        if matches!(self.idempotency, Idempotency::Deduplicated { .. }) && !has_key {
            return Err(MethodError::MissingIdempotencyKey);
        }
        Ok(())
    }
}

/// The names of one version of the settings.
pub(crate) struct NameTable {
    /// Number of changes of the settings since this process started.
    pub version: u64,
    methods: HashMap<String, ActiveMethod>,
    /// Index of each tenant in the settings' list.
    tenants: HashMap<String, usize>,
}

impl NameTable {
    /// Creates the table of the names in these settings.
    pub(crate) fn new(version: u64, settings: &ParsedSettings) -> Self {
        let methods = settings.methods.iter().zip(&settings.settings.methods);
        let methods = methods.enumerate().map(|(index, (name, method))| {
            let idempotency = method.idempotency;
            (name.clone(), ActiveMethod { index, idempotency })
        });
        let tenants = settings.tenants.iter().enumerate();
        let tenants = tenants.map(|(index, name)| (name.clone(), index));
        Self {
            version,
            methods: methods.collect(),
            tenants: tenants.collect(),
        }
    }

    /// Returns the method that the first segment of a path names.
    pub(crate) fn method(&self, path: &str) -> Result<ActiveMethod, MethodError> {
        let name = path.split('/').nth(1).unwrap_or_default();
        self.methods
            .get(name)
            .copied()
            .ok_or(MethodError::UnknownMethod)
    }

    /// Returns the index of the tenant with this name; `None` if it is unknown.
    pub(crate) fn tenant(&self, name: Option<&str>) -> Option<usize> {
        self.tenants.get(name?).copied()
    }
}
