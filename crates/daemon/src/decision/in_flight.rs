//! The state of an RPC in flight: its request, its client and its attempts.
use crate::downstream::request::ParsedRequest;
use crate::downstream::request_ids::RequestIdGuard;
use crate::downstream::response::ProxyResponse;
use crate::net::inbound_stream::ClientLiveness;
use crate::upstream::exchange::{Deadlines, ExchangeRequest, WithdrawIfUnsent};
use birchhub::interface::{AttemptOutcome, Idempotency, MethodSettings, Settings};
use birchhub_invariants::{AttemptStart, RepeatRule, Violation};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The client of an RPC.
pub(super) struct RpcClient {
    /// Tells whether the client is still connected.
    pub liveness: ClientLiveness,
    /// Receives the response.
    pub responder: oneshot::Sender<ProxyResponse>,
}

/// The limits on the attempts of an RPC.
pub(super) struct RpcLimits {
    /// Time by which the client must have its response.
    pub deadline: Instant,
    /// Whether, and for how long, the RPC may be retried after an attempt that a backend may have executed.
    pub repeat_rule: RepeatRule,
}

/// An attempt of an RPC.
struct InFlightAttempt {
    /// Dropped to cancel the attempt even if it was sent, or used to send [`WithdrawIfUnsent`]. `None` after either and
    /// once the attempt has ended.
    cancel: Option<oneshot::Sender<WithdrawIfUnsent>>,
    /// Start time of the attempt; `None` if the backend certainly did not execute it.
    may_have_run_since: Option<Instant>,
}

/// An RPC from its arrival until its response is decided and all its attempts have ended.
pub(super) struct InFlightRpc {
    request: ParsedRequest,
    client: ClientLiveness,
    limits: RpcLimits,
    /// `None` once the client has its response or has disconnected.
    responder: Option<oneshot::Sender<ProxyResponse>>,
    has_response: bool,
    attempts: Vec<InFlightAttempt>,
    /// Prevents a second RPC with the same `Request-Id` while an attempt of this one is in flight, and later if it must not
    /// be executed again.
    id_guard: RequestIdGuard,
}

impl InFlightRpc {
    /// Creates an RPC without attempts. `id_guard` keeps its `Request-Id` in use.
    pub(super) fn new(
        request: ParsedRequest,
        id_guard: RequestIdGuard,
        client: RpcClient,
        limits: RpcLimits,
    ) -> Self {
        Self {
            request,
            client: client.liveness,
            limits,
            responder: Some(client.responder),
            has_response: false,
            attempts: Vec::new(),
            id_guard,
        }
    }

    /// Returns the `Request-Id`, for the log.
    pub(super) fn request_id(&self) -> &str {
        self.request.id_text()
    }

    /// Returns the number of attempts so far, refused ones included.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Records a new attempt and returns the request of its exchange, which times out at `until` or at the RPC's
    /// deadline, whichever is earlier.
    pub(super) fn start_attempt(&mut self, until: Instant) -> ExchangeRequest {
        let (sender, cancel) = oneshot::channel();
        let send_deadline = self.send_deadline();
        self.attempts.push(InFlightAttempt {
            cancel: Some(sender),
            may_have_run_since: Some(Instant::now()),
        });
        ExchangeRequest {
            request: self.request.clone(),
            client: Some(self.client.clone()),
            deadlines: Deadlines {
                response_deadline: until.min(self.limits.deadline),
                client_deadline: Some(self.limits.deadline),
                send_deadline,
            },
            cancel: Some(cancel),
        }
    }

    /// Returns the time by which a retry must be sent. Prevents a retry so late that the backend no longer recognises
    /// it as a duplicate: the balancer allowed it by its own clock, before the connection was opened, and the process
    /// may have been suspended since.
    fn send_deadline(&self) -> Option<Instant> {
        match self.limits.repeat_rule {
            RepeatRule::Within(window) => Some(self.first_possible_execution()? + window),
            RepeatRule::Always | RepeatRule::Never => None,
        }
    }

    /// Returns the start of the first attempt that a backend may have executed.
    fn first_possible_execution(&self) -> Option<Instant> {
        self.attempts
            .iter()
            .filter_map(|attempt| attempt.may_have_run_since)
            .min()
    }

    /// Returns the input of the invariant check of an attempt that would start now.
    pub(super) fn attempt_start(&self) -> AttemptStart {
        AttemptStart {
            is_finished: !self.awaits_response(),
            repeat_rule: self.limits.repeat_rule,
            since_first_execution: self.first_possible_execution().map(|first| first.elapsed()),
        }
    }

    /// Records an attempt that the invariant check refused. Its end is reported like that of any other attempt.
    pub(super) fn record_refused_attempt(&mut self) {
        self.attempts.push(InFlightAttempt {
            cancel: None,
            may_have_run_since: None,
        });
    }

    /// Cancels an attempt, even if it was sent.
    pub(super) fn cancel_attempt(&mut self, index: usize) {
        if let Some(attempt) = self.attempts.get_mut(index) {
            drop(attempt.cancel.take());
        }
    }

    /// Withdraws all attempts that are still unsent.
    pub(super) fn withdraw_attempts(&mut self) {
        for attempt in &mut self.attempts {
            if let Some(cancel) = attempt.cancel.take() {
                // The receiver is gone if the attempt has ended.
                let _ = cancel.send(WithdrawIfUnsent);
            }
        }
    }

    /// Records how an attempt ended.
    pub(super) fn record_attempt_end(&mut self, index: usize, outcome: AttemptOutcome) {
        let attempt = &mut self.attempts[index];
        attempt.cancel = None;
        if outcome.never_ran() {
            attempt.may_have_run_since = None;
        }
    }

    /// Returns whether the client still waits for the response.
    pub(super) fn awaits_response(&self) -> bool {
        self.responder.is_some()
    }

    /// Returns whether unbuffered parts of the request body were forwarded, so that the RPC can't be retried.
    pub(super) fn is_upload_consumed(&self) -> bool {
        self.request
            .upload()
            .is_some_and(|upload| upload.is_consumed())
    }

    /// Sends the response to the client unless the client has disconnected.
    ///
    /// # Errors
    ///
    /// Returns [`Violation::SecondResponse`] if the RPC already has a response.
    pub(super) fn respond(&mut self, response: ProxyResponse) -> Result<(), Violation> {
        if self.has_response {
            return Err(Violation::SecondResponse);
        }
        if let Some(responder) = self.responder.take() {
            self.has_response = true;
            // The receiver is gone if the client has disconnected.
            let _ = responder.send(response);
        }
        Ok(())
    }

    /// Records that the client has disconnected.
    pub(super) fn record_disconnect(&mut self) {
        self.responder = None;
    }
}

impl Drop for InFlightRpc {
    fn drop(&mut self) {
        let may_repeat = matches!(self.limits.repeat_rule, RepeatRule::Always);
        if !may_repeat && self.first_possible_execution().is_some() {
            self.id_guard.forbid_repetition();
        }
    }
}

/// Returns the repeat rule of each method, by method index.
pub(super) fn repeat_rules(settings: &Settings) -> Vec<RepeatRule> {
    settings.methods.iter().map(repeat_rule).collect()
}

fn repeat_rule(method: &MethodSettings) -> RepeatRule {
    match method.idempotency {
        Idempotency::Idempotent => RepeatRule::Always,
        Idempotency::NonIdempotent => RepeatRule::Never,
        Idempotency::Deduplicated { window, .. } => {
            RepeatRule::Within(Duration::from_secs_f64(window))
        }
    }
}
