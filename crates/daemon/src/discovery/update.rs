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
    /// Number of the backend's cell.
    pub cell: Option<u64>,
    /// Whether the backend accepts new RPCs.
    pub readiness: Readiness,
    /// Capacity relative to other backends.
    pub size: f64,
    /// Time of the last start, in Unix milliseconds; 0 for long ago.
    pub started_at_ms: f64,
}

/// An update of the endpoint list: a complete list, or changes of the last one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointUpdate {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// Whether endpoints that are not named are removed or unchanged.
    pub kind: EndpointUpdateKind,
    /// The endpoints that are named.
    pub endpoints: Vec<ListedEndpoint>,
    /// Earliest time at which the changes may have happened; `None` if there was no previous list.
    pub changed_since: Option<Instant>,
}
