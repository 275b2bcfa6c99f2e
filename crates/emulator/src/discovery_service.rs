//! The emulated discovery service. It sends each proxy the endpoint list, complete or as changes, and has an address for
//! each proxy, so that it can record what each proxy was notified of.
mod capacity;
mod connections;
mod endpoints;

use crate::event_log::EventLog;
use crate::wire::listen;
use birchhub_audit::{EndpointState, Event};
pub use capacity::ServiceCapacity;
pub use endpoints::Endpoint;
use endpoints::{EndpointListSnapshot, ListResponse, Notification};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Backlog of each listener, in connections.
const LISTEN_BACKLOG: u32 = 64;

/// An outdated snapshot that a proxy receives instead of the current list.
struct StaleSnapshot {
    /// Number of active faults that require it.
    active_faults: usize,
    snapshot: EndpointListSnapshot,
}

/// Faults of the service, for all proxies or for one.
#[derive(Default)]
struct FaultState {
    /// Number of active faults during which the service is down.
    active_outages: usize,
    /// Outdated snapshots, by proxy.
    stale: HashMap<u16, StaleSnapshot>,
}

/// The state of a backend that a proxy was last notified of.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NotifiedState {
    incarnation: u32,
    state: EndpointState,
}

/// The emulated discovery service.
pub struct DiscoveryService {
    event_log: EventLog,
    /// The service's address for each proxy.
    addresses: Vec<SocketAddr>,
    list: RefCell<EndpointListSnapshot>,
    fault_state: RefCell<FaultState>,
    /// The last notified states, by proxy and backend.
    notified: RefCell<HashMap<(u16, u32), NotifiedState>>,
    /// Incremented when the list or the fault state changes.
    changed: watch::Sender<u64>,
    answered_calls: Cell<u64>,
    rejected_calls: Cell<u64>,
    capacity: RefCell<Option<ServiceCapacity>>,
}

impl DiscoveryService {
    /// Starts the service with an empty list. `ips` has the IP to listen on for each proxy.
    pub fn start(event_log: EventLog, ips: &[IpAddr]) -> io::Result<Rc<Self>> {
        let listeners = ips
            .iter()
            .map(|ip| listen((*ip, 0).into(), LISTEN_BACKLOG))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let service = Rc::new(Self {
            event_log,
            addresses,
            list: RefCell::default(),
            fault_state: RefCell::default(),
            notified: RefCell::default(),
            changed: watch::channel(0).0,
            answered_calls: Cell::new(0),
            rejected_calls: Cell::new(0),
            capacity: RefCell::default(),
        });
        for (proxy, listener) in listeners.into_iter().enumerate() {
            spawn_local(service.clone().accept_connections(proxy as u16, listener));
        }
        Ok(service)
    }

    /// The service's address for a proxy.
    pub fn address(&self, proxy: u16) -> Option<SocketAddr> {
        self.addresses.get(proxy as usize).copied()
    }

    /// Number of calls that were answered with a list.
    pub fn answered_calls(&self) -> u64 {
        self.answered_calls.get()
    }

    /// Number of calls that were rejected for lack of capacity.
    pub fn rejected_calls(&self) -> u64 {
        self.rejected_calls.get()
    }

    /// Limits the capacity of the service. Without a limit it answers every call at once.
    pub fn set_capacity(&self, capacity: ServiceCapacity) {
        self.capacity.replace(Some(capacity));
    }

    /// Sets a backend's endpoint and wakes the watches of all proxies.
    pub fn update_endpoint(&self, backend: u32, endpoint: Endpoint) {
        self.event_log.record(Event::EndpointChanged {
            backend,
            incarnation: endpoint.incarnation,
            state: endpoint.state,
        });
        self.list.borrow_mut().update(backend, endpoint);
        self.notify_change();
    }

    /// Begins or ends a fault during which the service resets all connections. Faults may overlap.
    pub fn set_down(&self, is_down: bool) {
        let mut faults = self.fault_state.borrow_mut();
        faults.active_outages = if is_down {
            faults.active_outages + 1
        } else {
            faults.active_outages.saturating_sub(1)
        };
        drop(faults);
        self.notify_change();
    }

    /// Begins or ends a fault during which a proxy receives the list as it was when the fault began. Faults may overlap:
    /// the snapshot of the first is sent until the last ends.
    pub fn set_stale(&self, proxy: u16, is_stale: bool) {
        let mut faults = self.fault_state.borrow_mut();
        if is_stale {
            let stale = faults.stale.entry(proxy).or_insert_with(|| StaleSnapshot {
                active_faults: 0,
                snapshot: self.list.borrow().clone(),
            });
            stale.active_faults += 1;
        } else if let Some(stale) = faults.stale.get_mut(&proxy) {
            stale.active_faults -= 1;
            if stale.active_faults == 0 {
                faults.stale.remove(&proxy);
            }
        }
        drop(faults);
        self.notify_change();
    }

    /// The complete list for a proxy that starts. Records the proxy as notified of it.
    pub fn initial_snapshot(&self, proxy: u16) -> Value {
        let response = self.response(proxy, None);
        self.record_notifications(proxy, true, response.notifications);
        response.body
    }

    /// Clears the record of what a proxy was notified of. Called when the proxy restarts.
    pub fn forget_proxy(&self, proxy: u16) {
        self.notified.borrow_mut().retain(|(p, _), _| *p != proxy);
    }

    fn notify_change(&self) {
        self.changed.send_modify(|changes| *changes += 1);
    }

    fn is_down(&self) -> bool {
        self.fault_state.borrow().active_outages > 0
    }

    /// Calls `access` with the list that a proxy receives: its outdated snapshot if it has one, else the current list.
    fn with_snapshot<R>(&self, proxy: u16, access: impl FnOnce(&EndpointListSnapshot) -> R) -> R {
        match self.fault_state.borrow().stale.get(&proxy) {
            Some(stale) => access(&stale.snapshot),
            None => access(&self.list.borrow()),
        }
    }

    fn response(&self, proxy: u16, since: Option<u64>) -> ListResponse {
        self.with_snapshot(proxy, |list| list.response(proxy, since))
    }

    /// Records the states that are new to a proxy. A backend that a complete list omits is recorded as gone.
    fn record_notifications(
        &self,
        proxy: u16,
        is_complete: bool,
        mut notifications: Vec<Notification>,
    ) {
        let mut notified = self.notified.borrow_mut();
        if is_complete {
            let is_listed = |backend| notifications.iter().any(|n| n.backend == backend);
            let gone: Vec<_> = notified
                .iter()
                .filter(|((p, backend), _)| *p == proxy && !is_listed(*backend))
                .map(|((_, backend), last)| Notification {
                    backend: *backend,
                    incarnation: last.incarnation,
                    state: EndpointState::Gone,
                })
                .collect();
            notifications.extend(gone);
        }
        for Notification {
            backend,
            incarnation,
            state,
        } in notifications
        {
            let current = NotifiedState { incarnation, state };
            if notified.insert((proxy, backend), current) != Some(current) {
                self.event_log.record(Event::ProxyNotified {
                    proxy,
                    backend,
                    incarnation,
                    state,
                });
            }
        }
    }
}
