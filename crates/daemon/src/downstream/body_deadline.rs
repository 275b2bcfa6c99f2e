//! By when the body of a request has to come, fixed when its head is complete and handed on from there.
use crate::net::body::BODY_LIMIT;
use crate::net::progress_deadline::ProgressDeadline;
use crate::time_limits::{BODY_STALL, BODY_STEP, MIN_BODY_RATE};
use hyper::body::Body;
use std::time::Duration;
use tokio::time::Instant;

/// The deadline of a body whose head was complete now: its bound is the time of the declared length, or of the longest
/// body if none is declared.
pub(crate) fn body_deadline(body: &impl Body) -> ProgressDeadline {
    let now = Instant::now();
    let length = body.size_hint().exact().unwrap_or(BODY_LIMIT);
    let time = Duration::from_secs(length.min(BODY_LIMIT)) / MIN_BODY_RATE;
    ProgressDeadline::start(now, BODY_STALL, BODY_STEP, now + BODY_STALL + time)
}
