//! Clients: the listener, their connections, requests and responses.

pub(crate) mod body_deadline;
pub(crate) mod connection;
mod connection_driver;
pub(crate) mod connection_phase;
pub(crate) mod connection_task;
pub(crate) mod head_scan;
pub(crate) mod listener;
pub(crate) mod message_scan;
pub(crate) mod request;
pub(crate) mod request_error;
pub(crate) mod request_ids;
pub(crate) mod request_parser;
pub(crate) mod response;
pub(crate) mod rpc_guard;
pub(crate) mod rpc_service;
