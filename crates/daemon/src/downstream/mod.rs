//! Clients: the listener, their connections, requests and responses.

pub(crate) mod head;
pub(crate) mod listener;
pub(crate) mod request;
pub(crate) mod response;
