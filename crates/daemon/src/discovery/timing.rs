//! How long calls to discovery may wait, and how often they are retried at once.

use std::time::Duration;

/// Limits on the calls to one kind of discovery service. What a service has to tell counts as told 6 s after it could
/// be reached, and 6 s after a watch fell silent: two calls in a row without a response, and one backoff of the
/// decisions (1 s at the most) between them, leave time for a third that is answered.
pub(super) struct CallTiming {
    /// Time that a watch may wait at the service.
    pub(super) hold: Duration,
    /// Time waited for the response to a watch beyond that.
    pub(super) response_margin: Duration,
    /// Timeouts of a call that does not wait at the service, after a timeout or a broken response; indexed by the number
    /// of timeouts in a row. Some are longer, for a service that is slower than usual.
    pub(super) catch_up: &'static [Duration],
    /// Timeouts of a call for the whole list, likewise.
    pub(super) snapshot: &'static [Duration],
    /// Calls that are retried at once after one that timed out: the timeout took as long as a backoff.
    pub(super) retries_after_timeout: usize,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A central service, which the proxies poll. With a shorter `hold` the calls would load it.
pub(super) const SERVICE: CallTiming = CallTiming {
    hold: ms(3500),
    response_margin: ms(500),
    catch_up: &[ms(3000), ms(750), ms(1250)],
    snapshot: &[ms(3000), ms(1500), ms(1500)],
    retries_after_timeout: 2,
};

/// An agent on the same machine, where lists are pushed: what it has counts as told at once, and it answers from its own
/// memory.
pub(super) const AGENT: CallTiming = CallTiming {
    hold: ms(2000),
    response_margin: ms(500),
    catch_up: &[ms(100), ms(200), ms(400), ms(800)],
    snapshot: &[ms(300), ms(600), ms(1200), ms(2400)],
    retries_after_timeout: 1,
};

/// Timeouts of calls for the whole list while a process has none at all: nothing counts as told to a process that is not
/// ready. Prevents a mass start whose calls are given up while they wait their turn, and are worked on all the same.
pub(super) const FIRST_SNAPSHOT: &[Duration] = &[ms(8000), ms(4000), ms(4000)];

/// Between calls to an agent that fail: less than the grace of a drain.
pub(super) const AGENT_RETRY_INTERVAL: Duration = ms(20);

/// For a connection: one whose handshake was lost must not cost a whole call.
pub(super) const CONNECT_TIMEOUT: Duration = ms(750);

/// Between log lines of one outage, where calls go on.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Between the starts of two calls: a service that answers each at once must not make this process spin.
pub(super) const MIN_CALL_INTERVAL: Duration = ms(20);

/// Largest body of a list, bytes: some 20,000 lines.
pub(super) const MAX_BODY: usize = 4 << 20;
