//! The signals that a process follows.

use crate::lifecycle::start_error::StartError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Subscriptions to the signals, which act by default until this is made.
pub(crate) struct Signals {
    /// SIGTERM: shut down.
    pub terminate: Signal,
    /// SIGHUP: reload the configuration.
    pub reload: Signal,
}

impl Signals {
    /// Subscribes to the signals.
    pub(crate) fn subscribe() -> Result<Self, StartError> {
        let subscribe = |kind| signal(kind).map_err(StartError::Signals);
        Ok(Self {
            terminate: subscribe(SignalKind::terminate())?,
            reload: subscribe(SignalKind::hangup())?,
        })
    }
}
