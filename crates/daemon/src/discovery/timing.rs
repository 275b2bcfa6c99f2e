//! Time limits on the polls of the discovery service, and on their retries.

use std::time::Duration;

/// Time limits on the polls of one kind of source.
///
/// A proxy must apply an update within 6 s after the source becomes reachable, and within 6 s after the source stops
/// responding to a watch. Two consecutive polls without a response, with a backoff of the balancer of at most 1 s
/// between them, leave time for a third poll that succeeds.
pub(super) struct PollTiming {
    /// Time for which the source may hold a long poll.
    pub(super) hold: Duration,
    /// Time after `hold` until a long poll times out.
    pub(super) response_margin: Duration,
    /// Timeouts of ordinary polls for changes, indexed by the number of consecutive timeouts so far. Some are longer,
    /// for a source that is slower than usual.
    pub(super) catch_up: &'static [Duration],
    /// Timeouts of polls for a snapshot, indexed in the same way.
    pub(super) snapshot: &'static [Duration],
    /// Number of retries without a backoff after timeouts, which take as long as a backoff themselves.
    pub(super) retries_after_timeout: usize,
    /// Time since the start of a call for which its response is awaited, whatever later calls time out.
    pub(super) min_overdue_wait: Duration,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Limits for a central service. A shorter `hold` would increase the load on the service.
pub(super) const CENTRAL_SERVICE: PollTiming = PollTiming {
    hold: ms(3500),
    response_margin: ms(500),
    catch_up: &[ms(3000), ms(750), ms(1250)],
    snapshot: &[ms(3000), ms(1500), ms(1500)],
    retries_after_timeout: 2,
    min_overdue_wait: Duration::ZERO,
};

/// Limits for a local agent, which responds from memory. A proxy must apply what the agent has without delay.
///
/// The timeouts are short to notice the end of an outage. A slow agent's response is awaited as an overdue call: twice
/// `min_overdue_wait`, for a call that is lost and the one after it, stays below the 6 s.
pub(super) const LOCAL_AGENT: PollTiming = PollTiming {
    hold: ms(2000),
    response_margin: ms(500),
    catch_up: &[ms(100), ms(200), ms(400), ms(800)],
    snapshot: &[ms(300), ms(600), ms(1200), ms(2400)],
    retries_after_timeout: 1,
    min_overdue_wait: ms(2500),
};

/// Timeouts of polls for the first snapshot of a process that is not ready, indexed by the number of consecutive
/// timeouts so far. When many proxies start at once, this prevents them from abandoning polls that are queued at the
/// service, which would process them nevertheless.
pub(super) const FIRST_SNAPSHOT_TIMEOUTS: &[Duration] = &[ms(8000), ms(4000), ms(4000)];

/// Delay after a failed poll of a local agent. Shorter than the drain grace of a backend.
pub(super) const AGENT_RETRY_INTERVAL: Duration = ms(20);

/// Timeout of a connection attempt. Prevents a lost handshake from using up the whole timeout of a poll.
pub(super) const CONNECT_TIMEOUT: Duration = ms(750);

/// Minimum time between two log lines about the same outage of a local agent.
pub(super) const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum time from the start of a poll to the start of the next one. Prevents a busy loop if the source responds to
/// each long poll at once.
pub(super) const MIN_CALL_INTERVAL: Duration = ms(20);

/// Maximum size of a response's body, in bytes. Enough for about 20,000 endpoints.
pub(super) const MAX_BODY_BYTES: usize = 4 << 20;
