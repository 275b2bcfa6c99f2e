//! One run of an emulated backend's process, from its start to its end.
use super::EmulatedBackend;
use crate::wire::listen;
use birchhub_audit::Event;
use birchhub_backend_model::{AttemptId, Backend, StartMode};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;

/// Connections that may wait to be accepted at a listener.
const LISTEN_BACKLOG: u32 = 256;

/// How an incarnation ends for its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    /// The incarnation has not ended.
    Running,
    /// Connections are closed.
    Stopped,
    /// Connections are reset.
    Crashed,
}

/// Notifies the connection of an attempt that its execution is over. A sender that is dropped without it means that the
/// incarnation has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completion;

/// The running process of a backend.
pub(super) struct Incarnation {
    /// Number of the incarnation, unique in the fleet.
    pub number: u32,
    pub model: Backend,
    /// Connections that wait for the execution of an attempt.
    pub waiting: HashMap<AttemptId, oneshot::Sender<Completion>>,
    pub shutdown: watch::Sender<Shutdown>,
    /// Numbers of the stalls that last.
    pub stalls: BTreeSet<u64>,
}

impl Incarnation {
    pub(super) fn is_stalled(&self) -> bool {
        !self.stalls.is_empty()
    }
}

/// Listens at the backend's addresses and starts the tasks of a new incarnation. Returns its number.
pub(super) fn start(backend: &Rc<EmulatedBackend>, start: StartMode) -> io::Result<u32> {
    let listeners = backend
        .addresses
        .iter()
        .map(|address| listen(*address, LISTEN_BACKLOG))
        .collect::<io::Result<Vec<_>>>()?;
    let fleet = &backend.fleet;
    let number = fleet.new_incarnation();
    let now = fleet.event_log.clock.now();
    let spec = &backend.spec.model;
    let mut model = Backend::new(spec.clone(), now, start);
    model.scale(
        now,
        backend.machine_speed.get(),
        &mut fleet.deduplication.borrow_mut(),
        &mut Vec::new(),
    );
    fleet.event_log.record(Event::BackendStarted {
        incarnation: number,
        backend: backend.spec.index,
        cold: start == StartMode::Cold,
        warm_capacity: (spec.cores as f64 * spec.speed) as f32,
    });
    let (shutdown, shutdown_seen) = watch::channel(Shutdown::Running);
    *backend.incarnation.borrow_mut() = Some(Incarnation {
        number,
        model,
        waiting: HashMap::new(),
        shutdown,
        stalls: BTreeSet::new(),
    });
    for (proxy, listener) in listeners.into_iter().enumerate() {
        let accepting =
            backend
                .clone()
                .accept(number, proxy as u16, listener, shutdown_seen.clone());
        spawn_local(accepting);
    }
    spawn_local(backend.clone().drive(number, shutdown_seen));
    Ok(number)
}
