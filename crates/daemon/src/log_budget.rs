//! Limits the rate of log lines that clients can cause, so that malicious clients can't fill the log.
use log::Level;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of lines per period at level `info`.
const LINES_PER_PERIOD: u32 = 20;
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

thread_local! {
    static BUDGET: LogBudget = LogBudget::new(Instant::now());
}

/// Returns the level for a log line that a client caused: `info`, or `debug` if the budget of the period is used up.
pub(crate) fn client_line_level() -> Level {
    BUDGET.with(|budget| match budget.take(Instant::now()) {
        Some(0) => Level::Info,
        Some(suppressed) => {
            log::info!("{suppressed} log lines about clients were suppressed at level info");
            Level::Info
        }
        None => Level::Debug,
    })
}

/// Counts the lines of the current period.
struct LogBudget {
    period_began: Cell<Instant>,
    /// Lines of the current period, including suppressed ones.
    lines: Cell<u32>,
}

impl LogBudget {
    fn new(now: Instant) -> Self {
        Self {
            period_began: Cell::new(now),
            lines: Cell::new(0),
        }
    }

    /// Takes one line from the budget, or returns `None` if it is used up. For the first line of a period, returns the
    /// number of lines that were suppressed in the previous period, and 0 for the others.
    fn take(&self, now: Instant) -> Option<u32> {
        let mut suppressed = 0;
        if now >= self.period_began.get() + PERIOD {
            suppressed = self.lines.get().saturating_sub(LINES_PER_PERIOD);
            self.period_began.set(now);
            self.lines.set(0);
        }
        self.lines.update(|lines| lines.saturating_add(1));
        (self.lines.get() <= LINES_PER_PERIOD).then_some(suppressed)
    }
}

#[cfg(test)]
mod tests;
