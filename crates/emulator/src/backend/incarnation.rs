//! An incarnation of an emulated backend: one run of its process, from start to exit.
use super::EmulatedBackend;
use crate::wire::listen;
use birchhub_audit::Event;
use birchhub_backend_model::{AttemptId, Backend, StartMode};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;

/// Backlog of each listener, in connections.
const LISTEN_BACKLOG: u32 = 256;

/// Whether an incarnation runs, and otherwise how its connections end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationState {
    /// The process is running.
    Running,
    /// The process was stopped: its connections are closed.
    Stopped,
    /// The process crashed: its connections are reset.
    Crashed,
}

/// Sent to the connection of an attempt when its execution ends. A sender that is dropped without sending it means that
/// the incarnation has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completion;

/// The running process of a backend.
pub(super) struct Incarnation {
    /// Number of the incarnation, unique in the fleet.
    pub number: u32,
    pub model: Backend,
    /// Senders to the connections that wait for the execution of an attempt.
    pub completion_senders: HashMap<AttemptId, oneshot::Sender<Completion>>,
    pub state: watch::Sender<IncarnationState>,
    /// Numbers of the active stalls.
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
    let (state, state_receiver) = watch::channel(IncarnationState::Running);
    *backend.incarnation.borrow_mut() = Some(Incarnation {
        number,
        model,
        completion_senders: HashMap::new(),
        state,
        stalls: BTreeSet::new(),
    });
    for (proxy, listener) in listeners.into_iter().enumerate() {
        let accepting = backend.clone().accept_connections(
            number,
            proxy as u16,
            listener,
            state_receiver.clone(),
        );
        spawn_local(accepting);
    }
    spawn_local(backend.clone().drive(number, state_receiver));
    Ok(number)
}
