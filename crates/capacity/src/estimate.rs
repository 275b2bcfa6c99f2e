//! Estimates of the cost at the planned size, computed from fitted slopes. A value that depends on anything not measured is
//! marked as a guess.
mod candidates;
mod formulas;
mod scenarios;
mod targets;

pub use candidates::{CANDIDATES, Candidate};
pub use scenarios::scenarios;
pub use targets::targets;

use crate::figure::figure;

/// Whether all inputs of an estimate are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// All inputs are measured.
    Measured,
    /// At least one input is an assumption.
    PartlyAssumed,
}

/// One estimate for the planned size.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// The name by which candidates refer to the estimate.
    pub key: &'static str,
    /// The part of the system that bears the cost.
    pub role: &'static str,
    /// What is estimated.
    pub what: String,
    /// The unit of `value` and `target`.
    pub unit: &'static str,
    /// The largest allowed value.
    pub target: Option<f64>,
    /// The estimated value.
    pub value: f64,
    /// Whether all inputs are measured.
    pub basis: Basis,
    /// Whether the load average exceeded the number of cores while a wall clock was read for the value.
    pub was_busy: bool,
    /// The series and assumptions behind the value.
    pub derivation: &'static str,
    /// What carries the cost, or what would.
    pub mechanism: &'static str,
}

impl Estimate {
    /// Returns the value as a multiple of the target; above 1 the target is missed. None without a target or if the value is void.
    pub fn factor(&self) -> Option<f64> {
        self.target
            .filter(|_| !self.is_void())
            .map(|target| self.value / target)
    }

    /// Returns whether the value proves nothing.
    ///
    /// A busy machine only lengthens times on a wall clock: a value that meets its target would meet it on an idle machine
    /// too, and one that misses it may miss it because of the load. A negative value is a difference of two such times.
    pub fn is_void(&self) -> bool {
        self.was_busy && !self.meets_target()
    }

    fn meets_target(&self) -> bool {
        self.target
            .is_some_and(|target| (0.0..=target).contains(&self.value))
    }

    /// The estimate as text, with its measurement caveats.
    pub fn formatted(&self) -> String {
        let text = figure(self.value);
        if self.is_void() {
            format!("void, the machine was crowded ({text})")
        } else if self.was_busy {
            format!("at most {text}, on a crowded machine")
        } else if self.basis == Basis::PartlyAssumed {
            format!("{text} (guess)")
        } else {
            text
        }
    }
}

/// The cost of one situation at the planned size.
pub struct ScenarioEstimate {
    /// The situation.
    pub when: &'static str,
    /// What is estimated.
    pub what: &'static str,
    /// The unit of `value`.
    pub unit: &'static str,
    /// The estimated value.
    pub value: f64,
    /// Whether all inputs are measured.
    pub basis: Basis,
    /// The series and assumptions behind the value.
    pub derivation: &'static str,
}
