//! Bounds the log lines that clients can cause: bad ones must not fill the log, and the first of them tell most.
use log::Level;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Lines that clients may cause in a period.
const LINES: u32 = 20;
/// After which as many may follow.
const PERIOD: Duration = Duration::from_secs(1);

thread_local! {
    static BUDGET: LogBudget = LogBudget::new(Instant::now());
}

/// The level of a line that a client caused, and that operators want to see: `debug` once there were too many.
pub(crate) fn client_line_level() -> Level {
    BUDGET.with(|budget| match budget.take(Instant::now()) {
        Some(0) => Level::Info,
        Some(left_out) => {
            log::info!("{left_out} lines about clients were left out");
            Level::Info
        }
        None => Level::Debug,
    })
}

/// How many lines there were in this period.
struct LogBudget {
    period_began: Cell<Instant>,
    lines: Cell<u32>,
}

impl LogBudget {
    fn new(now: Instant) -> Self {
        Self {
            period_began: Cell::new(now),
            lines: Cell::new(0),
        }
    }

    /// Takes a line out of the budget, and tells how many were left out before it; none where the budget is used up.
    fn take(&self, now: Instant) -> Option<u32> {
        let mut left_out = 0;
        if now >= self.period_began.get() + PERIOD {
            left_out = self.lines.get().saturating_sub(LINES);
            self.period_began.set(now);
            self.lines.set(0);
        }
        self.lines.update(|lines| lines.saturating_add(1));
        (self.lines.get() <= LINES).then_some(left_out)
    }
}

#[cfg(test)]
mod tests;
