//! Takes an idle connection to the backend of an exchange, or opens a new one.
use super::RunningExchange;
use crate::event_loop::{Peer, PeerId};
use crate::net::connect::ConnectError;
use crate::net::outbound_connection::OutboundConnection;
use crate::net::socket_budget::SocketClass;
use crate::upstream::repeated_responses::ResponseDigest;
use birchhub::interface::AttemptOutcome;
use std::net::SocketAddr;
use tokio::time::Instant;

/// A connection for an exchange.
pub(super) struct Checkout {
    /// The connection.
    pub connection: OutboundConnection,
    /// Whether it has served another exchange before.
    pub is_reused: bool,
    /// Its last response, if an equal one is a repetition of it.
    pub last_response: Option<ResponseDigest>,
}

impl RunningExchange<'_> {
    /// Returns an idle connection, or else opens one to this address.
    ///
    /// # Errors
    /// No idle connection is available and none can be opened; the error is the outcome of the exchange.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Checkout, AttemptOutcome> {
        if let Some(reused) = self.endpoint.idle.take().await {
            return Ok(Checkout {
                connection: reused.connection,
                is_reused: true,
                last_response: reused.last_response,
            });
        }
        let permit = self
            .endpoint
            .budget
            .acquire(SocketClass::Backends)
            .ok_or(AttemptOutcome::NotSent)?;
        let connect_deadline = Instant::now() + self.endpoint.connect_timeout;
        let deadline = self.deadlines.response_deadline.min(connect_deadline);
        let peer = Peer::new(PeerId::Backend, &self.endpoint.work);
        let connection = OutboundConnection::open(address, Some(permit), deadline, peer)
            .await
            .map_err(|error| connect_outcome(&error))?;
        Ok(Checkout {
            connection,
            is_reused: false,
            last_response: None,
        })
    }
}

/// Returns the outcome of an exchange without a connection.
fn connect_outcome(error: &ConnectError) -> AttemptOutcome {
    match error {
        // A shortage of local resources must not count as a failure of the backend.
        ConnectError::Local(_) => AttemptOutcome::NotSent,
        ConnectError::TimedOut | ConnectError::Peer(_) | ConnectError::Handshake(_) => {
            AttemptOutcome::ConnectFailed
        }
    }
}
