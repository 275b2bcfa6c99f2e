//! The node: cores, a queue before them, and what befalls them.
use crate::capacity_model::CapacityModel;
use crate::deduplication::{DeduplicationCache, IdempotencyKey};
use crate::overload_window::OverloadWindow;
use std::collections::{BTreeMap, HashMap};

/// Names one pick at this node; given by the caller, never twice.
pub type AttemptId = u64;

/// What a node is.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    pub cores: usize,
    /// Of a core, in standard cores.
    pub speed: f64,
    /// RPCs that may wait; beyond, they are turned away.
    pub queue_capacity: usize,
    /// Part of its capacity that it starts with, 0 to 1, and the seconds until it has all of it.
    pub initial_capacity: f64,
    pub warm_up_seconds: f64,
    /// Sent this multiple of what it can do, for so many seconds, while cold, it falls over.
    pub collapse_factor: f64,
    pub overload_window_seconds: f64,
    /// Its load report is as old as this at most, s.
    pub report_interval: f64,
    /// Whether running work stops when its RPC is cancelled; waiting work always does.
    pub cancel_stops_execution: bool,
    /// Connections it holds at most.
    pub connections: usize,
    /// Work that the first RPC of a connection brings with it, s of a standard core.
    pub connection_work: f64,
}

/// How a life begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    Warm,
    Cold,
}

/// An RPC sent to the node.
#[derive(Clone, Copy, Debug)]
pub struct IncomingWork {
    pub attempt_id: AttemptId,
    /// s of a standard core.
    pub work: f64,
    /// The key by which a repeat is dropped.
    pub idempotency_key: Option<IdempotencyKey>,
    /// It is the first on its connection.
    pub first_on_connection: bool,
}

/// Why an RPC was turned away before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    QueueFull,
    Draining,
    /// Fallen over or crashed: nobody is there to answer.
    Down,
}

/// What happened by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendEvent {
    /// The run began: from here on its effect counts.
    Started(AttemptId),
    Finished(AttemptId),
    /// A repeat was dropped: answered as done, with no effect.
    DuplicateDropped(AttemptId),
    /// Pushed over: all it held is lost, and it stays down.
    Collapsed,
}

/// What the node tells of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub in_flight: usize,
    pub queued: usize,
    /// Part of its cores that are busy, 0 to 1.
    pub utilisation: f64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    work: f64,
    idempotency_key: Option<IdempotencyKey>,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Waiting(u64),
    /// The work clock's bits at its end.
    Running(u64),
}

/// One life of one node, from its start to its end. Every call first lets happen what was due.
#[derive(Debug)]
pub struct Backend {
    spec: Spec,
    capacity: CapacityModel,
    waiting: BTreeMap<u64, (AttemptId, Held)>,
    running: BTreeMap<(u64, AttemptId), Held>,
    places: HashMap<AttemptId, Place>,
    next: u64,
    connections: usize,
    overload_window: OverloadWindow,
    overload: f64,
    peak_overload: f64,
    draining: bool,
    down: bool,
    told: (f64, LoadReport),
}

impl Backend {
    pub fn new(spec: Spec, now: f64, start: Start) -> Self {
        let cold = start == Start::Cold;
        Self {
            capacity: CapacityModel::new(
                spec.speed,
                spec.initial_capacity,
                spec.warm_up_seconds,
                now,
                cold,
            ),
            overload_window: OverloadWindow::new(spec.overload_window_seconds),
            spec,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            places: HashMap::new(),
            next: 0,
            connections: 0,
            overload: 0.0,
            peak_overload: 0.0,
            draining: false,
            down: false,
            told: (f64::NEG_INFINITY, LoadReport::default()),
        }
    }

    /// A new connection; false when it holds as many as it may, or is down.
    pub fn connect(&mut self) -> bool {
        let free = !self.down && self.connections < self.spec.connections;
        self.connections += usize::from(free);
        free
    }

    /// A connection that `connect` allowed has ended.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Takes an RPC in or tells why not. What reaches a cold node counts as a push also when it is turned away.
    pub fn receive(
        &mut self,
        now: f64,
        incoming: IncomingWork,
        deduplication: &mut DeduplicationCache,
        out: &mut Vec<BackendEvent>,
    ) -> Result<(), RejectionReason> {
        self.advance(now, deduplication, out);
        if self.down {
            return Err(RejectionReason::Down);
        }
        let work = incoming.work
            + if incoming.first_on_connection {
                self.spec.connection_work
            } else {
                0.0
            };
        self.weigh(now, work);
        if self.overload >= 1.0 {
            self.crash();
            out.push(BackendEvent::Collapsed);
            return Err(RejectionReason::Down);
        }
        let full =
            self.running.len() >= self.spec.cores && self.waiting.len() >= self.spec.queue_capacity;
        match () {
            () if self.draining => return Err(RejectionReason::Draining),
            () if full => return Err(RejectionReason::QueueFull),
            () => {}
        }
        self.waiting.insert(
            self.next,
            (
                incoming.attempt_id,
                Held {
                    work,
                    idempotency_key: incoming.idempotency_key,
                },
            ),
        );
        self.places
            .insert(incoming.attempt_id, Place::Waiting(self.next));
        self.next += 1;
        self.fill(now, deduplication, out);
        Ok(())
    }

    fn weigh(&mut self, now: f64, work: f64) {
        self.overload = 0.0;
        if self.capacity.is_cold(now) {
            let able = self.spec.cores as f64 * self.spec.speed * self.capacity.warmth(now);
            let bearable = self.spec.collapse_factor * able * self.spec.overload_window_seconds;
            self.overload = self.overload_window.add(now, work) / bearable;
            self.peak_overload = self.peak_overload.max(self.overload);
        }
    }

    /// Lets waiting RPCs begin on cores that are free.
    fn fill(
        &mut self,
        now: f64,
        deduplication: &mut DeduplicationCache,
        out: &mut Vec<BackendEvent>,
    ) {
        while self.running.len() < self.spec.cores {
            let Some((_, (attempt_id, held))) = self.waiting.pop_first() else {
                return;
            };
            if held
                .idempotency_key
                .is_some_and(|idempotency_key| !deduplication.first(now, idempotency_key))
            {
                self.places.remove(&attempt_id);
                out.push(BackendEvent::DuplicateDropped(attempt_id));
                continue;
            }
            let end = (self.capacity.done() + held.work).to_bits();
            self.running.insert((end, attempt_id), held);
            self.places.insert(attempt_id, Place::Running(end));
            out.push(BackendEvent::Started(attempt_id));
        }
    }

    /// When something will happen by itself, if nothing comes in between.
    pub fn next_event(&self) -> Option<f64> {
        let ((end, _), _) = self.running.first_key_value()?;
        self.capacity.when(f64::from_bits(*end))
    }

    /// Lets time pass until `now`: runs end, and others begin in the order in which they came, each at its own time.
    pub fn advance(
        &mut self,
        now: f64,
        deduplication: &mut DeduplicationCache,
        out: &mut Vec<BackendEvent>,
    ) {
        while let Some(at) = self.next_event().filter(|at| *at <= now) {
            self.capacity.settle(at);
            let Some(((_, attempt_id), _)) = self.running.pop_first() else {
                break;
            };
            self.places.remove(&attempt_id);
            out.push(BackendEvent::Finished(attempt_id));
            self.fill(at, deduplication, out);
        }
        self.capacity.settle(now);
    }

    /// The RPC's proxy no longer waits. False where its run goes on, or it is not here any more.
    pub fn cancel(
        &mut self,
        now: f64,
        attempt_id: AttemptId,
        deduplication: &mut DeduplicationCache,
        out: &mut Vec<BackendEvent>,
    ) -> bool {
        self.advance(now, deduplication, out);
        match self.places.get(&attempt_id).copied() {
            Some(Place::Waiting(number)) => {
                self.waiting.remove(&number);
            }
            Some(Place::Running(end)) if self.spec.cancel_stops_execution => {
                self.running.remove(&(end, attempt_id));
            }
            _ => return false,
        }
        self.places.remove(&attempt_id);
        self.fill(now, deduplication, out);
        true
    }

    /// It finishes what it has and turns everything new away.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Ends it: all it held is lost.
    pub fn crash(&mut self) {
        self.down = true;
        self.waiting.clear();
        self.running.clear();
        self.places.clear();
    }

    /// It stands still from now on, or goes on.
    pub fn stall(
        &mut self,
        now: f64,
        stalled: bool,
        deduplication: &mut DeduplicationCache,
        out: &mut Vec<BackendEvent>,
    ) {
        self.advance(now, deduplication, out);
        self.capacity.stall(now, stalled);
    }

    /// From now on it works `factor` times as fast: a neighbour comes (below 1) or goes (its reciprocal).
    pub fn scale(
        &mut self,
        now: f64,
        factor: f64,
        deduplication: &mut DeduplicationCache,
        out: &mut Vec<BackendEvent>,
    ) {
        self.advance(now, deduplication, out);
        self.capacity.scale_by(now, factor);
    }

    /// Its load, renewed when the last one is old enough.
    pub fn report(&mut self, now: f64) -> LoadReport {
        if now - self.told.0 >= self.spec.report_interval {
            let (queued, running) = (self.waiting.len(), self.running.len());
            let utilisation = running as f64 / self.spec.cores as f64;
            self.told = (
                now,
                LoadReport {
                    in_flight: queued + running,
                    queued,
                    utilisation,
                },
            );
        }
        self.told.1
    }

    /// RPCs it holds, waiting or running.
    pub fn in_flight(&self) -> usize {
        self.places.len()
    }

    /// How far the last offer pushed it towards its fall; 1 is the fall, 0 whenever it is warm.
    pub fn overload(&self) -> f64 {
        self.overload
    }

    /// The most it was ever pushed.
    pub fn peak_overload(&self) -> f64 {
        self.peak_overload
    }

    pub fn is_down(&self) -> bool {
        self.down
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether a new RPC would have to wait for a core.
    pub fn is_busy(&self) -> bool {
        self.running.len() >= self.spec.cores
    }
}
