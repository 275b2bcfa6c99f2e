//! An emulated backend: the backend model behind one listener for each proxy, so that each request can be attributed to
//! a proxy.
//!
//! Each incarnation has its own tasks: one for each listener, one for each connection, and the driver of the model. All of
//! them end with the incarnation.
mod connection_slot;
mod connections;
mod driver;
mod incarnation;
mod requests;
mod responses;

use crate::faults::{ActiveFaults, Fault};
use crate::fleet::Fleet;
use crate::wire::pick_addresses;
use birchhub_audit::Event;
use birchhub_backend_model::{BackendEvent, BackendParameters, StartMode};
use incarnation::{Incarnation, IncarnationState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Identity, location and model parameters of a backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Number of the backend in the ledger.
    pub index: u32,
    /// Name of the backend, included in its responses.
    pub name: String,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its rack within the zone.
    pub rack: u32,
    /// Parameters of its model, such as capacity, queue length and slow start.
    pub model: BackendParameters,
    /// Time after which an idle connection is closed, in seconds.
    pub idle_timeout_seconds: f64,
}

/// An emulated backend. All its incarnations have the same addresses.
pub struct EmulatedBackend {
    /// Identity, location and model parameters.
    pub spec: BackendSpec,
    fleet: Rc<Fleet>,
    faults: ActiveFaults,
    /// The backend's address for each proxy.
    addresses: Vec<SocketAddr>,
    incarnation: RefCell<Option<Incarnation>>,
    /// Factor on the speed of the backend's machine, which noisy neighbours reduce; 1 without any.
    machine_speed: Cell<f64>,
    /// Notified when the time of the model's next event may have changed.
    timer_changed: Notify,
    /// Incremented when a fault or a stall begins or ends.
    fault_state: watch::Sender<u64>,
}

impl EmulatedBackend {
    /// Creates a stopped backend and picks a free address for each proxy. `ips` has the IP for each proxy.
    pub fn new(spec: BackendSpec, fleet: Rc<Fleet>, ips: &[IpAddr]) -> io::Result<Rc<Self>> {
        let addresses = pick_addresses(ips)?;
        Ok(Rc::new(Self {
            spec,
            fleet,
            faults: ActiveFaults::default(),
            addresses,
            incarnation: RefCell::new(None),
            machine_speed: Cell::new(1.0),
            timer_changed: Notify::new(),
            fault_state: watch::channel(0).0,
        }))
    }

    /// The backend's address for a proxy.
    pub fn address(&self, proxy: u16) -> Option<SocketAddr> {
        self.addresses.get(proxy as usize).copied()
    }

    /// Number of the running incarnation; `None` if the backend is stopped.
    pub fn incarnation(&self) -> Option<u32> {
        let incarnation = self.incarnation.borrow();
        incarnation.as_ref().map(|incarnation| incarnation.number)
    }

    /// Whether no RPC is queued or executing. A stopped backend is idle.
    pub fn is_idle(&self) -> bool {
        self.in_flight() == 0
    }

    /// Number of RPCs that are queued or executing.
    pub fn in_flight(&self) -> usize {
        let incarnation = self.incarnation.borrow();
        incarnation
            .as_ref()
            .map_or(0, |incarnation| incarnation.model.in_flight())
    }

    /// Starts an incarnation and returns its number. The previous incarnation must have ended.
    pub fn start(self: &Rc<Self>, start: StartMode) -> io::Result<u32> {
        incarnation::start(self, start)
    }

    /// Crashes the process: RPCs in flight are lost and connections are reset.
    pub fn crash(&self) {
        self.end_incarnation(IncarnationState::Crashed);
    }

    /// Stops the process: connections are closed. RPCs still in flight are lost.
    pub fn stop(&self) {
        self.end_incarnation(IncarnationState::Stopped);
    }

    /// Drains the running process: it finishes the RPCs in flight and rejects new ones.
    pub fn drain(&self) {
        if let Some(incarnation) = self.incarnation.borrow_mut().as_mut() {
            incarnation.model.drain();
            self.fleet.event_log.record(Event::BackendDraining {
                incarnation: incarnation.number,
            });
        }
    }

    /// Stalls the running process: it makes no progress until [`Self::end_stall`] is called with the same number.
    /// Processes that start later are not stalled.
    pub fn begin_stall(&self, number: u64) {
        self.update_stalls(|stalls| stalls.insert(number));
    }

    /// Ends the stall with this number. The process stays stalled while another stall is active.
    pub fn end_stall(&self, number: u64) {
        self.update_stalls(|stalls| stalls.remove(&number));
    }

    fn update_stalls(&self, change: impl FnOnce(&mut BTreeSet<u64>) -> bool) {
        let Some(number) = self.incarnation() else {
            return;
        };
        self.update_incarnation(number, |incarnation, now, fleet, events| {
            let was_stalled = incarnation.is_stalled();
            change(&mut incarnation.stalls);
            let is_stalled = incarnation.is_stalled();
            if is_stalled != was_stalled {
                let mut deduplication = fleet.deduplication.borrow_mut();
                let model = &mut incarnation.model;
                model.stall(now, is_stalled, &mut deduplication, events);
            }
        });
        self.notify_fault_state();
    }

    /// Multiplies the speed of the backend's machine by `factor`, also for processes that start later.
    pub fn scale_machine_speed(&self, factor: f64) {
        self.machine_speed.set(self.machine_speed.get() * factor);
        let Some(number) = self.incarnation() else {
            return;
        };
        self.update_incarnation(number, |incarnation, now, fleet, events| {
            let mut deduplication = fleet.deduplication.borrow_mut();
            let model = &mut incarnation.model;
            model.scale(now, factor, &mut deduplication, events);
        });
    }

    /// Begins a fault at the backend's sockets. It lasts until [`Self::end_fault`] is called with the same number.
    pub fn begin_fault(&self, number: u64, fault: Fault) {
        self.faults.begin(number, fault);
        self.notify_fault_state();
    }

    /// Ends the fault with this number.
    pub fn end_fault(&self, number: u64) {
        self.faults.end(number);
        self.notify_fault_state();
    }

    fn notify_fault_state(&self) {
        self.fault_state.send_modify(|changes| *changes += 1);
    }

    /// Ends the running incarnation and its tasks, if there is one.
    fn end_incarnation(&self, state: IncarnationState) {
        if let Some(mut incarnation) = self.incarnation.borrow_mut().take() {
            incarnation.model.crash();
            self.fleet.event_log.record(Event::BackendEnded {
                incarnation: incarnation.number,
            });
            incarnation.state.send_replace(state);
        }
    }

    /// Calls `access` with an incarnation if it is still running.
    fn with_incarnation<R>(
        &self,
        number: u32,
        access: impl FnOnce(&mut Incarnation) -> R,
    ) -> Option<R> {
        self.incarnation
            .borrow_mut()
            .as_mut()
            .filter(|incarnation| incarnation.number == number)
            .map(access)
    }

    /// Changes a running incarnation at the current time, records the resulting events and wakes the driver.
    fn update_incarnation<R>(
        &self,
        number: u32,
        change: impl FnOnce(&mut Incarnation, f64, &Fleet, &mut Vec<BackendEvent>) -> R,
    ) -> Option<R> {
        let now = self.fleet.event_log.clock.now();
        let mut events = Vec::new();
        let result = self.with_incarnation(number, |incarnation| {
            change(incarnation, now, &self.fleet, &mut events)
        });
        self.record_model_events(number, events);
        self.timer_changed.notify_one();
        result
    }
}
