//! Runs one exchange with a backend, an attempt or a health check, as a task of its own.
//!
//! The exchange takes or opens a connection ([`connect`]), sends the request and reads the response ([`send`]). Several
//! conditions end it early ([`early_end`]). The completion guard reports the end to the decision actor.
mod connect;
mod early_end;
mod send;

use crate::downstream::request::ParsedRequest;
use crate::end_reason::EndReason;
use crate::net::inbound_stream::ClientLiveness;
use crate::net::observed_stream::TransferCounts;
use crate::net::outbound_connection::OutboundConnection;
use crate::upstream::completion_guard::CompletionGuard;
use crate::upstream::endpoint_state::EndpointState;
use crate::upstream::exchange::{Deadlines, Exchange, ExchangeRequest};
use crate::upstream::result::ExchangeResult;
use birchhub::interface::AttemptOutcome;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::select;
use tokio::time::Instant;

/// Runs an exchange to its end.
pub(super) async fn run(endpoint: Rc<EndpointState>, exchange: Box<Exchange>) {
    let Exchange {
        request:
            ExchangeRequest {
                request,
                client,
                deadlines,
                cancel,
            },
        mut completion,
    } = *exchange;
    let running = RunningExchange {
        endpoint: &endpoint,
        request: &request,
        client: client.as_ref(),
        deadlines,
        completion: &completion,
        started_at: Instant::now(),
        written: WriteProgress::default(),
        has_open_ended_response: Cell::new(false),
    };
    let end = select! {
        biased;
        () = running.cancelled(cancel) => ExchangeEnd::Withdrawn(EndReason::Cancelled),
        () = running.endpoint_unavailable() => ExchangeEnd::Withdrawn(EndReason::EndpointUnavailable),
        () = running.send_window_closed() => ExchangeEnd::Withdrawn(EndReason::SendWindowClosed),
        result = running.exchange() => ExchangeEnd::Completed(result),
        () = running.timed_out() => ExchangeEnd::TimedOut,
        () = running.upload_failed() => ExchangeEnd::UploadFailed,
        () = running.backend_stalled() => ExchangeEnd::UploadFailed,
    };
    // `select!` has dropped the connection of an exchange that ended early, so it is closed before the decision actor
    // learns of the end.
    let reason = end.reason();
    let result = running.result(end);
    completion.set_result(result, reason);
}

/// What ended an exchange.
enum ExchangeEnd {
    /// It was cancelled, its backend became unavailable, or it would have been sent too late.
    Withdrawn(EndReason),
    /// It completed, with or without a response.
    Completed(ExchangeResult),
    /// There was no response before the timeout.
    TimedOut,
    /// The body of a streamed request was truncated or too large, or the client or the backend stalled.
    UploadFailed,
}

impl ExchangeEnd {
    /// The reason that is logged.
    fn reason(&self) -> EndReason {
        match self {
            Self::Withdrawn(reason) => *reason,
            Self::Completed(_) => EndReason::Completed,
            Self::TimedOut => EndReason::TimedOut,
            Self::UploadFailed => EndReason::UploadFailed,
        }
    }
}

/// Bytes written so far on the connection of an exchange, once it has one.
#[derive(Default)]
struct WriteProgress(RefCell<Option<Rc<TransferCounts>>>);

impl WriteProgress {
    /// Tracks the bytes written on this connection from now on.
    fn observe(&self, connection: &OutboundConnection) {
        self.0.replace(Some(connection.transfer_counts()));
    }

    fn bytes(&self) -> Option<u64> {
        self.0.borrow().as_ref().map(|counts| counts.written.get())
    }
}

/// An exchange that is running.
struct RunningExchange<'a> {
    endpoint: &'a EndpointState,
    request: &'a ParsedRequest,
    /// None for a health check.
    client: Option<&'a ClientLiveness>,
    deadlines: Deadlines,
    completion: &'a CompletionGuard,
    started_at: Instant,
    written: WriteProgress,
    /// Whether a response of unknown length has begun: it is streamed unless it ends soon.
    has_open_ended_response: Cell<bool>,
}

impl RunningExchange<'_> {
    /// Returns the result of an exchange that ended this way; none leaves it to the completion guard, which knows
    /// whether a byte was sent.
    fn result(&self, end: ExchangeEnd) -> Option<ExchangeResult> {
        let upload = self.request.upload();
        let outcome = match end {
            ExchangeEnd::Completed(result) => return Some(result),
            ExchangeEnd::Withdrawn(_) if !self.request.is_handed_over() => AttemptOutcome::NotSent,
            ExchangeEnd::Withdrawn(_) => return None,
            ExchangeEnd::UploadFailed
                if upload.is_some_and(|upload| {
                    upload.is_waiting_for_client() || upload.has_failed_at_client()
                }) =>
            {
                AttemptOutcome::NotSent
            }
            ExchangeEnd::TimedOut if self.completion.is_sent() => {
                // A host that has failed leaves its connections open but silent, including those that were idle during
                // the exchange.
                self.endpoint.idle.close_unused_since(self.started_at);
                AttemptOutcome::TimedOut
            }
            ExchangeEnd::TimedOut | ExchangeEnd::UploadFailed => AttemptOutcome::ConnectFailed,
        };
        Some(outcome.into())
    }
}
