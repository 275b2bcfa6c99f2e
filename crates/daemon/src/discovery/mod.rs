//! The discovery client: polls the discovery service for the endpoint list, and decodes its responses.

mod call;
pub(crate) mod client;
mod error;
mod overdue;
mod poller;
pub(crate) mod source;
mod timing;
pub(crate) mod update;
mod watch;
pub(crate) mod wire;

/// Target of the log lines of these modules: all are logged as `discovery`.
const LOG_TARGET: &str = "birchhubd::discovery";
