//! The RPCs that wait, by rank and by the end of their wait. Data, no decisions.
use crate::held::{Call, Share};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::rc::Rc;

/// Its place among those that wait: share first, then utility, then the order in which they came. Behind all stand
/// those that may not be sent yet: for them only the end of their wait counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    not_yet: bool,
    share: u8,
    utility: u64, // bits turned over: the highest comes first
    number: u64,
}

#[derive(Default)]
pub(crate) struct Waiting {
    ranked: BTreeMap<Rank, Rc<Call>>,
    ends: BTreeSet<(u64, Rank)>, // bits of a time that is not negative
    next: u64,
}

fn end(call: &Call) -> u64 {
    call.hold_until.get().max(0.0).to_bits()
}

impl Waiting {
    /// None of them could be sent now.
    pub(crate) fn is_empty(&self) -> bool {
        self.after(None).is_none()
    }

    pub(crate) fn insert(&mut self, call: Rc<Call>) {
        self.next += 1;
        let share = match call.share {
            Share::Within => 0,
            Share::Borrowed => 1,
            Share::Beyond => 2,
        };
        let (not_yet, utility) = (!call.has_turn.get(), !call.method.set.priority_weight.max(0.0).to_bits());
        let rank = Rank { not_yet, share, utility, number: self.next };
        call.rank.set(Some(rank));
        self.ends.insert((end(&call), rank));
        self.ranked.insert(rank, call);
    }

    /// Takes it out, if it waits.
    pub(crate) fn remove(&mut self, call: &Call) {
        if let Some(rank) = call.rank.take() {
            self.ends.remove(&(end(call), rank));
            self.ranked.remove(&rank);
        }
    }

    /// The first in rank, or the next behind one, of those that may be sent.
    pub(crate) fn after(&self, rank: Option<Rank>) -> Option<Rc<Call>> {
        let from = rank.map_or(Unbounded, Excluded);
        let next = self.ranked.range((from, Unbounded)).next().filter(|(rank, _)| !rank.not_yet);
        next.map(|(_, call)| call.clone())
    }

    /// The one whose wait ends first, and when.
    pub(crate) fn first_end(&self) -> Option<(f64, Rc<Call>)> {
        let (end, rank) = self.ends.first()?;
        Some((f64::from_bits(*end), self.ranked.get(rank)?.clone()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::held::Method;
    use crate::interface::{Idempotency, IncomingRpc, MethodSettings};
    use quickcheck::{Gen, QuickCheck};

    fn call(id: u64, utility: f64, share: Share, hold_until: f64) -> Rc<Call> {
        let effect = Idempotency::Idempotent;
        let (latency_target, target_stretch, late_utility, in_order) = (1.0, 0.0, 0.0, false);
        let set = MethodSettings {
            idempotency: effect,
            latency_objective: latency_target,
            objective_stretch: target_stretch,
            priority_weight: utility,
            late_weight_fraction: late_utility,
            ordered_by_key: in_order,
        };
        let method = Rc::new(Method::new(&set, 1.0, None));
        let arrival = IncomingRpc { id, deadline: 9.0, ..IncomingRpc::default() };
        let call = Call::new(&arrival, method, share, Vec::new(), Vec::new(), 0.0);
        call.hold_until.set(hold_until);
        Rc::new(call)
    }

    /// Rank and ends are those of a plain vector that is sorted each time.
    fn order_is_that_of_a_plain_vector(moves: Vec<(u8, u8, u8, bool)>) -> bool {
        const SHARES: [Share; 3] = [Share::Within, Share::Borrowed, Share::Beyond];
        let (mut waiting, mut plain) = (Waiting::default(), Vec::<Rc<Call>>::new());
        moves.iter().enumerate().all(|(id, (utility, share, until, removes))| {
            if *removes && !plain.is_empty() {
                let call = plain.remove(usize::from(*utility) % plain.len());
                waiting.remove(&call);
                waiting.remove(&call);
            } else {
                let share = SHARES[usize::from(*share) % 3];
                let call = call(id as u64, f64::from(utility % 4), share, f64::from(*until) / 10.0);
                waiting.insert(call.clone());
                plain.push(call);
            }
            let mut ranked = plain.clone();
            ranked.sort_by(|a, b| {
                let key = |c: &Call| (c.share, -c.method.set.priority_weight, c.id as f64);
                key(a).partial_cmp(&key(b)).expect("no NaN")
            });
            let mut rank = None;
            let walked = std::iter::from_fn(|| {
                let call = waiting.after(rank)?;
                rank = call.rank.get();
                Some(call.id)
            });
            let first = plain.iter().map(|c| c.hold_until.get()).reduce(f64::min);
            walked.eq(ranked.iter().map(|c| c.id)) && waiting.first_end().map(|(at, _)| at) == first
        })
    }

    #[test]
    fn order_follows_generated_moves() {
        let mut check = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(60, 5));
        check.quickcheck(order_is_that_of_a_plain_vector as fn(_) -> bool);
    }
}
