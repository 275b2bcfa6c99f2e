//! Queue of RPCs that wait for a backend or for their key, ordered both by precedence and by the
//! time at which their wait ends.
use crate::queue_position::PendingPosition;
use crate::rpc_state::RpcState;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Pending RPCs in two orders.
#[derive(Default)]
pub(crate) struct PendingQueue {
    by_precedence: BTreeMap<PendingPosition, Rc<RpcState>>,
    /// [`end_bits`] and position of each RPC.
    by_end: BTreeSet<(u64, PendingPosition)>,
    last_sequence: u64,
}

/// Returns the end of an RPC's wait as bits, which compare like the times because none is negative.
fn end_bits(rpc: &RpcState) -> u64 {
    rpc.pending_until.get().max(0.0).to_bits()
}

impl PendingQueue {
    /// Returns whether no RPC is ready to be sent. RPCs that wait for their key are not.
    pub(crate) fn is_empty(&self) -> bool {
        self.next_after(None).is_none()
    }

    /// Inserts an RPC, which waits until [`RpcState::pending_until`].
    pub(crate) fn insert(&mut self, rpc: Rc<RpcState>) {
        self.last_sequence += 1;
        let position = PendingPosition {
            key_blocked: !rpc.key_ready.get(),
            quota_class: rpc.quota_class,
            inverted_priority: !rpc.method.settings.priority_weight.max(0.0).to_bits(),
            sequence: self.last_sequence,
        };
        rpc.pending_position.set(Some(position));
        self.by_end.insert((end_bits(&rpc), position));
        self.by_precedence.insert(position, rpc);
    }

    /// Removes an RPC, if it is in the queue.
    pub(crate) fn remove(&mut self, rpc: &RpcState) {
        if let Some(position) = rpc.pending_position.take() {
            self.by_end.remove(&(end_bits(rpc), position));
            self.by_precedence.remove(&position);
        }
    }

    /// Returns the first RPC after a position, or the first of all for `None`, if it is ready to be
    /// sent.
    pub(crate) fn next_after(&self, position: Option<PendingPosition>) -> Option<Rc<RpcState>> {
        let from = position.map_or(Unbounded, Excluded);
        let (next, rpc) = self.by_precedence.range((from, Unbounded)).next()?;
        (!next.key_blocked).then(|| rpc.clone())
    }

    /// Returns the RPC whose wait ends first, and the end of its wait.
    pub(crate) fn first_end(&self) -> Option<(f64, Rc<RpcState>)> {
        let (end_bits, position) = self.by_end.first()?;
        let rpc = self.by_precedence.get(position)?;
        Some((f64::from_bits(*end_bits), rpc.clone()))
    }
}
