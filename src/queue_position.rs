//! Positions of an RPC in the pending queue and in the queue of its key.
use crate::tenant::QuotaClass;

/// Position in the pending queue: ordered by quota class, then by priority weight, then by
/// insertion. RPCs that wait for their key come last because they cannot be sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingPosition {
    /// Whether the RPC waits for other RPCs with the same key.
    pub key_blocked: bool,
    /// Quota class of the RPC.
    pub quota_class: QuotaClass,
    /// Inverted bits of the priority weight, so that the highest weight sorts first.
    pub inverted_priority: u64,
    /// Sequence number of the insertion.
    pub sequence: u64,
}

/// Position in the queue of RPCs with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyPosition {
    /// The key.
    pub key: u64,
    /// Sequence number in order of acceptance.
    pub sequence: u64,
}
