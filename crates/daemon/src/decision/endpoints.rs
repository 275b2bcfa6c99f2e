//! The backends: their numbers by uid, their endpoint actors, and how updates of the endpoint list change them.
use crate::clock::Clock;
use crate::decision::start_times::StartTime;
use crate::discovery::update::{EndpointUpdate, ListedEndpoint};
use crate::invariants::Invariants;
use crate::lifecycle::admin_state::{AdminState, EndpointStatus};
use crate::net::socket_budget::SocketBudget;
use crate::upstream::endpoint::{ConnectionLimits, EndpointHandle};
use crate::upstream::endpoint_state::EndpointInfo;
use crate::upstream::exchange::Exchange;
use birchhub::interface::{Endpoint, Readiness};
use birchhub_settings::ParsedSettings;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// For which a backend that was removed keeps its number: one that comes and goes stays the same backend.
const FORGET_AFTER: Duration = Duration::from_secs(2);

/// The number by which the decisions know a backend, and when it started.
struct KnownBackend {
    number: u32,
    last_listed: Instant,
    start: StartTime,
}

/// All that the daemon knows of the backends.
pub(super) struct EndpointRegistry {
    /// The actors of the backends that are listed, by number; each ends when it is dropped here.
    handles: HashMap<u32, EndpointHandle>,
    /// By uid; also those of backends that were removed lately.
    numbers: HashMap<String, KnownBackend>,
    /// The uids in `numbers` that are not in the list, to be forgotten in time.
    removed: HashSet<String>,
    next_number: u32,
    /// The last line of each backend that was not removed, by uid.
    listed: HashMap<String, ListedEndpoint>,
    zones: Vec<String>,
    lists_sizes: bool,
    limits: ConnectionLimits,
    budget: Rc<SocketBudget>,
    invariants: Rc<Invariants>,
}

impl EndpointRegistry {
    /// A registry without backends.
    pub(super) fn new(
        settings: &ParsedSettings,
        budget: Rc<SocketBudget>,
        invariants: Rc<Invariants>,
    ) -> Self {
        Self {
            handles: HashMap::new(),
            numbers: HashMap::new(),
            removed: HashSet::new(),
            next_number: 0,
            listed: HashMap::new(),
            zones: settings.zones.clone(),
            lists_sizes: settings.lists_endpoint_sizes,
            limits: ConnectionLimits {
                connect: Duration::from_secs_f64(settings.connect_timeout),
                idle: Duration::from_secs_f64(settings.idle_timeout),
            },
            budget,
            invariants,
        }
    }

    /// Hands an exchange to a backend; dropped where the backend has gone or its mailbox is full.
    pub(super) fn send(&self, backend: u32, exchange: Exchange) {
        if let Some(handle) = self.handles.get(&backend) {
            let _ = handle.mailbox.try_send(Box::new(exchange));
        }
    }

    /// Where a backend listens, if it is listed.
    pub(super) fn address(&self, backend: u32) -> Option<SocketAddr> {
        let handle = self.handles.get(&backend)?;
        Some(handle.info.borrow().address)
    }

    /// The last lines of those of these backends that are listed.
    pub(super) fn listed<'a>(&self, uids: impl Iterator<Item = &'a String>) -> Vec<ListedEndpoint> {
        uids.filter_map(|uid| self.listed.get(uid))
            .cloned()
            .collect()
    }

    /// Applies an update of the list, and returns what the decisions are to be told of its lines.
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
            .listed
            .iter()
            .map(|line| self.apply_line(line, update.changed_since, admin, clock))
            .collect();
        if is_snapshot {
            self.mark_unlisted_removed();
        }
        self.forget_removed(now);
        endpoints
    }

    /// Ends the backends that a snapshot does not name.
    fn drop_unlisted(&mut self, snapshot: &EndpointUpdate) {
        let uids: HashSet<_> = snapshot
            .listed
            .iter()
            .map(|line| line.uid.as_str())
            .collect();
        self.listed.retain(|uid, _| uids.contains(uid.as_str()));
        let numbers: HashSet<_> = uids
            .iter()
            .filter_map(|uid| self.numbers.get(*uid))
            .map(|known| known.number)
            .collect();
        self.handles.retain(|number, _| numbers.contains(number));
    }

    fn apply_line(
        &mut self,
        line: &ListedEndpoint,
        changed_since: Option<Instant>,
        admin: &AdminState,
        clock: &Clock,
    ) -> Endpoint {
        if line.readiness == Readiness::Removed {
            self.listed.remove(&line.uid);
        } else {
            self.listed.insert(line.uid.clone(), line.clone());
        }
        // The one place where maintenance counts: all that follows takes the backend for what this says.
        let listed = EndpointStatus {
            readiness: line.readiness,
            started_at_ms: line.boot_ms,
        };
        let EndpointStatus {
            readiness,
            started_at_ms: boot_ms,
        } = admin.effective_status(&line.uid, listed);
        let start = || StartTime::read(boot_ms, changed_since, clock);
        let known = self.known(&line.uid, start);
        if !known.start.is_of(boot_ms) {
            known.start = start();
        }
        let (backend, started_at) = (known.number, known.start.seconds());
        if readiness == Readiness::Removed {
            self.handles.remove(&backend);
            self.removed.insert(line.uid.clone());
        } else {
            let info = EndpointInfo {
                address: line.endpoint,
                ready: readiness == Readiness::Ready,
            };
            self.start_or_inform(backend, info);
        }
        Endpoint {
            backend,
            relative_size: if self.lists_sizes { line.size } else { 1.0 },
            started_at,
            cell: cell_of(line, backend),
            zone: self.zone_of(line, backend),
            readiness,
        }
    }

    /// The number and start of a backend that is named in the list now; a new number if it has none.
    fn known(&mut self, uid: &str, start: impl Fn() -> StartTime) -> &mut KnownBackend {
        let now = Instant::now();
        let known = self.numbers.entry(uid.to_owned()).or_insert_with(|| {
            self.next_number += 1;
            KnownBackend {
                number: self.next_number - 1,
                last_listed: now,
                start: start(),
            }
        });
        known.last_listed = now;
        known
    }

    /// Starts the actor of a backend, or tells it what the list says now.
    fn start_or_inform(&mut self, backend: u32, info: EndpointInfo) {
        if let Some(handle) = self.handles.get(&backend) {
            handle.info.send_replace(info);
        } else {
            let (budget, invariants) = (self.budget.clone(), self.invariants.clone());
            let handle = EndpointHandle::start(info, self.limits, budget, invariants);
            self.handles.insert(backend, handle);
        }
    }

    /// A backend of no known zone shares its zone with nobody.
    fn zone_of(&self, line: &ListedEndpoint, backend: u32) -> usize {
        self.zones
            .iter()
            .position(|zone| *zone == line.zone)
            .unwrap_or(self.zones.len() + backend as usize)
    }

    fn mark_unlisted_removed(&mut self) {
        self.removed = self
            .numbers
            .iter()
            .filter(|(_, known)| !self.handles.contains_key(&known.number))
            .map(|(uid, _)| uid.clone())
            .collect();
    }

    /// Gives back the numbers of backends that were removed some time ago. Looks at these only, so that no update
    /// costs a walk over the whole fleet.
    fn forget_removed(&mut self, now: Instant) {
        let (numbers, handles) = (&mut self.numbers, &self.handles);
        self.removed.retain(|uid| {
            let Some(known) = numbers.get(uid) else {
                return false;
            };
            if handles.contains_key(&known.number) {
                return false;
            }
            let keeps_number = now < known.last_listed + FORGET_AFTER;
            if !keeps_number {
                numbers.remove(uid);
            }
            keeps_number
        });
    }
}

/// A backend of no known cell shares its cell with nobody: it may not drop another's retries as duplicates.
fn cell_of(line: &ListedEndpoint, backend: u32) -> u64 {
    line.cell.unwrap_or(u64::MAX - u64::from(backend))
}
