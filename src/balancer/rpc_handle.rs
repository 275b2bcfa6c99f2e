//! Handle of an accepted RPC, by which the platform passes on what happens to it.
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

    /// Returns whether the RPC has its final answer and no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.rpc.is_finished()
    }

    /// Handles the start of a response. It goes to the client, and neither timeout nor deadline
    /// applies any more.
    pub fn on_response_started(
        &self,
        attempt: usize,
        paced_by: PacedBy,
        platform: &mut dyn Platform,
    ) {
        self.rpc
            .record_response_started(attempt, paced_by, platform.now());
    }

    /// Handles the sending of the last byte of a streamed request. The backend's time counts from here.
    pub fn on_request_sent(&self, attempt: usize, platform: &mut dyn Platform) {
        self.rpc.record_request_sent(attempt, platform.now());
    }

    /// Forbids retries: part of the body was sent and not buffered, so that no retry could send all
    /// of it.
    pub fn forbid_retry(&self) {
        self.rpc.retry_forbidden.set(true);
    }

    /// Handles a client that has closed its connection or cancelled the RPC.
    pub fn on_client_disconnected(&self, platform: &mut dyn Platform) {
        self.rpc.answered.set(true);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.pending.remove(&self.rpc);
        dispatcher.cancel_attempts(&self.rpc, platform);
        dispatcher.release_key(&self.rpc);
        dispatcher.serve(platform);
    }

    /// Handles the end of an attempt. `answered` says that the client was answered with it.
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
