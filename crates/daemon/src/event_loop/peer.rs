//! The account of one peer: what its work costs, and its place in the queue.
use super::queue::{Place, WaitingWork, WorkQueue};
use super::usage::PeerUsage;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Cost of a message that is handled, in units: about one microsecond each.
const MESSAGE_COST: u64 = 16;
/// Cost of a read, besides that of its bytes, and of a part of a message that is found in them.
const PART_COST: u64 = 1;
/// Cost of a frame of a body that is handed on, besides that of reading it.
const FRAME_COST: u64 = 4;
/// Number of bytes before the end of a response's head that cost one unit, besides that of reading them: about an interim
/// response.
const HEAD_BYTES_PER_UNIT: u64 = 32;
/// Expected cost of a peer's first read, of which nothing is known.
const FIRST_READ_COST: u64 = 32;
/// Number of waiting messages from which on a message is delayed no further by them.
const MAX_WEIGHT_OF_WAITING_MESSAGES: usize = 15;
/// Number of bytes read that cost one unit.
const BYTES_PER_UNIT: u64 = 1 << 10;

/// Names a peer in log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerId {
    /// The client connection of this number.
    Client(u64),
    /// A connection to a backend.
    Backend,
    /// The discovery service.
    Discovery,
    /// The callers of the administrative address.
    Admin,
}

impl fmt::Display for PeerId {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Client(connection) => write!(to, "connection-{connection}"),
            Self::Backend => to.write_str("backend"),
            Self::Discovery => to.write_str("discovery"),
            Self::Admin => to.write_str("admin"),
        }
    }
}

/// The account of a peer.
pub(crate) struct Peer {
    id: PeerId,
    queue: Rc<WorkQueue>,
    /// The finish tag of its latest work.
    finish: Cell<u64>,
    /// What its current read has cost so far.
    read_cost: Cell<u64>,
    /// What was counted for the current read in advance and is not used up.
    prepaid: Cell<u64>,
    messages: Cell<u64>,
    usage: Cell<PeerUsage>,
}

impl Peer {
    /// Creates the account of a peer that has used nothing, and has no unused share either.
    pub(crate) fn new(id: PeerId, queue: &Rc<WorkQueue>) -> Rc<Self> {
        Rc::new(Self {
            id,
            queue: queue.clone(),
            finish: Cell::new(queue.virtual_time()),
            read_cost: Cell::new(FIRST_READ_COST),
            prepaid: Cell::new(0),
            messages: Cell::new(0),
            usage: Cell::default(),
        })
    }

    /// The number of messages that were handled.
    pub(crate) fn messages(&self) -> u64 {
        self.messages.get()
    }

    /// Waits until a message of the peer may be handled, behind which this number of others wait. They delay it among those of
    /// other peers: a client that sends one message at a time goes before one that sends many at once.
    pub(crate) async fn admit_message(self: &Rc<Self>, waiting_messages: usize) {
        self.return_prepaid();
        let mut admission = Admission::new(self.clone());
        let weight = 1 + waiting_messages.min(MAX_WEIGHT_OF_WAITING_MESSAGES) as u64;
        poll_fn(|cx| admission.poll_admit(cx, MESSAGE_COST, weight)).await;
        self.messages.update(|messages| messages + 1);
    }

    /// Waits until a frame of a body that the peer has sent may be handed on.
    pub(crate) async fn admit_frame(self: &Rc<Self>) {
        self.return_prepaid();
        let mut admission = Admission::new(self.clone());
        poll_fn(|cx| admission.poll_admit(cx, FRAME_COST, 1)).await;
    }

    /// Counts the bytes of a read.
    pub(crate) fn charge_read(&self, bytes: usize) {
        self.charge(PART_COST + bytes as u64 / BYTES_PER_UNIT);
    }

    /// Counts parts of messages, such as chunks, that were found in the bytes of the current read.
    pub(crate) fn charge_parts(&self, parts: usize) {
        self.charge(parts as u64 * PART_COST);
    }

    /// Counts bytes that were read while the head of a response was awaited. Interim responses may precede it.
    pub(crate) fn charge_head(&self, bytes: u64) {
        if bytes > 0 {
            self.charge(bytes / HEAD_BYTES_PER_UNIT);
        }
    }

    fn charge(&self, cost: u64) {
        self.read_cost.update(|total| total + cost);
        let prepaid = self.prepaid.get().min(cost);
        self.prepaid.update(|left| left - prepaid);
        let unpaid = cost - prepaid;
        self.finish.update(|finish| finish + unpaid);
        self.record_usage(unpaid);
        self.queue.charge(unpaid);
    }

    fn refund_read(&self) {
        let prepaid = self.return_prepaid();
        self.read_cost.update(|cost| cost.max(prepaid));
        self.queue.refund(prepaid);
    }

    /// Returns to the account what the previous read did not use up.
    fn return_prepaid(&self) -> u64 {
        let prepaid = self.prepaid.replace(0);
        self.finish.update(|finish| finish.saturating_sub(prepaid));
        prepaid
    }

    /// Reserves work of this cost at the end of the peer's earlier work, and returns its start tag. Its weight is the factor by
    /// which the peer's next work is later than without it.
    fn reserve(&self, cost: u64, weight: u64) -> u64 {
        let start_tag = self.queue.start_tag(self.finish.get());
        self.finish.set(start_tag + cost * weight);
        self.record_usage(cost);
        start_tag
    }

    /// Counts work for the log.
    fn record_usage(&self, units: u64) {
        let messages = self.messages.get();
        self.queue
            .usage
            .record(&self.usage, units, self.id, messages);
    }
}

/// A place at which the work of a peer waits until it is admitted.
pub(crate) struct Admission {
    peer: Rc<Peer>,
    waiting: Option<(Place, Rc<WaitingWork>)>,
}

impl Admission {
    /// Creates a place at which nothing waits.
    pub(crate) fn new(peer: Rc<Peer>) -> Self {
        Self {
            peer,
            waiting: None,
        }
    }

    /// Whether work waits.
    pub(crate) fn is_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// The account of the peer.
    pub(crate) fn peer(&self) -> &Rc<Peer> {
        &self.peer
    }

    /// Ready once the peer may read. What its previous read has cost is taken for the cost of this one.
    pub(crate) fn poll_read(&mut self, cx: &mut Context) -> Poll<()> {
        self.peer.return_prepaid();
        let expected = self.peer.read_cost.get();
        let admitted = self.poll_admit(cx, expected, 1);
        if admitted.is_ready() {
            self.peer.read_cost.set(0);
            self.peer.prepaid.set(expected);
        }
        admitted
    }

    /// Takes back the admission of a read that has found nothing.
    pub(crate) fn refund_read(&self) {
        self.peer.refund_read();
    }

    /// Ready once work of this cost and weight is admitted.
    fn poll_admit(&mut self, cx: &mut Context, cost: u64, weight: u64) -> Poll<()> {
        let Some((_, work)) = &self.waiting else {
            return self.begin_admit(cx, cost, weight);
        };
        if work.is_admitted.get() {
            self.waiting = None;
            return Poll::Ready(());
        }
        work.waker.borrow_mut().clone_from(cx.waker());
        Poll::Pending
    }

    fn begin_admit(&mut self, cx: &mut Context, cost: u64, weight: u64) -> Poll<()> {
        let queue = &self.peer.queue;
        let start_tag = self.peer.reserve(cost, weight);
        if queue.try_admit(start_tag, cost) {
            return Poll::Ready(());
        }
        let work = Rc::new(WaitingWork {
            cost,
            is_admitted: Cell::new(false),
            waker: RefCell::new(cx.waker().clone()),
        });
        let place = queue.enqueue(start_tag, work.clone());
        self.waiting = Some((place, work));
        Poll::Pending
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some((place, _)) = self.waiting.take() {
            self.peer.queue.remove(place);
        }
    }
}
