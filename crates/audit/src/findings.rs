//! Results of an audit: violations of the rules, counts of events, and summaries for the report.
use crate::service::{ServiceQuality, quantile};
use serde::Serialize;

/// A rule that the audit checks. The discriminant is the rule's number in the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every accepted RPC gets exactly one response before its deadline.
    OneAnswer = 1,
    /// No RPC is executed twice if its method forbids it.
    #[serde(rename = "no-effect-twice")]
    NoDuplicateEffect = 2,
    /// Draining and removed backends get no new work.
    #[serde(rename = "drains")]
    Draining = 3,
    /// Backends in slow start are not overloaded.
    #[serde(rename = "cold-nodes")]
    SlowStart = 4,
}

/// A violation of a rule. There is at most one for each rule and subject.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// When it happened, in seconds since the rehearsal began.
    pub at: f64,
    /// The RPC, proxy or backend that it concerns.
    pub subject: String,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// Whether it depends on a time limit, which cannot be checked reliably if the rehearsal itself ran late.
    #[serde(rename = "timed")]
    pub timing_dependent: bool,
}

/// Counts of events that the report shows next to the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// RPCs that were due.
    pub rpcs: usize,
    /// Requests that clients sent, retries included.
    #[serde(rename = "tries")]
    pub client_requests: usize,
    /// Attempts that backends received.
    #[serde(rename = "picks")]
    pub attempts: usize,
    /// Executions that began at backends.
    #[serde(rename = "runs")]
    pub executions: usize,
    /// Requests that succeeded.
    pub ok: usize,
    /// Requests that the proxy rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: usize,
    /// Requests that got a response with another status.
    pub aborted: usize,
    /// Requests that got no response because their proxy was killed.
    pub lost_with_proxy: usize,
    /// Requests for which no connection to the proxy was established.
    pub unreachable: usize,
    /// Requests that the client cancelled.
    #[serde(rename = "hung_up")]
    pub cancelled: usize,
    /// Attempts that backends rejected.
    #[serde(rename = "turned_away")]
    pub attempts_rejected: usize,
    /// Repeated executions of RPCs whose method allows them.
    #[serde(rename = "repeated_runs")]
    pub repeated_executions: usize,
    /// Duplicates that backends dropped.
    #[serde(rename = "dropped_repeats")]
    pub duplicates_dropped: usize,
    /// Repeated executions of RPCs whose method forbids them.
    #[serde(rename = "double_runs")]
    pub double_executions: usize,
    /// Backends that collapsed under overload.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    /// Of these, the ones caused by proxies that had not been notified of the start.
    #[serde(rename = "fallen_uninformed")]
    pub collapsed_uninformed: usize,
    /// Attempts that the proxy cancelled.
    #[serde(rename = "withdrawn")]
    pub attempts_cancelled: usize,
}

/// A cold start of a backend, with its peak overload.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ColdStart {
    /// Name of the backend.
    #[serde(rename = "node")]
    pub backend: String,
    /// When it started, in seconds since the rehearsal began.
    #[serde(rename = "from")]
    pub started_at: f64,
    /// Peak overload, as a share of the overload at which it collapses.
    #[serde(rename = "peak")]
    pub peak_overload: f64,
}

/// Results of an audit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Findings {
    /// Violations of the rules, in chronological order.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Counts of events.
    pub counts: Counts,
    /// Quality of service.
    pub service: ServiceQuality,
    /// Cold starts, in chronological order.
    #[serde(rename = "cold")]
    pub cold_starts: Vec<ColdStart>,
    /// Longest time between the notification that a backend drains or is gone and new work for it, in seconds.
    #[serde(rename = "latest_after_told")]
    pub max_delay_after_notification: f64,
    /// How much later than scheduled the emulated clients sent their requests.
    #[serde(rename = "kit_late")]
    pub client_lateness: LatenessSummary,
    /// How much later than scheduled the emulated backends acted. An emulated backend that is short of CPU time would
    /// otherwise look like a slow backend.
    #[serde(rename = "stage_late")]
    pub emulator_lateness: LatenessSummary,
}

/// Delays of scheduled actions, in seconds; serialized as `[median, 99th percentile, worst]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "[f64; 3]")]
pub struct LatenessSummary {
    /// Median, in seconds.
    pub median: f64,
    /// 99th percentile, in seconds.
    pub percentile_99: f64,
    /// Maximum, in seconds.
    pub worst: f64,
}

impl LatenessSummary {
    /// Summarizes the samples, which it sorts. All values are 0 if there are no samples.
    pub(crate) fn from_samples(samples: &mut [f64]) -> Self {
        samples.sort_by(f64::total_cmp);
        Self {
            median: quantile(samples, 0.5),
            percentile_99: quantile(samples, 0.99),
            worst: quantile(samples, 1.0),
        }
    }
}

impl From<LatenessSummary> for [f64; 3] {
    fn from(summary: LatenessSummary) -> Self {
        [summary.median, summary.percentile_99, summary.worst]
    }
}
