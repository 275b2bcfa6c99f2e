//! Accepts clients' connections within the socket budget, and starts a task for each.
use crate::clock::until;
use crate::downstream::connection_task::ConnectionTask;
use crate::downstream::request_parser::RequestParser;
use crate::downstream::rpc_service::RpcService;
use crate::lifecycle::state::ProxyState;
use crate::messages::Event;
use crate::net::socket_budget::{SocketBudget, SocketClass};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};

/// Connections beyond the budget that still get a rejection, at a time.
const EXCESS_CONNECTION_LIMIT: usize = 16;
/// Before the next accept where no socket is to be had.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections of clients.
pub(crate) struct Listener {
    service: Rc<RpcService>,
    state: watch::Receiver<ProxyState>,
    budget: Rc<SocketBudget>,
    /// Counts the connections, for the log.
    next_connection: Cell<u64>,
}

/// What ends a wait for the next connection.
enum AcceptEvent {
    Accepted(io::Result<TcpStream>),
    StateChanged,
    DeadlineReached,
}

impl Listener {
    /// Accepts clients within the budget and hands their RPCs over as events.
    pub(crate) fn new(
        parser: RequestParser,
        state: watch::Receiver<ProxyState>,
        budget: Rc<SocketBudget>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            service: Rc::new(RpcService::new(parser, state.clone(), events)),
            state,
            budget,
            next_connection: Cell::new(0),
        }
    }

    /// Accepts until this process is to accept no more.
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut state = self.state.clone();
        let mut is_deadline_reached = false;
        let mut is_failure_logged = false;
        loop {
            let (accepts_until, is_inherited) = {
                let state = state.borrow_and_update();
                (state.accept_deadline(), state.inherited_listener)
            };
            let is_over = accepts_until.is_some_and(|end| end <= Instant::now());
            // What waits on a socket that outlives this process is accepted by another.
            if is_inherited && is_over {
                return;
            }
            match next_event(&listener, &mut state, accepts_until).await {
                AcceptEvent::Accepted(Ok(stream)) => {
                    is_failure_logged = false;
                    self.start(stream).await;
                }
                AcceptEvent::Accepted(Err(error)) => {
                    if !is_failure_logged {
                        log::warn!("no connection accepted: {error}");
                    }
                    is_failure_logged = true;
                    self.make_room().await;
                }
                AcceptEvent::StateChanged => {}
                AcceptEvent::DeadlineReached if is_deadline_reached => return,
                AcceptEvent::DeadlineReached => {
                    // The timer fires before the event loop polls the socket: one more accept is tried.
                    is_deadline_reached = true;
                    yield_now().await;
                }
            }
        }
    }

    /// Starts the task of a connection, and waits while too many are beyond the budget.
    async fn start(&self, stream: TcpStream) {
        let permit = self.budget.acquire(SocketClass::Clients);
        let is_beyond_budget = permit.is_none();
        let permit =
            permit.unwrap_or_else(|| self.budget.acquire_beyond_limit(SocketClass::Clients));
        let id = self.next_connection.replace(self.next_connection.get() + 1);
        log::debug!(connection = id, beyond_budget = is_beyond_budget; "client connection accepted");
        let task = ConnectionTask {
            id,
            service: self.service.clone(),
            state: self.state.clone(),
            budget: self.budget.clone(),
            permit,
            is_beyond_budget,
        };
        spawn_local(task.run(stream));
        // What it has brought is read before the next connection may evict it.
        yield_now().await;
        while self.budget.excess(SocketClass::Clients) > EXCESS_CONNECTION_LIMIT {
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }

    /// Evicts an idle connection where the system has fewer sockets than were configured.
    async fn make_room(&self) {
        self.budget.evict_oldest(SocketClass::Clients);
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Waits for a connection first of all: one that the system has accepted would be reset as the socket is closed.
async fn next_event(
    listener: &TcpListener,
    state: &mut watch::Receiver<ProxyState>,
    accepts_until: Option<Instant>,
) -> AcceptEvent {
    select! {
        biased;
        accepted = listener.accept() => AcceptEvent::Accepted(accepted.map(|(stream, _)| stream)),
        _ = state.changed() => AcceptEvent::StateChanged,
        () = until(accepts_until) => AcceptEvent::DeadlineReached,
    }
}
