//! Indexes over backends, so that no decision walks a fleet: who is there, and in which sets each stands.
//! Data, no decisions: who belongs where is told by the caller, and changes with events, not with each RPC.
use crate::chance::{Chance, of_pair};
use crate::held::Backend;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

/// A set that backends are drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Set {
    /// All that the list calls ready.
    Ready,
    /// Of the ready, those that draws take, and those of them in the own zone.
    Well,
    WellHome,
    /// Of the ready, those of a zone or a cell.
    Zone(usize),
    Cell(u64),
    /// Those that are not ready: kept until nothing binds to them.
    Unready,
}

const FEW: usize = 64; // backends that one decision looks at one by one: more would cost with the fleet
const TRIES: usize = 16; // random ones asked before a stretch of FEW is: finds one where a fifth of them fit

/// How many sets a backend can stand in at once: its places are kept by these slots.
pub(crate) const SLOTS: usize = 5;
pub(crate) const NOWHERE: usize = usize::MAX;

impl Set {
    /// Ready and unready exclude each other, so they share a slot.
    fn slot(self) -> usize {
        match self {
            Self::Ready | Self::Unready => 0,
            Self::Well => 1,
            Self::WellHome => 2,
            Self::Zone(_) => 3,
            Self::Cell(_) => 4,
        }
    }
}

#[derive(Default)]
pub(crate) struct Roster {
    by_id: BTreeMap<u32, Rc<Backend>>,
    sets: HashMap<Set, Vec<Rc<Backend>>>,
    /// Backends that something ends for by time alone: when (bits of a time that is not negative), and whom.
    due: BinaryHeap<Reverse<(u64, u32)>>,
}

impl Roster {
    pub(crate) fn get(&self, id: u32) -> Option<&Rc<Backend>> {
        self.by_id.get(&id)
    }

    /// The backend of this number, made if it is not known.
    pub(crate) fn get_or_make(&mut self, id: u32) -> Rc<Backend> {
        self.by_id.entry(id).or_insert_with(|| Rc::new(Backend { id, ..Backend::default() })).clone()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(crate) fn set(&self, set: Set) -> &[Rc<Backend>] {
        self.sets.get(&set).map_or(&[], Vec::as_slice)
    }

    /// So many of the cells with ready backends, by weighted rendezvous hash of the key: the same at every proxy.
    pub(crate) fn cells_of(&self, key: u64, most: usize) -> Vec<Set> {
        let score = |(set, members): (&Set, &Vec<_>)| match set {
            Set::Cell(cell) => Some((of_pair(key, *cell).ln() / members.len() as f64, *cell)),
            _ => None,
        };
        let mut cells: Vec<_> = self.sets.iter().filter_map(score).collect();
        cells.sort_by(|a, b| b.partial_cmp(a).expect("no NaN"));
        cells.iter().take(most).map(|(_, cell)| Set::Cell(*cell)).collect()
    }

    /// A random one of a set that fits: some are asked, then a stretch. Guards against a cost that grows with the fleet.
    pub(crate) fn any_of(
        &self,
        set: Set,
        chance: &Chance,
        fits: impl Fn(&Rc<Backend>) -> bool,
    ) -> Option<Rc<Backend>> {
        let members = self.set(set);
        for _ in 0..if members.len() > FEW { TRIES } else { 0 } {
            let backend = &members[chance.below(members.len())];
            if fits(backend) {
                return Some(backend.clone());
            }
        }
        let from = chance.below(members.len().max(1));
        let stretch = members.iter().cycle().skip(from).take(members.len().min(FEW));
        let mut fitting: Vec<_> = stretch.filter(|b| fits(b)).cloned().collect();
        chance.draw(&mut fitting)
    }

    /// Puts a backend into a set or takes it out; nothing if it is so already.
    pub(crate) fn put(&mut self, backend: &Rc<Backend>, set: Set, within: bool) {
        let place = &backend.places[set.slot()];
        match (place.get(), within) {
            (NOWHERE, true) => {
                let members = self.sets.entry(set).or_default();
                place.set(members.len());
                members.push(backend.clone());
            }
            (at, false) if at != NOWHERE => {
                let Some(members) = self.sets.get_mut(&set) else { return };
                place.set(NOWHERE);
                members.swap_remove(at);
                match members.get(at) {
                    Some(moved) => moved.places[set.slot()].set(at),
                    // Guards against memory of every cell that ever was.
                    None if members.is_empty() => drop(self.sets.remove(&set)),
                    None => {}
                }
            }
            _ => {}
        }
    }

    /// Takes a backend out of every set, by the zone and cell it has had.
    pub(crate) fn take_out(&mut self, backend: &Rc<Backend>) {
        let ready = backend.ready.get();
        let (zone, cell) = (Set::Zone(backend.zone.get()), Set::Cell(backend.cell.get()));
        let first = if ready { Set::Ready } else { Set::Unready };
        [first, Set::Well, Set::WellHome, zone, cell]
            .into_iter()
            .for_each(|set| self.put(backend, set, false));
    }

    /// Forgets it altogether.
    pub(crate) fn forget(&mut self, backend: &Rc<Backend>) {
        self.take_out(backend);
        self.by_id.remove(&backend.id);
    }

    /// Something about it ends at this time.
    pub(crate) fn at(&mut self, time: f64, backend: &Backend) {
        self.due.push(Reverse((time.max(0.0).to_bits(), backend.id)));
    }

    /// One for whom something has ended by now; each is told once for each time.
    pub(crate) fn next_due(&mut self, now: f64) -> Option<Rc<Backend>> {
        while let Some(Reverse((time, id))) = self.due.peek().copied() {
            if f64::from_bits(time) > now {
                return None;
            }
            self.due.pop();
            if let Some(backend) = self.by_id.get(&id) {
                return Some(backend.clone());
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    /// After any puts and removals each set is what a plain vector says, and every member knows its place.
    fn sets_are_those_of_a_plain_vector(moves: Vec<(u8, u8, bool)>) -> bool {
        const SETS: [Set; 6] =
            [Set::Ready, Set::Well, Set::WellHome, Set::Zone(1), Set::Cell(7), Set::Zone(2)];
        let mut roster = Roster::default();
        let mut plain: Vec<(u32, Set)> = Vec::new();
        for (id, set, within) in moves {
            let (id, set) = (u32::from(id % 12), SETS[set as usize % SETS.len()]);
            let backend = roster.get_or_make(id);
            // One zone at a time: a backend stands in one only, as its facts have it.
            if let Set::Zone(zone) = set {
                if plain.iter().any(|(n, s)| *n == id && matches!(s, Set::Zone(z) if *z != zone)) {
                    continue;
                }
                backend.zone.set(zone);
            }
            backend.ready.set(true);
            backend.cell.set(7);
            roster.put(&backend, set, within);
            plain.retain(|entry| *entry != (id, set));
            plain.extend(within.then_some((id, set)));
            if id == 5 && !within {
                roster.forget(&backend);
                plain.retain(|(n, _)| *n != 5);
            }
        }
        SETS.iter().all(|set| {
            let mut members: Vec<_> = roster.set(*set).iter().map(|b| b.id).collect();
            let placed = roster.set(*set).iter().enumerate().all(|(n, b)| b.places[set.slot()].get() == n);
            let mut expected: Vec<_> = plain.iter().filter(|(_, s)| s == set).map(|(id, _)| *id).collect();
            members.sort_unstable();
            expected.sort_unstable();
            placed && members == expected
        })
    }

    #[test]
    fn sets_follow_generated_moves() {
        let mut check = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(120, 3));
        check.quickcheck(sets_are_those_of_a_plain_vector as fn(_) -> bool);
    }

    #[test]
    fn what_is_due_comes_in_the_order_of_time_and_once() {
        let mut roster = Roster::default();
        for (id, at) in [(1, 3.0), (2, 1.0), (3, 2.0), (1, 1.5), (4, 9.0)] {
            let backend = roster.get_or_make(id);
            roster.at(at, &backend);
        }
        let gone = roster.get_or_make(3);
        roster.forget(&gone);
        let told: Vec<_> = std::iter::from_fn(|| roster.next_due(5.0).map(|b| b.id)).collect();
        assert_eq!(told, [2, 1, 1]);
    }
}
