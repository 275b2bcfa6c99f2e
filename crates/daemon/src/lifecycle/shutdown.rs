//! The shutdown after SIGTERM: the wait for the last client.

use crate::clock::until;
use crate::lifecycle::state_store::StateStore;
use crate::net::socket_budget::{SocketBudget, SocketClass};
use std::future::Future;
use std::time::Duration;
use tokio::select;
use tokio::time::sleep;

/// Between checks of whether the last client has disconnected.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

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
