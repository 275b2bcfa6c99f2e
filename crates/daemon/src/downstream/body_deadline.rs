//! The deadline for receiving the body of a request, computed when its head is complete.
use crate::net::body::BODY_LIMIT;
use crate::net::progress_deadline::ProgressDeadline;
use crate::time_limits::{BODY_PROGRESS_BYTES, BODY_STALL_TIMEOUT, MIN_BODY_BYTES_PER_SECOND};
use hyper::body::Body;
use std::time::Duration;
use tokio::time::Instant;

/// Returns the deadline of a body whose head was completed now. Its limit allows for the declared length at
/// [`MIN_BODY_BYTES_PER_SECOND`], or for the longest permitted body if no length is declared.
pub(crate) fn body_deadline(body: &impl Body) -> ProgressDeadline {
    let now = Instant::now();
    let length = body.size_hint().exact().unwrap_or(BODY_LIMIT);
    let transfer_time = Duration::from_secs(length.min(BODY_LIMIT)) / MIN_BODY_BYTES_PER_SECOND;
    ProgressDeadline::new(
        now,
        BODY_STALL_TIMEOUT,
        BODY_PROGRESS_BYTES,
        now + BODY_STALL_TIMEOUT + transfer_time,
    )
}
