//! The queue of the peers whose work waits for a later round of the event loop.
use super::monitor::LoopMonitor;
use super::usage::UsageWindow;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};

/// Work that is admitted in one round of the event loop, in units of [`super::Peer`].
pub(super) const ROUND_ALLOWANCE: u64 = 128;

/// Work that a peer may do before its share is due, if it has used less than that lately, in units: about three messages. An
/// RPC is admitted in several steps, and those of a usual client must not wait for all busy peers at each of them.
const UNUSED_SHARE_LIMIT: u64 = 64;

/// The place of waiting work: its start tag, then the order of arrival.
pub(super) type Place = (u64, u64);

/// Work that waits for its admission.
pub(super) struct WaitingWork {
    /// The cost that is known in advance.
    pub cost: u64,
    /// Whether it was admitted.
    pub is_admitted: Cell<bool>,
    /// Wakes the task that waits.
    pub waker: RefCell<Waker>,
}

/// Admits the work of all peers: a fixed amount in each round of the event loop.
pub(crate) struct WorkQueue {
    /// The start tag of the work that was admitted last.
    virtual_time: Cell<u64>,
    /// Work that was admitted in this round.
    used: Cell<u64>,
    waiting: RefCell<BTreeMap<Place, Rc<WaitingWork>>>,
    arrivals: Cell<u64>,
    is_round_requested: Cell<bool>,
    round_requested: Notify,
    /// What the peers use, for the log.
    pub(super) usage: UsageWindow,
    monitor: Rc<LoopMonitor>,
}

impl WorkQueue {
    /// Creates the queue, and starts the task that begins its rounds.
    pub(crate) fn start(monitor: Rc<LoopMonitor>) -> Rc<Self> {
        let queue = Rc::new(Self::new(monitor));
        spawn_local(queue.clone().run_rounds());
        queue
    }

    /// Measures the event loop.
    pub(crate) fn monitor(&self) -> &Rc<LoopMonitor> {
        &self.monitor
    }

    /// Creates a queue whose rounds begin when [`WorkQueue::begin_round`] is called.
    pub(super) fn new(monitor: Rc<LoopMonitor>) -> Self {
        Self {
            virtual_time: Cell::new(0),
            used: Cell::new(0),
            waiting: RefCell::default(),
            arrivals: Cell::new(0),
            is_round_requested: Cell::new(false),
            round_requested: Notify::new(),
            usage: UsageWindow::new(),
            monitor,
        }
    }

    /// The start tag of the work that was admitted last.
    pub(super) fn virtual_time(&self) -> u64 {
        self.virtual_time.get()
    }

    /// The start tag of work that arrives now from a peer whose earlier work has this finish tag.
    pub(super) fn start_tag(&self, finish: u64) -> u64 {
        finish.max(self.virtual_time.get().saturating_sub(UNUSED_SHARE_LIMIT))
    }

    /// Admits work at once if nothing waits and the round's allowance is not used up; false otherwise.
    pub(super) fn try_admit(&self, start_tag: u64, cost: u64) -> bool {
        let is_admitted = self.used.get() < ROUND_ALLOWANCE && self.waiting.borrow().is_empty();
        if is_admitted {
            self.admit(start_tag, cost);
        }
        is_admitted
    }

    /// Adds work to the queue. It is admitted in a later round.
    pub(super) fn enqueue(&self, start_tag: u64, work: Rc<WaitingWork>) -> Place {
        let place = (start_tag, self.arrivals.get());
        self.arrivals.set(place.1 + 1);
        self.waiting.borrow_mut().insert(place, work);
        self.usage.record_wait();
        self.request_round();
        place
    }

    /// Removes work that no longer waits.
    pub(super) fn remove(&self, place: Place) {
        self.waiting.borrow_mut().remove(&place);
    }

    /// Counts work of this round that was found only when it was done.
    pub(super) fn charge(&self, cost: u64) {
        self.used.update(|used| used + cost);
        // Requested before the allowance is used up, so that ordinary work never waits.
        if self.used.get() > ROUND_ALLOWANCE / 2 {
            self.request_round();
        }
    }

    /// Takes back work of this round that was counted and not done.
    pub(super) fn refund(&self, cost: u64) {
        self.used.update(|used| used.saturating_sub(cost));
    }

    /// Begins a round: admits waiting work up to the allowance.
    pub(super) fn begin_round(&self) {
        self.used.set(0);
        if let Some(busiest) = self.usage.end_if_over() {
            self.monitor.record_busiest(busiest);
        }
        while self.used.get() < ROUND_ALLOWANCE {
            let Some(((start_tag, _), work)) = self.waiting.borrow_mut().pop_first() else {
                return;
            };
            self.admit(start_tag, work.cost);
            work.is_admitted.set(true);
            work.waker.borrow().wake_by_ref();
        }
    }

    fn admit(&self, start_tag: u64, cost: u64) {
        self.virtual_time
            .update(|virtual_time| virtual_time.max(start_tag));
        self.charge(cost);
    }

    fn request_round(&self) {
        if !self.is_round_requested.replace(true) {
            self.round_requested.notify_one();
        }
    }

    /// Begins a round each time the event loop has polled all sockets and timers, as long as there is work.
    async fn run_rounds(self: Rc<Self>) {
        loop {
            self.round_requested.notified().await;
            // Resumes after the event loop has polled its sockets and timers.
            yield_now().await;
            self.is_round_requested.set(false);
            self.begin_round();
            if !self.waiting.borrow().is_empty() {
                self.request_round();
            }
        }
    }
}
