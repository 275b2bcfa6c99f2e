//! State of one attempt of an RPC, and its result once it has ended.
use crate::backend::Backend;
use crate::estimates::NO_RESPONSE_FACTOR;
use crate::interface::AttemptOutcome;
use crate::load_level::LoadLevel;
use crate::report_quality::recent_load_level;
use std::rc::Rc;

/// How the backend of an attempt was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BackendChoice {
    /// Taken from the idle queue.
    IdleQueue,
    /// Chosen at random by the fallback.
    Random {
        /// Mean reported load of the backends when the attempt was sent, in RPCs.
        mean_load: f64,
    },
}

/// One attempt of an RPC.
pub(crate) struct AttemptState {
    /// Backend that the attempt was sent to.
    pub backend: Rc<Backend>,
    /// Time at which the last byte was sent, or the start of the attempt while that is unknown.
    pub sent_at: f64,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// How the backend was chosen.
    choice: BackendChoice,
    /// Time left for the attempt when it was sent, in seconds.
    time_allowed: f64,
    /// Load level in the backend's last report, if that was recent when the attempt was sent.
    load_level: Option<LoadLevel>,
    /// Start of the response, if the client limits its rate.
    response_started_at: Option<f64>,
    /// Whether its progress depends on the client: the request body is still arriving, or the
    /// client limits the rate of the response.
    client_paced: bool,
}

impl AttemptState {
    /// Creates an attempt that is being sent now.
    pub(crate) fn new(
        backend: Rc<Backend>,
        choice: BackendChoice,
        time_allowed: f64,
        now: f64,
    ) -> Self {
        let load_level = recent_load_level(&backend, now);
        Self {
            backend,
            sent_at: now,
            outcome: None,
            choice,
            time_allowed,
            load_level,
            response_started_at: None,
            client_paced: false,
        }
    }

    /// Returns whether the attempt has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the attempt may have been executed or may still be executed.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_ran)
    }

    /// Sets whether progress depends on the client; the backend is not working on the attempt
    /// meanwhile.
    pub(crate) fn set_client_paced(&mut self, client_paced: bool) {
        let previous = std::mem::replace(&mut self.client_paced, client_paced);
        self.backend
            .client_paced
            .update(|count| count + usize::from(client_paced) - usize::from(previous));
    }

    /// Records that the last byte of a streamed request was sent. Its duration is measured from
    /// now.
    pub(crate) fn record_request_sent(&mut self, now: f64) {
        self.sent_at = now;
        self.set_client_paced(false);
    }

    /// Records the start of a response whose rate the client limits. The duration of the rest is no
    /// measure of the backend's speed.
    pub(crate) fn record_client_paced_response(&mut self, now: f64) {
        self.response_started_at = Some(now);
        self.set_client_paced(true);
    }

    /// Ends the attempt and returns its result. `number` is its index among the attempts of its
    /// RPC.
    pub(crate) fn end(
        &mut self,
        number: usize,
        outcome: AttemptOutcome,
        now: f64,
    ) -> CompletedAttempt {
        self.outcome = Some(outcome);
        self.set_client_paced(false);
        // A rejected attempt counts as one that would have waited for all of its time.
        let duration = if outcome == AttemptOutcome::Rejected {
            self.time_allowed
        } else {
            self.response_started_at.unwrap_or(now) - self.sent_at
        };
        CompletedAttempt {
            backend: self.backend.clone(),
            number,
            outcome,
            duration,
            time_allowed: self.time_allowed,
            load_level: self.load_level,
            choice: self.choice,
        }
    }
}

/// Result of an attempt that has ended.
pub(crate) struct CompletedAttempt {
    /// Backend that the attempt was sent to.
    pub backend: Rc<Backend>,
    /// Index among the attempts of the RPC.
    pub number: usize,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Lower bound of the time that the backend needs, in seconds.
    pub duration: f64,
    /// Time left for the attempt when it was sent, in seconds.
    pub time_allowed: f64,
    /// Load level in the backend's last report, if that was recent when the attempt was sent.
    pub load_level: Option<LoadLevel>,
    /// How the backend was chosen.
    pub choice: BackendChoice,
}

impl CompletedAttempt {
    /// Returns whether a complete response arrived.
    pub(crate) fn succeeded(&self) -> bool {
        self.outcome == AttemptOutcome::Succeeded
    }

    /// Returns whether the attempt succeeded or timed out, so that its duration is a usable sample.
    pub(crate) fn has_measured_duration(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::TimedOut
        )
    }

    /// Returns whether the backend rejected the attempt.
    pub(crate) fn was_rejected(&self) -> bool {
        self.outcome == AttemptOutcome::Rejected
    }

    /// Returns whether the backend may still be executing the attempt.
    pub(crate) fn may_still_run(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        )
    }

    /// Returns the fraction of the allowed time that the attempt used, or [`NO_RESPONSE_FACTOR`] if
    /// it did not succeed.
    pub(crate) fn used_time_fraction(&self) -> f64 {
        if self.succeeded() {
            self.duration / self.time_allowed
        } else {
            NO_RESPONSE_FACTOR
        }
    }

    /// Returns the time that the backend needed, in seconds. It is an estimate if the attempt did
    /// not succeed.
    pub(crate) fn estimated_duration(&self) -> f64 {
        if self.succeeded() {
            self.duration
        } else {
            self.duration * NO_RESPONSE_FACTOR
        }
    }
}
