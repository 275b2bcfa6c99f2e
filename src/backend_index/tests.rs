use super::*;
use quickcheck::{Gen, QuickCheck};

const SUBSETS: [Subset; 6] = [
    Subset::Ready,
    Subset::Available,
    Subset::AvailableLocal,
    Subset::Zone(1),
    Subset::Cell(7),
    Subset::Zone(2),
];

/// The index under test, and a reference model: a list of the expected memberships.
#[derive(Default)]
struct IndexWithModel {
    index: BackendIndex,
    memberships: Vec<(u32, Subset)>,
}

impl IndexWithModel {
    fn is_in_another_zone(&self, id: u32, zone: usize) -> bool {
        let is_another = |subset: &Subset| matches!(subset, Subset::Zone(other) if *other != zone);
        self.memberships
            .iter()
            .any(|(member, subset)| *member == id && is_another(subset))
    }

    /// Adds a backend to a subset or removes it. Ignores a second zone, as a backend has only one.
    fn set_member(&mut self, id: u32, subset: Subset, member: bool) {
        let backend = self.index.get_or_insert(id);
        if let Subset::Zone(zone) = subset {
            if self.is_in_another_zone(id, zone) {
                return;
            }
            backend.zone.set(zone);
        }
        backend.ready.set(true);
        backend.cell.set(7);
        self.index.set_member(&backend, subset, member);
        self.memberships.retain(|entry| *entry != (id, subset));
        self.memberships.extend(member.then_some((id, subset)));
    }

    fn remove(&mut self, id: u32) {
        let backend = self.index.get_or_insert(id);
        self.index.remove(&backend);
        self.memberships.retain(|(member, _)| *member != id);
    }

    /// Returns whether the subset has the members of the model, each with its correct position.
    fn matches_model(&self, subset: Subset) -> bool {
        let members = self.index.subset(subset);
        let position = |backend: &Backend| backend.index_positions[subset.slot()].get();
        let positions_are_correct = members
            .iter()
            .enumerate()
            .all(|(n, backend)| position(backend) == Some(n));
        let mut found: Vec<_> = members.iter().map(|backend| backend.id).collect();
        let of_subset = self.memberships.iter().filter(|(_, s)| *s == subset);
        let mut expected: Vec<_> = of_subset.map(|(id, _)| *id).collect();
        found.sort_unstable();
        expected.sort_unstable();
        positions_are_correct && found == expected
    }
}

/// Property: after any additions and removals each subset has the members of the model.
fn subsets_match_model(operations: Vec<(u8, u8, bool)>) -> bool {
    let mut index = IndexWithModel::default();
    for (id, subset, member) in operations {
        let id = u32::from(id % 12);
        let subset = SUBSETS[subset as usize % SUBSETS.len()];
        index.set_member(id, subset, member);
        if id == 5 && !member {
            index.remove(id);
        }
    }
    SUBSETS.iter().all(|subset| index.matches_model(*subset))
}

#[test]
fn subsets_match_model_after_generated_operations() {
    let mut check = QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(120, 3));
    check.quickcheck(subsets_match_model as fn(_) -> bool);
}

#[test]
fn expiries_are_returned_once_in_order_of_time() {
    let mut index = BackendIndex::default();
    for (id, at) in [(1, 3.0), (2, 1.0), (3, 2.0), (1, 1.5), (4, 9.0)] {
        let backend = index.get_or_insert(id);
        index.add_expiry(at, &backend);
    }
    let removed = index.get_or_insert(3);
    index.remove(&removed);
    let expired: Vec<_> = std::iter::from_fn(|| index.next_expired(5.0).map(|b| b.id)).collect();
    assert_eq!(expired, [2, 1, 1]);
}
