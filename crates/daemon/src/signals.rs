//! The signals that the process handles.

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the flags are polled. Flags are used because they can't lose a signal, whereas a pipe to the event
/// loop can if its system calls are interrupted.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A flag that is set by a signal. The signal has its default action until the flag is created.
pub(crate) struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    fn subscribe(signal: i32) -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        flag::register(signal, flag.clone())?;
        Ok(Self(flag))
    }

    /// Waits until the signal has been received since the last call of this function. Several signals count as one.
    pub(crate) async fn received(&self) {
        while !self.0.swap(false, Ordering::Relaxed) {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// The flags of all handled signals.
pub(crate) struct Signals {
    /// SIGTERM starts a graceful shutdown.
    pub terminate: SignalFlag,
    /// SIGHUP reloads the configuration.
    pub reload: SignalFlag,
}

impl Signals {
    /// Creates the flags.
    ///
    /// # Errors
    ///
    /// Returns an error if a signal handler can't be installed.
    pub(crate) fn subscribe() -> io::Result<Self> {
        Ok(Self {
            terminate: SignalFlag::subscribe(SIGTERM)?,
            reload: SignalFlag::subscribe(SIGHUP)?,
        })
    }
}
