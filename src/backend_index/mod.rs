//! Index of the backends by number and by subset, so that no decision walks the whole fleet.
//!
//! It is updated with events, not with each RPC. Its caller decides which backend is available.
use crate::backend::Backend;
use crate::rng::{Rng, hash_pair};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Most backends that one random choice scans; bounds its cost in a large fleet.
const SCAN_LIMIT: usize = 64;
/// Random backends that are tried before a larger subset is scanned. They suffice if a fifth of the
/// subset fits.
const RANDOM_TRIES: usize = 16;

/// A set of backends to choose from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Subset {
    /// The backends that are ready by the endpoint list.
    Ready,
    /// The ready backends that are available to a random choice.
    Available,
    /// The available backends in the zone of this proxy.
    AvailableLocal,
    /// The ready backends of one zone.
    Zone(usize),
    /// The ready backends of one cell.
    Cell(u64),
    /// The backends that are not ready, kept while something still refers to them.
    Unready,
}

impl Subset {
    /// Returns its slot in [`Backend::index_positions`]. `Ready` and `Unready` exclude each other and
    /// use the same slot.
    fn slot(self) -> usize {
        match self {
            Self::Ready | Self::Unready => 0,
            Self::Available => 1,
            Self::AvailableLocal => 2,
            Self::Zone(_) => 3,
            Self::Cell(_) => 4,
        }
    }

    /// Returns the subset of the backends that are ready, or not.
    fn of_readiness(ready: bool) -> Self {
        if ready { Self::Ready } else { Self::Unready }
    }
}

/// The backends that this proxy knows.
#[derive(Default)]
pub(crate) struct BackendIndex {
    /// Zone of this proxy, whose backends are local.
    pub own_zone: usize,
    /// Number of updates of the endpoint list so far.
    pub updates: u64,
    by_id: BTreeMap<u32, Rc<Backend>>,
    subsets: HashMap<Subset, Vec<Rc<Backend>>>,
    /// Times at which a state of a backend ends by time alone, with the backend's number. The bits of
    /// times that are not negative have the order of the times.
    expiries: BinaryHeap<Reverse<(u64, u32)>>,
}

impl BackendIndex {
    /// Returns the backend with this number, if it is known.
    pub(crate) fn get(&self, id: u32) -> Option<&Rc<Backend>> {
        self.by_id.get(&id)
    }

    /// Returns the backend with this number, creating it if it is not known.
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

    /// Returns the `count` cells that come first for a key by weighted rendezvous hashing; they are
    /// the same at every proxy.
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

    /// Returns a random member of a subset that fits. In a large subset some random members are tried,
    /// then a stretch from a random position is scanned, which bounds the cost.
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
        let stretch = members.iter().cycle().skip(start).take(length);
        let mut fitting: Vec<_> = stretch.filter(|backend| fits(backend)).cloned().collect();
        rng.take_one(&mut fitting)
    }

    /// Makes a backend a member of a subset, or no member.
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

    /// Removes a backend from its position in a subset. The last member takes that position.
    fn remove_member(&mut self, backend: &Backend, subset: Subset, at: usize) {
        let Some(members) = self.subsets.get_mut(&subset) else {
            return;
        };
        backend.index_positions[subset.slot()].set(None);
        members.swap_remove(at);
        if let Some(moved) = members.get(at) {
            moved.index_positions[subset.slot()].set(Some(at));
        } else if members.is_empty() {
            // Without this, memory would grow with every cell there ever was.
            self.subsets.remove(&subset);
        }
    }

    /// Makes a backend a member of the subsets that follow from its description and its availability.
    pub(crate) fn update(&mut self, backend: &Rc<Backend>, is_available: bool) {
        let is_ready = backend.ready.get();
        let zone = backend.zone.get();
        let cell = backend.cell.get();
        let is_available = is_ready && is_available;
        let is_local = zone == self.own_zone;
        self.set_member(backend, Subset::of_readiness(is_ready), true);
        self.set_member(backend, Subset::Zone(zone), is_ready);
        self.set_member(backend, Subset::Cell(cell), is_ready);
        self.set_member(backend, Subset::Available, is_available);
        self.set_member(backend, Subset::AvailableLocal, is_available && is_local);
    }

    /// Removes a backend from all subsets, by its present readiness, zone and cell.
    pub(crate) fn remove_from_subsets(&mut self, backend: &Rc<Backend>) {
        let subsets = [
            Subset::of_readiness(backend.ready.get()),
            Subset::Available,
            Subset::AvailableLocal,
            Subset::Zone(backend.zone.get()),
            Subset::Cell(backend.cell.get()),
        ];
        for subset in subsets {
            self.set_member(backend, subset, false);
        }
    }

    /// Removes a backend altogether.
    pub(crate) fn remove(&mut self, backend: &Rc<Backend>) {
        self.remove_from_subsets(backend);
        self.by_id.remove(&backend.id);
    }

    /// Records that a state of the backend ends at this time, such as an ejection.
    pub(crate) fn add_expiry(&mut self, time: f64, backend: &Backend) {
        let time_bits = time.max(0.0).to_bits();
        self.expiries.push(Reverse((time_bits, backend.id)));
    }

    /// Returns a backend of which a state has ended; once for each recorded time.
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
