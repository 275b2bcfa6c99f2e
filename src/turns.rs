//! Whose turn it is among RPCs that keep their order, by key: one line for each key, and how long the key rests.
//! Data, no decisions.
use crate::held::Call;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// An RPC's place among those that keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    key: u64,
    number: u64, // in the order in which they were taken
}

#[derive(Default)]
struct Line {
    calls: BTreeMap<u64, Rc<Call>>,
    rests_until: f64,
}

#[derive(Default)]
pub(crate) struct Turns {
    lines: HashMap<u64, Line>,
    due: BTreeSet<(u64, u64)>, // when (bits of a time that is not negative) the first of which line may go
    next: u64,
}

impl Turns {
    /// Takes an RPC into the line of its key, as the last. It has its turn if it is the only one there.
    pub(crate) fn enter(&mut self, call: &Rc<Call>, key: u64) {
        self.next += 1;
        call.turn.set(Some(Turn { key, number: self.next }));
        // A line without any is there until its key has rested and its end was seen: the turn is told then.
        call.has_turn.set(!self.lines.contains_key(&key));
        self.lines.entry(key).or_default().calls.insert(self.next, call.clone());
    }

    /// How many stand in an RPC's line, itself too.
    pub(crate) fn length(&self, call: &Call) -> usize {
        let line = call.turn.get().and_then(|turn| self.lines.get(&turn.key));
        line.map_or(0, |line| line.calls.len())
    }

    /// What one of its picks did may go on: those behind it wait until then at the least.
    pub(crate) fn rest(&mut self, call: &Call, until: f64) {
        if let Some(line) = call.turn.get().and_then(|turn| self.lines.get_mut(&turn.key)) {
            line.rests_until = line.rests_until.max(until);
        }
    }

    /// It is over and has nothing out: the one behind it has its turn when the key has rested.
    pub(crate) fn leave(&mut self, call: &Call) {
        let Some(turn) = call.turn.take() else { return };
        let Some(line) = self.lines.get_mut(&turn.key) else { return };
        let first = line.calls.first_key_value().is_some_and(|(number, _)| *number == turn.number);
        line.calls.remove(&turn.number);
        if first && call.has_turn.get() {
            self.due.insert((line.rests_until.max(0.0).to_bits(), turn.key));
        }
    }

    /// The next one that has its turn now, told once. Lines that hold nothing any more are forgotten.
    pub(crate) fn next_up(&mut self, now: f64) -> Option<Rc<Call>> {
        while let Some((time, key)) =
            self.due.first().copied().filter(|(time, _)| f64::from_bits(*time) <= now)
        {
            self.due.remove(&(time, key));
            let Some(line) = self.lines.get_mut(&key) else { continue };
            line.rests_until = 0.0;
            match line.calls.first_key_value() {
                Some((_, call)) => {
                    call.has_turn.set(true);
                    return Some(call.clone());
                }
                None => drop(self.lines.remove(&key)),
            }
        }
        None
    }

    /// When the next line may go on.
    pub(crate) fn due(&self) -> Option<f64> {
        self.due.first().map(|(time, _)| f64::from_bits(*time))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::held::{Method, Share};
    use crate::interface::{Idempotency, IncomingRpc, MethodSettings};

    fn call() -> Rc<Call> {
        let (latency_target, target_stretch, utility, late_utility, in_order) = (1.0, 0.0, 1.0, 0.0, true);
        let effect = Idempotency::Idempotent;
        let set = MethodSettings {
            idempotency: effect,
            latency_objective: latency_target,
            objective_stretch: target_stretch,
            priority_weight: utility,
            late_weight_fraction: late_utility,
            ordered_by_key: in_order,
        };
        let method = Rc::new(Method::new(&set, 1.0, None));
        Rc::new(Call::new(&IncomingRpc::default(), method, Share::Within, Vec::new(), Vec::new(), 0.0))
    }

    /// Guards against memory of every key that ever was, also of those that rested after all of theirs had left.
    #[test]
    fn keys_that_nothing_holds_are_forgotten() {
        let (mut turns, mut most) = (Turns::default(), 0);
        for key in 0..1_000_000_u64 {
            let (now, call) = (key as f64 * 1e-3, call());
            turns.enter(&call, key);
            assert!(call.has_turn.get());
            if key % 2 == 0 {
                turns.rest(&call, now + 0.05);
            }
            turns.leave(&call);
            assert!(turns.next_up(now).is_none());
            most = most.max(turns.lines.len() + turns.due.len());
        }
        assert!(most < 60, "{most} entries at a thousand keys a second that rest for 0.05 s");
        assert!(turns.next_up(f64::INFINITY).is_none());
        assert_eq!((turns.lines.len(), turns.due()), (0, None));
    }

    /// One that leaves out of turn gives nobody the turn that another has.
    #[test]
    fn a_turn_is_told_once_and_only_when_the_one_before_has_left() {
        let (mut turns, calls) = (Turns::default(), [call(), call(), call()]);
        calls.iter().for_each(|call| turns.enter(call, 5));
        assert_eq!(turns.length(&calls[2]), 3);
        turns.leave(&calls[1]);
        assert!(turns.next_up(9.0).is_none());
        turns.rest(&calls[0], 2.0);
        turns.leave(&calls[0]);
        turns.leave(&calls[0]);
        assert!(turns.next_up(1.9).is_none() && turns.due() == Some(2.0));
        assert!(turns.next_up(2.0).is_some_and(|next| Rc::ptr_eq(&next, &calls[2])));
        assert!(turns.next_up(9.0).is_none());
    }
}
