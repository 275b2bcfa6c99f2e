//! The names of the active methods and tenants, by which requests are parsed.

use crate::downstream::response::ProxyResponse;
use birchhub::interface::Idempotency;
use birchhub_settings::ParsedSettings;
use hyper::{Method, StatusCode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// The active names. Only the decision actor replaces them, in the same turn of the event loop in which the settings are
/// applied.
pub(crate) type ActiveNames = Rc<RefCell<Arc<NameTable>>>;

/// The names of one version of the settings.
pub(crate) struct NameTable {
    /// Number of changes since this process started.
    pub version: u64,
    /// Index in the settings, and idempotency.
    methods: HashMap<String, (usize, Idempotency)>,
    tenants: HashMap<String, usize>,
}

/// The response to a malformed request.
fn bad_request(message: &'static str) -> ProxyResponse {
    ProxyResponse::ClientError {
        status: StatusCode::BAD_REQUEST,
        message,
    }
}

/// The HTTP method with which RPCs of this idempotency are sent.
fn http_method(idempotency: Idempotency) -> Method {
    if idempotency == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    }
}

/// Checks that a request with this HTTP method, with or without an idempotency key, can be an RPC of this idempotency.
pub(crate) fn check(
    idempotency: Idempotency,
    method: &Method,
    has_key: bool,
) -> Result<(), ProxyResponse> {
    if *method != http_method(idempotency) {
        return Err(bad_request("the HTTP method does not fit\n"));
    }
    if matches!(idempotency, Idempotency::Deduplicated { .. }) && !has_key {
        return Err(bad_request("no Idempotency-Key\n"));
    }
    Ok(())
}

impl NameTable {
    /// The names of these settings.
    pub(crate) fn new(version: u64, settings: &ParsedSettings) -> Self {
        let methods = settings.methods.iter().zip(&settings.settings.methods);
        let methods = methods
            .enumerate()
            .map(|(index, (name, method))| (name.clone(), (index, method.idempotency)));
        let tenants = settings.tenants.iter().enumerate();
        let tenants = tenants.map(|(index, name)| (name.clone(), index));
        Self {
            version,
            methods: methods.collect(),
            tenants: tenants.collect(),
        }
    }

    /// Index and idempotency of the method that the first segment of a path names.
    pub(crate) fn method(&self, path: &str) -> Result<(usize, Idempotency), ProxyResponse> {
        let name = path.split('/').nth(1).unwrap_or_default();
        self.methods
            .get(name)
            .copied()
            .ok_or(ProxyResponse::ClientError {
                status: StatusCode::NOT_FOUND,
                message: "no such method\n",
            })
    }

    /// Index of the tenant of this name; none if it is not known.
    pub(crate) fn tenant(&self, name: Option<&str>) -> Option<usize> {
        self.tenants.get(name?).copied()
    }
}
