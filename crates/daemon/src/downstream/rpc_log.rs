//! Logs the start and the end of each RPC.
use crate::downstream::request::ReceivedRpc;
use crate::end_reason::EndReason;
use crate::invariants::Invariants;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Logs an RPC from its hand-over to the decision actor to its end. If it is dropped without [`RpcLog::end`], the client
/// has disconnected: the connection, and with it the future that waits for the response, is gone.
pub(super) struct RpcLog {
    invariants: Rc<Invariants>,
    request_id: String,
    /// The number of the client's connection.
    connection: u64,
    received_at: Instant,
    reason: Cell<EndReason>,
}

impl RpcLog {
    /// Logs that an RPC was received.
    pub(super) fn start(rpc: &ReceivedRpc, connection: u64, invariants: Rc<Invariants>) -> Self {
        invariants.record_rpc();
        let request_id = rpc.request.id_text().to_owned();
        let streamed = rpc.request.upload().is_some();
        log::debug!(
            request:% = request_id, connection, method = rpc.method, timeout:? = rpc.timeout, streamed;
            "RPC received"
        );
        Self {
            invariants,
            request_id,
            connection,
            received_at: rpc.received_at,
            reason: Cell::new(EndReason::ClientDisconnected),
        }
    }

    /// The `Request-Id` as text.
    pub(super) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Logs the end of the RPC with this reason.
    pub(super) fn end(self, reason: EndReason) {
        self.reason.set(reason);
    }
}

impl Drop for RpcLog {
    fn drop(&mut self) {
        self.invariants.record_rpc_end();
        let reason = self.reason.get();
        log::log!(
            reason.level(),
            request:% = self.request_id, connection = self.connection, reason:%,
            after:? = self.received_at.elapsed();
            "RPC ended"
        );
    }
}
