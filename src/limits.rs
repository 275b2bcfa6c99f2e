//! Settings that restrict decisions directly, without deriving anything from them.
use crate::interface::Settings;

/// Limits of the deployment, copied from the fields of [`Settings`] with the same names.
#[derive(Default)]
pub(crate) struct Limits {
    /// Maximum number of attempts per RPC.
    pub max_attempts: usize,
    /// Whether an RPC may have two attempts in flight.
    pub can_hedge: bool,
    /// Whether an attempt in flight may be cancelled.
    pub can_cancel: bool,
    /// Whether cells cache data by key, so that the RPCs with a key are sent to a few cells only.
    pub key_affinity: bool,
    /// Longest `retry_after` that clients honour, in seconds.
    pub max_retry_after: f64,
    /// Cooldown of a key after an attempt that may still be running, in seconds.
    pub key_cooldown: f64,
}

impl Limits {
    /// Returns the limits from these settings.
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
