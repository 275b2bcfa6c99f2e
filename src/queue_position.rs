//! Positions of an RPC in the queues that it may wait in.
use crate::tenant::QuotaClass;

/// Position in the pending queue: by quota class, then priority weight, then arrival. RPCs that wait
/// for their key come last, as they can not be sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingPosition {
    /// The RPC waits for RPCs with the same key.
    pub key_blocked: bool,
    /// Class of the RPC by its tenant's quota.
    pub quota_class: QuotaClass,
    /// Inverted bits of the priority weight, so that the highest weight comes first.
    pub inverted_priority: u64,
    /// Number of the insertion.
    pub sequence: u64,
}

/// Position among the RPCs of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyPosition {
    /// The key.
    pub key: u64,
    /// Number of the RPC in the order in which RPCs were accepted.
    pub sequence: u64,
}
