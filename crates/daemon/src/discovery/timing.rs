//! Time limits on the polls of the discovery service, and on their retries.

use std::time::Duration;

/// Time limits on the polls of one kind of source.
///
/// A proxy must apply an update within 6 s after the source became reachable, and within 6 s after a watch fell silent.
/// Two polls in a row without a response, and one backoff of the decisions (at most 1 s) between them, leave time for a
/// third poll that succeeds.
pub(super) struct PollTiming {
    /// Time for which the source may hold a watch.
    pub(super) hold: Duration,
    /// Time after `hold` until a watch times out.
    pub(super) response_margin: Duration,
    /// Timeouts of polls for changes that the source does not hold, indexed by the number of consecutive timeouts. Some
    /// are longer, for a source that is slower than usual.
    pub(super) catch_up: &'static [Duration],
    /// Timeouts of polls for a snapshot, indexed likewise.
    pub(super) snapshot: &'static [Duration],
    /// Number of immediate retries after a timeout, which took as long as a backoff.
    pub(super) retries_after_timeout: usize,
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
};

/// Limits for a local agent, which responds from memory. A proxy must apply what the agent has without delay.
pub(super) const LOCAL_AGENT: PollTiming = PollTiming {
    hold: ms(2000),
    response_margin: ms(500),
    catch_up: &[ms(100), ms(200), ms(400), ms(800)],
    snapshot: &[ms(300), ms(600), ms(1200), ms(2400)],
    retries_after_timeout: 1,
};

/// Timeouts of polls for the first snapshot of a process that is not ready, indexed by the number of consecutive
/// timeouts. Prevents the proxies of a mass start from abandoning polls that wait their turn, and that the service would
/// process all the same.
pub(super) const FIRST_SNAPSHOT_TIMEOUTS: &[Duration] = &[ms(8000), ms(4000), ms(4000)];

/// Pause after a failed poll of a local agent; shorter than the drain grace of a backend.
pub(super) const AGENT_RETRY_INTERVAL: Duration = ms(20);

/// Timeout of a connect. Prevents a lost handshake from using up the whole timeout of a poll.
pub(super) const CONNECT_TIMEOUT: Duration = ms(750);

/// Shortest time between two log lines about the same outage of a local agent.
pub(super) const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest time from the start of a poll to the start of the next. Prevents a busy loop when the source responds to
/// each watch at once.
pub(super) const MIN_CALL_INTERVAL: Duration = ms(20);

/// Largest body of a response, in bytes; some 20,000 endpoints.
pub(super) const MAX_BODY_BYTES: usize = 4 << 20;
