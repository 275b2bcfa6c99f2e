//! A machine of the deployment, and the backend process on it.
use super::event::SimulationEvent;
use birchhub_backend_model::{Backend, BackendParameters};
use birchhub_rehearsal::plan::{BackendFault, PlannedNode};
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use std::collections::BTreeSet;

/// A backend process.
pub(super) struct BackendProcess {
    /// The incarnation in the ledger; each start has a new one.
    pub(super) incarnation: u32,
    /// The model that executes its RPCs.
    pub(super) model: Backend,
}

/// A fault at a machine's sockets.
pub(super) struct InjectedFault {
    /// The number of the fault in the plan, by which it is ended.
    pub(super) number: u64,
    /// The kind of fault, with the fraction of attempts that it affects.
    pub(super) kind: BackendFault,
}

/// A machine of the deployment.
pub(super) struct Machine {
    /// Its size and speed.
    pub(super) spec: BackendParameters,
    /// The zone that it is in.
    pub(super) zone: u32,
    /// The rack that it is in.
    pub(super) rack: u32,
    /// The backend process that runs on it.
    pub(super) backend: Option<BackendProcess>,
    /// When its backend started, in seconds; `None` if that was before the simulation.
    pub(super) cold_started_at: Option<f64>,
    /// The product of the planned changes of its speed, with which a new backend starts too.
    pub(super) capacity_factor: f64,
    /// The numbers of the active stalls, from the plan.
    pub(super) stalls: BTreeSet<u64>,
    /// Events that arrived during a stall.
    pub(super) deferred_events: Vec<SimulationEvent>,
    /// The faults at its sockets, in the order in which they began.
    pub(super) faults: Vec<InjectedFault>,
    /// The attempts in flight at its backend.
    pub(super) attempts_in_flight: BTreeSet<u64>,
    /// Version of the backend's next event; a scheduled event of an earlier version is dropped.
    pub(super) version: u64,
    /// Whether its backend is being replaced.
    pub(super) retiring: bool,
}

impl Machine {
    /// Creates a planned machine without a backend.
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
            attempts_in_flight: BTreeSet::new(),
            version: 0,
            retiring: false,
        }
    }

    /// Returns the incarnation of its running backend.
    pub(super) fn incarnation(&self) -> Option<u32> {
        self.backend.as_ref().map(|backend| backend.incarnation)
    }

    /// Returns whether its backend runs but is stalled.
    pub(super) fn is_stalled(&self) -> bool {
        self.backend.is_some() && !self.stalls.is_empty()
    }
}
