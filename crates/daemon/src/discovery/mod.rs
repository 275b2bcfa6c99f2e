//! Discovery: following the endpoint list and decoding it.

pub(crate) mod client;
mod error;
mod timing;
pub(crate) mod update;
