//! The socket budget: limits the open sockets of clients and of backends, and evicts idle ones to make room for new ones.
//!
//! Each open socket has a [`SocketPermit`], which is acquired first and returned to the budget when it is dropped.
use crate::lifecycle::process_group::MAX_DESCRIPTORS as PROCESS_GROUP_DESCRIPTORS;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// Maximum number of concurrent admin connections; each has a reserved descriptor.
pub(crate) const ADMIN_CONNECTIONS: usize = 8;
/// Descriptors reserved for standard streams, listeners, epoll, discovery and connections beyond the budget that are
/// rejected.
const BASE_RESERVED_DESCRIPTORS: usize = 39;
/// All reserved descriptors, including those of admin connections and of the process group.
const RESERVED_DESCRIPTORS: usize =
    BASE_RESERVED_DESCRIPTORS + ADMIN_CONNECTIONS + PROCESS_GROUP_DESCRIPTORS;
/// Part of all sockets that long requests and responses may hold in each class: the protocol lets ordinary clients hold no
/// more for all their requests.
const LONG_TRANSFER_FRACTION: usize = 3;
/// Minimum number of sockets in the budget, however low the configured limit is.
const MIN_SOCKETS: usize = 8;

/// A class of sockets with its own limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SocketClass {
    /// Connections that clients opened.
    Clients,
    /// Connections that this proxy opened to backends.
    Backends,
}

/// A connection that can be evicted to make room for another one while no exchange uses it.
pub(crate) trait Evictable {
    /// Closes the connection, or has it closed by its task. Returns false, and does nothing, if it is in use.
    fn evict(&self) -> bool;
}

/// Order of eviction: the lowest rank first, within a rank the earliest registration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    rank: u8,
    registration: u64,
}

/// The budget of one class of sockets.
#[derive(Default)]
struct ClassBudget {
    open: Cell<usize>,
    limit: Cell<usize>,
    /// Whether the exhaustion was logged. Reset once the class has a free permit again.
    is_exhaustion_logged: Cell<bool>,
    evictable: RefCell<BTreeMap<EvictionOrder, Weak<dyn Evictable>>>,
    next_registration: Cell<u64>,
}

/// The budget of all sockets of clients and backends.
pub(crate) struct SocketBudget {
    sockets: usize,
    clients: ClassBudget,
    backends: ClassBudget,
    long_transfers: Cell<usize>,
    long_transfer_limit: Cell<usize>,
}

/// The permit for one request or response that is too long to be buffered: its client may hold a connection of each class
/// for as long as it likes to write or read. Returned to the budget when dropped.
pub(crate) struct LongTransferPermit(Rc<SocketBudget>);

/// The permit for one open socket. Returned to the budget when dropped.
pub(crate) struct SocketPermit {
    budget: Rc<SocketBudget>,
    class: SocketClass,
}

/// The registration of an [`Evictable`]. Withdrawn when dropped.
pub(crate) struct EvictionRegistration {
    budget: Rc<SocketBudget>,
    class: SocketClass,
    order: EvictionOrder,
}

/// Returns the system's limit of open descriptors for this process; none if it can't be read.
fn descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl SocketBudget {
    /// Creates a budget of the configured number of sockets, or of the system's descriptor limit if that is lower.
    /// Otherwise clients could take the last descriptor, which the connection to the discovery service needs.
    pub(crate) fn new(configured: usize) -> Rc<Self> {
        let sockets = configured.min(descriptor_limit().unwrap_or(configured));
        if sockets < configured {
            log::warn!(
                "limits.sockets is {configured}, but the system permits {sockets} descriptors: using the lower limit"
            );
        }
        let budget = Self {
            sockets,
            clients: ClassBudget::default(),
            backends: ClassBudget::default(),
            long_transfers: Cell::new(0),
            long_transfer_limit: Cell::new(0),
        };
        budget.divide(1);
        Rc::new(budget)
    }

    /// Divides the budget evenly among this number of processes, and evicts idle connections that exceed the new
    /// limits.
    pub(crate) fn divide(&self, processes: usize) {
        let sockets = (self.sockets / processes)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_SOCKETS);
        self.long_transfer_limit
            .set((self.sockets / processes / LONG_TRANSFER_FRACTION).max(1));
        self.clients.limit.set(sockets / 2);
        self.backends.limit.set(sockets - sockets / 2);
        for class in [SocketClass::Clients, SocketClass::Backends] {
            for _ in 0..self.excess(class) {
                self.evict_first(class);
            }
        }
    }

    /// Evicts the first candidate that is still idle; false if there is none. A client's connection is closed by its
    /// task, shortly afterwards.
    pub(crate) fn evict_first(&self, class: SocketClass) -> bool {
        loop {
            let first = self.class(class).evictable.borrow_mut().pop_first();
            let Some((_, candidate)) = first else {
                return false;
            };
            if candidate
                .upgrade()
                .is_some_and(|candidate| candidate.evict())
            {
                return true;
            }
        }
    }

    /// Acquires a permit for one more long request or response; none if they hold as many sockets as they may. The others are
    /// left to the RPCs of other clients.
    pub(crate) fn acquire_long_transfer(self: &Rc<Self>) -> Option<LongTransferPermit> {
        if self.long_transfers.get() >= self.long_transfer_limit.get() {
            return None;
        }
        self.long_transfers.update(|transfers| transfers + 1);
        Some(LongTransferPermit(self.clone()))
    }

    /// Acquires a permit for one more socket, and evicts an idle connection if the limit is reached; none if no connection
    /// is idle.
    pub(crate) fn acquire(self: &Rc<Self>, class: SocketClass) -> Option<SocketPermit> {
        let budget = self.class(class);
        let is_exhausted = budget.open.get() >= budget.limit.get();
        if is_exhausted && !self.evict_first(class) {
            if !budget.is_exhaustion_logged.replace(true) {
                log::warn!(
                    "socket budget of {class:?} exhausted: {} open, none idle, rejecting further ones",
                    budget.open.get()
                );
            }
            return None;
        }
        Some(self.acquire_beyond_limit(class))
    }

    /// Acquires a permit whether or not the limit of the class is reached. The socket has a reserved descriptor.
    pub(crate) fn acquire_beyond_limit(self: &Rc<Self>, class: SocketClass) -> SocketPermit {
        self.class(class).open.update(|open| open + 1);
        SocketPermit {
            budget: self.clone(),
            class,
        }
    }

    /// Registers an idle connection as a candidate for eviction, until the returned registration is dropped. The lowest
    /// rank is evicted first. This runs with every response, so its cost is logarithmic in the number of candidates.
    pub(crate) fn register_evictable<E: Evictable + 'static>(
        self: &Rc<Self>,
        class: SocketClass,
        rank: u8,
        evictable: &Rc<E>,
    ) -> EvictionRegistration {
        let budget = self.class(class);
        let registration = budget.next_registration.get();
        budget.next_registration.set(registration + 1);
        let order = EvictionOrder { rank, registration };
        let evictable = Rc::<E>::downgrade(evictable);
        budget.evictable.borrow_mut().insert(order, evictable);
        EvictionRegistration {
            budget: self.clone(),
            class,
            order,
        }
    }

    /// Returns the number of open sockets of this class.
    pub(crate) fn open_sockets(&self, class: SocketClass) -> usize {
        self.class(class).open.get()
    }

    /// Returns the number of open sockets beyond the limit of the class.
    pub(crate) fn excess(&self, class: SocketClass) -> usize {
        let limit = self.class(class).limit.get();
        self.open_sockets(class).saturating_sub(limit)
    }

    fn class(&self, class: SocketClass) -> &ClassBudget {
        match class {
            SocketClass::Clients => &self.clients,
            SocketClass::Backends => &self.backends,
        }
    }
}

impl Drop for LongTransferPermit {
    fn drop(&mut self) {
        self.0.long_transfers.update(|transfers| transfers - 1);
    }
}

impl Drop for EvictionRegistration {
    fn drop(&mut self) {
        let budget = self.budget.class(self.class);
        budget.evictable.borrow_mut().remove(&self.order);
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        let budget = self.budget.class(self.class);
        budget.open.update(|open| open - 1);
        if budget.open.get() < budget.limit.get() {
            budget.is_exhaustion_logged.set(false);
        }
    }
}

#[cfg(test)]
mod tests;
