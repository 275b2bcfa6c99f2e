//! The state that an endpoint actor shares with the tasks of its exchanges.

use crate::event_loop::WorkQueue;
use crate::invariants::Invariants;
use crate::net::outbound_connection::OutboundConnection;
use crate::net::socket_budget::SocketBudget;
use crate::upstream::idle_connections::IdleConnections;
use crate::upstream::repeated_responses::{ResponseComparison, ResponseDigest};
use hyper::HeaderMap;
use hyper::header::CONNECTION;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// The process of a backend. Another one may come up at the same address, or under the same uid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BackendProcess {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its listed start time, in Unix milliseconds.
    pub started_at_ms: f64,
}

/// The process and readiness of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointInfo {
    /// The process that serves its RPCs.
    pub process: BackendProcess,
    /// Whether it accepts new exchanges.
    pub ready: bool,
}

/// The state that an endpoint actor shares with the tasks of its exchanges.
pub(super) struct EndpointState {
    /// The latest information from the endpoint list; closed once the backend is removed from the list.
    pub info: watch::Receiver<EndpointInfo>,
    /// The backend's idle connections.
    pub idle: Rc<IdleConnections>,
    /// Compares the responses of all backends.
    pub comparison: Rc<ResponseComparison>,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Issues the permit for each connection.
    pub budget: Rc<SocketBudget>,
    /// Shares the event loop among all peers.
    pub work: Rc<WorkQueue>,
    /// Checks each exchange before its first byte is sent.
    pub invariants: Rc<Invariants>,
}

impl EndpointState {
    /// Returns the backend's current process.
    pub(super) fn process(&self) -> BackendProcess {
        self.info.borrow().process
    }

    /// Whether the backend accepts new exchanges and is still in the list.
    pub(super) fn is_ready(&self) -> bool {
        self.is_listed() && self.info.borrow().ready
    }

    /// Whether the backend is still in the list.
    fn is_listed(&self) -> bool {
        self.info.has_changed().is_ok()
    }

    /// Waits until the backend accepts no new exchanges, or was removed from the list.
    pub(super) async fn unavailable(&self) {
        let mut info = self.info.clone();
        // An error means that the backend was removed from the list.
        let _ = info.wait_for(|info| !info.ready).await.map(drop);
    }

    /// Keeps a connection to `process` for reuse, unless the response closes it, the backend is no longer ready or another
    /// process has taken its place. A connection on which the request was not sent whole is closed: its rest would still be read
    /// from the client, and sent to a backend that has responded. `digest` is that of the response, if it can be compared.
    pub(super) async fn keep(
        &self,
        mut connection: OutboundConnection,
        process: BackendProcess,
        response_headers: &HeaderMap,
        digest: Option<ResponseDigest>,
    ) {
        let closes = response_headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || !connection.is_usable().await {
            log::debug!(address:? = process.address, closes; "connection is not kept for reuse");
            return;
        }
        let unchanged = EndpointInfo {
            process,
            ready: true,
        };
        if self.is_listed() && *self.info.borrow() == unchanged {
            self.idle.insert(connection, digest);
        }
    }
}
