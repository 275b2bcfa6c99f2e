//! One actor for each backend. It starts a task for each exchange and drops the backend's idle connections when
//! the backend leaves the list, stops being ready or moves. A running exchange owns its connection.
use crate::net::sockets::{Connection, SocketBudget};
use crate::upstream::attempt;
use crate::upstream::exchange::Exchange;
use crate::upstream::idle_connections::IdleConnections;
use hyper::HeaderMap;
use hyper::header::CONNECTION;
use std::net::SocketAddr;
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

/// What the endpoint list says of a backend's sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointInfo {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new exchanges.
    pub ready: bool,
}

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
    ) -> Self {
        let (mailbox, exchanges) = mpsc::channel(MAILBOX);
        let (sender, receiver) = watch::channel(info);
        let state = Rc::new(EndpointState {
            info: receiver,
            idle: Rc::new(IdleConnections::new(limits.max_reuse(), budget.clone())),
            connect_timeout: limits.connect,
            budget,
        });
        spawn_local(EndpointActor { state }.run(exchanges));
        Self {
            mailbox,
            info: sender,
        }
    }
}

/// What an endpoint actor shares with the tasks of its exchanges.
pub(super) struct EndpointState {
    /// What the list says of it now.
    pub info: watch::Receiver<EndpointInfo>,
    /// Its idle connections.
    pub idle: Rc<IdleConnections>,
    /// For opening a connection.
    pub connect_timeout: Duration,
    /// Gives the permit for each connection.
    pub budget: Rc<SocketBudget>,
}

impl EndpointState {
    /// Where the backend listens now.
    pub(super) fn address(&self) -> SocketAddr {
        self.info.borrow().address
    }

    /// Waits until the backend takes no new exchanges, or has gone from the list.
    pub(super) async fn unavailable(&self) {
        let mut info = self.info.clone();
        // An error means that the backend has gone from the list.
        let _ = info.wait_for(|info| !info.ready).await.map(drop);
    }

    /// Keeps a connection to `address` for the next exchange, unless the connection or its backend ends, or the
    /// backend has moved meanwhile.
    pub(super) async fn keep(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        headers: &HeaderMap,
    ) {
        let closes = headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || !connection.is_open().await {
            return;
        }
        let unchanged = EndpointInfo {
            address,
            ready: true,
        };
        let is_listed = self.info.has_changed().is_ok();
        if is_listed && *self.info.borrow() == unchanged {
            self.idle.insert(connection);
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
