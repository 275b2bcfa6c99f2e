//! The pool of a backend's idle connections. A connection leaves it in one of four ways: the next exchange takes it,
//! its close task drops it when the backend closes it or its reuse time expires, the socket budget evicts it to make
//! room for another socket, or the endpoint actor clears the pool.
//!
//! HTTP/1.1 has no identifier that pairs a response with its request: the next response on a connection belongs to the
//! request on it only if nothing else was on its way when the request was written. A backend may repeat a response some
//! milliseconds late, and for the time of a round trip the proxy can't see that it did. The pool therefore keeps this
//! invariant: a connection is reused only if a repetition of its last response would be recognized by its content, or
//! after the backend has been silent on it for the quiet period.
use crate::net::outbound_connection::OutboundConnection;
use crate::net::socket_budget::{Evictable, EvictionRegistration, SocketBudget, SocketClass};
use crate::upstream::repeated_responses::{ResponseComparison, ResponseDigest};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::select;
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep_until};

/// Lower bound of the quiet period. A backend may repeat a response some milliseconds late, and the network adds to it.
const MIN_QUIET_PERIOD: Duration = Duration::from_millis(50);

/// Quiet period after a unique response, whose repetition would be recognized. It still spares attempts: they fail if one
/// is.
const QUIET_PERIOD_AFTER_UNIQUE: Duration = Duration::from_millis(5);

/// Number of exchanges without unsolicited bytes after which a backend counts as usually silent.
const EXCHANGES_UNTIL_SILENT: usize = 64;

/// Upper bound of the quiet period: a backend that sends bytes at any time must not cost a new connection for each
/// exchange.
const MAX_QUIET_PERIOD: Duration = Duration::from_millis(500);

/// Length of the quiet period in multiples of the longest delay at which unsolicited bytes were received.
const QUIET_PERIOD_FACTOR: u32 = 2;

/// Lower bound of the reuse time. Leaves time for reuse after the quiet period.
const MIN_REUSE_TIME: Duration = Duration::from_millis(100);

/// Factor by which each response on a reused connection extends the reuse time: 700 responses double it.
const REUSE_GROWTH_FACTOR: f64 = 1.001;

/// Eviction rank of all idle connections to backends: the one that has been idle for the longest is evicted first.
const EVICTION_RANK: u8 = 0;

/// A connection that was used before.
pub(super) struct ReusedConnection {
    /// The connection.
    pub connection: OutboundConnection,
    /// Its last response, if an equal one is a repetition of it.
    pub last_response: Option<ResponseDigest>,
}

/// An idle connection, its registration as an eviction candidate and the task that waits for its close.
struct IdleConnection {
    /// None once the connection was taken or evicted.
    connection: RefCell<Option<OutboundConnection>>,
    last_used: Instant,
    /// Its last response, if that can be compared.
    last_response: Option<ResponseDigest>,
    registration: RefCell<Option<EvictionRegistration>>,
    /// Removes the connection from the pool when it is closed or expires.
    close_task: RefCell<Option<JoinHandle<()>>>,
}

impl IdleConnection {
    fn new(connection: OutboundConnection, last_response: Option<ResponseDigest>) -> Self {
        let last_used = connection.last_used;
        Self {
            connection: RefCell::new(Some(connection)),
            last_used,
            last_response,
            registration: RefCell::default(),
            close_task: RefCell::default(),
        }
    }

    /// Returns how long the connection has been idle, if the backend has sent bytes meanwhile.
    fn unsolicited_after(&self) -> Option<Duration> {
        let connection = self.connection.borrow();
        connection
            .as_ref()
            .is_some_and(OutboundConnection::has_unsolicited_bytes)
            .then(|| self.last_used.elapsed())
    }
}

impl Evictable for IdleConnection {
    fn evict(&self) -> bool {
        self.connection.borrow_mut().take().is_some()
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        if let Some(close_task) = self.close_task.take() {
            close_task.abort();
        }
    }
}

/// The pool of one backend's idle connections.
pub(crate) struct IdleConnections {
    /// Ordered by their last use, the most recent last.
    idle: RefCell<Vec<Rc<IdleConnection>>>,
    /// How long the backend must have been silent on a connection before it is reused. Adapts to the backend.
    quiet_period: Cell<Duration>,
    /// Number of exchanges since the backend last sent bytes that no request asked for.
    exchanges_since_unsolicited: Cell<usize>,
    comparison: Rc<ResponseComparison>,
    /// How long a connection may be idle and still be reused. Adapts to the network path to the backend.
    reuse_time: Cell<Duration>,
    /// Upper bound of `reuse_time`, from the settings.
    max_reuse_time: Duration,
    budget: Rc<SocketBudget>,
}

impl IdleConnections {
    /// Creates an empty pool whose connections are reused for at most `max_reuse_time`.
    pub(crate) fn new(
        max_reuse_time: Duration,
        budget: Rc<SocketBudget>,
        comparison: Rc<ResponseComparison>,
    ) -> Self {
        Self {
            idle: RefCell::default(),
            quiet_period: Cell::new(MIN_QUIET_PERIOD),
            exchanges_since_unsolicited: Cell::new(EXCHANGES_UNTIL_SILENT),
            comparison,
            reuse_time: Cell::new(max_reuse_time),
            max_reuse_time,
            budget,
        }
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that were last used at this time or before.
    pub(crate) fn close_unused_since(&self, time: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.last_used > time);
    }

    /// Extends the reuse time a little after a response on a reused connection.
    pub(crate) fn extend_reuse_time(&self) {
        self.reuse_time
            .update(|time| time.mul_f64(REUSE_GROWTH_FACTOR).min(self.max_reuse_time));
    }

    /// Shortens the reuse time after a connection that had been idle for `idle_for` failed when it was reused. Prevents
    /// repeated resets on a path that drops idle connections sooner than the configured idle timeout.
    pub(crate) fn shorten_reuse_time(&self, idle_for: Duration) {
        self.reuse_time
            .update(|time| (idle_for / 2).max(MIN_REUSE_TIME).min(time));
    }

    /// Records that a response was a repetition of this one, `delay` after it.
    pub(super) fn record_repetition(&self, response: ResponseDigest, delay: Duration) {
        log::debug!(response:?, delay:?; "repeated response");
        // A rejection may as well have been meant for the request, so it says nothing about the backend.
        if let ResponseDigest::Served(_) = response {
            self.extend_quiet_period(delay);
        }
    }

    /// Extends the quiet period after the backend has sent bytes that no request asked for, `delay` after a response. It
    /// applies to all connections until the backend has not done so for a number of exchanges.
    fn extend_quiet_period(&self, delay: Duration) {
        let quiet_period = (delay * QUIET_PERIOD_FACTOR).min(MAX_QUIET_PERIOD);
        self.quiet_period
            .update(|current| current.max(quiet_period));
        self.exchanges_since_unsolicited.set(0);
    }

    /// Takes the most recently used connection that is open and has been silent for its quiet period.
    pub(super) async fn take(&self) -> Option<ReusedConnection> {
        // Lets the event loop receive bytes that follow a response: they would be read as the response to the next
        // request.
        yield_now().await;
        loop {
            let idle = self.pop_latest()?;
            let connection = idle.connection.borrow_mut().take();
            if let Some(mut connection) = connection
                && connection.is_usable().await
            {
                return Some(ReusedConnection {
                    connection,
                    last_response: self.recognizable_response(&idle),
                });
            }
        }
    }

    /// Takes the most recently used connection that has been idle for its quiet period, and closes those whose reuse time
    /// has expired.
    fn pop_latest(&self) -> Option<Rc<IdleConnection>> {
        let now = Instant::now();
        let reuse_time = self.reuse_time.get();
        let mut all = self.idle.borrow_mut();
        let expired = all.partition_point(|idle| idle.last_used + reuse_time <= now);
        all.drain(..expired);
        let latest = all
            .iter()
            .rposition(|idle| idle.last_used + self.quiet_period_of(idle) <= now)?;
        Some(all.remove(latest))
    }

    /// Returns how long the backend must have been silent on a connection before it is reused.
    fn quiet_period_of(&self, idle: &IdleConnection) -> Duration {
        if self.is_usually_silent() && self.recognizable_response(idle).is_some() {
            QUIET_PERIOD_AFTER_UNIQUE
        } else {
            self.quiet_period.get()
        }
    }

    /// Returns the last response on a connection, if an equal one is a repetition of it.
    fn recognizable_response(&self, idle: &IdleConnection) -> Option<ResponseDigest> {
        idle.last_response.filter(|response| match response {
            ResponseDigest::Served(_) => self.comparison.are_distinct(),
            ResponseDigest::Rejection(_) => !self.is_usually_silent(),
        })
    }

    /// Whether the backend has sent no unsolicited bytes lately.
    fn is_usually_silent(&self) -> bool {
        self.exchanges_since_unsolicited.get() >= EXCHANGES_UNTIL_SILENT
    }

    /// Adds a connection for reuse, with its last response if that can be compared.
    pub(super) fn insert(
        self: &Rc<Self>,
        connection: OutboundConnection,
        last_response: Option<ResponseDigest>,
    ) {
        self.exchanges_since_unsolicited
            .update(|exchanges| exchanges.saturating_add(1));
        let idle = Rc::new(IdleConnection::new(connection, last_response));
        let registration =
            self.budget
                .register_evictable(SocketClass::Backends, EVICTION_RANK, &idle);
        idle.registration.replace(Some(registration));
        let expiry = idle.last_used + self.reuse_time.get();
        let removal = self
            .clone()
            .remove_when_closed(Rc::downgrade(&idle), expiry);
        idle.close_task.replace(Some(spawn_local(removal)));
        self.idle.borrow_mut().push(idle);
    }

    /// Removes one idle connection from the pool when the backend closes it, or at `expiry`. Each connection has a task of
    /// its own, woken by its socket, so that the cost of a response doesn't grow with the number of idle connections.
    async fn remove_when_closed(self: Rc<Self>, idle: Weak<IdleConnection>, expiry: Instant) {
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
            if let Some(idle_for) = idle.unsolicited_after() {
                log::debug!(idle_for:?; "idle connection received unsolicited bytes");
                self.extend_quiet_period(idle_for);
            }
            self.idle
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &idle));
        }
    }
}
