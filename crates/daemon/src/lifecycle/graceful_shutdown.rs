//! The deadlines of a graceful shutdown, counted from SIGTERM.
//!
//! Connections are accepted for [`ACCEPT_GRACE`], then RPCs may complete within the longest deadline of any method.
//! [`FLUSH_GRACE`] later the process exits, even if clients are still connected.

use std::time::Duration;
use tokio::time::Instant;

/// Time after SIGTERM for which connections are accepted if there is no successor. New connections arrive for up to
/// 0.4 s.
pub(super) const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// Upper bound of the time that RPCs are given to complete. SIGKILL follows 0.7 s after the longest deadline of any
/// method, or 0.7 s after this bound if that is shorter.
const MAX_RPC_TIME: Duration = Duration::from_secs(3);
/// Time between the response deadline and the exit, in which responses are flushed. The process exits before SIGKILL.
const FLUSH_GRACE: Duration = Duration::from_millis(100);

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GracefulShutdown {
    started_at: Instant,
    /// Time that RPCs are given to complete after the last connection is accepted.
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

    /// Returns the time from which on no connections are accepted: the time of SIGTERM if a successor accepts them.
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

    /// Returns the time by which every RPC has a response.
    pub(crate) fn response_deadline(&self) -> Instant {
        self.idle_deadline() + self.longest_rpc
    }

    /// Returns the time at which the process exits.
    pub(crate) fn exit_deadline(&self) -> Instant {
        self.response_deadline() + FLUSH_GRACE
    }
}
