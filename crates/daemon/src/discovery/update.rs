//! Updates of the endpoint list.

use birchhub::interface::{EndpointUpdateKind, Readiness};
use std::net::SocketAddr;
use tokio::time::Instant;

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ListedEndpoint {
    /// Name of the backend, which stays the same when the backend restarts.
    pub uid: String,
    /// Address that the backend listens on.
    pub address: SocketAddr,
    /// Name of the backend's zone; empty if the list gives none.
    pub zone: String,
    /// Number of the backend's cell, if the list gives one.
    pub cell: Option<u64>,
    /// Whether the backend accepts new RPCs.
    pub readiness: Readiness,
    /// Capacity relative to other backends.
    pub size: f64,
    /// Time at which the backend last started, in Unix milliseconds; 0 for long ago.
    pub started_at_ms: f64,
}

/// An update of the endpoint list: a complete list, or the changes since the last update.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointUpdate {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// Tells whether endpoints that are not in the update are removed or unchanged.
    pub kind: EndpointUpdateKind,
    /// The entries of the update.
    pub endpoints: Vec<ListedEndpoint>,
    /// Earliest time at which the changes may have happened; `None` if there was no previous list.
    pub changed_since: Option<Instant>,
}
