//! Retry budget: bounds the load that retries add.
use crate::{backend::Backend, rpc_state::RpcState};
use std::rc::Rc;

const EARNED_PER_SUCCESS: f64 = 0.1; // retries by a success: at most a tenth more load
const MAX_SAVED: f64 = 3.0; // retries saved up: a sudden death of many backends uses no more

/// Retries that may be sent.
#[derive(Default)]
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// An attempt succeeded.
    pub(crate) fn record_success(&mut self) {
        self.retries = (self.retries + EARNED_PER_SUCCESS).min(MAX_SAVED);
    }

    /// Pays for an attempt that is about to start; free while none of the RPC's reached a backend.
    pub(crate) fn pay(&mut self, rpc: &RpcState) {
        self.retries -= if rpc.may_have_run() { 1.0 } else { 0.0 };
    }

    /// A retry needs budget, unless no attempt reached a backend (a lost zone), and another backend.
    pub(crate) fn allows(&self, rpc: &RpcState, to: &Rc<Backend>) -> bool {
        !rpc.was_tried_at(to) && (self.retries >= 1.0 || !rpc.may_have_run())
    }
}
