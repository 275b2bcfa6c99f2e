//! The report of a checker: its counts by rule, as text.
use crate::checker::InvariantChecker;
use crate::rule::Rule;
use std::fmt;

/// The counts of a checker. The text leaves out rules without violations and refusals.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a>(pub(crate) &'a InvariantChecker);

impl InvariantChecker {
    /// Returns the counts of all rules, as text.
    pub fn report(&self) -> Report<'_> {
        Report(self)
    }
}

impl Report<'_> {
    /// Returns the number of violations of all rules.
    pub fn violations(&self) -> u64 {
        Rule::ALL.iter().map(|rule| self.0.violations(*rule)).sum()
    }
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{} violations", self.violations())?;
        for rule in Rule::ALL {
            let violated = self.0.violations(rule);
            let refused = self.0.refusals(rule);
            if violated + refused > 0 {
                write!(to, ", {rule}: {violated} violated, {refused} refused")?;
            }
        }
        Ok(())
    }
}
