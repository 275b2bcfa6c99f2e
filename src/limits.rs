//! Settings that bind decisions as they are.
use crate::interface::Settings;

/// The limits of the deployment; see the fields of [`Settings`].
#[derive(Default)]
pub(crate) struct Limits {
    /// Most attempts for one RPC.
    pub max_attempts: usize,
    /// An RPC may have two attempts in flight.
    pub can_hedge: bool,
    /// An attempt in flight may be cancelled.
    pub can_cancel: bool,
    /// Cells cache what they need for a key, so that its RPCs are kept to a few cells.
    pub key_affinity: bool,
    /// Longest `retry_after` that clients honour, in seconds.
    pub max_retry_after: f64,
    /// Time for which a key waits after an attempt that may still run, in seconds.
    pub key_cooldown: f64,
}

impl Limits {
    /// Returns the limits that these settings name.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            max_attempts: settings.max_attempts,
            can_hedge: settings.can_hedge,
            can_cancel: settings.can_cancel,
            key_affinity: settings.key_affinity,
            max_retry_after: settings.max_retry_after,
            key_cooldown: settings.key_cooldown,
        }
    }
}
