//! The `Request-Id`s of RPCs in flight. A second RPC with the same id is rejected.
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The set of `Request-Id`s in use: those of RPCs that may still have an attempt in flight.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// Keeps a `Request-Id` in use until it is dropped.
pub(crate) struct RequestIdGuard {
    id: HeaderValue,
    active: ActiveRequestIds,
}

impl ActiveRequestIds {
    /// Adds an id; none if it is already in use.
    pub(crate) fn try_insert(&self, id: HeaderValue) -> Option<RequestIdGuard> {
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| RequestIdGuard {
            id,
            active: self.clone(),
        })
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.active.0.borrow_mut().remove(&self.id);
    }
}
