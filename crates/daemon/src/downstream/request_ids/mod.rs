//! The `Request-Id`s of open requests, and of those that were executed. A second request with the same id is rejected.
//!
//! An id is in use from the last byte of the line that holds it until its request has ended: until no attempt of the RPC
//! is in flight or, if the request never became an RPC, until its connection has dropped it. So a copy of an open request
//! finds the id in use, however slowly the rest of the request is sent.
//!
//! The id of a request that must not be executed again stays in a [`RequestIdTable`] after its end if a backend may have
//! executed it: a client may leave and send it once more, also to another process of this proxy.
mod table;

pub(crate) use table::RequestIdTable;

use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use table::{TableClaim, TableEntry};

/// The set of `Request-Id`s in use: those of requests that are being received, and of RPCs that may still have an attempt
/// in flight.
#[derive(Clone)]
pub(crate) struct ActiveRequestIds(Rc<ActiveIds>);

struct ActiveIds {
    open: RefCell<HashSet<HeaderValue>>,
    table: RequestIdTable,
}

/// Keeps a `Request-Id` in use until it is dropped.
pub(crate) struct RequestIdGuard {
    id: HeaderValue,
    entry: TableEntry,
    /// Whether the id stays in the table.
    must_not_repeat: Cell<bool>,
    active: ActiveRequestIds,
}

/// The claim of one message to the `Request-Id` in its head.
pub(crate) enum RequestIdClaim {
    /// The message holds its id.
    Reserved(RequestIdGuard),
    /// Another request held the id when this message claimed it, or has been executed. That the other one may have ended
    /// since doesn't matter: this message is a copy of it.
    InUse,
}

impl ActiveRequestIds {
    /// Creates a set without open requests.
    pub(crate) fn new(table: RequestIdTable) -> Self {
        Self(Rc::new(ActiveIds {
            open: RefCell::default(),
            table,
        }))
    }

    /// Claims an id for a message.
    pub(crate) fn claim(&self, id: HeaderValue) -> RequestIdClaim {
        if self.0.open.borrow().contains(&id) {
            return RequestIdClaim::InUse;
        }
        let TableClaim::Claimed(entry) = self.0.table.claim(id.as_bytes()) else {
            return RequestIdClaim::InUse;
        };
        self.0.open.borrow_mut().insert(id.clone());
        RequestIdClaim::Reserved(RequestIdGuard {
            id,
            entry,
            must_not_repeat: Cell::new(false),
            active: self.clone(),
        })
    }
}

impl RequestIdGuard {
    /// Keeps the id from being used again after its request has ended: a backend may have executed the request.
    pub(crate) fn forbid_repetition(&self) {
        self.must_not_repeat.set(true);
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        let ActiveIds { open, table } = &*self.active.0;
        open.borrow_mut().remove(&self.id);
        if self.must_not_repeat.get() {
            table.keep_executed(&self.entry);
        } else {
            table.release(&self.entry);
        }
    }
}
