use super::*;
use quickcheck::{Gen, QuickCheck};

/// After any additions and removals each subset is what a plain vector says, and every member knows its
/// position.
fn subsets_are_those_of_a_plain_vector(moves: Vec<(u8, u8, bool)>) -> bool {
    const SUBSETS: [Subset; 6] = [
        Subset::Ready,
        Subset::Available,
        Subset::AvailableLocal,
        Subset::Zone(1),
        Subset::Cell(7),
        Subset::Zone(2),
    ];
    let mut index = EndpointIndex::default();
    let mut plain: Vec<(u32, Subset)> = Vec::new();
    for (id, subset, member) in moves {
        let (id, subset) = (u32::from(id % 12), SUBSETS[subset as usize % SUBSETS.len()]);
        let backend = index.get_or_insert(id);
        // One zone at a time: a backend is in one only, as its description has it.
        if let Subset::Zone(zone) = subset {
            if plain
                .iter()
                .any(|(n, s)| *n == id && matches!(s, Subset::Zone(z) if *z != zone))
            {
                continue;
            }
            backend.zone.set(zone);
        }
        backend.ready.set(true);
        backend.cell.set(7);
        index.set_member(&backend, subset, member);
        plain.retain(|entry| *entry != (id, subset));
        plain.extend(member.then_some((id, subset)));
        if id == 5 && !member {
            index.remove(&backend);
            plain.retain(|(n, _)| *n != 5);
        }
    }
    SUBSETS.iter().all(|subset| {
        let mut members: Vec<_> = index.subset(*subset).iter().map(|b| b.id).collect();
        let position = |b: &Backend| b.index_positions[subset.slot()].get();
        let placed = index
            .subset(*subset)
            .iter()
            .enumerate()
            .all(|(n, b)| position(b) == Some(n));
        let mut expected: Vec<_> = plain
            .iter()
            .filter(|(_, s)| s == subset)
            .map(|(id, _)| *id)
            .collect();
        members.sort_unstable();
        expected.sort_unstable();
        placed && members == expected
    })
}

#[test]
fn subsets_follow_generated_moves() {
    let mut check = QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(120, 3));
    check.quickcheck(subsets_are_those_of_a_plain_vector as fn(_) -> bool);
}

#[test]
fn expiries_come_in_the_order_of_time_and_once() {
    let mut index = EndpointIndex::default();
    for (id, at) in [(1, 3.0), (2, 1.0), (3, 2.0), (1, 1.5), (4, 9.0)] {
        let backend = index.get_or_insert(id);
        index.add_expiry(at, &backend);
    }
    let removed = index.get_or_insert(3);
    index.remove(&removed);
    let told: Vec<_> = std::iter::from_fn(|| index.next_expired(5.0).map(|b| b.id)).collect();
    assert_eq!(told, [2, 1, 1]);
}
