//! Indexes over backends, so that no decision walks a fleet: who is known, and which subsets each is in.
//! It decides nothing: its caller says who belongs where, with events and not with each RPC.
use crate::backend::Backend;
use crate::rng::{Rng, pair_sample};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// A set of backends to pick from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Subset {
    /// Those that the endpoint list calls ready.
    Ready,
    /// Of the ready, those available to the random pick.
    Available,
    /// Of the available, those in the own zone.
    AvailableLocal,
    /// Of the ready, those of one zone.
    Zone(usize),
    /// Of the ready, those of one cell.
    Cell(u64),
    /// Those that are not ready: kept while something still refers to them.
    Unready,
}

/// Backends that one random pick looks at one by one: more would make its cost grow with the fleet.
const SCAN_LIMIT: usize = 64;
/// Random backends tried before a scan of a larger subset: finds one where a fifth of them fit.
const RANDOM_TRIES: usize = 16;

impl Subset {
    /// Slot of [`Backend::index_positions`]. Ready and unready exclude each other, so they share one.
    fn slot(self) -> usize {
        match self {
            Self::Ready | Self::Unready => 0,
            Self::Available => 1,
            Self::AvailableLocal => 2,
            Self::Zone(_) => 3,
            Self::Cell(_) => 4,
        }
    }
}

/// The backends this proxy knows, by number, by subset and by the time at which something about them ends.
#[derive(Default)]
pub(crate) struct BackendIndex {
    /// Zone whose backends are local.
    pub own_zone: usize,
    /// Number of updates of the endpoint list so far.
    pub updates: u64,
    by_id: BTreeMap<u32, Rc<Backend>>,
    subsets: HashMap<Subset, Vec<Rc<Backend>>>,
    /// Times (as the bits of a number that is not negative) at which a state ends by time alone, and for
    /// which backend.
    expiries: BinaryHeap<Reverse<(u64, u32)>>,
}

impl BackendIndex {
    /// The backend of this number, if it is known.
    pub(crate) fn get(&self, id: u32) -> Option<&Rc<Backend>> {
        self.by_id.get(&id)
    }

    /// The backend of this number, made if it is not known.
    pub(crate) fn get_or_insert(&mut self, id: u32) -> Rc<Backend> {
        self.by_id
            .entry(id)
            .or_insert_with(|| Rc::new(Backend::new(id)))
            .clone()
    }

    /// No backend is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The members of a subset.
    pub(crate) fn subset(&self, subset: Subset) -> &[Rc<Backend>] {
        self.subsets.get(&subset).map_or(&[], Vec::as_slice)
    }

    /// Number of members of a subset.
    pub(crate) fn count(&self, subset: Subset) -> usize {
        self.subset(subset).len()
    }

    /// Number of ready backends.
    pub(crate) fn ready_count(&self) -> usize {
        self.count(Subset::Ready)
    }

    /// The `count` cells that come first for a key, by weighted rendezvous hash: the same at every proxy.
    pub(crate) fn cells_of_key(&self, key: u64, count: usize) -> Vec<Subset> {
        let score = |(subset, members): (&Subset, &Vec<_>)| match subset {
            Subset::Cell(cell) => {
                Some((pair_sample(key, *cell).ln() / members.len() as f64, *cell))
            }
            _ => None,
        };
        let mut cells: Vec<_> = self.subsets.iter().filter_map(score).collect();
        cells.sort_by(|a, b| b.partial_cmp(a).expect("no NaN"));
        cells
            .iter()
            .take(count)
            .map(|(_, cell)| Subset::Cell(*cell))
            .collect()
    }

    /// A random member that fits: some random ones are tried, then a stretch from a random place. This bounds
    /// the cost, which would otherwise grow with the fleet.
    pub(crate) fn pick_random(
        &self,
        subset: Subset,
        rng: &Rng,
        fits: impl Fn(&Rc<Backend>) -> bool,
    ) -> Option<Rc<Backend>> {
        let members = self.subset(subset);
        for _ in 0..if members.len() > SCAN_LIMIT {
            RANDOM_TRIES
        } else {
            0
        } {
            let backend = &members[rng.index(members.len())];
            if fits(backend) {
                return Some(backend.clone());
            }
        }
        let start = rng.index(members.len().max(1));
        let stretch = members
            .iter()
            .cycle()
            .skip(start)
            .take(members.len().min(SCAN_LIMIT));
        let mut fitting: Vec<_> = stretch.filter(|b| fits(b)).cloned().collect();
        rng.take_one(&mut fitting)
    }

    /// Adds a backend to a subset or removes it; does nothing if it is so already.
    pub(crate) fn set_member(&mut self, backend: &Rc<Backend>, subset: Subset, member: bool) {
        let position = &backend.index_positions[subset.slot()];
        match (position.get(), member) {
            (None, true) => {
                let members = self.subsets.entry(subset).or_default();
                position.set(Some(members.len()));
                members.push(backend.clone());
            }
            (Some(at), false) => {
                let Some(members) = self.subsets.get_mut(&subset) else {
                    return;
                };
                position.set(None);
                members.swap_remove(at);
                match members.get(at) {
                    Some(moved) => moved.index_positions[subset.slot()].set(Some(at)),
                    // Without this, memory would grow with every cell there ever was.
                    None if members.is_empty() => drop(self.subsets.remove(&subset)),
                    None => {}
                }
            }
            _ => {}
        }
    }

    /// Enters a backend into the subsets that its description and its availability put it in.
    pub(crate) fn update(&mut self, backend: &Rc<Backend>, available: bool) {
        let ready = backend.ready.get();
        let (zone, cell) = (backend.zone.get(), backend.cell.get());
        let available = ready && available;
        self.set_member(
            backend,
            if ready {
                Subset::Ready
            } else {
                Subset::Unready
            },
            true,
        );
        self.set_member(backend, Subset::Zone(zone), ready);
        self.set_member(backend, Subset::Cell(cell), ready);
        self.set_member(backend, Subset::Available, available);
        self.set_member(
            backend,
            Subset::AvailableLocal,
            available && zone == self.own_zone,
        );
    }

    /// Takes a backend out of every subset, by the zone and cell it has had until now.
    pub(crate) fn remove_from_subsets(&mut self, backend: &Rc<Backend>) {
        let ready = backend.ready.get();
        let (zone, cell) = (
            Subset::Zone(backend.zone.get()),
            Subset::Cell(backend.cell.get()),
        );
        let readiness = if ready {
            Subset::Ready
        } else {
            Subset::Unready
        };
        [
            readiness,
            Subset::Available,
            Subset::AvailableLocal,
            zone,
            cell,
        ]
        .into_iter()
        .for_each(|subset| self.set_member(backend, subset, false));
    }

    /// Removes it altogether.
    pub(crate) fn remove(&mut self, backend: &Rc<Backend>) {
        self.remove_from_subsets(backend);
        self.by_id.remove(&backend.id);
    }

    /// Something about the backend ends at this time, such as an ejection.
    pub(crate) fn add_expiry(&mut self, time: f64, backend: &Backend) {
        self.expiries
            .push(Reverse((time.max(0.0).to_bits(), backend.id)));
    }

    /// A backend about which something has ended by now; told once for each time that was added.
    pub(crate) fn next_expired(&mut self, now: f64) -> Option<Rc<Backend>> {
        while let Some(Reverse((time, id))) = self.expiries.peek().copied() {
            if f64::from_bits(time) > now {
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
