//! Retry budget: bounds the load that retries add when many attempts fail.
//!
//! After the retry budgets of Finagle and linkerd: each success earns a fraction of a retry, up to a
//! maximum. What differs: a retry is free while no earlier attempt of the RPC may have run (each was
//! not sent, found no connection or was rejected), as those add no work to the backends; and an RPC is
//! never retried at a backend that it was tried at before.
use crate::backend::Backend;
use crate::rpc_state::RpcState;
use std::rc::Rc;

/// Retries earned by one success: retries add at most a tenth to the load.
const RETRIES_EARNED_PER_SUCCESS: f64 = 0.1;
/// Retries that can be saved up, which bounds the burst when many backends fail at once.
const MAX_SAVED_RETRIES: f64 = 3.0;

/// The retries that may still be sent.
#[derive(Default)]
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Earns a fraction of a retry.
    pub(crate) fn record_success(&mut self) {
        self.retries = (self.retries + RETRIES_EARNED_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Pays for an attempt that is about to start. It is free while no earlier attempt of the RPC may
    /// have run.
    pub(crate) fn withdraw(&mut self, rpc: &RpcState) {
        if rpc.may_have_run() {
            self.retries -= 1.0;
        }
    }

    /// Returns whether an attempt of the RPC at this backend is within the budget.
    pub(crate) fn allows(&self, rpc: &RpcState, to: &Rc<Backend>) -> bool {
        let is_affordable = self.retries >= 1.0 || !rpc.may_have_run();
        !rpc.was_tried_at(to) && is_affordable
    }
}
