//! Handle of an accepted RPC, through which the platform reports events that concern it.
use crate::estimates::AVERAGING_TIME_SECONDS;
use crate::interface::{AttemptOutcome, LoadReport, PacedBy, Platform};
use crate::policy::dispatch::{AttemptResult, Dispatcher};
use crate::rpc_state::RpcState;
use std::cell::RefCell;
use std::rc::Rc;

/// An RPC that this proxy has accepted.
pub struct RpcHandle {
    dispatcher: Rc<RefCell<Dispatcher>>,
    rpc: Rc<RpcState>,
}

impl RpcHandle {
    /// Creates the handle of an RPC.
    pub(super) fn new(dispatcher: Rc<RefCell<Dispatcher>>, rpc: Rc<RpcState>) -> Self {
        Self { dispatcher, rpc }
    }

    /// Returns whether the RPC has its final response and no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.rpc.is_finished()
    }

    /// Handles the start of a response that is forwarded to the client. From then on neither the
    /// timeout nor the deadline applies.
    pub fn on_response_started(
        &self,
        attempt: usize,
        paced_by: PacedBy,
        platform: &mut dyn Platform,
    ) {
        self.rpc
            .record_response_started(attempt, paced_by, platform.now());
    }

    /// Handles the sending of the last byte of a streamed request. The duration of the attempt is
    /// measured from now.
    pub fn on_request_sent(&self, attempt: usize, platform: &mut dyn Platform) {
        self.rpc.record_request_sent(attempt, platform.now());
    }

    /// Forbids retries. Called when part of the body was sent without being buffered, so that a
    /// retry could not send all of it.
    pub fn forbid_retry(&self) {
        self.rpc.retry_forbidden.set(true);
    }

    /// Handles the disconnection of the client, or its cancellation of the RPC.
    pub fn on_client_disconnected(&self, platform: &mut dyn Platform) {
        self.rpc.answered.set(true);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.pending.remove(&self.rpc);
        dispatcher.cancel_attempts(&self.rpc, platform);
        dispatcher.release_key(&self.rpc);
        dispatcher.serve(platform);
    }

    /// Handles the end of an attempt. `answered` is true if its response was the client's final
    /// response.
    pub fn on_attempt_ended(
        &self,
        attempt: usize,
        outcome: AttemptOutcome,
        answered: bool,
        report: Option<LoadReport>,
        platform: &mut dyn Platform,
    ) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let now = platform.now();
        let Some(attempt) = self.rpc.end_attempt(attempt, outcome, now) else {
            return;
        };
        attempt
            .backend
            .change_in_flight(-1, now, AVERAGING_TIME_SECONDS);
        dispatcher.record_attempt(&self.rpc, &attempt, now);
        dispatcher.record_outcome(&attempt, report, now);
        dispatcher.reindex(&attempt.backend, now);
        let result = if answered || attempt.succeeded() {
            AttemptResult::Answered
        } else {
            AttemptResult::Failed
        };
        dispatcher.finish_or_retry(&self.rpc, result, platform);
        dispatcher.release_key(&self.rpc);
        dispatcher.serve(platform);
    }
}
