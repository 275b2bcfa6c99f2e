//! An RPC in flight: what its attempts need, who waits for its response, and which attempts are out.
use crate::downstream::request::ParsedRequest;
use crate::downstream::request_ids::RequestIdGuard;
use crate::downstream::response::ProxyResponse;
use crate::net::inbound_stream::ClientLiveness;
use crate::upstream::exchange::{Deadlines, ExchangeRequest};
use birchhub::interface::{AttemptOutcome, Idempotency, MethodSettings, Settings};
use birchhub_invariants::{AttemptStart, RepeatRule, Violation};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The client's end of an RPC.
pub(super) struct RpcClient {
    /// Whether it is still connected.
    pub liveness: ClientLiveness,
    /// Takes the response.
    pub responder: oneshot::Sender<ProxyResponse>,
    /// Keeps the `Request-Id` reserved.
    pub request_id: RequestIdGuard,
}

/// The times that limit the attempts of an RPC.
pub(super) struct RpcLimits {
    /// By when the RPC is to be answered.
    pub deadline: Instant,
    /// Whether it may be sent again after an attempt that may have run.
    pub repeat_rule: RepeatRule,
}

/// An attempt that was started.
struct InFlightAttempt {
    /// Cancels or withdraws it; none once that was done, or the attempt ended.
    cancel: Option<oneshot::Sender<()>>,
    /// When it was started; none once it is known that it never ran.
    may_have_run_since: Option<Instant>,
}

/// An RPC from its arrival until it is over and all its attempts have ended.
pub(super) struct InFlightRpc {
    request: ParsedRequest,
    client: ClientLiveness,
    limits: RpcLimits,
    /// None once the client has its response or has disconnected.
    responder: Option<oneshot::Sender<ProxyResponse>>,
    is_answered: bool,
    attempts: Vec<InFlightAttempt>,
    /// Prevents a second RPC of this name while an attempt of this one is still out.
    _request_id: RequestIdGuard,
}

impl InFlightRpc {
    /// An RPC without attempts.
    pub(super) fn new(request: ParsedRequest, client: RpcClient, limits: RpcLimits) -> Self {
        Self {
            request,
            client: client.liveness,
            limits,
            responder: Some(client.responder),
            is_answered: false,
            attempts: Vec::new(),
            _request_id: client.request_id,
        }
    }

    /// The `Request-Id`, for the log.
    pub(super) fn request_id(&self) -> &str {
        self.request.id_text()
    }

    /// Attempts started so far.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Starts an attempt that is to be answered by this time, or by the RPC's deadline if that is earlier.
    pub(super) fn start_attempt(&mut self, until: Instant) -> ExchangeRequest {
        let (sender, cancel) = oneshot::channel();
        let send_by = self.send_by();
        self.attempts.push(InFlightAttempt {
            cancel: Some(sender),
            may_have_run_since: Some(Instant::now()),
        });
        ExchangeRequest {
            request: self.request.clone(),
            client: Some(self.client.clone()),
            deadlines: Deadlines {
                until: until.min(self.limits.deadline),
                client: Some(self.limits.deadline),
                send_by,
            },
            cancel: Some(cancel),
        }
    }

    /// By when a retry has to be sent. The decisions judged by their own clock, before a connection was opened and
    /// perhaps before this process was stopped: prevents a retry so late that the backend no longer drops it as a
    /// duplicate.
    fn send_by(&self) -> Option<Instant> {
        match self.limits.repeat_rule {
            RepeatRule::Within(window) => Some(self.first_may_have_run()? + window),
            RepeatRule::Always | RepeatRule::Never => None,
        }
    }

    /// When the first of its attempts was started that may have run.
    fn first_may_have_run(&self) -> Option<Instant> {
        let started = self.attempts.iter();
        started
            .filter_map(|attempt| attempt.may_have_run_since)
            .min()
    }

    /// What an attempt that is to start now is judged by.
    pub(super) fn attempt_start(&self) -> AttemptStart {
        AttemptStart {
            is_answered: !self.awaits_response(),
            repeat_rule: self.limits.repeat_rule,
            since_first: self.first_may_have_run().map(|first| first.elapsed()),
        }
    }

    /// Records an attempt that was refused before it started; its end is reported as that of any other.
    pub(super) fn refuse_attempt(&mut self) {
        self.attempts.push(InFlightAttempt {
            cancel: None,
            may_have_run_since: None,
        });
    }

    /// Cancels an attempt, whatever was sent of it.
    pub(super) fn cancel_attempt(&mut self, index: usize) {
        if let Some(attempt) = self.attempts.get_mut(index) {
            drop(attempt.cancel.take());
        }
    }

    /// Withdraws all attempts of which nothing was sent yet.
    pub(super) fn withdraw_attempts(&mut self) {
        for attempt in &mut self.attempts {
            if let Some(cancel) = attempt.cancel.take() {
                // An attempt that has ended hears it no more.
                let _ = cancel.send(());
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

    /// Whether its client still waits for a response.
    pub(super) fn awaits_response(&self) -> bool {
        self.responder.is_some()
    }

    /// Whether a part of its body that is not kept has gone out, so that the RPC can't be retried.
    pub(super) fn is_upload_consumed(&self) -> bool {
        self.request
            .upload()
            .is_some_and(|upload| upload.is_consumed())
    }

    /// Gives the client its response, unless it has disconnected; an error if it has one already.
    pub(super) fn respond(&mut self, response: ProxyResponse) -> Result<(), Violation> {
        if self.is_answered {
            return Err(Violation::SecondAnswer);
        }
        if let Some(responder) = self.responder.take() {
            self.is_answered = true;
            // Where the client has disconnected there is nobody to tell.
            let _ = responder.send(response);
        }
        Ok(())
    }

    /// Records that the client has disconnected.
    pub(super) fn record_disconnect(&mut self) {
        self.responder = None;
    }
}

/// By method, whether its RPCs may be sent again after an attempt that may have run.
pub(super) fn repeat_rules(settings: &Settings) -> Vec<RepeatRule> {
    let rule = |method: &MethodSettings| match method.idempotency {
        Idempotency::Idempotent => RepeatRule::Always,
        Idempotency::NonIdempotent => RepeatRule::Never,
        Idempotency::Deduplicated { window, .. } => {
            RepeatRule::Within(Duration::from_secs_f64(window))
        }
    };
    settings.methods.iter().map(rule).collect()
}
