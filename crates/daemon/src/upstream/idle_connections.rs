//! The idle connections of one backend. An idle connection belongs to this pool and may be closed by four: the
//! next exchange takes it out, its watch drops it when the backend closes it or it has been idle for too long,
//! the socket budget evicts it for another socket, and the endpoint actor clears the pool.
use crate::net::connection::Connection;
use crate::net::socket_budget::{Evictable, EvictionCandidate, SocketBudget, SocketClass};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::select;
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep_until};

/// Least time for which an idle connection may be reused: most are used again sooner.
const MIN_REUSE: Duration = Duration::from_millis(50);

/// Factor on the time of reuse with each response on a reused connection: doubles it in 700 responses.
const REUSE_GROWTH: f64 = 1.001;

/// For which a connection has to be silent after a response: bytes that follow the response in this time would be
/// read as the response to the next request.
const QUIET_PERIOD: Duration = Duration::from_millis(5);

/// Rank of idle connections to backends among their class of the socket budget: all alike, the longest idle first.
const EVICTION_RANK: u8 = 0;

/// An idle connection, registered with the socket budget for eviction, and the task that watches it.
struct IdleConnection {
    /// None once it was taken or evicted.
    connection: RefCell<Option<Connection>>,
    last_used: Instant,
    candidate: RefCell<Option<EvictionCandidate>>,
    watch: RefCell<Option<JoinHandle<()>>>,
}

impl IdleConnection {
    fn new(connection: Connection) -> Self {
        let last_used = connection.last_used;
        Self {
            connection: RefCell::new(Some(connection)),
            last_used,
            candidate: RefCell::default(),
            watch: RefCell::default(),
        }
    }
}

impl Evictable for IdleConnection {
    fn evict(&self) -> bool {
        self.connection.borrow_mut().take().is_some()
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

/// The pool of one backend's idle connections.
pub(crate) struct IdleConnections {
    /// By their last use, the latest last.
    idle: RefCell<Vec<Rc<IdleConnection>>>,
    /// How long a connection may be idle and still be reused, as far as has proved good.
    reuse_within: Cell<Duration>,
    /// The upper bound of `reuse_within`, from the settings.
    max_reuse: Duration,
    budget: Rc<SocketBudget>,
}

impl IdleConnections {
    /// An empty pool whose connections are reused within `max_reuse`.
    pub(crate) fn new(max_reuse: Duration, budget: Rc<SocketBudget>) -> Self {
        Self {
            idle: RefCell::default(),
            reuse_within: Cell::new(max_reuse),
            max_reuse,
            budget,
        }
    }

    /// Closes all of them.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes those that were last used at this time or before.
    pub(crate) fn close_unused_since(&self, time: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.last_used > time);
    }

    /// A reused connection has brought a response: connections are reused for a little longer.
    pub(crate) fn extend_reuse(&self) {
        self.reuse_within
            .update(|time| time.mul_f64(REUSE_GROWTH).min(self.max_reuse));
    }

    /// A connection that was idle for so long broke when it was reused: connections are reused for less. Prevents
    /// repeated resets on a path that forgets connections sooner than the settings say.
    pub(crate) fn shorten_reuse(&self, idle_for: Duration) {
        self.reuse_within
            .update(|time| (idle_for / 2).max(MIN_REUSE).min(time));
    }

    /// Takes out the latest used connection that is open and has been quiet since its response.
    pub(crate) async fn take(&self) -> Option<Connection> {
        // Lets the event loop see what has come: bytes behind a response would be read as the response to the
        // next request.
        yield_now().await;
        loop {
            let idle = self.pop_latest()?;
            let connection = idle.connection.borrow_mut().take();
            if let Some(mut connection) = connection
                && connection.is_usable().await
            {
                return Some(connection);
            }
        }
    }

    /// Takes out the latest used one that has been quiet, and closes those idle for too long to be reused.
    fn pop_latest(&self) -> Option<Rc<IdleConnection>> {
        let now = Instant::now();
        let reuse_within = self.reuse_within.get();
        let mut all = self.idle.borrow_mut();
        let expired = all.partition_point(|idle| idle.last_used + reuse_within <= now);
        all.drain(..expired);
        let latest = all
            .iter()
            .rposition(|idle| idle.last_used + QUIET_PERIOD <= now)?;
        Some(all.remove(latest))
    }

    /// Keeps a connection for the next exchange.
    pub(crate) fn insert(self: &Rc<Self>, connection: Connection) {
        let idle = Rc::new(IdleConnection::new(connection));
        let candidate = self
            .budget
            .register_evictable(SocketClass::Backends, EVICTION_RANK, &idle);
        idle.candidate.replace(Some(candidate));
        let expiry = idle.last_used + self.reuse_within.get();
        let watch = self.clone().watch(Rc::downgrade(&idle), expiry);
        idle.watch.replace(Some(spawn_local(watch)));
        self.idle.borrow_mut().push(idle);
    }

    /// Watches one idle connection: drops it when the backend closes it or it has been idle until `expiry`. A task
    /// for each, woken by its own socket, so that no response costs a look at all of them.
    async fn watch(self: Rc<Self>, idle: Weak<IdleConnection>, expiry: Instant) {
        let closed = poll_fn(|cx| {
            let is_closed = |idle: Rc<IdleConnection>| {
                let mut connection = idle.connection.borrow_mut();
                connection
                    .as_mut()
                    .is_none_or(|connection| connection.poll_closed(cx))
            };
            if idle.upgrade().is_none_or(is_closed) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        });
        select! {
            () = closed => {}
            () = sleep_until(expiry) => {}
        }
        if let Some(idle) = idle.upgrade() {
            self.idle
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &idle));
        }
    }
}
