//! One client's connection: what it is doing, by when it ends, and whether it may be evicted for another.
use crate::downstream::head::{Framings, HeadScan};
use crate::end_reason::EndReason;
use crate::net::body::DeliveryStatus;
use crate::net::observed_stream::IoObserver;
use crate::net::socket_budget::{Evictable, EvictionCandidate, SocketBudget, SocketClass};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// For a head, from its first byte or the connect: usual clients take up to 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Between messages: usual clients send the next one far sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// For a client that takes no byte of its response.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// For a new connection to send its RPC, also while the proxy drains or another connection could have its place.
const SETTLE_PERIOD: Duration = Duration::from_millis(300);

/// What a client's connection is doing. Idle connections are evicted in this order, the one that was silent for the
/// longest first, but a new one only after those with a part of a head; one with an RPC never is.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// The client has sent nothing yet.
    New,
    /// Between messages.
    Idle,
    /// A part of a head was received.
    ReadingHead,
    /// The head is complete; the buffered part of the body is not.
    ReadingBody,
    /// The decision actor has the RPC.
    RpcInFlight,
    /// The response is being written.
    WritingResponse,
}

/// By when connections without an RPC in flight end while the proxy drains.
#[derive(Clone, Copy)]
pub(crate) struct DrainDeadlines {
    /// Of a connection between messages.
    pub idle: Instant,
    /// Of a connection that has sent a part of a message.
    pub incomplete_message: Instant,
}

/// The state of a client's connection, shared by its task, the observer of its stream and the socket budget.
pub(crate) struct ClientConnection {
    /// Its number in the log.
    id: u64,
    phase: Cell<Phase>,
    /// The response at hand is the last, or the stream is malformed: the connection is closed, after the client had
    /// time to read the response.
    is_closing: Cell<bool>,
    /// By when the head at hand is to be complete, the next one to begin, or a byte of a response to be taken.
    deadline: Cell<Instant>,
    head_scan: RefCell<HeadScan>,
    /// Of the response at hand.
    delivery: RefCell<DeliveryStatus>,
    budget: Rc<SocketBudget>,
    /// Held while the connection may be evicted.
    eviction: RefCell<Option<EvictionCandidate>>,
    weak_self: Weak<ClientConnection>,
    /// The budget wants its permit for another connection; reset once an RPC is in flight.
    is_evicted: Cell<bool>,
    opened_at: Instant,
    /// Wakes the connection's task, for it to look at the deadlines again.
    changed: Notify,
}

impl ClientConnection {
    /// The state of a connection that was opened now, registered as an eviction candidate.
    pub(crate) fn new(id: u64, budget: &Rc<SocketBudget>) -> Rc<Self> {
        let opened_at = Instant::now();
        let connection = Rc::new_cyclic(|weak_self| Self {
            id,
            phase: Phase::New.into(),
            is_closing: false.into(),
            deadline: (opened_at + HEAD_TIMEOUT).into(),
            head_scan: RefCell::default(),
            delivery: RefCell::default(),
            budget: budget.clone(),
            eviction: RefCell::default(),
            weak_self: weak_self.clone(),
            is_evicted: false.into(),
            opened_at,
            changed: Notify::new(),
        });
        connection.register_evictable();
        connection
    }

    /// Enters a phase: the deadline begins anew, and the connection may be evicted or not.
    pub(crate) fn enter(&self, phase: Phase) {
        let timeout = match phase {
            Phase::Idle => IDLE_TIMEOUT,
            Phase::WritingResponse => RESPONSE_STALL_TIMEOUT,
            _ => HEAD_TIMEOUT,
        };
        self.deadline.set(Instant::now() + timeout);
        self.phase.set(phase);
        if self.is_busy() {
            self.eviction.take();
            self.is_evicted.set(false);
        } else {
            self.register_evictable();
        }
        self.changed.notify_one();
    }

    /// Enters the phase of writing a response with this delivery.
    pub(crate) fn begin_response(&self, delivery: DeliveryStatus) {
        self.delivery.replace(delivery);
        self.enter(Phase::WritingResponse);
    }

    /// Lets the budget evict the connection while it only lingers, as any idle one: otherwise rejected clients could
    /// crowd out others.
    pub(crate) fn begin_linger(&self) {
        self.phase.set(Phase::Idle);
        self.register_evictable();
    }

    /// Its number in the log.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Logs that the connection ended.
    pub(crate) fn log_end(&self, reason: EndReason) {
        log::log!(
            reason.level(),
            connection = self.id, reason:% = reason, phase:? = self.phase.get(),
            age:? = self.opened_at.elapsed();
            "client connection ended"
        );
    }

    /// An RPC is in flight or its response is being written.
    pub(crate) fn is_busy(&self) -> bool {
        self.phase.get() >= Phase::RpcInFlight
    }

    /// The connection is closed after the response at hand.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Sets whether the connection is closed after the response at hand.
    pub(crate) fn set_closing(&self, is_closing: bool) {
        self.is_closing.set(is_closing);
    }

    /// Takes the framings that the head at hand declares.
    pub(crate) fn take_framings(&self) -> Framings {
        self.head_scan.take().found()
    }

    /// Registers the connection with the budget, as the one of its rank that was silent for the shortest time.
    pub(crate) fn register_evictable(&self) {
        if let Some(connection) = self.weak_self.upgrade() {
            let rank = self.eviction_rank();
            let candidate = self
                .budget
                .register_evictable(SocketClass::Clients, rank, &connection);
            self.eviction.replace(Some(candidate));
        }
    }

    /// The lowest rank is evicted first. A new connection has a high one at first: new connections would evict
    /// each other, while older ones stay idle.
    fn eviction_rank(&self) -> u8 {
        match self.phase.get() {
            Phase::New if self.settles_at().is_some() => Phase::ReadingHead as u8 + 1,
            phase @ (Phase::New | Phase::Idle | Phase::ReadingHead) => phase as u8,
            phase => phase as u8 + 1,
        }
    }

    /// The end of the settle period, while it lasts and the client has sent nothing.
    pub(crate) fn settles_at(&self) -> Option<Instant> {
        Some(self.opened_at + SETTLE_PERIOD)
            .filter(|end| self.phase.get() == Phase::New && Instant::now() < *end)
    }

    /// By when the connection ends if nothing else happens, and why; never by itself with an RPC in flight. The
    /// earliest of three counts: the deadline of the phase, for a client that is silent or too slow; an eviction; and
    /// the drain deadlines.
    pub(crate) fn ends_at(&self, drain: Option<DrainDeadlines>) -> Option<(Instant, EndReason)> {
        let own_reason = match self.phase.get() {
            Phase::New | Phase::Idle => EndReason::IdleTimeout,
            Phase::WritingResponse => EndReason::ResponseStalled,
            _ => EndReason::HeadTimeout,
        };
        let own = Some((self.deadline.get(), own_reason));
        let evicted = self.is_evicted.get();
        let evicted = evicted.then_some((self.opened_at, EndReason::Evicted));
        let incomplete = drain.map(|drain| drain.incomplete_message);
        let (own, drain) = match self.phase.get() {
            // A new connection may still send an RPC.
            Phase::New | Phase::Idle => {
                let settled_at = self.opened_at + SETTLE_PERIOD;
                (own, drain.map(|drain| drain.idle.max(settled_at)))
            }
            Phase::ReadingHead => (own, incomplete),
            Phase::ReadingBody => (None, incomplete),
            Phase::RpcInFlight => return None,
            Phase::WritingResponse => return own,
        };
        let drain = drain.map(|deadline| (deadline, EndReason::Drained));
        let ends = [own, drain, evicted].into_iter().flatten();
        ends.min_by_key(|(deadline, _)| *deadline)
    }

    /// Waits until the phase changes or the connection is evicted.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the connection is evicted.
    pub(crate) async fn evicted(&self) {
        while !self.is_evicted.get() {
            self.changed().await;
        }
    }
}

impl IoObserver for Rc<ClientConnection> {
    fn on_read(&self, bytes: &[u8]) {
        if matches!(self.phase.get(), Phase::New | Phase::Idle) {
            self.head_scan.replace(HeadScan::default());
            self.enter(Phase::ReadingHead);
        }
        match self.phase.get() {
            Phase::ReadingHead => {
                self.head_scan.borrow_mut().feed(bytes);
                self.register_evictable();
            }
            Phase::ReadingBody => self.register_evictable(),
            _ => {}
        }
    }

    fn on_write(&self, _bytes: u64) {
        if self.phase.get() == Phase::WritingResponse {
            self.deadline.set(Instant::now() + RESPONSE_STALL_TIMEOUT);
        }
    }

    fn on_flush(&self) {
        if self.phase.get() == Phase::WritingResponse && self.delivery.borrow().is_complete() {
            self.enter(Phase::Idle);
        }
    }
}

impl Evictable for ClientConnection {
    fn evict(&self) -> bool {
        let is_idle = !self.is_busy();
        if is_idle {
            self.is_evicted.set(true);
            self.changed.notify_one();
        }
        is_idle
    }
}
