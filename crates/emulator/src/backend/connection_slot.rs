//! State of one connection of a proxy to an emulated backend.
use super::EmulatedBackend;
use std::rc::Rc;

/// What a connection does after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Reads the next request.
    Read,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// A connection's place among those that the backend accepts, released when it is dropped.
pub(super) struct ConnectionSlot {
    pub backend: Rc<EmulatedBackend>,
    /// Number of the incarnation that accepted the connection.
    pub incarnation: u32,
    /// Whether the backend had a place left. A connection without one gets a rejection.
    pub is_granted: bool,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if self.is_granted {
            self.backend
                .with_incarnation(self.incarnation, |incarnation| {
                    incarnation.model.disconnect()
                });
        }
    }
}
