//! The start of a process: joining the process group, becoming ready, and accepting clients.

use crate::config::file::Config;
use crate::discovery::source::DiscoverySource;
use crate::downstream::listener::Listener;
use crate::downstream::request_ids::RequestIdTable;
use crate::lifecycle::process_group::ProcessGroup;
use crate::lifecycle::state::ProxyState;
use crate::lifecycle::state_store::{SIBLING_POLL_INTERVAL, StateStore};
use crate::net::socket_budget::SocketBudget;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// Time for which connections wait to be accepted while the first list from a local agent is awaited, which usually takes a
/// few milliseconds. RPCs on accepted connections are rejected until then.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(500);
/// Number of poll intervals for which this process waits before it accepts clients if it has siblings, which reduce
/// their socket budgets in this time.
const SIBLING_WAIT_POLLS: u32 = 2;

/// Joins the process group of this proxy. Returns `None` if the proxy has neither an inherited socket nor an admin API,
/// so that no other process can run beside this one, or if the group is unavailable.
pub(crate) fn join_process_group(config: &Config, inherited: bool) -> Option<ProcessGroup> {
    if !inherited && config.admin_address.is_none() {
        return None;
    }
    ProcessGroup::open(&config.name)
        .inspect_err(|error| {
            log::warn!("process group unavailable, running without sibling processes: {error}")
        })
        .ok()
}

/// Opens the table of `Request-Id`s that the processes of the group share; one of this process without a group, or where
/// files can't be mapped.
pub(crate) fn open_request_ids(process_group: Option<&ProcessGroup>) -> RequestIdTable {
    let Some(group) = process_group else {
        return RequestIdTable::private();
    };
    RequestIdTable::open(&group.request_ids_path()).unwrap_or_else(|error| {
        log::warn!("request ids are not shared with sibling processes: {error}");
        RequestIdTable::private()
    })
}

/// Polls the siblings, and divides the socket budget among all running processes of the proxy.
pub(crate) async fn share_sockets(budget: Rc<SocketBudget>, state_store: Rc<StateStore>) {
    tokio::join!(
        state_store.follow_siblings(),
        divide_budget(&budget, state_store.subscribe())
    );
}

/// Divides the socket budget now, and again whenever the number of running siblings changes.
async fn divide_budget(budget: &SocketBudget, mut state: watch::Receiver<ProxyState>) {
    loop {
        let siblings = state.borrow_and_update().siblings.alive;
        budget.divide(siblings + 1);
        let changed = state.wait_for(|state| state.siblings.alive != siblings);
        if changed.await.is_err() {
            return;
        }
    }
}

/// Accepts clients. On a socket that it has bound itself, the process accepts at once and its health check reports
/// whether it is ready. On an inherited socket, it accepts once it is ready. With siblings, it first gives them time since its
/// start to reduce their socket budgets.
pub(crate) async fn accept_clients(
    listener: Listener,
    socket: TcpListener,
    state_store: Rc<StateStore>,
    source: DiscoverySource,
) {
    let inherited = state_store.current().inherited_listener;
    let siblings = state_store.current().siblings.alive;
    let siblings_informed_at = Instant::now() + SIBLING_POLL_INTERVAL * SIBLING_WAIT_POLLS;
    if source == DiscoverySource::LocalAgent {
        await_ready(&state_store).await;
    }
    if inherited {
        await_ready_or_shutdown(&state_store).await;
    }
    if siblings > 0 {
        sleep_until(siblings_informed_at).await;
    }
    state_store.set_accepting();
    Rc::new(listener).run(socket).await;
}

/// Waits until the process is ready, for [`MAX_ACCEPT_DELAY`] at most.
async fn await_ready(state_store: &StateStore) {
    let mut state = state_store.subscribe();
    let _ = timeout(MAX_ACCEPT_DELAY, state.wait_for(|state| state.ready)).await;
}

/// Waits until the process is ready or shuts down.
async fn await_ready_or_shutdown(state_store: &StateStore) {
    let mut state = state_store.subscribe();
    let _ = state
        .wait_for(|state| state.ready || state.shutdown.is_some())
        .await;
}
