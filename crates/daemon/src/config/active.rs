//! The names that clients use, and what they stand for under the settings in force.
use crate::downstream::response::ProxyResponse;
use birchhub::interface::Idempotency;
use birchhub_settings::ParsedSettings;
use hyper::{Method, StatusCode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// The ones in force. The core alone replaces them, in the turn in which the module adopts the settings.
pub(crate) type ActiveNames = Rc<RefCell<Arc<NameTable>>>;

/// The names of one version of the settings.
pub(crate) struct NameTable {
    /// Counts the changes since this process started.
    pub version: u64,
    methods: HashMap<String, (usize, Idempotency)>,
    tenants: HashMap<String, usize>,
}

pub(crate) fn bad(why: &'static str) -> ProxyResponse {
    ProxyResponse::ClientError {
        status: StatusCode::BAD_REQUEST,
        message: why,
    }
}

/// The verb of a method with this effect.
pub(crate) fn verb(effect: Idempotency) -> Method {
    if effect == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    }
}

/// Whether a message of this verb, with or without a key, can be an RPC of a method with this effect.
pub(crate) fn check(effect: Idempotency, told: &Method, keyed: bool) -> Result<(), ProxyResponse> {
    if *told != verb(effect) {
        return Err(bad("the HTTP method does not fit\n"));
    }
    if matches!(effect, Idempotency::Deduplicated { .. }) && !keyed {
        return Err(bad("no Idempotency-Key\n"));
    }
    Ok(())
}

impl NameTable {
    pub(crate) fn new(version: u64, conf: &ParsedSettings) -> Self {
        let methods = conf.methods.iter().zip(&conf.settings.methods).enumerate();
        let methods = methods
            .map(|(n, (name, set))| (name.clone(), (n, set.idempotency)))
            .collect();
        let tenants = conf
            .tenants
            .iter()
            .enumerate()
            .map(|(n, name)| (name.clone(), n))
            .collect();
        Self {
            version,
            methods,
            tenants,
        }
    }

    /// The place and effect of the method that a path names.
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

    pub(crate) fn tenant(&self, name: Option<&str>) -> Option<usize> {
        self.tenants.get(name?).copied()
    }
}
