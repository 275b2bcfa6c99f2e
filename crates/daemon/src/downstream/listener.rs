//! The listener for clients: accepts connections within the socket budget and starts a task for each.
use crate::clock::until;
use crate::downstream::connection_task::ConnectionTask;
use crate::downstream::request_ids::ActiveRequestIds;
use crate::downstream::request_parser::RequestParser;
use crate::downstream::rpc_service::RpcService;
use crate::event_loop::{PeerId, WorkQueue, measure_turns};
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

/// Number of open connections beyond the budget above which accepting pauses. Their RPCs are rejected.
const EXCESS_CONNECTION_LIMIT: usize = 16;
/// Backoff before the next accept during a persistent shortage of sockets, or while accepting pauses because too many
/// connections are beyond the budget.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(10);
/// Backoff after the first failed accept; doubled with each further one.
const INITIAL_ACCEPT_BACKOFF: Duration = Duration::from_millis(1);
/// Consecutive failed accepts after which a shortage of sockets counts as persistent.
const PERSISTENT_SHORTAGE_FAILURES: u32 = 6;
/// How long a shortage counts as persistent after the latest eviction.
const PERSISTENT_SHORTAGE_PERIOD: Duration = Duration::from_secs(1);

/// The listener for clients' connections.
pub(crate) struct Listener {
    service: Rc<RpcService>,
    state: watch::Receiver<ProxyState>,
    budget: Rc<SocketBudget>,
    work: Rc<WorkQueue>,
    invariants: Rc<Invariants>,
    /// The number of the next connection in log lines.
    next_connection: Cell<u64>,
    /// Until when a shortage of sockets counts as persistent.
    persistent_shortage_until: Cell<Option<Instant>>,
}

/// An event that the listener waits for.
enum AcceptEvent {
    /// A connection was accepted, or the accept failed.
    Accepted(io::Result<TcpStream>),
    /// The state of the proxy changed.
    StateChanged,
    /// The accept deadline of a shutdown was reached.
    DeadlineReached,
}

impl Listener {
    /// Creates a listener that sends RPCs to the decision actor through `events`.
    pub(crate) fn new(
        parser: RequestParser,
        request_ids: ActiveRequestIds,
        state: watch::Receiver<ProxyState>,
        budget: Rc<SocketBudget>,
        work: Rc<WorkQueue>,
        invariants: Rc<Invariants>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let service = RpcService::new(
            parser,
            request_ids,
            state.clone(),
            invariants.clone(),
            events,
        );
        Self {
            service: Rc::new(service),
            state,
            budget,
            work,
            invariants,
            next_connection: Cell::new(0),
            persistent_shortage_until: Cell::default(),
        }
    }

    /// Accepts connections until the accept deadline of a shutdown.
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut state = self.state.clone();
        let mut is_deadline_reached = false;
        let mut failures = 0;
        loop {
            let (accept_deadline, is_inherited) = {
                let state = state.borrow_and_update();
                (state.accept_deadline(), state.inherited_listener)
            };
            let is_over = accept_deadline.is_some_and(|deadline| deadline <= Instant::now());
            // Connections still queued on an inherited socket are accepted by another process.
            if is_inherited && is_over {
                return;
            }
            match next_event(&listener, &mut state, accept_deadline).await {
                AcceptEvent::Accepted(Ok(stream)) => {
                    failures = 0;
                    self.start(stream).await;
                }
                AcceptEvent::Accepted(Err(error)) => {
                    self.handle_accept_error(&error, &mut failures).await;
                }
                AcceptEvent::StateChanged => {}
                AcceptEvent::DeadlineReached if is_deadline_reached => return,
                AcceptEvent::DeadlineReached => {
                    // The timer fires before the event loop polls the socket, so accept is tried once more.
                    is_deadline_reached = true;
                    yield_now().await;
                }
            }
        }
    }

    /// Logs a failed accept, and backs off if the system has no socket left. `failures` counts the consecutive failures
    /// for that reason.
    async fn handle_accept_error(&self, error: &io::Error, failures: &mut u32) {
        // The error of one connection says nothing about the next one in the queue.
        if !is_resource_shortage(error) {
            log::debug!("connection ended before it was accepted: {error}");
            yield_now().await;
            return;
        }
        if *failures == 0 {
            log::warn!("accepting connections failed, retrying: {error}");
        }
        *failures += 1;
        self.wait_for_socket(*failures).await;
    }

    /// Starts the task of a connection, then waits while too many connections are beyond the budget.
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
            work: self.work.clone(),
            invariants: self.invariants.clone(),
            permit,
            is_beyond_budget,
        };
        let work = self.work.clone();
        spawn_local(async move {
            measure_turns(work.monitor(), PeerId::Client(id), task.run(stream)).await;
        });
        // Lets the task read an RPC that has already arrived, before the next connection may evict this one.
        yield_now().await;
        while self.budget.excess(SocketClass::Clients) > EXCESS_CONNECTION_LIMIT {
            // Evicted connections may take their time to end, but not the place of those that wait to be accepted.
            self.budget.evict_first(SocketClass::Clients);
            sleep(SHORTAGE_BACKOFF).await;
        }
    }

    /// Waits before the next accept, after this number of consecutive failures for lack of a socket. A persistent
    /// shortage means that the system provides fewer sockets than configured: an idle connection is evicted. No
    /// connection is evicted for a brief shortage.
    async fn wait_for_socket(&self, failures: u32) {
        let now = Instant::now();
        let is_persistent = self
            .persistent_shortage_until
            .get()
            .is_some_and(|until| now < until);
        if is_persistent || failures >= PERSISTENT_SHORTAGE_FAILURES {
            self.persistent_shortage_until
                .set(Some(now + PERSISTENT_SHORTAGE_PERIOD));
            self.budget.evict_first(SocketClass::Clients);
            sleep(SHORTAGE_BACKOFF).await;
        } else {
            sleep(INITIAL_ACCEPT_BACKOFF * 2_u32.pow(failures - 1)).await;
        }
    }
}

/// Waits for the next event. Connections take priority: closing the listening socket resets those that the kernel has
/// established but this process has not accepted.
async fn next_event(
    listener: &TcpListener,
    state: &mut watch::Receiver<ProxyState>,
    accept_deadline: Option<Instant>,
) -> AcceptEvent {
    select! {
        biased;
        accepted = listener.accept() => AcceptEvent::Accepted(accepted.map(|(stream, _)| stream)),
        _ = state.changed() => AcceptEvent::StateChanged,
        () = until(accept_deadline) => AcceptEvent::DeadlineReached,
    }
}
