//! The messages of an exchange with a backend: the order to run it, how it is cancelled, by when it has to be
//! sent and answered, and the guard that reports its end.
use crate::downstream::request::ParsedRequest;
use crate::end_reason::EndReason;
use crate::messages::{AttemptId, Event};
use crate::net::body::StreamedBody;
use crate::net::inbound_stream::ClientLiveness;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::AttemptOutcome;
use std::cell::Cell;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What an exchange is run for.
#[derive(Clone, Copy)]
pub(crate) enum ExchangeKind {
    /// One attempt of an RPC.
    Attempt(AttemptId),
    /// A health check of this backend.
    HealthCheck {
        /// The backend's number.
        backend: u32,
    },
}

impl ExchangeKind {
    /// The event that tells the decision actor of the exchange's end.
    pub(crate) fn completion_event(self, result: ExchangeResult) -> Event {
        match self {
            Self::Attempt(attempt) => Event::AttemptEnded { attempt, result },
            Self::HealthCheck { backend } => Event::HealthChecked {
                backend,
                outcome: result.outcome,
                report: result.report,
            },
        }
    }
}

/// Reports the end of an exchange to the decision actor, exactly once, when it is dropped. It holds a place in
/// the actor's mailbox from the start, so the report always fits.
pub(crate) struct CompletionGuard {
    kind: ExchangeKind,
    events: mpsc::Sender<Event>,
    permit: Option<OwnedPermit<Event>>,
    /// A byte of the request may be on its way.
    sent: Cell<bool>,
    /// The response is on its way to the client.
    response_started: Cell<bool>,
    /// How it ended; none where it was cut short.
    result: Option<ExchangeResult>,
    /// What cut it short.
    reason: EndReason,
}

impl CompletionGuard {
    /// A guard that reports by `permit`, a place in the mailbox behind `events`.
    pub(crate) fn new(
        kind: ExchangeKind,
        events: mpsc::Sender<Event>,
        permit: OwnedPermit<Event>,
    ) -> Self {
        Self {
            kind,
            events,
            permit: Some(permit),
            sent: Cell::new(false),
            response_started: Cell::new(false),
            result: None,
            reason: EndReason::Cancelled,
        }
    }

    /// The flag that is set as soon as a byte of the request may be on its way.
    pub(super) fn sent_flag(&self) -> &Cell<bool> {
        &self.sent
    }

    /// Whether a byte of the request may be on its way.
    pub(super) fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// Whether the response is on its way to the client.
    pub(super) fn has_response_started(&self) -> bool {
        self.response_started.get()
    }

    /// Sets what is reported; without a result the exchange counts as cancelled, or as not sent if nothing was.
    pub(super) fn set_result(&mut self, result: Option<ExchangeResult>, reason: EndReason) {
        self.result = result;
        self.reason = reason;
    }

    /// Tells that the request's last byte was taken to be sent.
    pub(super) async fn report_request_sent(&self) {
        if let ExchangeKind::Attempt(attempt) = self.kind {
            let _ = self.events.send(Event::RequestSent { attempt }).await;
        }
    }

    /// Tells that a streamed response starts, and hands its body over.
    pub(super) async fn report_response_started(&self, body: StreamedBody) {
        if let ExchangeKind::Attempt(attempt) = self.kind {
            let event = Event::ResponseStarted { attempt, body };
            let _ = self.events.send(event).await;
        }
        self.response_started.set(true);
    }

    /// The outcome of an exchange that was cut short.
    fn unfinished_outcome(&self) -> AttemptOutcome {
        if self.is_sent() {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::NotSent
        }
    }
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        let unfinished = self.unfinished_outcome();
        let mut result = self.result.take().unwrap_or_else(|| unfinished.into());
        result.reason = self.reason;
        if let Some(permit) = self.permit.take() {
            permit.send(self.kind.completion_event(result));
        }
    }
}

/// The receiving end of a cancellation; none where the exchange can't be cancelled. The sender cancels the
/// exchange when it is dropped; when it sends, the exchange is withdrawn only if nothing was sent yet.
pub(crate) type CancelSignal = Option<oneshot::Receiver<()>>;

/// The times that limit an exchange.
#[derive(Clone, Copy)]
pub(crate) struct Deadlines {
    /// By when it is to be answered.
    pub until: Instant,
    /// By when the client has its answer; none for a health check.
    pub client: Option<Instant>,
    /// By when its first byte has to be sent, if that is limited.
    pub send_by: Option<Instant>,
}

/// What is sent to the backend, for whom, and within which limits.
pub(crate) struct ExchangeRequest {
    /// The request as it goes out.
    pub request: ParsedRequest,
    /// The client that it is run for; none for a health check.
    pub client: Option<ClientLiveness>,
    /// By when it has to be sent and answered.
    pub deadlines: Deadlines,
    /// Cancels it.
    pub cancel: CancelSignal,
}

/// An attempt or health check for an endpoint actor to run.
pub(crate) struct Exchange {
    /// What is to be sent.
    pub request: ExchangeRequest,
    /// Reports its end.
    pub completion: CompletionGuard,
}
