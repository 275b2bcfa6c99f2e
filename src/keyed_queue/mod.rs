//! RPCs that run one at a time for each key, in the order in which they were accepted, with the keys'
//! cooldowns. It decides nothing.
use crate::rpc_state::{KeyPosition, RpcState};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The RPCs of one key.
#[derive(Default)]
struct KeyState {
    rpcs: BTreeMap<u64, Rc<RpcState>>,
    cooldown_until: f64,
}

/// The RPCs of all keys.
#[derive(Default)]
pub(crate) struct KeyedQueue {
    keys: HashMap<u64, KeyState>,
    due: BTreeSet<(u64, u64)>, // bits of a time that is not negative, and whose first RPC is ready then
    last_sequence: u64,
}

impl KeyedQueue {
    /// Adds an RPC as the last of its key. It is ready if it is the only one.
    pub(crate) fn push(&mut self, rpc: &Rc<RpcState>, key: u64) {
        self.last_sequence += 1;
        rpc.key_position.set(Some(KeyPosition {
            key,
            sequence: self.last_sequence,
        }));
        // A key without RPCs is kept until its cooldown is over and that was seen: the RPC is ready then.
        rpc.key_ready.set(!self.keys.contains_key(&key));
        self.keys
            .entry(key)
            .or_default()
            .rpcs
            .insert(self.last_sequence, rpc.clone());
    }

    /// Number of RPCs of the same key, this one included.
    pub(crate) fn length(&self, rpc: &RpcState) -> usize {
        let key = rpc
            .key_position
            .get()
            .and_then(|position| self.keys.get(&position.key));
        key.map_or(0, |key| key.rpcs.len())
    }

    /// An attempt of the RPC may still be running: those behind it wait until then at the least.
    pub(crate) fn cool_down(&mut self, rpc: &RpcState, until: f64) {
        let position = rpc.key_position.get();
        if let Some(key) = position.and_then(|position| self.keys.get_mut(&position.key)) {
            key.cooldown_until = key.cooldown_until.max(until);
        }
    }

    /// Removes an RPC that is finished: the one behind it is ready after the key's cooldown.
    pub(crate) fn remove(&mut self, rpc: &RpcState) {
        let Some(position) = rpc.key_position.take() else {
            return;
        };
        let Some(key) = self.keys.get_mut(&position.key) else {
            return;
        };
        let first = key
            .rpcs
            .first_key_value()
            .is_some_and(|(sequence, _)| *sequence == position.sequence);
        key.rpcs.remove(&position.sequence);
        if first && rpc.key_ready.get() {
            self.due
                .insert((key.cooldown_until.max(0.0).to_bits(), position.key));
        }
    }

    /// The next RPC that is ready by now, told once. Keys that hold nothing any more are forgotten.
    pub(crate) fn next_ready(&mut self, now: f64) -> Option<Rc<RpcState>> {
        while let Some((time, key)) = self
            .due
            .first()
            .copied()
            .filter(|(time, _)| f64::from_bits(*time) <= now)
        {
            self.due.remove(&(time, key));
            let Some(state) = self.keys.get_mut(&key) else {
                continue;
            };
            state.cooldown_until = 0.0;
            match state.rpcs.first_key_value() {
                Some((_, rpc)) => {
                    rpc.key_ready.set(true);
                    return Some(rpc.clone());
                }
                None => drop(self.keys.remove(&key)),
            }
        }
        None
    }

    /// When the next cooldown ends.
    pub(crate) fn next_due(&self) -> Option<f64> {
        self.due.first().map(|(time, _)| f64::from_bits(*time))
    }
}
