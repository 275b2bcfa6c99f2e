//! Deduplication of RPCs: the backends of a group share a cache of the idempotency keys executed within a window.
use std::collections::{BTreeSet, HashMap};

/// Maximum number of expired keys that an insertion removes. It exceeds the one key added, so memory stays bounded.
const EXPIRED_KEYS_REMOVED_PER_INSERT: usize = 2;

/// The idempotency key of an RPC, with its group of backends and its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdempotencyKey {
    /// Id of the group of backends that drops duplicates.
    pub group: u64,
    /// Hash of the key.
    pub key: u64,
    /// How long duplicates are dropped, in seconds.
    pub window: f64,
}

/// A key within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct GroupKey {
    group: u64,
    key: u64,
}

/// Recently executed keys of all groups.
#[derive(Debug, Default)]
pub struct DeduplicationCache {
    /// When each key expires, in seconds.
    expires_at: HashMap<GroupKey, f64>,
    /// The same keys in the order of expiry, by the bits of the time.
    by_expiry: BTreeSet<(u64, GroupKey)>,
}

/// Returns the bits of a time, which sort in the order of time because negative times count as 0.
fn time_bits(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

impl DeduplicationCache {
    /// Records an execution at `now`, in seconds. Returns false if the key is a duplicate, which does not extend the
    /// window.
    pub fn insert(&mut self, now: f64, key: IdempotencyKey) -> bool {
        self.remove_expired(now);
        let group_key = GroupKey {
            group: key.group,
            key: key.key,
        };
        if let Some(expires_at) = self.expires_at.get(&group_key) {
            if now < *expires_at {
                return false;
            }
            self.by_expiry.remove(&(time_bits(*expires_at), group_key));
        }
        let expires_at = now + key.window;
        self.expires_at.insert(group_key, expires_at);
        self.by_expiry.insert((time_bits(expires_at), group_key));
        true
    }

    fn remove_expired(&mut self, now: f64) {
        for _ in 0..EXPIRED_KEYS_REMOVED_PER_INSERT {
            match self.by_expiry.first().copied() {
                Some((expiry, group_key)) if expiry <= time_bits(now) => {
                    self.by_expiry.pop_first();
                    self.expires_at.remove(&group_key);
                }
                _ => return,
            }
        }
    }

    /// Returns the number of keys, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.expires_at.len()
    }

    /// Whether the cache has no keys.
    pub fn is_empty(&self) -> bool {
        self.expires_at.is_empty()
    }
}
