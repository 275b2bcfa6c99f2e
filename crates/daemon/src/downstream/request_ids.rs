//! The `Request-Id`s of open requests. A second request with the same id is rejected.
//!
//! An id is in use from the last byte of the line that holds it until its request has ended: until no attempt of the RPC
//! is in flight or, if the request never became an RPC, until its connection has dropped it. So a copy of an open request
//! finds the id in use, however slowly the rest of the request is sent.
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The set of `Request-Id`s in use: those of requests that are being received, and of RPCs that may still have an attempt
/// in flight.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// Keeps a `Request-Id` in use until it is dropped.
pub(crate) struct RequestIdGuard {
    id: HeaderValue,
    active: ActiveRequestIds,
}

/// The claim of one message to the `Request-Id` in its head.
pub(crate) enum RequestIdClaim {
    /// The message holds its id.
    Reserved(RequestIdGuard),
    /// Another request held the id when this message claimed it. That the other one may have ended since doesn't
    /// matter: this message is a copy of it.
    InUse,
}

impl ActiveRequestIds {
    /// Claims an id for a message.
    pub(crate) fn claim(&self, id: HeaderValue) -> RequestIdClaim {
        if !self.0.borrow_mut().insert(id.clone()) {
            return RequestIdClaim::InUse;
        }
        RequestIdClaim::Reserved(RequestIdGuard {
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
