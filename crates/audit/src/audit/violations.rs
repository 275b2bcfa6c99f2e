//! Collects violations, at most one for each rule and subject.
use crate::findings::{Rule, Violation};
use std::collections::BTreeMap;

/// Violations found so far, by rule and subject.
#[derive(Debug, Default)]
pub(super) struct Violations(BTreeMap<(Rule, String), Violation>);

impl Violations {
    /// Adds a violation unless there is one with the same rule and subject. A violation that does not depend on timing
    /// replaces one that does.
    pub(super) fn add(&mut self, violation: Violation) {
        let key = (violation.rule, violation.subject.clone());
        let kept = self.0.entry(key).or_insert_with(|| violation.clone());
        if kept.timing_dependent && !violation.timing_dependent {
            *kept = violation;
        }
    }

    /// Returns the violations sorted by time, and those at the same time by rule and subject.
    pub(super) fn into_sorted(self) -> Vec<Violation> {
        let mut violations: Vec<_> = self.0.into_values().collect();
        violations.sort_by(|a, b| a.at.total_cmp(&b.at));
        violations
    }
}

/// Returns the subject of a violation that concerns an RPC.
pub(super) fn rpc_subject(rpc: u32) -> String {
    format!("rpc {rpc}")
}
