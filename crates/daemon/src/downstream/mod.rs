//! The client side of the proxy: the listener, connections, requests and responses.

pub(crate) mod body_deadline;
mod client_protocol;
pub(crate) mod connection;
mod connection_driver;
pub(crate) mod connection_phase;
pub(crate) mod connection_task;
pub(crate) mod eviction;
pub(crate) mod head_scan;
pub(crate) mod listener;
pub(crate) mod message_scan;
pub(crate) mod request;
mod request_body;
pub(crate) mod request_error;
pub(crate) mod request_ids;
pub(crate) mod request_parser;
pub(crate) mod response;
mod rpc_deadline;
pub(crate) mod rpc_guard;
mod rpc_log;
mod rpc_outcome;
pub(crate) mod rpc_service;
