//! Reports the progress and the end of an exchange to the decision actor.
use crate::end_reason::EndReason;
use crate::messages::Event;
use crate::net::body::StreamedBody;
use crate::upstream::exchange_kind::ExchangeKind;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::AttemptOutcome;
use std::cell::Cell;
use tokio::sync::mpsc::{self, OwnedPermit};

/// Reports the end of an exchange to the decision actor, exactly once, when it is dropped. It holds a reserved slot in
/// the actor's mailbox from the start, so the report can't be lost.
pub(crate) struct CompletionGuard {
    kind: ExchangeKind,
    events: mpsc::Sender<Event>,
    permit: Option<OwnedPermit<Event>>,
    /// Whether a byte of the request may have been sent.
    is_sent: Cell<bool>,
    has_response_started: Cell<bool>,
    /// The result; none if the exchange ended early.
    result: Option<ExchangeResult>,
    /// What ended the exchange.
    reason: EndReason,
}

impl CompletionGuard {
    /// Creates a guard that reports through `permit`, a reserved slot in the mailbox of `events`.
    pub(crate) fn new(
        kind: ExchangeKind,
        events: mpsc::Sender<Event>,
        permit: OwnedPermit<Event>,
    ) -> Self {
        Self {
            kind,
            events,
            permit: Some(permit),
            is_sent: Cell::new(false),
            has_response_started: Cell::new(false),
            result: None,
            reason: EndReason::Cancelled,
        }
    }

    /// The flag that is set as soon as a byte of the request may have been sent.
    pub(super) fn sent_flag(&self) -> &Cell<bool> {
        &self.is_sent
    }

    /// Whether a byte of the request may have been sent.
    pub(super) fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Whether the response is being streamed to the client.
    pub(super) fn has_response_started(&self) -> bool {
        self.has_response_started.get()
    }

    /// Sets the result to report. Without one, the exchange counts as cancelled, or as not sent if no byte was sent.
    pub(super) fn set_result(&mut self, result: Option<ExchangeResult>, reason: EndReason) {
        self.result = result;
        self.reason = reason;
    }

    /// Reports that the last byte of a streamed request was handed over to be sent.
    pub(super) async fn report_request_sent(&self) {
        if let ExchangeKind::Attempt(attempt) = self.kind {
            let _ = self.events.send(Event::RequestSent { attempt }).await;
        }
    }

    /// Reports the start of a streamed response, with its body.
    pub(super) async fn report_response_started(&self, body: StreamedBody) {
        if let ExchangeKind::Attempt(attempt) = self.kind {
            let event = Event::ResponseStarted { attempt, body };
            let _ = self.events.send(event).await;
        }
        self.has_response_started.set(true);
    }

    /// Returns the outcome of an exchange without a result.
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
