//! Queues of RPCs that are ordered by key: RPCs with the same key run one at a time, in the order
//! in which they were accepted.
//!
//! After an attempt that may still be running at its backend, the key has a cooldown before its
//! next RPC becomes ready. RPCs become ready only while ordered RPCs run in this process.
use crate::interface::OrderedRpcs;
use crate::queue_position::KeyPosition;
use crate::rpc_state::RpcState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Queue of the RPCs with one key.
#[derive(Default)]
struct KeyState {
    /// RPCs by sequence number.
    rpcs: BTreeMap<u64, Rc<RpcState>>,
    /// End of the cooldown.
    cooldown_until: f64,
}

impl KeyState {
    /// Returns the end of the cooldown as an entry of [`KeyedQueue::due`] holds it.
    fn ready_at_bits(&self) -> u64 {
        self.cooldown_until.max(0.0).to_bits()
    }
}

/// Queues of the RPCs with each key.
#[derive(Default)]
pub(crate) struct KeyedQueue {
    keys: HashMap<u64, KeyState>,
    /// Keys whose next RPC becomes ready at a known time, as pairs of that time and the key. Times
    /// are stored as bits, which compare like the times because none is negative.
    due: BTreeSet<(u64, u64)>,
    last_sequence: u64,
    /// Whether RPCs become ready in this process.
    ordered_rpcs: OrderedRpcs,
}

impl KeyedQueue {
    /// Adds an RPC to the end of its key's queue. It is ready immediately if the key has neither
    /// RPCs nor a cooldown and ordered RPCs run in this process.
    pub(crate) fn push(&mut self, rpc: &Rc<RpcState>, key: u64) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        rpc.key_position.set(Some(KeyPosition { key, sequence }));
        // A key is kept after its last RPC until `next_ready` removes it at the end of its
        // cooldown.
        let is_ready = self.runs_rpcs() && !self.keys.contains_key(&key);
        rpc.key_ready.set(is_ready);
        let state = self.keys.entry(key).or_default();
        state.rpcs.insert(sequence, rpc.clone());
    }

    /// Sets whether ordered RPCs run in this process, and returns whether that has changed. RPCs that are ready stay
    /// ready. When ordered RPCs begin to run, the first one of each key becomes ready after the cooldown.
    pub(crate) fn set_ordered_rpcs(&mut self, ordered_rpcs: OrderedRpcs) -> bool {
        if std::mem::replace(&mut self.ordered_rpcs, ordered_rpcs) == ordered_rpcs {
            return false;
        }
        if self.runs_rpcs() {
            self.schedule_waiting_keys();
        }
        true
    }

    /// Lets the first RPC of each key that is not ready become ready after the cooldown.
    fn schedule_waiting_keys(&mut self) {
        for (key, state) in &self.keys {
            let first = state.rpcs.first_key_value();
            if first.is_none_or(|(_, rpc)| !rpc.key_ready.get()) {
                self.due.insert((state.ready_at_bits(), *key));
            }
        }
    }

    fn runs_rpcs(&self) -> bool {
        self.ordered_rpcs == OrderedRpcs::Run
    }

    /// Whether this RPC is rejected on arrival, as another process runs those with its key.
    pub(crate) fn rejects(&self, rpc: &RpcState) -> bool {
        self.ordered_rpcs == OrderedRpcs::Reject && rpc.key_position.get().is_some()
    }

    /// Whether no key has an RPC or a cooldown.
    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the number of RPCs with the key of this RPC, including the RPC itself.
    pub(crate) fn length(&self, rpc: &RpcState) -> usize {
        let position = rpc.key_position.get();
        let key = position.and_then(|position| self.keys.get(&position.key));
        key.map_or(0, |key| key.rpcs.len())
    }

    /// Extends the cooldown of the RPC's key, because an attempt of the RPC may still be running.
    pub(crate) fn cool_down(&mut self, rpc: &RpcState, until: f64) {
        let position = rpc.key_position.get();
        if let Some(key) = position.and_then(|position| self.keys.get_mut(&position.key)) {
            key.cooldown_until = key.cooldown_until.max(until);
        }
    }

    /// Removes a finished RPC. The next RPC of its key becomes ready after the cooldown.
    pub(crate) fn remove(&mut self, rpc: &RpcState) {
        let Some(position) = rpc.key_position.take() else {
            return;
        };
        let Some(key) = self.keys.get_mut(&position.key) else {
            return;
        };
        let first = key.rpcs.first_key_value();
        let was_first = first.is_some_and(|(sequence, _)| *sequence == position.sequence);
        key.rpcs.remove(&position.sequence);
        if was_first && rpc.key_ready.get() {
            self.due.insert((key.ready_at_bits(), position.key));
        }
    }

    /// Returns an RPC that has become ready. Each RPC is returned at most once. Removes keys that
    /// have neither RPCs nor a cooldown.
    pub(crate) fn next_ready(&mut self, now: f64) -> Option<Rc<RpcState>> {
        if !self.runs_rpcs() {
            return None;
        }
        while let Some((time_bits, key)) = self.due.first().copied() {
            if f64::from_bits(time_bits) > now {
                return None;
            }
            self.due.remove(&(time_bits, key));
            let Some(state) = self.keys.get_mut(&key) else {
                continue;
            };
            state.cooldown_until = 0.0;
            let Some((_, rpc)) = state.rpcs.first_key_value() else {
                self.keys.remove(&key);
                continue;
            };
            if !rpc.key_ready.replace(true) {
                return Some(rpc.clone());
            }
        }
        None
    }

    /// Returns the earliest time at which an RPC becomes ready, if one is known.
    pub(crate) fn next_due(&self) -> Option<f64> {
        if !self.runs_rpcs() {
            return None;
        }
        let (time_bits, _) = self.due.first()?;
        Some(f64::from_bits(*time_bits))
    }
}
