//! Streams a long response from its backend to its client.
use crate::net::body::{BODY_LIMIT, streamed_body};
use crate::net::outbound_connection::{OutboundConnection, ReceivedResponse};
use crate::net::socket_budget::SocketBudget;
use crate::time_limits::{RESPONSE_STALL_TIMEOUT, RESPONSE_TIMEOUT};
use crate::upstream::completion_guard::CompletionGuard;
use birchhub::interface::AttemptOutcome;
use std::rc::Rc;
use tokio::select;
use tokio::time::{Instant, timeout_at};

/// Forwards the rest of a long response as it is received, as fast as its client reads it. Needs a permit of `budget`, as the
/// client decides how long that takes.
///
/// # Errors
/// The response was not forwarded completely; the error is the outcome of the attempt.
pub(super) async fn stream_response(
    connection: &mut OutboundConnection,
    response: &mut ReceivedResponse,
    completion: &CompletionGuard,
    budget: &Rc<SocketBudget>,
) -> Result<(), AttemptOutcome> {
    let Some(_permit) = budget.acquire_long_transfer() else {
        return Err(AttemptOutcome::Cancelled);
    };
    let (sender, body) = streamed_body(std::mem::take(&mut response.body), response.length);
    completion.report_response_started(body).await;
    let mut bytes_left = BODY_LIMIT;
    let response_deadline = Instant::now() + RESPONSE_TIMEOUT;
    loop {
        let chunk = select! {
            biased;
            () = sender.closed() => return Err(AttemptOutcome::Cancelled),
            chunk = timeout_at(stall_deadline(response_deadline), connection.next_chunk()) => chunk,
        };
        let bytes = match chunk {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => return Err(AttemptOutcome::Reset),
        };
        // Stops an endless response: no body may be longer than the limit.
        bytes_left = bytes_left
            .checked_sub(bytes.len() as u64)
            .ok_or(AttemptOutcome::Reset)?;
        let is_taken = timeout_at(stall_deadline(response_deadline), sender.send(bytes)).await;
        if is_taken != Ok(true) {
            return Err(AttemptOutcome::Cancelled);
        }
    }
    sender.finish();
    Ok(())
}

/// Returns when the next chunk must have been received or forwarded.
fn stall_deadline(response_deadline: Instant) -> Instant {
    response_deadline.min(Instant::now() + RESPONSE_STALL_TIMEOUT)
}
