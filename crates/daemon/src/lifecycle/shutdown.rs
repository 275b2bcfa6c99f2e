//! Runs the graceful shutdown: waits until the last client has disconnected, or until the exit deadline.

use crate::clock::until;
use crate::lifecycle::graceful_shutdown::ACCEPT_GRACE;
use crate::lifecycle::state_store::StateStore;
use crate::net::socket_budget::{SocketBudget, SocketClass};
use std::future::Future;
use std::time::Duration;
use tokio::select;
use tokio::time::sleep;

/// Interval of checks for open client connections.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Drains the process after SIGTERM. Returns when the `accepting` task has ended and the last client has disconnected,
/// or at the exit deadline. `longest_rpc` is the longest deadline of any method; `None` if a method has no deadline.
pub(crate) async fn drain(
    state_store: &StateStore,
    longest_rpc: Option<Duration>,
    accepting: impl Future,
    budget: &SocketBudget,
) {
    state_store.begin_shutdown(longest_rpc.unwrap_or(Duration::MAX));
    log_start(state_store);
    let exit_deadline = state_store.current().exit_deadline();
    select! {
        () = last_client_disconnected(accepting, budget) => {}
        () = until(exit_deadline) => {}
    }
    log::info!(
        "graceful shutdown ended: exiting with {} client connections open",
        budget.open_sockets(SocketClass::Clients)
    );
}

fn log_start(state_store: &StateStore) {
    if state_store.current().has_successor() {
        log::info!("SIGTERM received: draining, a sibling process accepts new connections");
    } else {
        log::info!(
            "SIGTERM received: draining, accepting new connections for another {} s",
            ACCEPT_GRACE.as_secs_f64()
        );
    }
}

/// Waits until the `accepting` task has ended and no client connection is open.
async fn last_client_disconnected(accepting: impl Future, budget: &SocketBudget) {
    accepting.await;
    while budget.open_sockets(SocketClass::Clients) > 0 {
        sleep(CLIENT_CHECK_INTERVAL).await;
    }
}
