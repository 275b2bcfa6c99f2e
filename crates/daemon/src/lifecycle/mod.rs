//! From start to graceful shutdown: state, sibling processes, admin calls.

pub(crate) mod admin_api;
pub(crate) mod siblings;
pub(crate) mod state;
