//! The deadlines that SIGTERM sets.
//!
//! Counted from SIGTERM: for [`ACCEPT_GRACE`] connections are still accepted, then the longest RPC may take its time,
//! and [`FLUSH_GRACE`] later the process exits, whoever is still connected.

use std::time::Duration;
use tokio::time::Instant;

/// For which connections are accepted after SIGTERM without a successor: they still come for up to 0.4 s.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// The longest time that an RPC is granted: SIGKILL comes 0.7 s after the longest deadline, or after this if shorter.
const MAX_RPC_TIME: Duration = Duration::from_secs(3);
/// For the last responses to leave before the process exits, still ahead of SIGKILL.
const FLUSH_GRACE: Duration = Duration::from_millis(100);

/// A shutdown under way: when SIGTERM came, and how long an RPC may take from then on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GracefulShutdown {
    started_at: Instant,
    longest_rpc: Duration,
}

impl GracefulShutdown {
    /// A shutdown that starts now; `longest_rpc` is the longest deadline that the settings know.
    pub(crate) fn start(longest_rpc: Duration) -> Self {
        Self {
            started_at: Instant::now(),
            longest_rpc: longest_rpc.min(MAX_RPC_TIME),
        }
    }

    /// Until when connections are accepted: no longer than SIGTERM if a successor accepts them.
    pub(crate) fn accept_deadline(&self, has_successor: bool) -> Instant {
        if has_successor {
            self.started_at
        } else {
            self.idle_deadline()
        }
    }

    /// By when an idle connection is closed.
    pub(crate) fn idle_deadline(&self) -> Instant {
        self.started_at + ACCEPT_GRACE
    }

    /// By when every RPC has its response.
    pub(crate) fn response_deadline(&self) -> Instant {
        self.idle_deadline() + self.longest_rpc
    }

    /// By when the process exits.
    pub(crate) fn exit_deadline(&self) -> Instant {
        self.response_deadline() + FLUSH_GRACE
    }
}
