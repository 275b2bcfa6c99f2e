//! State of one attempt of an RPC, and what an attempt that has ended tells.
use crate::backend::Backend;
use crate::estimates::NO_RESPONSE_FACTOR;
use crate::interface::AttemptOutcome;
use crate::load_level::LoadLevel;
use crate::report_quality::recent_load_level;
use std::rc::Rc;

/// How the backend of an attempt was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BackendChoice {
    /// From the idle queue.
    IdleQueue,
    /// At random, by the fallback.
    Random {
        /// Mean reported load of the backends when the attempt was sent, in RPCs.
        mean_load: f64,
    },
}

/// One attempt of an RPC.
pub(crate) struct AttemptState {
    /// Backend that it was sent to.
    pub backend: Rc<Backend>,
    /// Time at which the last byte was sent, as far as is known.
    pub sent_at: f64,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// How the backend was chosen.
    choice: BackendChoice,
    /// Time that it had when it was sent, in seconds.
    time_allowed: f64,
    /// Load level of the backend's last report, if it was recent when the attempt was sent.
    load_level: Option<LoadLevel>,
    /// Time at which a response started whose pace the client sets.
    response_started_at: Option<f64>,
    /// Its body is on its way from or to a client.
    client_paced: bool,
}

impl AttemptState {
    /// Creates an attempt that is sent now.
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

    /// Returns whether it has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether it may have been executed, or still may be.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_ran)
    }

    /// Sets whether its body is on its way from or to a client; it is no work for its backend then.
    pub(crate) fn set_client_paced(&mut self, client_paced: bool) {
        let before = std::mem::replace(&mut self.client_paced, client_paced);
        self.backend
            .client_paced
            .update(|all| all + usize::from(client_paced) - usize::from(before));
    }

    /// Records that the last byte of a streamed request was sent; its time counts from here.
    pub(crate) fn record_request_sent(&mut self, now: f64) {
        self.sent_at = now;
        self.set_client_paced(false);
    }

    /// Records the start of a response whose pace the client sets. How long the rest takes tells
    /// nothing about the backend.
    pub(crate) fn record_client_paced_response(&mut self, now: f64) {
        self.response_started_at = Some(now);
        self.set_client_paced(true);
    }

    /// Ends the attempt and returns what it tells. `number` is its number among those of its RPC.
    pub(crate) fn end(
        &mut self,
        number: usize,
        outcome: AttemptOutcome,
        now: f64,
    ) -> CompletedAttempt {
        self.outcome = Some(outcome);
        self.set_client_paced(false);
        // A rejected attempt would have waited for longer than the time that it had.
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

/// What an attempt that has ended tells.
pub(crate) struct CompletedAttempt {
    /// Backend that it was sent to.
    pub backend: Rc<Backend>,
    /// Its number among the RPC's attempts, from 0.
    pub number: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time that it took at the least, in seconds.
    pub duration: f64,
    /// Time that it had, in seconds.
    pub time_allowed: f64,
    /// Load level of the backend's last report, if it was recent when the attempt was sent.
    pub load_level: Option<LoadLevel>,
    /// How the backend was chosen.
    pub choice: BackendChoice,
}

impl CompletedAttempt {
    /// Returns whether a complete response arrived.
    pub(crate) fn succeeded(&self) -> bool {
        self.outcome == AttemptOutcome::Succeeded
    }

    /// Returns whether it was answered or timed out, so that its duration is a sample.
    pub(crate) fn has_measured_duration(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::TimedOut
        )
    }

    /// Returns whether the backend rejected it.
    pub(crate) fn was_rejected(&self) -> bool {
        self.outcome == AttemptOutcome::Rejected
    }

    /// Returns whether the backend may still be executing it.
    pub(crate) fn may_still_run(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        )
    }

    /// Returns the fraction of its time that it used; [`NO_RESPONSE_FACTOR`] without a response.
    pub(crate) fn used_time_fraction(&self) -> f64 {
        if self.succeeded() {
            self.duration / self.time_allowed
        } else {
            NO_RESPONSE_FACTOR
        }
    }

    /// Returns the time that the backend needed in seconds, or an estimate of it where no response
    /// arrived.
    pub(crate) fn estimated_duration(&self) -> f64 {
        if self.succeeded() {
            self.duration
        } else {
            self.duration * NO_RESPONSE_FACTOR
        }
    }
}
