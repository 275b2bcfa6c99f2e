//! Why a call to discovery brought no update.

use crate::discovery::timing::CallTiming;
use crate::discovery::update::DecodeError;
use crate::net::connect::ConnectError;
use crate::net::connection::ConnectionError;
use hyper::StatusCode;
use thiserror::Error;

/// How a call ended without an update.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// No response in time, or no connection in time.
    #[error("no answer in time")]
    TimedOut,
    /// The response broke off.
    #[error("the answer broke off")]
    Truncated,
    /// The response is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The response is JSON, but no endpoint list.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    /// The connection could not be opened.
    #[error(transparent)]
    NoConnection(ConnectError),
    /// The connection failed before a response.
    #[error("the connection failed: {0:?}")]
    ConnectionFailed(ConnectionError),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The list is older than the one that is known.
    #[error("version {received} came after {known}")]
    OutOfOrder {
        /// Version of the list that came.
        received: u64,
        /// Version that was known before.
        known: u64,
    },
    /// The decision actor has ended.
    #[error("the decision actor has ended")]
    ActorEnded,
}

impl DiscoveryError {
    /// How many calls in a row are retried at once after such an end.
    pub(super) fn immediate_retries(&self, timing: &CallTiming) -> usize {
        match self {
            Self::TimedOut => timing.retries_after_timeout,
            Self::Truncated | Self::NotJson(_) | Self::Malformed(_) => 1,
            Self::NoConnection(_)
            | Self::ConnectionFailed(_)
            | Self::Status(_)
            | Self::OutOfOrder { .. }
            | Self::ActorEnded => 0,
        }
    }
}
