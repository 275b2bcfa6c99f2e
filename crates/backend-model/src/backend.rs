//! A backend process: cores, a queue for them, and faults that affect them.
use crate::capacity_model::CapacityModel;
use crate::deduplication::{DeduplicationCache, IdempotencyKey};
use crate::overload_window::OverloadWindow;
use std::collections::{BTreeMap, HashMap};

/// Identifies an attempt at a backend. The caller chooses the id and must not reuse it.
pub type AttemptId = u64;

/// Parameters of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendParameters {
    /// Number of cores.
    pub cores: usize,
    /// Speed of a core, in standard cores.
    pub speed: f64,
    /// Number of RPCs that may wait for a core; further ones are rejected.
    pub queue_capacity: usize,
    /// Share of its full capacity that a cold backend has at its start, between 0 and 1.
    pub initial_capacity: f64,
    /// Time from a cold start until the backend has its full capacity, in seconds.
    pub warm_up_seconds: f64,
    /// Multiple of the work that its current capacity can do at which the backend collapses while it warms up.
    pub collapse_factor: f64,
    /// Sliding window over which received work is summed to detect a collapse, in seconds.
    pub overload_window_seconds: f64,
    /// Minimum time between updates of the load report, in seconds.
    pub report_interval: f64,
    /// Whether cancellation of an RPC stops its execution. A queued RPC is always removed.
    pub cancel_stops_execution: bool,
    /// Maximum number of connections.
    pub connections: usize,
    /// Additional work of the first RPC on a connection, in seconds of a standard core.
    pub connection_work: f64,
}

/// Capacity with which a backend process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// Full capacity.
    Warm,
    /// Initial capacity, which rises to the full one.
    Cold,
}

/// An RPC that arrives at a backend.
#[derive(Clone, Copy, Debug)]
pub struct IncomingWork {
    /// The attempt that carries it.
    pub attempt_id: AttemptId,
    /// Its work, in seconds of a standard core.
    pub work: f64,
    /// The key by which the backend detects duplicates.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether it is the first RPC on its connection.
    pub first_on_connection: bool,
}

/// Why an RPC was rejected before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// All cores are busy and the queue is full.
    QueueFull,
    /// The backend accepts no new work.
    Draining,
    /// The process collapsed or crashed.
    Down,
}

/// An event at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendEvent {
    /// The execution of an RPC began. It has its effect from now on.
    Started(AttemptId),
    /// The execution of an RPC ended.
    Finished(AttemptId),
    /// A duplicate was dropped. The response is that of an executed RPC, but there is no effect.
    DuplicateDropped(AttemptId),
    /// The process collapsed under overload. All its RPCs are lost, and it stays down.
    Collapsed,
}

/// The load that a backend reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of RPCs that are queued or executed.
    pub in_flight: usize,
    /// Number of RPCs that are queued.
    pub queued: usize,
    /// Share of the cores that are busy, between 0 and 1.
    pub utilisation: f64,
}

/// An RPC that was admitted.
#[derive(Clone, Copy, Debug)]
struct AdmittedWork {
    /// In seconds of a standard core.
    work: f64,
    idempotency_key: Option<IdempotencyKey>,
}

/// Where an admitted RPC is.
#[derive(Clone, Copy, Debug)]
enum Position {
    /// In the queue, under this arrival number.
    Queued(u64),
    /// On a core, until the work clock reaches the value with these bits.
    Executing(u64),
}

/// The last load report, with its time.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// When it was made, in seconds.
    at: f64,
    report: LoadReport,
}

/// One run of a backend process, from its start to its end.
///
/// Methods that take `events` first process everything that is due up to `now`, in seconds, and append the events to it.
#[derive(Debug)]
pub struct Backend {
    parameters: BackendParameters,
    capacity: CapacityModel,
    /// Queued RPCs by arrival number.
    queue: BTreeMap<u64, (AttemptId, AdmittedWork)>,
    /// Executing RPCs by the bits of the work clock at their end. The bits sort like the clock, which is never negative.
    executing: BTreeMap<(u64, AttemptId), AdmittedWork>,
    positions: HashMap<AttemptId, Position>,
    next_arrival_number: u64,
    connections: usize,
    overload_window: OverloadWindow,
    overload: f64,
    peak_overload: f64,
    draining: bool,
    down: bool,
    reported: ReportedLoad,
}

impl Backend {
    /// Starts a process at `now`, in seconds.
    pub fn new(parameters: BackendParameters, now: f64, start: StartMode) -> Self {
        let cold = start == StartMode::Cold;
        Self {
            capacity: CapacityModel::new(
                parameters.speed,
                parameters.initial_capacity,
                parameters.warm_up_seconds,
                now,
                cold,
            ),
            overload_window: OverloadWindow::new(parameters.overload_window_seconds),
            parameters,
            queue: BTreeMap::new(),
            executing: BTreeMap::new(),
            positions: HashMap::new(),
            next_arrival_number: 0,
            connections: 0,
            overload: 0.0,
            peak_overload: 0.0,
            draining: false,
            down: false,
            reported: ReportedLoad {
                at: f64::NEG_INFINITY,
                report: LoadReport::default(),
            },
        }
    }

    /// Opens a connection. Returns false if the process is down or has the maximum number of connections.
    pub fn connect(&mut self) -> bool {
        let accepted = !self.down && self.connections < self.parameters.connections;
        self.connections += usize::from(accepted);
        accepted
    }

    /// Closes a connection that [`connect`](Self::connect) accepted.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Admits or rejects an RPC. While the backend warms up, the work of rejected RPCs counts as load too, and the backend
    /// collapses when its overload reaches 1.
    pub fn receive(
        &mut self,
        now: f64,
        incoming: IncomingWork,
        deduplication: &mut DeduplicationCache,
        events: &mut Vec<BackendEvent>,
    ) -> Result<(), RejectionReason> {
        self.advance(now, deduplication, events);
        if self.down {
            return Err(RejectionReason::Down);
        }
        let connection_work = if incoming.first_on_connection {
            self.parameters.connection_work
        } else {
            0.0
        };
        let work = incoming.work + connection_work;
        self.measure_overload(now, work);
        if self.overload >= 1.0 {
            self.crash();
            events.push(BackendEvent::Collapsed);
            return Err(RejectionReason::Down);
        }
        if self.draining {
            return Err(RejectionReason::Draining);
        }
        if self.is_busy() && self.queue.len() >= self.parameters.queue_capacity {
            return Err(RejectionReason::QueueFull);
        }
        let admitted = AdmittedWork {
            work,
            idempotency_key: incoming.idempotency_key,
        };
        self.enqueue(incoming.attempt_id, admitted);
        self.start_queued(now, deduplication, events);
        Ok(())
    }

    /// Adds received work to the overload window and updates the overload, which is 0 for a warm backend.
    fn measure_overload(&mut self, now: f64, work: f64) {
        self.overload = 0.0;
        if self.capacity.is_warming_up(now) {
            let capacity = self.parameters.cores as f64
                * self.parameters.speed
                * self.capacity.warm_share(now);
            let collapse_work = self.parameters.collapse_factor
                * capacity
                * self.parameters.overload_window_seconds;
            self.overload = self.overload_window.add(now, work) / collapse_work;
            self.peak_overload = self.peak_overload.max(self.overload);
        }
    }

    fn enqueue(&mut self, attempt_id: AttemptId, admitted: AdmittedWork) {
        let number = self.next_arrival_number;
        self.next_arrival_number += 1;
        self.queue.insert(number, (attempt_id, admitted));
        self.positions.insert(attempt_id, Position::Queued(number));
    }

    /// Starts queued RPCs on idle cores, and drops duplicates.
    fn start_queued(
        &mut self,
        now: f64,
        deduplication: &mut DeduplicationCache,
        events: &mut Vec<BackendEvent>,
    ) {
        while !self.is_busy() {
            let Some((_, (attempt_id, admitted))) = self.queue.pop_first() else {
                return;
            };
            let is_duplicate = admitted
                .idempotency_key
                .is_some_and(|key| !deduplication.insert(now, key));
            if is_duplicate {
                self.positions.remove(&attempt_id);
                events.push(BackendEvent::DuplicateDropped(attempt_id));
                continue;
            }
            let end = (self.capacity.work_done() + admitted.work).to_bits();
            self.executing.insert((end, attempt_id), admitted);
            self.positions.insert(attempt_id, Position::Executing(end));
            events.push(BackendEvent::Started(attempt_id));
        }
    }

    /// Returns the time of the next event without further calls, in seconds; `None` if none is due.
    pub fn next_event(&self) -> Option<f64> {
        let ((end, _), _) = self.executing.first_key_value()?;
        self.capacity.time_of(f64::from_bits(*end))
    }

    /// Processes the events up to `now`: each execution that ends in that time is followed, at the time of its end, by
    /// the next queued RPC in the order of arrival.
    pub fn advance(
        &mut self,
        now: f64,
        deduplication: &mut DeduplicationCache,
        events: &mut Vec<BackendEvent>,
    ) {
        while let Some(at) = self.next_event().filter(|at| *at <= now) {
            self.capacity.advance(at);
            let Some(((_, attempt_id), _)) = self.executing.pop_first() else {
                break;
            };
            self.positions.remove(&attempt_id);
            events.push(BackendEvent::Finished(attempt_id));
            self.start_queued(at, deduplication, events);
        }
        self.capacity.advance(now);
    }

    /// Cancels an RPC. Returns false if it has ended or its execution continues.
    pub fn cancel(
        &mut self,
        now: f64,
        attempt_id: AttemptId,
        deduplication: &mut DeduplicationCache,
        events: &mut Vec<BackendEvent>,
    ) -> bool {
        self.advance(now, deduplication, events);
        match self.positions.get(&attempt_id).copied() {
            Some(Position::Queued(number)) => {
                self.queue.remove(&number);
            }
            Some(Position::Executing(end)) if self.parameters.cancel_stops_execution => {
                self.executing.remove(&(end, attempt_id));
            }
            _ => return false,
        }
        self.positions.remove(&attempt_id);
        self.start_queued(now, deduplication, events);
        true
    }

    /// Starts draining: new RPCs are rejected, admitted ones are finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Ends the process. All its RPCs are lost.
    pub fn crash(&mut self) {
        self.down = true;
        self.queue.clear();
        self.executing.clear();
        self.positions.clear();
    }

    /// Begins or ends a stall, during which the process does no work. Work continues after the last of overlapping stalls.
    pub fn stall(
        &mut self,
        now: f64,
        stalled: bool,
        deduplication: &mut DeduplicationCache,
        events: &mut Vec<BackendEvent>,
    ) {
        self.advance(now, deduplication, events);
        self.capacity.stall(now, stalled);
    }

    /// Multiplies the speed by `factor`: below 1 when a neighbour on the machine takes capacity, and the reciprocal when
    /// the neighbour releases it.
    pub fn scale(
        &mut self,
        now: f64,
        factor: f64,
        deduplication: &mut DeduplicationCache,
        events: &mut Vec<BackendEvent>,
    ) {
        self.advance(now, deduplication, events);
        self.capacity.scale_by(now, factor);
    }

    /// Returns the load report, which is updated if its interval has passed.
    pub fn report(&mut self, now: f64) -> LoadReport {
        if now - self.reported.at >= self.parameters.report_interval {
            let queued = self.queue.len();
            let executing = self.executing.len();
            let report = LoadReport {
                in_flight: queued + executing,
                queued,
                utilisation: executing as f64 / self.parameters.cores as f64,
            };
            self.reported = ReportedLoad { at: now, report };
        }
        self.reported.report
    }

    /// Returns the number of RPCs that are queued or executed.
    pub fn in_flight(&self) -> usize {
        self.positions.len()
    }

    /// Returns the overload after the last received RPC. The backend collapses at 1; a warm backend has 0.
    pub fn overload(&self) -> f64 {
        self.overload
    }

    /// Returns the peak overload so far.
    pub fn peak_overload(&self) -> f64 {
        self.peak_overload
    }

    /// Whether the process collapsed or crashed.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Whether the backend is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether all cores are busy, so that a new RPC has to wait.
    pub fn is_busy(&self) -> bool {
        self.executing.len() >= self.parameters.cores
    }
}
