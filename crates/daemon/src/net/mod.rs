//! Sockets and HTTP bodies, for both clients and backends: the socket budget, streams, connections and flow control.

pub(crate) mod body;
pub(crate) mod connect;
pub(crate) mod inbound_stream;
pub(crate) mod linger;
pub(crate) mod local_error;
pub(crate) mod observed_stream;
pub(crate) mod outbound_connection;
pub(crate) mod progress_deadline;
pub(crate) mod socket;
pub(crate) mod socket_budget;
