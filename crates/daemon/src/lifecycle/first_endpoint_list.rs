//! The wait for the first endpoint list of a process: the cached one, that of a sibling process, or that of discovery.

use crate::config::file::Config;
use crate::discovery::source::DiscoverySource;
use crate::discovery::update::EndpointUpdate;
use crate::lifecycle::state_store::StateStore;
use crate::messages::Event;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time from the start until a restarted process is ready even without an endpoint list that it may use. Restarted processes
/// must be ready within 10 s, on short days within 6 s, and one that replaces another must accept clients within 6 s.
const MAX_WAIT_AT_RESTART: Duration = Duration::from_secs(5);
/// The same for a process that has neither a cached list nor a sibling, as at the first start of a proxy. Each process must
/// be ready within 30 s, and clients come once all are ready.
const MAX_WAIT_AT_FIRST_START: Duration = Duration::from_secs(25);
/// Time for which a process that polls discovery waits for the list of a sibling before it uses its cached one.
const MAX_HANDOVER_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a process that starts looks for the list of a sibling.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Records the names in the cached endpoint list. Where lists are polled, the list makes the process ready, with siblings
/// only if none hands over a newer one. Otherwise, and without a cached list, the first response of discovery makes it ready,
/// the list of a sibling, or the limit of [`limit_endpoints_wait`].
pub(crate) fn use_cached_endpoints(
    config: &Config,
    state_store: &Rc<StateStore>,
    source: DiscoverySource,
) {
    let Some(cached) = config.cached_endpoints.endpoints() else {
        return;
    };
    let names = cached.iter().map(|endpoint| endpoint.uid.as_str());
    state_store.record_listed_names(names);
    match source {
        DiscoverySource::CentralService => {
            drop(spawn_local(use_after_handover(state_store.clone())))
        }
        DiscoverySource::LocalAgent => {
            log::info!("the cached endpoint list is not used until the agent responds");
        }
    }
}

/// Makes the process ready with its cached list, with siblings once one has handed over a newer list or
/// [`MAX_HANDOVER_WAIT`] is over.
async fn use_after_handover(state_store: Rc<StateStore>) {
    if state_store.current().siblings.alive > 0 {
        let mut state = state_store.subscribe();
        let handover = state.wait_for(|state| state.has_endpoints);
        let _ = timeout(MAX_HANDOVER_WAIT, handover).await;
    }
    state_store.record_endpoint_list();
}

/// Sends the endpoint list that a sibling hands over to the decision actor. Without siblings, or after the time that a
/// process waits for a list, returns without one.
pub(crate) async fn take_over_endpoints(
    state_store: Rc<StateStore>,
    decision_actor: mpsc::Sender<Event>,
) {
    if state_store.current().siblings.alive == 0 {
        return;
    }
    let list = timeout(MAX_WAIT_AT_RESTART, handed_over_list(&state_store)).await;
    match list.as_deref().map(EndpointUpdate::parse) {
        Ok(Ok(update)) => drop(
            decision_actor
                .send(Event::EndpointsHandedOver(update))
                .await,
        ),
        Ok(Err(error)) => log::warn!("ignoring the endpoint list of a sibling process: {error}"),
        Err(_) => log::info!("no endpoint list from a sibling process"),
    }
}

async fn handed_over_list(state_store: &StateStore) -> String {
    loop {
        if let Some(list) = state_store.handed_over_endpoint_list() {
            return list;
        }
        sleep(HANDOVER_POLL_INTERVAL).await;
    }
}

/// Makes the process ready at the latest time that is allowed, if it has no endpoint list that it may use by then. It rejects
/// RPCs until it has one, since any list but that of discovery may name backends that are draining.
pub(crate) async fn limit_endpoints_wait(config: Arc<Config>, state_store: Rc<StateStore>) {
    let has_sibling = state_store.current().siblings.alive > 0;
    let max_wait = if has_sibling || config.cached_endpoints.endpoints().is_some() {
        MAX_WAIT_AT_RESTART
    } else {
        MAX_WAIT_AT_FIRST_START
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
