//! Reports a client's disconnect to the decision actor.
use crate::messages::Event;
use tokio::sync::mpsc::OwnedPermit;

/// Guards an RPC that the decision actor has received. If it is dropped before the response, because the client has
/// disconnected, it sends [`Event::ClientDisconnected`]. A slot in the actor's mailbox is reserved for that event from
/// the start, so the event can't be lost.
pub(crate) struct RpcGuard {
    rpc: u64,
    permit: Option<OwnedPermit<Event>>,
}

impl RpcGuard {
    /// Creates the guard of this RPC.
    pub(crate) fn new(rpc: u64, permit: OwnedPermit<Event>) -> Self {
        Self {
            rpc,
            permit: Some(permit),
        }
    }

    /// Releases the reserved slot without sending an event, once the RPC has its response.
    pub(crate) fn disarm(mut self) {
        self.permit = None;
    }
}

impl Drop for RpcGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(Event::ClientDisconnected(self.rpc));
        }
    }
}
