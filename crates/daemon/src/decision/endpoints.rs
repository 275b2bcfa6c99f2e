//! The registry of backends: applies updates of the endpoint list, and starts and stops the endpoint actors.
use crate::clock::Clock;
use crate::decision::endpoint_ids::EndpointIds;
use crate::decision::list_confirmation::ListConfirmation;
use crate::decision::start_times::StartTime;
use crate::discovery::source::DiscoverySource;
use crate::discovery::update::{EndpointUpdate, ListedEndpoint};
use crate::event_loop::WorkQueue;
use crate::invariants::Invariants;
use crate::lifecycle::admin_state::{AdminState, EndpointStatus};
use crate::net::socket_budget::SocketBudget;
use crate::upstream::endpoint::{ConnectionTimeouts, EndpointHandle, EndpointResources};
use crate::upstream::endpoint_state::{BackendProcess, EndpointInfo};
use crate::upstream::exchange::Exchange;
use birchhub::interface::{Endpoint, EndpointUpdateKind, Readiness};
use birchhub_settings::ParsedSettings;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Relative size of every backend if the endpoint list does not contain sizes.
const DEFAULT_RELATIVE_SIZE: f64 = 1.0;

/// The backends of this process.
pub(super) struct EndpointRegistry {
    /// The endpoint actors of the listed backends, by backend id. An actor ends when its handle is dropped.
    handles: HashMap<u32, EndpointHandle>,
    /// The ids of the listed and recently removed backends.
    ids: EndpointIds,
    /// The last list entry of each backend that is not removed, by uid.
    listed: HashMap<String, ListedEndpoint>,
    /// Version of the last list that discovery sent to this process or to a sibling; `None` while only the cached list is
    /// known.
    version: Option<u64>,
    /// Whether the list may be used.
    confirmation: ListConfirmation,
    /// The names of the zones in the settings.
    zones: Vec<String>,
    /// Whether the endpoint list contains the sizes of the backends.
    lists_sizes: bool,
    /// What the endpoint actors share.
    resources: EndpointResources,
}

impl EndpointRegistry {
    /// Creates a registry without backends.
    pub(super) fn new(
        settings: &ParsedSettings,
        budget: Rc<SocketBudget>,
        work: Rc<WorkQueue>,
        invariants: Rc<Invariants>,
    ) -> Self {
        Self {
            handles: HashMap::new(),
            ids: EndpointIds::default(),
            listed: HashMap::new(),
            version: None,
            confirmation: ListConfirmation::at_start(DiscoverySource::of(&settings.settings)),
            zones: settings.zones.clone(),
            lists_sizes: settings.lists_endpoint_sizes,
            resources: EndpointResources {
                timeouts: ConnectionTimeouts {
                    connect: Duration::from_secs_f64(settings.connect_timeout),
                    idle: Duration::from_secs_f64(settings.idle_timeout),
                },
                budget,
                work,
                comparison: Rc::default(),
                invariants,
            },
        }
    }

    /// Sends an exchange to the actor of a backend. Drops it if the backend is not listed or its mailbox is full.
    pub(super) fn send(&self, backend: u32, exchange: Exchange) {
        if let Some(handle) = self.handles.get(&backend) {
            let _ = handle.mailbox.try_send(Box::new(exchange));
        }
    }

    /// Returns the address of a listed backend.
    pub(super) fn address(&self, backend: u32) -> Option<SocketAddr> {
        let handle = self.handles.get(&backend)?;
        Some(handle.info.borrow().process.address)
    }

    /// Returns the list entries of the backends with these uids, without those that are not listed.
    pub(super) fn listed<'a>(&self, uids: impl Iterator<Item = &'a String>) -> Vec<ListedEndpoint> {
        uids.filter_map(|uid| self.listed.get(uid))
            .cloned()
            .collect()
    }

    /// Returns the list entries of all backends, by uid.
    pub(super) fn all_listed(&self) -> Vec<ListedEndpoint> {
        let mut listed: Vec<_> = self.listed.values().cloned().collect();
        listed.sort_unstable_by(|a, b| a.uid.cmp(&b.uid));
        listed
    }

    /// Returns the version of the last list that discovery sent to this process or to a sibling; `None` while only the
    /// cached list is known.
    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Records the version of a list that discovery sent to this process or to a sibling.
    pub(super) fn set_version(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Returns whether the list may be used.
    pub(super) fn confirmation(&self) -> ListConfirmation {
        self.confirmation
    }

    /// Sets whether the list may be used. Applies to the entries of all later updates.
    pub(super) fn set_confirmation(&mut self, confirmation: ListConfirmation) {
        self.confirmation = confirmation;
    }

    /// Returns the snapshot that results from applying changes to the list.
    pub(super) fn snapshot_with(&self, changes: EndpointUpdate) -> EndpointUpdate {
        let changed: HashSet<_> = changes
            .endpoints
            .iter()
            .map(|listed| listed.uid.as_str())
            .collect();
        let mut endpoints = self.all_listed();
        endpoints.retain(|listed| !changed.contains(listed.uid.as_str()));
        endpoints.extend(changes.endpoints);
        endpoints.retain(|listed| listed.readiness != Readiness::Removed);
        EndpointUpdate {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
            ..changes
        }
    }

    /// Applies an update of the endpoint list. Returns its endpoints as the balancer takes them.
    pub(super) fn apply(
        &mut self,
        update: &EndpointUpdate,
        admin: &AdminState,
        clock: &Clock,
    ) -> Vec<Endpoint> {
        let is_snapshot = update.kind.is_snapshot();
        if is_snapshot {
            self.drop_unlisted(update);
        }
        let now = Instant::now();
        let endpoints = update
            .endpoints
            .iter()
            .map(|listed| self.apply_endpoint(listed, update.changed_since, admin, clock))
            .collect();
        let handles = &self.handles;
        let is_listed = |id| handles.contains_key(&id);
        if is_snapshot {
            self.ids.mark_unlisted_removed(is_listed);
        }
        self.ids.drop_expired(now, is_listed);
        endpoints
    }

    /// Drops the backends that are not in a snapshot, which ends their actors.
    fn drop_unlisted(&mut self, snapshot: &EndpointUpdate) {
        let uids: HashSet<_> = snapshot
            .endpoints
            .iter()
            .map(|listed| listed.uid.as_str())
            .collect();
        self.listed.retain(|uid, _| uids.contains(uid.as_str()));
        let ids = self.ids.ids_of(uids.into_iter());
        self.handles.retain(|id, _| ids.contains(id));
    }

    fn apply_endpoint(
        &mut self,
        listed: &ListedEndpoint,
        changed_since: Option<Instant>,
        admin: &AdminState,
        clock: &Clock,
    ) -> Endpoint {
        self.record_listed(listed);
        // Maintenance and an unconfirmed list override the entry here only: all code below uses the effective status.
        let EndpointStatus {
            readiness,
            started_at_ms,
        } = admin.effective_status(
            &listed.uid,
            EndpointStatus {
                readiness: listed.readiness,
                started_at_ms: listed.started_at_ms,
            },
        );
        let convert_start = || StartTime::convert(started_at_ms, changed_since, clock);
        let readiness = self.usable_readiness(readiness);
        let known = self.ids.get_or_assign(&listed.uid, convert_start);
        if !known.start.was_converted_from(started_at_ms) {
            known.start = convert_start();
        }
        let backend = known.id;
        let started_at = known.start.seconds();
        if readiness == Readiness::Removed {
            self.handles.remove(&backend);
            self.ids.mark_removed(&listed.uid);
        } else {
            let info = EndpointInfo {
                process: BackendProcess {
                    address: listed.address,
                    started_at_ms,
                },
                ready: readiness == Readiness::Ready,
            };
            self.start_or_update(backend, info);
        }
        Endpoint {
            backend,
            relative_size: if self.lists_sizes {
                listed.size
            } else {
                DEFAULT_RELATIVE_SIZE
            },
            started_at,
            cell: cell_of(listed, backend),
            zone: self.zone_of(listed, backend),
            readiness,
        }
    }

    /// Returns the readiness of a backend that would be ready if its list entry was up to date.
    fn usable_readiness(&self, readiness: Readiness) -> Readiness {
        match readiness {
            Readiness::Ready if !self.confirmation.is_usable() => Readiness::Draining,
            readiness => readiness,
        }
    }

    fn record_listed(&mut self, listed: &ListedEndpoint) {
        if listed.readiness == Readiness::Removed {
            self.listed.remove(&listed.uid);
        } else {
            self.listed.insert(listed.uid.clone(), listed.clone());
        }
    }

    /// Starts the actor of a backend, or sends the backend's process and readiness to the actor that runs.
    fn start_or_update(&mut self, backend: u32, info: EndpointInfo) {
        if let Some(handle) = self.handles.get(&backend) {
            handle.info.send_replace(info);
        } else {
            let handle = EndpointHandle::start(info, self.resources.clone());
            self.handles.insert(backend, handle);
        }
    }

    /// Returns the index of a backend's zone. A backend whose zone is not in the settings has an index of its own.
    fn zone_of(&self, listed: &ListedEndpoint, backend: u32) -> usize {
        self.zones
            .iter()
            .position(|zone| *zone == listed.zone)
            .unwrap_or(self.zones.len() + backend as usize)
    }
}

/// Returns the cell of a backend. A backend without a listed cell has a cell of its own: no other backend is known to
/// recognise retries of its requests as duplicates.
fn cell_of(listed: &ListedEndpoint, backend: u32) -> u64 {
    listed.cell.unwrap_or(u64::MAX - u64::from(backend))
}
