//! A fault of the scenario while its actions are generated.
use super::action::Action;
use super::topology::PlannedNode;
use crate::scenario::{Fault, Scenario};
use rand_pcg::Pcg64Mcg;

/// A fault while its actions are generated.
pub(super) struct FaultBuilder<'a> {
    pub scenario: &'a Scenario,
    pub fault: &'a Fault,
    /// Start and duration, in seconds.
    pub start: f64,
    pub duration: f64,
    /// End, in seconds; deploys and restarts of proxies end with their last action.
    pub end: f64,
    /// The selected backends.
    pub backends: Vec<u32>,
    /// The selected proxies; all if the fault has no selector.
    pub proxies: Vec<u16>,
    /// Random numbers of this fault.
    pub random: Pcg64Mcg,
    /// All backends of the plan; deploys add successors.
    pub nodes: &'a mut Vec<PlannedNode>,
    /// Last number returned by [`Self::next_number`].
    pub last_number: u64,
    /// The actions with their times in seconds.
    pub actions: Vec<(f64, Action)>,
}

impl FaultBuilder<'_> {
    /// Adds an action at a time in seconds.
    pub(super) fn push(&mut self, at: f64, action: Action) {
        self.actions.push((at, action));
    }

    /// Returns a number for a stall or an injected fault, unique in the plan.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
