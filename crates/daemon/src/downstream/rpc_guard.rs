//! Reports to the decision actor when an RPC is dropped before its response.
use crate::messages::Event;
use tokio::sync::mpsc::OwnedPermit;

/// An RPC that the decision actor works on. Dropped before its response, as when the client disconnects, it sends
/// [`Event::ClientDisconnected`]; the room for that event in the actor's mailbox is reserved from the start.
pub(crate) struct RpcGuard {
    rpc: u64,
    permit: Option<OwnedPermit<Event>>,
}

impl RpcGuard {
    /// Guards this RPC.
    pub(crate) fn new(rpc: u64, permit: OwnedPermit<Event>) -> Self {
        Self {
            rpc,
            permit: Some(permit),
        }
    }

    /// The RPC has its response: nothing is sent, and the reserved room is given back.
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
