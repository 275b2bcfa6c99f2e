//! Accepts clients' connections within the socket budget, and starts a task for each.
use crate::clock::until;
use crate::downstream::connection_task::ConnectionTask;
use crate::downstream::request_parser::RequestParser;
use crate::downstream::rpc_service::RpcService;
use crate::invariants::Invariants;
use crate::lifecycle::state::ProxyState;
use crate::messages::Event;
use crate::net::local_error::is_resource_shortage;
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
/// Before the accept after the first that failed; then twice as long each time.
const FIRST_ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Failed accepts in a row from which on a shortage is taken to last: an idle connection is evicted for the next.
const LASTING_SHORTAGE: u32 = 6;
/// For which a shortage counts as lasting after an eviction was needed.
const SHORTAGE_PERIOD: Duration = Duration::from_secs(1);

/// Accepts connections of clients.
pub(crate) struct Listener {
    service: Rc<RpcService>,
    state: watch::Receiver<ProxyState>,
    budget: Rc<SocketBudget>,
    invariants: Rc<Invariants>,
    /// Counts the connections, for the log.
    next_connection: Cell<u64>,
    /// Until when a shortage of sockets counts as lasting.
    short_until: Cell<Option<Instant>>,
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
        invariants: Rc<Invariants>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let service = RpcService::new(parser, state.clone(), invariants.clone(), events);
        Self {
            service: Rc::new(service),
            state,
            budget,
            invariants,
            next_connection: Cell::new(0),
            short_until: Cell::default(),
        }
    }

    /// Accepts until this process is to accept no more.
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut state = self.state.clone();
        let mut is_deadline_reached = false;
        let mut failures = 0;
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
                    failures = 0;
                    self.start(stream).await;
                }
                // The next one in the queue has nothing to do with it.
                AcceptEvent::Accepted(Err(error)) if !is_resource_shortage(&error) => {
                    log::debug!("a connection ended before it was accepted: {error}");
                    yield_now().await;
                }
                AcceptEvent::Accepted(Err(error)) => {
                    if failures == 0 {
                        log::warn!("no connection accepted: {error}");
                    }
                    failures += 1;
                    self.wait_for_socket(failures).await;
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
            invariants: self.invariants.clone(),
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

    /// Waits before the next accept after so many failed in a row for want of a socket. Where that lasts the system has
    /// fewer sockets than were configured, and an idle connection is evicted; a moment's failure costs no client its
    /// connection.
    async fn wait_for_socket(&self, failures: u32) {
        let now = Instant::now();
        let is_lasting = self.short_until.get().is_some_and(|until| now < until);
        if is_lasting || failures >= LASTING_SHORTAGE {
            self.short_until.set(Some(now + SHORTAGE_PERIOD));
            self.budget.evict_oldest(SocketClass::Clients);
            sleep(ACCEPT_RETRY_DELAY).await;
        } else {
            sleep(FIRST_ACCEPT_RETRY_DELAY * 2_u32.pow(failures - 1)).await;
        }
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
