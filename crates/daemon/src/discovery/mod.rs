//! Discovery: following the endpoint list and decoding it.

mod call;
pub(crate) mod client;
mod error;
mod timing;
pub(crate) mod update;

/// The part that log lines of all these modules name.
const LOG_TARGET: &str = "birchhubd::discovery";
