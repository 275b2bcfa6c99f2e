//! Formats the counts of violations and refusals as text.
use crate::checker::InvariantChecker;
use crate::rule::Rule;
use std::fmt;

/// The counts of a checker. The text omits rules that have neither violations nor refusals.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a>(pub(crate) &'a InvariantChecker);

impl InvariantChecker {
    /// Returns a view of the counts that can be displayed.
    pub fn report(&self) -> Report<'_> {
        Report(self)
    }
}

impl Report<'_> {
    /// Returns the total number of violations of all rules.
    pub fn violations(&self) -> u64 {
        Rule::ALL.iter().map(|rule| self.0.violations(*rule)).sum()
    }
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} violations", self.violations())?;
        for rule in Rule::ALL {
            let violated = self.0.violations(rule);
            let refused = self.0.refusals(rule);
            if violated + refused > 0 {
                write!(
                    formatter,
                    ", {rule}: {violated} violated, {refused} refused"
                )?;
            }
        }
        Ok(())
    }
}
