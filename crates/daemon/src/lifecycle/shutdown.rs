//! Graceful shutdown: the deadlines that SIGTERM sets, and the wait for the last client.
//!
//! Counted from SIGTERM: for [`ACCEPT_GRACE`] connections are still accepted, then the longest RPC may take its time,
//! and [`FLUSH_GRACE`] later the process exits, whoever is still connected.

use crate::clock::until;
use crate::lifecycle::state_store::StateStore;
use crate::net::socket_budget::{SocketBudget, SocketClass};
use std::future::Future;
use std::time::Duration;
use tokio::select;
use tokio::time::{Instant, sleep};

/// For which connections are accepted after SIGTERM without a successor: they still come for up to 0.4 s.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// The longest time that an RPC is granted: SIGKILL comes 0.7 s after the longest deadline, or after this if shorter.
const MAX_RPC_TIME: Duration = Duration::from_secs(3);
/// For the last responses to leave before the process exits, still ahead of SIGKILL.
const FLUSH_GRACE: Duration = Duration::from_millis(100);
/// Between checks of whether the last client has disconnected.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

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

/// Starts the shutdown after SIGTERM and waits until the listener has ended and the last client has disconnected, or
/// until the exit deadline.
pub(crate) async fn drain(
    state_store: &StateStore,
    longest_rpc: Option<Duration>,
    accepting: impl Future,
    budget: &SocketBudget,
) {
    state_store.begin_shutdown(longest_rpc.unwrap_or(Duration::MAX));
    if state_store.current().has_successor() {
        log::info!("SIGTERM: stops accepting, a sibling process accepts");
    } else {
        log::info!("SIGTERM: keeps accepting the connections that still come");
    }
    let exit_deadline = state_store.current().exit_deadline();
    let last_client_left = async {
        accepting.await;
        while budget.open_sockets(SocketClass::Clients) > 0 {
            sleep(CLIENT_CHECK_INTERVAL).await;
        }
    };
    select! {
        () = last_client_left => {}
        () = until(exit_deadline) => {}
    }
    log::info!(
        "ends with {} client connections open",
        budget.open_sockets(SocketClass::Clients)
    );
}
