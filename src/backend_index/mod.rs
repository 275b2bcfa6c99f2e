//! Index of the backends by number and by subset, so that no decision iterates over all backends.
//!
//! It is updated when the state of a backend changes. Its caller decides which backends are
//! available.
use crate::backend::Backend;
use crate::rng::{Rng, hash_pair};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Maximum number of backends that one random choice scans, which bounds its cost in a large fleet.
const SCAN_LIMIT: usize = 64;
/// Number of random members that are tried before part of a subset with more than [`SCAN_LIMIT`]
/// members is scanned. It suffices if a fifth of the members fit.
const RANDOM_TRIES: usize = 16;

/// A set of backends to choose from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Subset {
    /// The backends that are ready according to the endpoint list.
    Ready,
    /// The ready backends that are available for a random choice.
    Available,
    /// The available backends in the zone of this proxy.
    AvailableLocal,
    /// The ready backends of one zone.
    Zone(usize),
    /// The ready backends of one cell.
    Cell(u64),
    /// The backends that are not ready, kept while they are still in use.
    Unready,
}

impl Subset {
    /// Returns the slot of this subset in [`Backend::index_positions`]. `Ready` and `Unready` share
    /// a slot because they are mutually exclusive.
    fn slot(self) -> usize {
        match self {
            Self::Ready | Self::Unready => 0,
            Self::Available => 1,
            Self::AvailableLocal => 2,
            Self::Zone(_) => 3,
            Self::Cell(_) => 4,
        }
    }

    /// Returns `Ready` or `Unready`.
    fn for_readiness(ready: bool) -> Self {
        if ready { Self::Ready } else { Self::Unready }
    }
}

/// The backends that this proxy knows.
#[derive(Default)]
pub(crate) struct BackendIndex {
    /// Zone of this proxy; the backends in it are local.
    pub own_zone: usize,
    /// Number of updates of the endpoint list so far.
    pub updates: u64,
    by_id: BTreeMap<u32, Rc<Backend>>,
    subsets: HashMap<Subset, Vec<Rc<Backend>>>,
    /// Expiry times of temporary states such as ejections, each with the number of the backend.
    /// Times are stored as bits, which compare like the times because none is negative.
    expiries: BinaryHeap<Reverse<(u64, u32)>>,
}

impl BackendIndex {
    /// Returns the backend with this number, if it is known.
    pub(crate) fn get(&self, id: u32) -> Option<&Rc<Backend>> {
        self.by_id.get(&id)
    }

    /// Returns the backend with this number, and creates it if it is not known.
    pub(crate) fn get_or_insert(&mut self, id: u32) -> Rc<Backend> {
        let new_backend = || Rc::new(Backend::new(id));
        self.by_id.entry(id).or_insert_with(new_backend).clone()
    }

    /// Returns whether no backend is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the members of a subset.
    pub(crate) fn subset(&self, subset: Subset) -> &[Rc<Backend>] {
        self.subsets.get(&subset).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of members of a subset.
    pub(crate) fn count(&self, subset: Subset) -> usize {
        self.subset(subset).len()
    }

    /// Returns the number of ready backends.
    pub(crate) fn ready_count(&self) -> usize {
        self.count(Subset::Ready)
    }

    /// Returns the `count` highest-ranked cells for a key by weighted rendezvous hashing, with the
    /// number of ready backends as weight. They are the same at every proxy.
    pub(crate) fn cells_of_key(&self, key: u64, count: usize) -> Vec<Subset> {
        let score = |(subset, members): (&Subset, &Vec<_>)| match subset {
            Subset::Cell(cell) => {
                let score = hash_pair(key, *cell).ln() / members.len() as f64;
                Some((score, *cell))
            }
            _ => None,
        };
        let mut cells: Vec<_> = self.subsets.iter().filter_map(score).collect();
        cells.sort_by(|a, b| b.partial_cmp(a).expect("no NaN"));
        let first_cells = cells.iter().take(count);
        first_cells.map(|(_, cell)| Subset::Cell(*cell)).collect()
    }

    /// Returns a random member of a subset that fits. In a large subset a few random members are
    /// tried before a bounded number of members is scanned from a random position.
    pub(crate) fn pick_random(
        &self,
        subset: Subset,
        rng: &Rng,
        fits: impl Fn(&Rc<Backend>) -> bool,
    ) -> Option<Rc<Backend>> {
        let members = self.subset(subset);
        if members.len() > SCAN_LIMIT {
            for _ in 0..RANDOM_TRIES {
                let backend = &members[rng.index(members.len())];
                if fits(backend) {
                    return Some(backend.clone());
                }
            }
        }
        let start = rng.index(members.len().max(1));
        let length = members.len().min(SCAN_LIMIT);
        let scanned = members.iter().cycle().skip(start).take(length);
        let mut fitting: Vec<_> = scanned.filter(|backend| fits(backend)).cloned().collect();
        rng.take_one(&mut fitting)
    }

    /// Adds a backend to a subset or removes it.
    fn set_member(&mut self, backend: &Rc<Backend>, subset: Subset, is_member: bool) {
        let position = &backend.index_positions[subset.slot()];
        match (position.get(), is_member) {
            (None, true) => {
                let members = self.subsets.entry(subset).or_default();
                position.set(Some(members.len()));
                members.push(backend.clone());
            }
            (Some(at), false) => self.remove_member(backend, subset, at),
            (Some(_), true) | (None, false) => {}
        }
    }

    /// Removes a backend from a subset. The last member takes its position.
    fn remove_member(&mut self, backend: &Backend, subset: Subset, at: usize) {
        let Some(members) = self.subsets.get_mut(&subset) else {
            return;
        };
        backend.index_positions[subset.slot()].set(None);
        members.swap_remove(at);
        if let Some(moved) = members.get(at) {
            moved.index_positions[subset.slot()].set(Some(at));
        } else if members.is_empty() {
            // Otherwise memory would grow with every cell that ever existed.
            self.subsets.remove(&subset);
        }
    }

    /// Updates the subsets that contain a backend, by its readiness, zone, cell and availability.
    /// Before its readiness, zone or cell changes, [`Self::remove_from_subsets`] must be called.
    pub(crate) fn update(&mut self, backend: &Rc<Backend>, is_available: bool) {
        let is_ready = backend.ready.get();
        let zone = backend.zone.get();
        let cell = backend.cell.get();
        let is_available = is_ready && is_available;
        let is_local = zone == self.own_zone;
        self.set_member(backend, Subset::for_readiness(is_ready), true);
        self.set_member(backend, Subset::Zone(zone), is_ready);
        self.set_member(backend, Subset::Cell(cell), is_ready);
        self.set_member(backend, Subset::Available, is_available);
        self.set_member(backend, Subset::AvailableLocal, is_available && is_local);
    }

    /// Removes a backend from all subsets.
    pub(crate) fn remove_from_subsets(&mut self, backend: &Rc<Backend>) {
        let subsets = [
            Subset::for_readiness(backend.ready.get()),
            Subset::Available,
            Subset::AvailableLocal,
            Subset::Zone(backend.zone.get()),
            Subset::Cell(backend.cell.get()),
        ];
        for subset in subsets {
            self.set_member(backend, subset, false);
        }
    }

    /// Removes a backend from the index.
    pub(crate) fn remove(&mut self, backend: &Rc<Backend>) {
        self.remove_from_subsets(backend);
        self.by_id.remove(&backend.id);
    }

    /// Records that a temporary state of the backend, such as an ejection, ends at this time.
    pub(crate) fn add_expiry(&mut self, time: f64, backend: &Backend) {
        let time_bits = time.max(0.0).to_bits();
        self.expiries.push(Reverse((time_bits, backend.id)));
    }

    /// Returns a backend with a temporary state that has ended, once per recorded time.
    pub(crate) fn next_expired(&mut self, now: f64) -> Option<Rc<Backend>> {
        while let Some(Reverse((time_bits, id))) = self.expiries.peek().copied() {
            if f64::from_bits(time_bits) > now {
                return None;
            }
            self.expiries.pop();
            if let Some(backend) = self.by_id.get(&id) {
                return Some(backend.clone());
            }
        }
        None
    }
}
