//! The former paths of what stands in modules of its own now, for imports of other folders.
pub(crate) use crate::net::connection::{Connection, ConnectionError, Reply};
pub(crate) use crate::net::inbound_stream::ClientLiveness;
pub(crate) use crate::net::linger::linger;
pub(crate) use crate::net::socket_budget::{
    Evictable, EvictionCandidate, SocketBudget, SocketClass,
};
