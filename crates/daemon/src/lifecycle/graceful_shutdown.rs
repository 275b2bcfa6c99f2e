//! The deadlines of a graceful shutdown, counted from SIGTERM.
//!
//! Connections are accepted for [`ACCEPT_GRACE`], the longest RPC may then take its time, and [`FLUSH_GRACE`] later the
//! process exits, even if clients are still connected.

use std::time::Duration;
use tokio::time::Instant;

/// Time after SIGTERM for which connections are accepted without a successor. New connections arrive for up to 0.4 s.
pub(super) const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// Upper bound of the time that an RPC is granted. SIGKILL follows 0.7 s after the longest deadline of any method or,
/// if that deadline is longer than this bound, 0.7 s after this bound.
const MAX_RPC_TIME: Duration = Duration::from_secs(3);
/// Time between the last response and the exit, in which the response is flushed. The exit is still ahead of SIGKILL.
const FLUSH_GRACE: Duration = Duration::from_millis(100);

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GracefulShutdown {
    started_at: Instant,
    /// Time that an RPC is granted after connections are no longer accepted.
    longest_rpc: Duration,
}

impl GracefulShutdown {
    /// Starts a shutdown now. `longest_rpc` is the longest deadline of any method.
    pub(crate) fn start(longest_rpc: Duration) -> Self {
        Self {
            started_at: Instant::now(),
            longest_rpc: longest_rpc.min(MAX_RPC_TIME),
        }
    }

    /// Returns the time at which connections are no longer accepted: that of SIGTERM if a successor accepts them.
    pub(crate) fn accept_deadline(&self, has_successor: bool) -> Instant {
        if has_successor {
            self.started_at
        } else {
            self.idle_deadline()
        }
    }

    /// Returns the time at which idle connections are closed.
    pub(crate) fn idle_deadline(&self) -> Instant {
        self.started_at + ACCEPT_GRACE
    }

    /// Returns the time by which every RPC is answered.
    pub(crate) fn response_deadline(&self) -> Instant {
        self.idle_deadline() + self.longest_rpc
    }

    /// Returns the time at which the process exits.
    pub(crate) fn exit_deadline(&self) -> Instant {
        self.response_deadline() + FLUSH_GRACE
    }
}
