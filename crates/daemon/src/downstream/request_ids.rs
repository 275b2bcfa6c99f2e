//! The `Request-Id`s of RPCs in flight: a second RPC with the same one is rejected.
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The `Request-Id`s of the RPCs of which an attempt may still be in flight.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// A `Request-Id` that is active until this is dropped.
pub(crate) struct RequestIdGuard {
    id: HeaderValue,
    active: ActiveRequestIds,
}

impl ActiveRequestIds {
    /// Marks the id as active; none if it is already.
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
