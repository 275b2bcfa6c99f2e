//! The signals that a process follows.

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Between looks at whether a signal has come. A flag can't be lost or fail, as a pipe to the event loop can when its
/// calls are interrupted.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// A subscription to one signal, which acts by default until this is made.
pub(crate) struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    fn subscribe(signal: i32) -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        flag::register(signal, flag.clone())?;
        Ok(Self(flag))
    }

    /// Waits until the signal has come since the last time; once, however often it came.
    pub(crate) async fn received(&self) {
        while !self.0.swap(false, Ordering::Relaxed) {
            sleep(LOOK_INTERVAL).await;
        }
    }
}

/// Subscriptions to the signals.
pub(crate) struct Signals {
    /// SIGTERM: shut down.
    pub terminate: SignalFlag,
    /// SIGHUP: reload the configuration.
    pub reload: SignalFlag,
}

impl Signals {
    /// Subscribes to the signals.
    pub(crate) fn subscribe() -> io::Result<Self> {
        Ok(Self {
            terminate: SignalFlag::subscribe(SIGTERM)?,
            reload: SignalFlag::subscribe(SIGHUP)?,
        })
    }
}
