//! One client's connection: what it is doing, by when it ends, and whether it may be evicted for another.
use crate::downstream::head_scan::Framings;
use crate::downstream::message_scan::MessageScan;
use crate::end_reason::EndReason;
use crate::lifecycle::state::DrainDeadlines;
use crate::net::body::DeliveryStatus;
use crate::net::observed_stream::IoObserver;
use crate::net::progress_deadline::ProgressDeadline;
use crate::net::socket_budget::{Evictable, EvictionCandidate, SocketBudget, SocketClass};
use crate::time_limits::{
    FIRST_BYTE, FIRST_HEAD, HEAD, IDLE, LINGER, RESPONSE, RESPONSE_STALL, SETTLE,
};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes of a response that count as progress: any.
const RESPONSE_STEP: u64 = 1;

/// What a client's connection is doing, and by when it is over: there is no phase without a deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// The client has sent nothing yet, and is to by then.
    New(Instant),
    /// Between messages; the next one is to begin by then.
    Idle(Instant),
    /// A part of a head was received; the rest is to be by then.
    ReadingHead(Instant),
    /// The head is complete, the buffered part of the body is not; the message is to be answered by then.
    ReadingBody(Instant),
    /// The decision actor has the RPC, which is to be answered by then.
    RpcInFlight(Instant),
    /// The response is being written: each byte that the client takes moves the deadline, up to its bound.
    WritingResponse(ProgressDeadline),
    /// The last response was written, and the client may read it until then.
    Lingering(Instant),
}

impl Phase {
    /// Its name in the log.
    fn name(self) -> &'static str {
        match self {
            Self::New(_) => "New",
            Self::Idle(_) => "Idle",
            Self::ReadingHead(_) => "ReadingHead",
            Self::ReadingBody(_) => "ReadingBody",
            Self::RpcInFlight(_) => "RpcInFlight",
            Self::WritingResponse(_) => "WritingResponse",
            Self::Lingering(_) => "Lingering",
        }
    }

    /// When it is over, and the reason for which the connection ends then.
    fn deadline(self) -> (Instant, EndReason) {
        match self {
            Self::New(at) | Self::Idle(at) => (at, EndReason::IdleTimeout),
            Self::ReadingHead(at) => (at, EndReason::HeadTimeout),
            // Whoever reads the body or waits for the answer ends that before: this only holds if they don't.
            Self::ReadingBody(at) | Self::RpcInFlight(at) => (at, EndReason::AnswerOverdue),
            Self::WritingResponse(progress) => (progress.at(), EndReason::ResponseStalled),
            Self::Lingering(at) => (at, EndReason::LastResponse),
        }
    }

    /// An RPC is in flight or its response is being written.
    fn is_busy(self) -> bool {
        matches!(self, Self::RpcInFlight(_) | Self::WritingResponse(_))
    }
}

/// Ranks of idle connections: the lowest is evicted first, and of one rank the one that was silent for the longest. A
/// new one is settling at first: new connections would evict each other, while older ones stay idle. One with an RPC
/// is never evicted.
#[derive(Clone, Copy)]
enum EvictionRank {
    New,
    Idle,
    ReadingHead,
    Settling,
    ReadingBody,
}

/// The state of a client's connection, shared by its task, the observer of its stream and the socket budget.
pub(crate) struct ClientConnection {
    /// Its number in the log.
    id: u64,
    phase: Cell<Phase>,
    /// The response at hand is the last, or the stream is malformed: the connection is closed, after the client had
    /// time to read the response.
    is_closing: Cell<bool>,
    scan: RefCell<MessageScan>,
    /// Of the response at hand.
    delivery: RefCell<DeliveryStatus>,
    /// Bytes of the response at hand that the client has taken.
    written: Cell<u64>,
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
            phase: Phase::New(opened_at + FIRST_BYTE).into(),
            is_closing: false.into(),
            scan: RefCell::default(),
            delivery: RefCell::default(),
            written: Cell::new(0),
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

    /// Enters a phase, and may be evicted or not from then on.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        if phase.is_busy() {
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
        self.written.set(0);
        let now = Instant::now();
        let progress = ProgressDeadline::start(now, RESPONSE_STALL, RESPONSE_STEP, now + RESPONSE);
        self.enter(Phase::WritingResponse(progress));
    }

    /// The response at hand was written: what was read of a further message is waited for no longer than for any other.
    fn end_response(&self) {
        let now = Instant::now();
        let is_next_begun = self.scan.borrow().is_inside_message();
        self.enter(if is_next_begun {
            Phase::ReadingHead(now + HEAD)
        } else {
            Phase::Idle(now + IDLE)
        });
    }

    /// Its number in the log.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// By when its phase is over.
    pub(crate) fn deadline(&self) -> Instant {
        self.phase.get().deadline().0
    }

    /// Logs that the connection ended.
    pub(crate) fn log_end(&self, reason: EndReason) {
        log::log!(
            reason.level(),
            connection = self.id, reason:%, phase = self.phase.get().name(),
            age:? = self.opened_at.elapsed();
            "client connection ended"
        );
    }

    /// An RPC is in flight or its response is being written.
    pub(crate) fn is_busy(&self) -> bool {
        self.phase.get().is_busy()
    }

    /// The connection is closed after the response at hand.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Sets whether the connection is closed after the response at hand.
    pub(crate) fn set_closing(&self, is_closing: bool) {
        self.is_closing.set(is_closing);
    }

    /// Takes the framings that the head at hand declares; none if the bytes that were read hold no such head.
    pub(crate) fn take_framings(&self) -> Option<Framings> {
        self.scan.borrow_mut().take_framings()
    }

    /// Registers the connection with the budget, as the one of its rank that was silent for the shortest time.
    pub(crate) fn register_evictable(&self) {
        if let Some(connection) = self.weak_self.upgrade() {
            let rank = self.eviction_rank() as u8;
            let candidate = self
                .budget
                .register_evictable(SocketClass::Clients, rank, &connection);
            self.eviction.replace(Some(candidate));
        }
    }

    fn eviction_rank(&self) -> EvictionRank {
        match self.phase.get() {
            Phase::New(_) if self.settles_at().is_some() => EvictionRank::Settling,
            Phase::New(_) => EvictionRank::New,
            // Otherwise rejected clients that linger could crowd out others.
            Phase::Idle(_) | Phase::Lingering(_) => EvictionRank::Idle,
            Phase::ReadingHead(_) => EvictionRank::ReadingHead,
            Phase::ReadingBody(_) | Phase::RpcInFlight(_) | Phase::WritingResponse(_) => {
                EvictionRank::ReadingBody
            }
        }
    }

    /// The end of the settle period, while it lasts and the client has sent nothing.
    pub(crate) fn settles_at(&self) -> Option<Instant> {
        let is_new = matches!(self.phase.get(), Phase::New(_));
        Some(self.opened_at + SETTLE).filter(|end| is_new && Instant::now() < *end)
    }

    /// By when the connection ends if nothing else happens, and why. The earliest of three counts: the deadline of
    /// the phase, for a client that is silent or too slow; an eviction; and the drain deadlines. Only the first holds
    /// with an RPC in flight.
    pub(crate) fn ends_at(&self, drain: Option<DrainDeadlines>) -> (Instant, EndReason) {
        let phase = self.phase.get();
        let own = phase.deadline();
        if phase.is_busy() {
            return own;
        }
        let evicted = self.is_evicted.get();
        let evicted = evicted.then_some((self.opened_at, EndReason::Evicted));
        let drained = drain.map(|drain| match phase {
            // A new connection may still send an RPC.
            Phase::New(_) | Phase::Idle(_) => drain.idle.max(self.opened_at + SETTLE),
            _ => drain.incomplete_message,
        });
        let drained = drained.map(|deadline| (deadline, EndReason::Drained));
        let earlier = [evicted, drained].into_iter().flatten();
        earlier.fold(
            own,
            |first, other| if other.0 < first.0 { other } else { first },
        )
    }

    /// Lets the client read the last response for a while, unless another connection wants its socket.
    pub(crate) fn begin_linger(&self) {
        self.enter(Phase::Lingering(Instant::now() + LINGER));
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

    /// By when a head is to be complete whose first byte was received now.
    fn head_deadline(&self) -> Instant {
        let deadline = Instant::now() + HEAD;
        match self.phase.get() {
            Phase::New(_) => deadline.min(self.opened_at + FIRST_HEAD),
            _ => deadline,
        }
    }
}

impl IoObserver for Rc<ClientConnection> {
    fn on_read(&self, bytes: &[u8]) {
        self.scan.borrow_mut().feed(bytes);
        match self.phase.get() {
            Phase::New(_) | Phase::Idle(_) => self.enter(Phase::ReadingHead(self.head_deadline())),
            Phase::ReadingHead(_) | Phase::ReadingBody(_) => self.register_evictable(),
            _ => {}
        }
    }

    fn on_write(&self, bytes: u64) {
        if let Phase::WritingResponse(mut progress) = self.phase.get() {
            self.written.update(|written| written + bytes);
            progress.record(self.written.get(), Instant::now());
            self.phase.set(Phase::WritingResponse(progress));
        }
    }

    fn on_flush(&self) {
        let is_writing = matches!(self.phase.get(), Phase::WritingResponse(_));
        if is_writing && self.delivery.borrow().is_complete() {
            self.end_response();
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
