//! The `Request-Id`s of open requests. A second request with the same id is rejected.
//!
//! An id is in use from the last byte of the line that holds it until its request has ended: until no attempt of the RPC
//! is in flight or, if the request never became an RPC, until its connection has dropped it. So a copy of an open request
//! finds the id in use, however slowly the rest of the request is sent, and in whichever process of the proxy it arrives.
use crate::lifecycle::process_group::RequestIdLocks;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The set of `Request-Id`s in use: those of requests that are being received, and of RPCs that may still have an attempt
/// in flight.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequestIds(Rc<IdSet>);

#[derive(Default)]
struct IdSet {
    ids: RefCell<HashSet<HeaderValue>>,
    /// Locks each id against the other processes; none if there can't be any.
    locks: Option<Rc<RequestIdLocks>>,
}

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
    /// Creates an empty set that locks its ids with `locks`.
    pub(crate) fn new(locks: Option<Rc<RequestIdLocks>>) -> Self {
        Self(Rc::new(IdSet {
            ids: RefCell::default(),
            locks,
        }))
    }

    /// Claims an id for a message.
    pub(crate) fn claim(&self, id: HeaderValue) -> RequestIdClaim {
        if !self.0.insert(&id) {
            log::debug!(request:? = id; "request id is in use");
            return RequestIdClaim::InUse;
        }
        RequestIdClaim::Reserved(RequestIdGuard {
            id,
            active: self.clone(),
        })
    }
}

impl IdSet {
    /// Adds an id; false if it is in use in this process or another one.
    fn insert(&self, id: &HeaderValue) -> bool {
        let mut ids = self.ids.borrow_mut();
        if ids.contains(id) {
            return false;
        }
        let locks = self.locks.as_ref();
        let is_locked = locks.is_none_or(|locks| locks.try_lock(id.as_bytes()));
        is_locked && ids.insert(id.clone())
    }

    fn remove(&self, id: &HeaderValue) {
        self.ids.borrow_mut().remove(id);
        if let Some(locks) = &self.locks {
            locks.unlock(id.as_bytes());
        }
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.active.0.remove(&self.id);
    }
}
