//! What an endpoint actor shares with the tasks of its exchanges.

use crate::invariants::Invariants;
use crate::net::connection::Connection;
use crate::net::socket_budget::SocketBudget;
use crate::upstream::idle_connections::IdleConnections;
use hyper::HeaderMap;
use hyper::header::CONNECTION;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// What the endpoint list says of a backend's sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointInfo {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new exchanges.
    pub ready: bool,
}

/// What an endpoint actor shares with the tasks of its exchanges.
pub(super) struct EndpointState {
    /// What the list says of it now.
    pub info: watch::Receiver<EndpointInfo>,
    /// Its idle connections.
    pub idle: Rc<IdleConnections>,
    /// For opening a connection.
    pub connect_timeout: Duration,
    /// Gives the permit for each connection.
    pub budget: Rc<SocketBudget>,
    /// Judges each attempt before its first byte.
    pub invariants: Rc<Invariants>,
}

impl EndpointState {
    /// Where the backend listens now.
    pub(super) fn address(&self) -> SocketAddr {
        self.info.borrow().address
    }

    /// Whether the backend takes new exchanges and is still in the list.
    pub(super) fn is_ready(&self) -> bool {
        self.info.has_changed().is_ok() && self.info.borrow().ready
    }

    /// Waits until the backend takes no new exchanges, or has gone from the list.
    pub(super) async fn unavailable(&self) {
        let mut info = self.info.clone();
        // An error means that the backend has gone from the list.
        let _ = info.wait_for(|info| !info.ready).await.map(drop);
    }

    /// Keeps a connection to `address` for the next exchange, unless the connection or its backend ends, or the
    /// backend has moved meanwhile.
    pub(super) async fn keep(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        headers: &HeaderMap,
    ) {
        let closes = headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || !connection.is_open().await {
            return;
        }
        let unchanged = EndpointInfo {
            address,
            ready: true,
        };
        let is_listed = self.info.has_changed().is_ok();
        if is_listed && *self.info.borrow() == unchanged {
            self.idle.insert(connection);
        }
    }
}
