//! The RPCs that wait for a backend, by priority and by the end of their wait. It decides nothing.
use crate::rpc_state::{PendingPosition, RpcState};
use crate::tenant::QuotaShare;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The pending RPCs in two orders.
#[derive(Default)]
pub(crate) struct PendingQueue {
    by_priority: BTreeMap<PendingPosition, Rc<RpcState>>,
    by_end: BTreeSet<(u64, PendingPosition)>, // bits of a time that is not negative
    last_sequence: u64,
}

fn end_bits(rpc: &RpcState) -> u64 {
    rpc.pending_until.get().max(0.0).to_bits()
}

impl PendingQueue {
    /// None of them could be sent now.
    pub(crate) fn is_empty(&self) -> bool {
        self.next_after(None).is_none()
    }

    /// Adds an RPC that waits until its `pending_until`.
    pub(crate) fn insert(&mut self, rpc: Rc<RpcState>) {
        self.last_sequence += 1;
        let position = PendingPosition {
            key_blocked: !rpc.key_ready.get(),
            share: match rpc.share {
                QuotaShare::Within => 0,
                QuotaShare::Borrowed => 1,
                QuotaShare::Beyond => 2,
            },
            inverted_priority: !rpc.method.settings.priority_weight.max(0.0).to_bits(),
            sequence: self.last_sequence,
        };
        rpc.pending_position.set(Some(position));
        self.by_end.insert((end_bits(&rpc), position));
        self.by_priority.insert(position, rpc);
    }

    /// Removes an RPC, if it waits.
    pub(crate) fn remove(&mut self, rpc: &RpcState) {
        if let Some(position) = rpc.pending_position.take() {
            self.by_end.remove(&(end_bits(rpc), position));
            self.by_priority.remove(&position);
        }
    }

    /// Of those that may be sent, the first by priority, or the next behind a position.
    pub(crate) fn next_after(&self, position: Option<PendingPosition>) -> Option<Rc<RpcState>> {
        let from = position.map_or(Unbounded, Excluded);
        let next = self.by_priority.range((from, Unbounded)).next();
        next.filter(|(position, _)| !position.key_blocked)
            .map(|(_, rpc)| rpc.clone())
    }

    /// The one whose wait ends first, and when.
    pub(crate) fn first_end(&self) -> Option<(f64, Rc<RpcState>)> {
        let (end, position) = self.by_end.first()?;
        Some((
            f64::from_bits(*end),
            self.by_priority.get(position)?.clone(),
        ))
    }
}
