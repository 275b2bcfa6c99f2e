//! A backend's response: streaming a long one to its client, and what a response says of its exchange.
use crate::end_reason::EndReason;
use crate::net::body::{BODY_LIMIT, streamed_body};
use crate::net::connection::{Connection, Reply};
use crate::time_limits::{RESPONSE_STALL_TIMEOUT, RESPONSE_TIMEOUT};
use crate::upstream::exchange::CompletionGuard;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_settings::parse_load_report;
use hyper::HeaderMap;
use tokio::select;
use tokio::time::{Instant, timeout_at};

/// The header by which a backend tells of its load.
const LOAD_REPORT_HEADER: &str = "server-load";

/// The header by which a backend says that it rejected a request before any work on it.
const NOT_STARTED_HEADER: &str = "not-started";

/// Passes a long response on as it comes, as fast as its client takes it. An error is the outcome of a response
/// that did not come to its end.
pub(super) async fn stream_response(
    connection: &mut Connection,
    reply: &mut Reply,
    completion: &CompletionGuard,
) -> Result<(), AttemptOutcome> {
    let (sender, body) = streamed_body(std::mem::take(&mut reply.body), reply.length);
    completion.report_response_started(body).await;
    let mut bytes_left = BODY_LIMIT;
    let end = Instant::now() + RESPONSE_TIMEOUT;
    loop {
        let chunk = select! {
            biased;
            () = sender.closed() => return Err(AttemptOutcome::Cancelled),
            chunk = timeout_at(stall_deadline(end), connection.next_chunk()) => chunk,
        };
        let bytes = match chunk {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => return Err(AttemptOutcome::Reset),
        };
        // Bounds a response that never ends: no body may be longer.
        bytes_left = bytes_left
            .checked_sub(bytes.len() as u64)
            .ok_or(AttemptOutcome::Reset)?;
        let is_taken = timeout_at(stall_deadline(end), sender.send(bytes)).await;
        if is_taken != Ok(true) {
            return Err(AttemptOutcome::Cancelled);
        }
    }
    sender.finish();
    Ok(())
}

/// By when the next piece of a response that is to be over at `end` has to move on.
fn stall_deadline(end: Instant) -> Instant {
    end.min(Instant::now() + RESPONSE_STALL_TIMEOUT)
}

/// The outcome and load report that a response stands for, as the protocol has it.
pub(super) fn classify(reply: Reply, is_health_check: bool) -> ExchangeResult {
    let not_started = reply
        .headers
        .get(NOT_STARTED_HEADER)
        .is_some_and(|value| value == "1");
    let outcome = match reply.status.as_u16() {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if not_started => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    };
    let report = report_of(&reply.headers, is_health_check.then_some(&reply.body[..]));
    ExchangeResult {
        outcome,
        reason: EndReason::Completed,
        report,
        body: reply.body,
    }
}

/// The load report in the headers, or else in the body of a health check's response. The body of an RPC is never
/// read as a report: it may look like one.
fn report_of(headers: &HeaderMap, health_check_body: Option<&[u8]>) -> Option<LoadReport> {
    let header = headers
        .get(LOAD_REPORT_HEADER)
        .and_then(|value| value.to_str().ok());
    let body = health_check_body.and_then(|body| std::str::from_utf8(body).ok());
    parse_load_report(header.or(body)?, '=').ok()
}

#[cfg(test)]
mod tests;
