//! One emulated backend on sockets: the backend model behind a listener for each proxy, so that it knows which proxy
//! sent what.
//!
//! Each incarnation has tasks of its own: one that accepts for each listener, one for each connection, and the driver
//! of the model. All of them end with the incarnation.
mod connection_slot;
mod connections;
mod driver;
mod incarnation;
mod requests;
mod responses;

use crate::faults::{ActiveFaults, Fault};
use crate::fleet::Fleet;
use birchhub_audit::Event;
use birchhub_backend_model::{BackendEvent, BackendParameters, StartMode};
use incarnation::{Incarnation, IncarnationState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Identity, place and model of a backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Number of the backend in the ledger.
    pub index: u32,
    /// Name of the backend, which its responses carry.
    pub name: String,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its rack within the zone.
    pub rack: u32,
    /// Capacity, queue and slow start of its model.
    pub model: BackendParameters,
    /// Time after which an idle connection is closed, in seconds.
    pub idle_timeout_seconds: f64,
}

/// An emulated backend. Its addresses stay the same over all its incarnations.
pub struct EmulatedBackend {
    /// What the backend is and where.
    pub spec: BackendSpec,
    fleet: Rc<Fleet>,
    faults: ActiveFaults,
    /// Address for each proxy.
    addresses: Vec<SocketAddr>,
    incarnation: RefCell<Option<Incarnation>>,
    /// Fraction of the machine's speed that neighbours leave to this backend.
    machine_speed: Cell<f64>,
    /// Notified when the time of the model's next event may have changed.
    timer_changed: Notify,
    /// Changes when a fault or a stall begins or ends.
    fault_state: watch::Sender<u64>,
}

impl EmulatedBackend {
    /// Reserves an address for each proxy, on the IP that is given for it. The backend is not started.
    pub fn new(spec: BackendSpec, fleet: Rc<Fleet>, ips: &[IpAddr]) -> io::Result<Rc<Self>> {
        let reserve = |ip: &IpAddr| std::net::TcpListener::bind((*ip, 0))?.local_addr();
        let addresses = ips.iter().map(reserve).collect::<io::Result<_>>()?;
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

    /// Number of the running incarnation.
    pub fn incarnation(&self) -> Option<u32> {
        let incarnation = self.incarnation.borrow();
        incarnation.as_ref().map(|incarnation| incarnation.number)
    }

    /// Whether no RPC is in flight here. A stopped backend is idle.
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

    /// Starts an incarnation and returns its number. The one before must have ended.
    pub fn start(self: &Rc<Self>, start: StartMode) -> io::Result<u32> {
        incarnation::start(self, start)
    }

    /// Ends the process as a crash does: all RPCs in flight are lost and connections are reset.
    pub fn crash(&self) {
        self.end_incarnation(IncarnationState::Crashed);
    }

    /// Ends the process in order: connections are closed. RPCs still in flight are lost.
    pub fn stop(&self) {
        self.end_incarnation(IncarnationState::Stopped);
    }

    /// Finishes the RPCs in flight and rejects new ones.
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
        self.change_stalls(|stalls| stalls.insert(number));
    }

    /// Ends the stall of this number. Other stalls may still last.
    pub fn end_stall(&self, number: u64) {
        self.change_stalls(|stalls| stalls.remove(&number));
    }

    fn change_stalls(&self, change: impl FnOnce(&mut BTreeSet<u64>) -> bool) {
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

    /// Ends the fault of this number.
    pub fn end_fault(&self, number: u64) {
        self.faults.end(number);
        self.notify_fault_state();
    }

    fn notify_fault_state(&self) {
        self.fault_state.send_modify(|changes| *changes += 1);
    }

    /// Ends the running incarnation.
    fn end_incarnation(&self, state: IncarnationState) {
        if let Some(mut incarnation) = self.incarnation.borrow_mut().take() {
            incarnation.model.crash();
            self.fleet.event_log.record(Event::BackendEnded {
                incarnation: incarnation.number,
            });
            incarnation.state.send_replace(state);
        }
    }

    /// Gives access to an incarnation if it is still the running one.
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

    /// Changes an incarnation at the present time, then records the events that the change caused.
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
