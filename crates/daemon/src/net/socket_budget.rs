//! The budget of sockets: how many may be open for clients and for backends, and which idle one is closed
//! to make room for a new one.
//!
//! Whoever opens a socket first acquires a [`SocketPermit`] and keeps it for as long as the socket is open.
//! The count goes down in one place only, when the permit is dropped.
use crate::lifecycle::process_group::MAX_DESCRIPTORS as PROCESS_GROUP_DESCRIPTORS;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// Admin connections at a time; each has a descriptor set aside.
pub(crate) const ADMIN_CONNECTIONS: usize = 8;
/// Descriptors set aside for standard streams, listeners, epoll, discovery, connections beyond the budget that
/// are rejected, admin calls and what is shared with other processes.
const RESERVED_DESCRIPTORS: usize = 40 + ADMIN_CONNECTIONS + PROCESS_GROUP_DESCRIPTORS;
/// Sockets that are left for use however small the configured limit is.
const MIN_SOCKETS: usize = 8;

/// The two classes of sockets, each with its own limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SocketClass {
    /// Connections that clients opened.
    Clients,
    /// Connections that this proxy opened to backends.
    Backends,
}

/// An idle connection that can be closed to make room for another.
pub(crate) trait Evictable {
    /// Closes it if it is still idle; false if it is not.
    fn evict(&self) -> bool;
}

/// Position among the eviction candidates: the lowest rank first, then the earliest registered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    rank: u8,
    registration: u64,
}

/// Sockets of one class.
#[derive(Default)]
struct ClassBudget {
    open: Cell<usize>,
    limit: Cell<usize>,
    /// The log line about the exhausted class was written; not again until a permit is given back.
    exhaustion_logged: Cell<bool>,
    evictable: RefCell<BTreeMap<EvictionOrder, Weak<dyn Evictable>>>,
    next_registration: Cell<u64>,
}

/// Counts all sockets of clients and backends.
pub(crate) struct SocketBudget {
    sockets: usize,
    clients: ClassBudget,
    backends: ClassBudget,
}

/// The right to one open socket; given back when dropped.
pub(crate) struct SocketPermit {
    budget: Rc<SocketBudget>,
    class: SocketClass,
}

/// A registered [`Evictable`]; withdrawn when this is dropped.
pub(crate) struct EvictionCandidate {
    budget: Rc<SocketBudget>,
    class: SocketClass,
    order: EvictionOrder,
}

/// Descriptors that the operating system allows this process, if that can be read.
fn descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl SocketBudget {
    /// A budget of the configured number of sockets, or fewer where the system allows no more. Otherwise clients
    /// could take the last descriptor, which the connection to discovery needs.
    pub(crate) fn new(configured: usize) -> Rc<Self> {
        let sockets = configured.min(descriptor_limit().unwrap_or(configured));
        if sockets < configured {
            log::warn!(
                "limits.sockets is {configured}, but the machine allows {sockets} descriptors"
            );
        }
        let budget = Self {
            sockets,
            clients: ClassBudget::default(),
            backends: ClassBudget::default(),
        };
        budget.divide(1);
        Rc::new(budget)
    }

    /// Shares the budget evenly among so many processes; what is idle beyond this one's part is evicted.
    pub(crate) fn divide(&self, processes: usize) {
        let sockets = (self.sockets / processes)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_SOCKETS);
        self.clients.limit.set(sockets / 2);
        self.backends.limit.set(sockets - sockets / 2);
        for class in [SocketClass::Clients, SocketClass::Backends] {
            for _ in 0..self.excess(class) {
                self.evict_oldest(class);
            }
        }
    }

    /// Evicts the first candidate that is still idle; false if there is none.
    pub(crate) fn evict_oldest(&self, class: SocketClass) -> bool {
        loop {
            let first = self.class(class).evictable.borrow_mut().pop_first();
            let Some((_, candidate)) = first else {
                return false;
            };
            // A client's connection is closed by its own task a moment later.
            if candidate
                .upgrade()
                .is_some_and(|candidate| candidate.evict())
            {
                return true;
            }
        }
    }

    /// A permit for one more socket; where none is left the longest idle connection is evicted for it.
    pub(crate) fn acquire(self: &Rc<Self>, class: SocketClass) -> Option<SocketPermit> {
        let budget = self.class(class);
        let exhausted = budget.open.get() >= budget.limit.get();
        if exhausted && !self.evict_oldest(class) {
            if !budget.exhaustion_logged.replace(true) {
                log::warn!(
                    "no socket left for {class:?}: {} are open, none idle",
                    budget.open.get()
                );
            }
            return None;
        }
        Some(self.acquire_beyond_limit(class))
    }

    /// A permit out of the reserve, whatever the limit of the class is.
    pub(crate) fn acquire_beyond_limit(self: &Rc<Self>, class: SocketClass) -> SocketPermit {
        self.class(class).open.update(|open| open + 1);
        SocketPermit {
            budget: self.clone(),
            class,
        }
    }

    /// Registers a connection that may be evicted for a new socket, for as long as the candidate lives; the
    /// lowest rank is evicted first. The cost grows with the logarithm of the number registered: a walk over all idle
    /// sockets with every response would be too dear.
    pub(crate) fn register_evictable<E: Evictable + 'static>(
        self: &Rc<Self>,
        class: SocketClass,
        rank: u8,
        evictable: &Rc<E>,
    ) -> EvictionCandidate {
        let budget = self.class(class);
        let registration = budget.next_registration.get();
        budget.next_registration.set(registration + 1);
        let order = EvictionOrder { rank, registration };
        let evictable = Rc::<E>::downgrade(evictable);
        budget.evictable.borrow_mut().insert(order, evictable);
        EvictionCandidate {
            budget: self.clone(),
            class,
            order,
        }
    }

    /// Sockets of this class that are open now.
    pub(crate) fn open_sockets(&self, class: SocketClass) -> usize {
        self.class(class).open.get()
    }

    /// Open sockets beyond the limit of the class, out of the reserve.
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

impl Drop for EvictionCandidate {
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
            budget.exhaustion_logged.set(false);
        }
    }
}

#[cfg(test)]
mod tests;
