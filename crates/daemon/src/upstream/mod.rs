//! The backend side of the proxy: an actor for each backend with its idle connections, and the exchanges (attempts and
//! health checks) with it.

mod attempt;
pub(crate) mod backend_protocol;
pub(crate) mod completion_guard;
pub(crate) mod endpoint;
pub(crate) mod endpoint_state;
pub(crate) mod exchange;
pub(crate) mod exchange_kind;
mod idle_connections;
pub(crate) mod repeated_responses;
mod response_stream;
pub(crate) mod result;
