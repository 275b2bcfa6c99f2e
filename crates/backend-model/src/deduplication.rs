//! Which keys have run lately: the nodes of one group share a memory and drop a repeat within the window.
use std::collections::{BTreeSet, HashMap};

const FORGET: usize = 2; // expired marks dropped with each call: more than are added, so that memory stays bounded

/// The key of a deduplicated RPC, with the group whose nodes drop its repeats and for how long, s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdempotencyKey {
    pub group: u64,
    pub key: u64,
    pub window: f64,
}

/// The memory of a whole fleet, by group and key.
#[derive(Debug, Default)]
pub struct DeduplicationCache {
    until: HashMap<(u64, u64), f64>,
    expiry: BTreeSet<(u64, u64, u64)>, // bits of the time (not negative, so they sort as it does), group, key
}

fn bits(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

impl DeduplicationCache {
    /// Whether this is the first run within its window; if so, the window begins.
    pub fn first(&mut self, now: f64, idempotency_key: IdempotencyKey) -> bool {
        for _ in 0..FORGET {
            match self.expiry.first().copied() {
                Some(old) if old.0 <= bits(now) => {
                    self.expiry.pop_first();
                    self.until.remove(&(old.1, old.2));
                }
                _ => break,
            }
        }
        let at = (idempotency_key.group, idempotency_key.key);
        match self.until.get(&at) {
            Some(until) if now < *until => return false,
            Some(until) => drop(self.expiry.remove(&(
                bits(*until),
                idempotency_key.group,
                idempotency_key.key,
            ))),
            None => {}
        }
        let until = now + idempotency_key.window;
        self.until.insert(at, until);
        self.expiry
            .insert((bits(until), idempotency_key.group, idempotency_key.key));
        true
    }

    /// Marks held.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
