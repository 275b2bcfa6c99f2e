//! How far the body of a streamed request has come, and why it never will be complete.
use tokio::time::Instant;

/// Why the body of a streamed request will never be complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum UploadError {
    /// It exceeds the maximum length.
    LimitExceeded,
    /// It is malformed, or the client's connection failed before the last byte.
    Truncated,
    /// It stalled, or was not complete in time.
    Stalled,
    /// The client's timeout has expired, or may have, before an attempt had the last byte.
    Overdue,
}

/// How much of the body was received from the client and handed over to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum UploadState {
    /// More bytes are expected from the client.
    Receiving,
    /// The last byte was received; the client's timeout counts from this time. No attempt has it.
    Received(Instant),
    /// The last byte was received, as above, and handed over to an attempt: a backend may have the whole request.
    HandedOver(Instant),
    /// The body will not be complete, and its rest is not awaited. No attempt has the last byte, and none will.
    Failed(UploadError),
}
