//! One actor for each backend. It starts a task for each exchange and drops the backend's idle connections when
//! the backend leaves the list, stops being ready or moves. A running exchange owns its connection.
use crate::invariants::Invariants;
use crate::net::socket_budget::SocketBudget;
use crate::upstream::attempt;
use crate::upstream::endpoint_state::{EndpointInfo, EndpointState};
use crate::upstream::exchange::Exchange;
use crate::upstream::idle_connections::IdleConnections;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Exchanges that may wait in an endpoint's mailbox; beyond that they end as not sent.
const MAILBOX: usize = 256;

/// Of the idle timeout after which the backend closes a connection, the fraction for which it is reused at most:
/// no request may be written to a connection that the backend is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Limits on connections to backends, from the settings.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// For opening a connection.
    pub connect: Duration,
    /// After which backends close an idle connection.
    pub idle: Duration,
}

impl ConnectionLimits {
    /// How long an idle connection may be reused at most.
    fn max_reuse(&self) -> Duration {
        self.idle.mul_f64(IDLE_TIMEOUT_FRACTION)
    }
}

/// The decision actor's end of an endpoint actor, which ends when this is dropped.
pub(crate) struct EndpointHandle {
    /// Boxed: a mailbox allocates room for 32 messages at once, and most backends of a large fleet have none in it.
    pub mailbox: mpsc::Sender<Box<Exchange>>,
    /// What the list says of it now.
    pub info: watch::Sender<EndpointInfo>,
}

impl EndpointHandle {
    /// Starts the actor of a backend.
    pub(crate) fn start(
        info: EndpointInfo,
        limits: ConnectionLimits,
        budget: Rc<SocketBudget>,
        invariants: Rc<Invariants>,
    ) -> Self {
        let (mailbox, exchanges) = mpsc::channel(MAILBOX);
        let (sender, receiver) = watch::channel(info);
        let state = Rc::new(EndpointState {
            info: receiver,
            idle: Rc::new(IdleConnections::new(limits.max_reuse(), budget.clone())),
            connect_timeout: limits.connect,
            budget,
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
    async fn run(self, mut exchanges: mpsc::Receiver<Box<Exchange>>) {
        let state = self.state;
        let mut info = state.info.clone();
        let mut address = info.borrow_and_update().address;
        loop {
            select! {
                biased;
                changed = info.changed() => {
                    let now = *info.borrow_and_update();
                    if changed.is_err() || !now.ready || now.address != address {
                        state.idle.clear();
                        address = now.address;
                    }
                    if changed.is_err() {
                        return; // Gone from the list. Exchanges that run go on by themselves.
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
