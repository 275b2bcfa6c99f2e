//! A machine of the deployment, and the backend process on it.
use super::event::SimulationEvent;
use birchhub_backend_model::{Backend, Spec};
use birchhub_rehearsal::plan::{BackendFault, PlannedNode};
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use std::collections::BTreeSet;

/// A backend process.
pub(super) struct BackendProcess {
    /// The ledger's number of this process: each start is a new incarnation.
    pub(super) incarnation: u32,
    /// The model that works on its RPCs.
    pub(super) model: Backend,
}

/// A fault at a machine's sockets.
pub(super) struct InjectedFault {
    /// The plan's number of the fault, by which it ends.
    pub(super) number: u64,
    /// What goes wrong, and for which share of the attempts.
    pub(super) trick: BackendFault,
}

/// A machine.
pub(super) struct Machine {
    /// Its size and speed.
    pub(super) spec: Spec,
    /// The zone that it is in.
    pub(super) zone: u32,
    /// The rack that it is in.
    pub(super) rack: u32,
    /// The backend process that runs on it.
    pub(super) backend: Option<BackendProcess>,
    /// When its backend started, s; `None` for one that has long run.
    pub(super) cold_started_at: Option<f64>,
    /// The product of the planned changes of its speed; a new backend starts with it.
    pub(super) capacity_factor: f64,
    /// The plan's numbers of the stalls that hold its backend up now.
    pub(super) stalls: BTreeSet<u64>,
    /// What arrived during a stall.
    pub(super) deferred_events: Vec<SimulationEvent>,
    /// The faults at its sockets, in the order in which they began.
    pub(super) faults: Vec<InjectedFault>,
    /// The attempts that its backend holds.
    pub(super) held_attempts: BTreeSet<u64>,
    /// Changes with the backend's next event: a scheduled one of an earlier version is dropped.
    pub(super) version: u64,
    /// Whether its backend is being replaced.
    pub(super) retiring: bool,
}

impl Machine {
    /// A planned machine, without a backend yet.
    pub(super) fn new(scenario: &Scenario, planned: &PlannedNode) -> Self {
        Self {
            spec: settings::spec(scenario, planned),
            zone: planned.zone,
            rack: planned.rack,
            backend: None,
            cold_started_at: None,
            capacity_factor: 1.0,
            stalls: BTreeSet::new(),
            deferred_events: Vec::new(),
            faults: Vec::new(),
            held_attempts: BTreeSet::new(),
            version: 0,
            retiring: false,
        }
    }

    /// The incarnation of the backend that runs on it.
    pub(super) fn incarnation(&self) -> Option<u32> {
        self.backend.as_ref().map(|backend| backend.incarnation)
    }

    /// Whether its backend runs but is held up.
    pub(super) fn is_stalled(&self) -> bool {
        self.backend.is_some() && !self.stalls.is_empty()
    }
}
