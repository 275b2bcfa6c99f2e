//! Retry budget: limits the load that retries add when many attempts fail.
//!
//! It follows the retry budgets of Finagle and linkerd: each success deposits a fraction of a
//! retry, up to a maximum balance. Two things differ. A retry is free if no earlier attempt of the
//! RPC may have run (each was not sent, could not connect or was rejected), because such attempts
//! add no work to the backends. And an RPC is never sent to the same backend twice.
use crate::backend::Backend;
use crate::rpc_state::RpcState;
use std::rc::Rc;

/// Retries deposited per success. Retries thus add at most a tenth to the load.
const RETRIES_DEPOSITED_PER_SUCCESS: f64 = 0.1;
/// Maximum balance, which limits the burst of retries when many backends fail simultaneously.
const MAX_BALANCE: f64 = 3.0;

/// Balance of retries that may be sent.
#[derive(Default)]
pub(crate) struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Deposits a fraction of a retry.
    pub(crate) fn record_success(&mut self) {
        self.balance = (self.balance + RETRIES_DEPOSITED_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Withdraws the cost of an attempt that is about to start. It is free if no earlier attempt of
    /// the RPC may have run.
    pub(crate) fn withdraw(&mut self, rpc: &RpcState) {
        if rpc.may_have_run() {
            self.balance -= 1.0;
        }
    }

    /// Returns whether the budget permits an attempt of the RPC at this backend, which must be one
    /// that the RPC was not sent to before.
    pub(crate) fn allows(&self, rpc: &RpcState, to: &Rc<Backend>) -> bool {
        let is_affordable = self.balance >= 1.0 || !rpc.may_have_run();
        !rpc.was_tried_at(to) && is_affordable
    }
}
