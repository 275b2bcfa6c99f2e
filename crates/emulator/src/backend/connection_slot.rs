//! Slot of a proxy's connection at an emulated backend, and what the connection does after a request.
use super::EmulatedBackend;
use std::rc::Rc;

/// What a connection does after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Read the next request.
    Read,
    /// Close the connection.
    Close,
    /// Reset the connection.
    Reset,
}

/// One of the connections that the model permits at a time. It is released when it is dropped.
pub(super) struct ConnectionSlot {
    pub backend: Rc<EmulatedBackend>,
    /// Number of the incarnation that accepted the connection.
    pub incarnation: u32,
    /// Whether the model permitted the connection. RPCs on a connection that is not permitted are rejected.
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
