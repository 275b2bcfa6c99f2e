//! The state of a client's connection: its phase, when it is to be closed, and whether it may be evicted.
use crate::downstream::connection_phase::{ConnectionPhase, ScheduledClose};
use crate::downstream::eviction::{EvictedService, Eviction, EvictionRank};
use crate::downstream::message_scan::{MessageScanner, ReceivedHead};
use crate::downstream::request_ids::ActiveRequestIds;
use crate::end_reason::EndReason;
use crate::event_loop::Peer;
use crate::lifecycle::state::DrainDeadlines;
use crate::net::body::DeliveryStatus;
use crate::net::observed_stream::{IoObserver, read_limit};
use crate::net::progress_deadline::ProgressDeadline;
use crate::net::socket_budget::{Evictable, EvictionRegistration, SocketBudget, SocketClass};
use crate::time_limits::{
    FIRST_BYTE_TIMEOUT, FIRST_HEAD_TIMEOUT, HEAD_TIMEOUT, IDLE_TIMEOUT, LINGER_TIMEOUT,
    NEW_CONNECTION_GRACE_PERIOD, RESPONSE_PROGRESS_BYTES, RESPONSE_STALL_TIMEOUT, RESPONSE_TIMEOUT,
};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of a client's connection, shared by its task, the observer of its stream and the socket budget.
pub(crate) struct ClientConnection {
    /// The connection's number in log lines.
    id: u64,
    /// The client's share of the event loop.
    peer: Rc<Peer>,
    phase: Cell<ConnectionPhase>,
    /// Whether the connection is closed after the current response, once the client has had time to read it.
    is_closing: Cell<bool>,
    scanner: RefCell<MessageScanner>,
    /// Whether all bytes of the current response were handed over to the connection.
    delivery: RefCell<DeliveryStatus>,
    /// Bytes that were written to the socket for the current response.
    response_bytes_written: Cell<u64>,
    budget: Rc<SocketBudget>,
    /// Present while the connection may be evicted.
    eviction_registration: RefCell<Option<EvictionRegistration>>,
    weak_self: Weak<ClientConnection>,
    /// Whether the budget has evicted the connection to make room for another one.
    eviction: Cell<Eviction>,
    opened_at: Instant,
    /// Wakes the message that waits until the previous response was written.
    response_written: Notify,
    /// Wakes the connection's task, which then recomputes the scheduled close.
    changed: Notify,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted now, and registers it as an eviction candidate. Its messages
    /// claim their ids in `request_ids`.
    pub(crate) fn new(
        id: u64,
        peer: Rc<Peer>,
        budget: &Rc<SocketBudget>,
        request_ids: ActiveRequestIds,
    ) -> Rc<Self> {
        let opened_at = Instant::now();
        let phase = ConnectionPhase::AwaitingFirstByte {
            deadline: opened_at + FIRST_BYTE_TIMEOUT,
        };
        let connection = Rc::new_cyclic(|weak_self| Self {
            id,
            peer,
            phase: phase.into(),
            is_closing: false.into(),
            scanner: MessageScanner::new(request_ids).into(),
            delivery: RefCell::default(),
            response_bytes_written: Cell::new(0),
            budget: budget.clone(),
            eviction_registration: RefCell::default(),
            weak_self: weak_self.clone(),
            eviction: Cell::new(Eviction::No),
            opened_at,
            response_written: Notify::new(),
            changed: Notify::new(),
        });
        connection.register_evictable();
        connection
    }

    /// Enters a phase. The connection may be evicted in it unless an RPC is in flight or its response is being written.
    pub(crate) fn enter(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        if phase.is_busy() && !self.has_waiting_messages() {
            self.eviction_registration.take();
        } else {
            self.register_evictable();
        }
        self.changed.notify_one();
    }

    /// Enters the phase in which a response is written. `delivery` is the delivery status of its body.
    pub(crate) fn begin_response(&self, delivery: DeliveryStatus) {
        self.delivery.replace(delivery);
        self.response_bytes_written.set(0);
        let now = Instant::now();
        let progress = ProgressDeadline::new(
            now,
            RESPONSE_STALL_TIMEOUT,
            RESPONSE_PROGRESS_BYTES,
            now + RESPONSE_TIMEOUT,
        );
        self.enter(ConnectionPhase::WritingResponse { progress });
    }

    /// Ends the current response. If part of the next message was already read, the connection is not idle: the
    /// deadline for a head applies.
    fn end_response(&self) {
        let now = Instant::now();
        let has_next_begun = self.scanner.borrow().is_inside_message();
        self.enter(if has_next_begun || self.has_waiting_messages() {
            ConnectionPhase::ReadingHead {
                deadline: now + HEAD_TIMEOUT,
            }
        } else {
            ConnectionPhase::Idle {
                deadline: now + IDLE_TIMEOUT,
            }
        });
        self.response_written.notify_one();
    }

    /// Waits until the socket has taken all of the previous response: a client that doesn't read gets no further message
    /// served.
    pub(crate) async fn previous_response_written(&self) {
        while matches!(self.phase.get(), ConnectionPhase::WritingResponse { .. }) {
            self.response_written.notified().await;
        }
    }

    /// The client's share of the event loop.
    pub(crate) fn peer(&self) -> &Rc<Peer> {
        &self.peer
    }

    /// The connection's number in log lines.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// The deadline of the current phase.
    pub(crate) fn phase_deadline(&self) -> Instant {
        self.phase.get().scheduled_close().at
    }

    /// Logs the end of the connection.
    pub(crate) fn log_end(&self, reason: EndReason) {
        log::log!(
            reason.level(),
            connection = self.id, reason:%, phase = self.phase.get().name(),
            messages = self.peer.messages(), age:? = self.opened_at.elapsed();
            "client connection ended"
        );
    }

    /// Whether an RPC is in flight or its response is being written.
    pub(crate) fn is_serving(&self) -> bool {
        self.phase.get().is_serving()
    }

    /// Whether further messages were received behind the one that is served.
    pub(crate) fn has_waiting_messages(&self) -> bool {
        self.waiting_messages() > 0
    }

    /// The number of messages that were received behind the one that is served.
    pub(crate) fn waiting_messages(&self) -> usize {
        self.scanner.borrow().complete_heads()
    }

    /// Whether the connection was evicted to make room for another one.
    pub(crate) fn is_evicted(&self) -> bool {
        self.eviction.get() != Eviction::No
    }

    /// Returns how a message whose head is complete is to be served if the connection was evicted.
    pub(crate) fn evicted_service(&self) -> EvictedService {
        match self.eviction.get() {
            Eviction::No => EvictedService::Serve,
            Eviction::BetweenMessages if self.has_waiting_messages() => {
                self.eviction.set(Eviction::WithMessages);
                EvictedService::Reject
            }
            Eviction::BetweenMessages => EvictedService::ServeAndClose,
            Eviction::WithMessages => EvictedService::Reject,
        }
    }

    /// Whether the messages that wait are rejected because the connection was evicted.
    pub(crate) fn rejects_messages(&self) -> bool {
        self.eviction.get() == Eviction::WithMessages
    }

    /// Returns the number of messages that were received and are rejected because the connection was evicted. `unscanned`
    /// are the bytes that were read and not handed over.
    pub(crate) fn rejected_messages(&self, unscanned: &[u8]) -> usize {
        if !self.rejects_messages() {
            return 0;
        }
        self.scan(unscanned);
        let is_one_begun = matches!(
            self.phase.get(),
            ConnectionPhase::AwaitingAdmission { .. } | ConnectionPhase::ReadingBody { .. }
        );
        usize::from(is_one_begun) + self.waiting_messages()
    }

    /// Whether the connection is closed after the current response.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Sets whether the connection is closed after the current response.
    pub(crate) fn set_closing(&self, is_closing: bool) {
        self.is_closing.set(is_closing);
    }

    /// Takes the head of the current message; none if no complete head was scanned.
    pub(crate) fn take_head(&self) -> Option<ReceivedHead> {
        self.scanner.borrow_mut().take_head()
    }

    /// Releases the ids of the messages that will have no response. A client may send such a request again on another
    /// connection as soon as it learns of the close.
    pub(crate) fn release_request_ids(&self) {
        self.scanner.borrow_mut().release_request_ids();
    }

    /// Registers the connection with the budget as the most recently active one of its rank.
    pub(crate) fn register_evictable(&self) {
        if self.is_evicted() {
            return;
        }
        if let Some(connection) = self.weak_self.upgrade() {
            let rank = self.eviction_rank() as u8;
            let registration =
                self.budget
                    .register_evictable(SocketClass::Clients, rank, &connection);
            self.eviction_registration.replace(Some(registration));
        }
    }

    fn eviction_rank(&self) -> EvictionRank {
        let rank = match self.phase.get() {
            ConnectionPhase::AwaitingFirstByte { .. } if self.grace_period_end().is_some() => {
                EvictionRank::New
            }
            ConnectionPhase::AwaitingFirstByte { .. } => EvictionRank::AwaitingFirstByte,
            // A higher rank for lingering would let rejected clients crowd out others.
            ConnectionPhase::Idle { .. } | ConnectionPhase::Lingering { .. } => EvictionRank::Idle,
            ConnectionPhase::ReadingHead { .. } => EvictionRank::ReadingHead,
            ConnectionPhase::ReadingBody { .. } => EvictionRank::ReadingBody,
            // `enter` registers these only if further messages wait.
            ConnectionPhase::AwaitingAdmission { .. }
            | ConnectionPhase::RpcInFlight { .. }
            | ConnectionPhase::WritingResponse { .. } => EvictionRank::Pipelining,
        };
        rank.with_waiting_messages(self.waiting_messages())
    }

    /// Returns the end of the grace period; none once it has passed or the client has sent a byte.
    pub(crate) fn grace_period_end(&self) -> Option<Instant> {
        let is_silent = matches!(self.phase.get(), ConnectionPhase::AwaitingFirstByte { .. });
        let grace_period_end = self.opened_at + NEW_CONNECTION_GRACE_PERIOD;
        (is_silent && Instant::now() < grace_period_end).then_some(grace_period_end)
    }

    /// Returns when and why the connection is closed if nothing else happens: the earliest of the phase's deadline, an
    /// eviction and the drain deadlines. Only the phase's deadline applies while an RPC is in flight or its response is
    /// being written.
    pub(crate) fn scheduled_close(&self, drain: Option<DrainDeadlines>) -> ScheduledClose {
        let phase = self.phase.get();
        let mut close = phase.scheduled_close();
        let is_rejected = self.rejects_messages() && !phase.is_serving();
        if phase.is_busy() && !is_rejected {
            return close;
        }
        if self.is_evicted() {
            // A time in the past, before the deadline of any phase, closes the connection at once.
            close = close.earlier(ScheduledClose::new(self.opened_at, EndReason::Evicted));
        }
        if let Some(drain) = drain {
            let deadline = self.drain_deadline(phase, drain);
            close = close.earlier(ScheduledClose::new(deadline, EndReason::Drained));
        }
        close
    }

    /// Returns when a connection in this phase is closed while the proxy is draining.
    fn drain_deadline(&self, phase: ConnectionPhase, drain: DrainDeadlines) -> Instant {
        match phase {
            // The client of a new connection may be about to send an RPC.
            ConnectionPhase::AwaitingFirstByte { .. } | ConnectionPhase::Idle { .. } => {
                drain.idle.max(self.opened_at + NEW_CONNECTION_GRACE_PERIOD)
            }
            _ => drain.incomplete_message,
        }
    }

    /// Enters the phase in which the client gets time to read the last response.
    pub(crate) fn begin_linger(&self) {
        self.enter(ConnectionPhase::Lingering {
            deadline: Instant::now() + LINGER_TIMEOUT,
        });
    }

    /// Waits until the phase changes or the connection is evicted.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the connection is evicted.
    pub(crate) async fn evicted(&self) {
        while !self.is_evicted() {
            self.changed().await;
        }
    }

    /// Finds the messages in bytes that the client has sent.
    fn scan(&self, bytes: &[u8]) {
        let parts = self.scanner.borrow_mut().feed(bytes);
        self.peer.charge_parts(parts);
    }

    /// Returns the deadline for a head whose first byte was received now.
    fn head_deadline(&self) -> Instant {
        let deadline = Instant::now() + HEAD_TIMEOUT;
        match self.phase.get() {
            ConnectionPhase::AwaitingFirstByte { .. } => {
                deadline.min(self.opened_at + FIRST_HEAD_TIMEOUT)
            }
            _ => deadline,
        }
    }
}

impl IoObserver for Rc<ClientConnection> {
    fn read_limit(&self) -> usize {
        read_limit(self.scanner.borrow().is_inside_body())
    }

    fn on_read(&self, bytes: &[u8]) {
        self.scan(bytes);
        match self.phase.get() {
            ConnectionPhase::AwaitingFirstByte { .. } | ConnectionPhase::Idle { .. } => {
                self.enter(ConnectionPhase::ReadingHead {
                    deadline: self.head_deadline(),
                });
            }
            ConnectionPhase::ReadingHead { .. } | ConnectionPhase::ReadingBody { .. } => {
                self.register_evictable();
            }
            _ => {}
        }
    }

    fn on_write(&self, bytes: u64) {
        if let ConnectionPhase::WritingResponse { mut progress } = self.phase.get() {
            self.response_bytes_written
                .update(|written| written + bytes);
            progress.record(self.response_bytes_written.get(), Instant::now());
            self.phase
                .set(ConnectionPhase::WritingResponse { progress });
        }
    }

    fn on_flush(&self) {
        let is_writing = matches!(self.phase.get(), ConnectionPhase::WritingResponse { .. });
        if is_writing && self.delivery.borrow().is_complete() {
            self.end_response();
        }
    }
}

impl Evictable for ClientConnection {
    /// Tells the connection's task to close the connection. Returns false, and does nothing, if a message is served and no
    /// further one waits behind it.
    fn evict(&self) -> bool {
        let has_waiting_messages = self.has_waiting_messages();
        let may_be_evicted =
            !self.is_evicted() && (!self.phase.get().is_busy() || has_waiting_messages);
        if may_be_evicted {
            self.eviction.set(if has_waiting_messages {
                Eviction::WithMessages
            } else {
                Eviction::BetweenMessages
            });
            self.changed.notify_one();
        }
        may_be_evicted
    }
}
