//! The actor of one backend. It starts a task for each exchange, and closes the backend's idle connections when the
//! backend is removed from the list, is no longer ready or has another process.
use crate::event_loop::WorkQueue;
use crate::invariants::Invariants;
use crate::net::socket_budget::SocketBudget;
use crate::upstream::attempt;
use crate::upstream::endpoint_state::{EndpointInfo, EndpointState};
use crate::upstream::exchange::Exchange;
use crate::upstream::idle_connections::IdleConnections;
use crate::upstream::repeated_responses::ResponseComparison;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Number of exchanges that may wait in an endpoint's mailbox. Further ones end as not sent.
const MAILBOX_CAPACITY: usize = 256;

/// Fraction of a backend's idle timeout for which an idle connection is reused: no request may be written to a connection
/// that the backend is closing.
const REUSE_FRACTION_OF_IDLE_TIMEOUT: f64 = 0.6;

/// Timeouts of connections to backends, from the settings.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Time after which backends close an idle connection.
    pub idle: Duration,
}

impl ConnectionTimeouts {
    /// Returns the longest time for which an idle connection is reused.
    fn max_reuse_time(&self) -> Duration {
        self.idle.mul_f64(REUSE_FRACTION_OF_IDLE_TIMEOUT)
    }
}

/// What the actors of all backends share.
#[derive(Clone)]
pub(crate) struct EndpointResources {
    /// Timeouts of connections.
    pub timeouts: ConnectionTimeouts,
    /// Issues the permit for each connection.
    pub budget: Rc<SocketBudget>,
    /// Shares the event loop among all peers.
    pub work: Rc<WorkQueue>,
    /// Compares the responses of all backends.
    pub comparison: Rc<ResponseComparison>,
    /// Checks each exchange before its first byte is sent.
    pub invariants: Rc<Invariants>,
}

/// The decision actor's handle of an endpoint actor, which ends when the handle is dropped.
pub(crate) struct EndpointHandle {
    /// Receives exchanges to run. They are boxed because a channel allocates space for 32 messages at once, and most
    /// backends of a large fleet have none waiting.
    pub mailbox: mpsc::Sender<Box<Exchange>>,
    /// Receives the backend's entry in the endpoint list whenever it changes.
    pub info: watch::Sender<EndpointInfo>,
}

impl EndpointHandle {
    /// Starts the actor of a backend and returns its handle.
    pub(crate) fn start(info: EndpointInfo, resources: EndpointResources) -> Self {
        let EndpointResources {
            timeouts,
            budget,
            work,
            comparison,
            invariants,
        } = resources;
        let (mailbox, exchanges) = mpsc::channel(MAILBOX_CAPACITY);
        let (sender, receiver) = watch::channel(info);
        let state = Rc::new(EndpointState {
            info: receiver,
            idle: Rc::new(IdleConnections::new(
                timeouts.max_reuse_time(),
                budget.clone(),
                comparison.clone(),
            )),
            comparison,
            connect_timeout: timeouts.connect,
            budget,
            work,
            invariants,
        });
        spawn_local(EndpointActor { state }.run(exchanges));
        Self {
            mailbox,
            info: sender,
        }
    }
}

/// The actor of one backend.
struct EndpointActor {
    state: Rc<EndpointState>,
}

impl EndpointActor {
    /// Runs until the backend is removed from the list. Running exchanges own their connections and continue
    /// without the actor.
    async fn run(self, mut exchanges: mpsc::Receiver<Box<Exchange>>) {
        let state = self.state;
        let mut info = state.info.clone();
        let mut process = info.borrow_and_update().process;
        loop {
            select! {
                biased;
                changed = info.changed() => {
                    let latest = *info.borrow_and_update();
                    if changed.is_err() || !latest.ready || latest.process != process {
                        state.idle.clear();
                        process = latest.process;
                    }
                    if changed.is_err() {
                        return;
                    }
                }
                exchange = exchanges.recv() => match exchange {
                    Some(exchange) => drop(spawn_local(attempt::run(state.clone(), exchange))),
                    None => return,
                },
            }
        }
    }
}
