//! The start of a process: joining the process group, becoming ready, and accepting clients.

use crate::config::file::Config;
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
use tokio::time::{sleep, timeout};

/// Time for which connections wait to be accepted while the first list from a local agent is awaited, which usually takes a
/// few milliseconds. RPCs on accepted connections are rejected until then.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(500);
/// Time from the start until a process is ready even without an endpoint list. Nine in ten restarted processes must be
/// ready within 10 s, of which a slow start and the next health check need a part.
const MAX_ENDPOINTS_WAIT: Duration = Duration::from_secs(9);
/// The same for a process that replaces another one, which must accept clients within 6 s.
const MAX_ENDPOINTS_WAIT_AT_REPLACEMENT: Duration = Duration::from_secs(5);
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

/// Records the names in the cached endpoint list. Where lists are polled, the list makes the process ready. Otherwise, and
/// without a cached list, the first response of discovery makes it ready, or the limit of [`limit_endpoints_wait`].
pub(crate) fn use_cached_endpoints(
    config: &Config,
    state_store: &StateStore,
    lists_are_pushed: bool,
) {
    let Some(cached) = &config.cached_endpoints else {
        return;
    };
    if cached.endpoints.is_empty() {
        return;
    }
    let names = cached
        .endpoints
        .iter()
        .map(|endpoint| endpoint.uid.as_str());
    state_store.record_listed_names(names);
    if !lists_are_pushed {
        state_store.record_endpoint_list();
    }
}

/// Makes the process ready at the latest time that is allowed, if it has no endpoint list by then. It rejects RPCs until it
/// has one, since any list but that of discovery may name backends that are draining.
pub(crate) async fn limit_endpoints_wait(state_store: Rc<StateStore>) {
    let replaces_a_process = state_store.current().siblings.alive > 0;
    let max_wait = if replaces_a_process {
        MAX_ENDPOINTS_WAIT_AT_REPLACEMENT
    } else {
        MAX_ENDPOINTS_WAIT
    };
    let mut state = state_store.subscribe();
    let has_endpoints = state.wait_for(|state| state.has_endpoints);
    if timeout(max_wait, has_endpoints).await.is_err() {
        log::warn!(
            "no endpoint list after {} s: ready without backends, RPCs are rejected until discovery responds",
            max_wait.as_secs()
        );
        state_store.set_ready();
    }
}

/// Accepts clients. On a socket that it has bound itself, the process accepts at once and its health check reports
/// whether it is ready. On an inherited socket, it accepts once it is ready. With siblings, it first gives them time to
/// reduce their socket budgets.
pub(crate) async fn accept_clients(
    listener: Listener,
    socket: TcpListener,
    state_store: Rc<StateStore>,
    lists_are_pushed: bool,
) {
    let inherited = state_store.current().inherited_listener;
    let siblings = state_store.current().siblings.alive;
    if lists_are_pushed {
        await_ready(&state_store).await;
    }
    if inherited {
        await_ready_or_shutdown(&state_store).await;
    }
    if siblings > 0 {
        sleep(SIBLING_POLL_INTERVAL * SIBLING_WAIT_POLLS).await;
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
