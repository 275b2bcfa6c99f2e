//! When a process that starts becomes ready, and when it begins to accept clients.

use crate::config::file::Config;
use crate::downstream::listener::Listener;
use crate::lifecycle::siblings::ProcessGroup;
use crate::lifecycle::state_store::{SIBLING_POLL_INTERVAL, StateStore};
use crate::net::socket_budget::SocketBudget;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Where endpoint lists are pushed, for the agent's first message; one that sends nothing has nothing new.
const AGENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Looks of a sibling at this process before it begins to accept: until then the sibling makes room for its sockets.
const SIBLING_LOOKS: u32 = 2;

/// Joins the processes of this proxy, where it may have several: on an inherited socket, or with administrators.
pub(crate) fn join_process_group(config: &Config, inherited: bool) -> Option<ProcessGroup> {
    if !inherited && config.management.is_none() {
        return None;
    }
    ProcessGroup::open(&config.name)
        .inspect_err(|error| log::warn!("nothing is shared with sibling processes: {error}"))
        .ok()
}

/// Follows the siblings, and leaves them their part of the sockets while they run.
pub(crate) async fn share_sockets(budget: Rc<SocketBudget>, state_store: Rc<StateStore>) {
    let mut state = state_store.subscribe();
    let divide = async {
        loop {
            let siblings = state.borrow_and_update().siblings.alive;
            budget.divide(siblings + 1);
            let changed = state.wait_for(|state| state.siblings.alive != siblings);
            if changed.await.is_err() {
                return;
            }
        }
    };
    tokio::join!(state_store.follow_siblings(), divide);
}

/// Makes the process ready by the cached endpoint list, if there is one: it is enough to decide by. Where lists are
/// pushed the agent's first one comes before, if it comes in time. Without a cached list the first answer of discovery
/// is waited for.
pub(crate) fn use_cached_endpoints(config: &Config, state_store: &Rc<StateStore>, pushed: bool) {
    let Some(cached) = &config.cached_endpoints else {
        return;
    };
    if cached.listed.is_empty() {
        return;
    }
    let names = cached.listed.iter().map(|endpoint| endpoint.uid.as_str());
    state_store.record_listed_names(names);
    let state_store = state_store.clone();
    spawn_local(async move {
        if pushed {
            sleep(AGENT_TIMEOUT).await;
        }
        state_store.set_ready();
    });
}

/// Accepts clients: at once on an own socket, where the health check tells what is missing; on an inherited one once
/// RPCs can be decided and the siblings have made room.
pub(crate) async fn accept_clients(
    listener: Listener,
    socket: TcpListener,
    state_store: Rc<StateStore>,
    pushed: bool,
) {
    let (inherited, siblings) = {
        let state = state_store.current();
        (state.inherited_listener, state.siblings.alive)
    };
    if pushed {
        let mut state = state_store.subscribe();
        let _ = timeout(AGENT_TIMEOUT, state.wait_for(|state| state.ready)).await;
    }
    if inherited {
        let mut state = state_store.subscribe();
        let _ = state
            .wait_for(|state| state.ready || state.shutdown.is_some())
            .await;
    }
    if siblings > 0 {
        sleep(SIBLING_POLL_INTERVAL * SIBLING_LOOKS).await;
    }
    state_store.set_accepting();
    Rc::new(listener).run(socket).await;
}
