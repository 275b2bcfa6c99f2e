//! What an audit finds: violations of the rules, counts, and summaries for the report.
use crate::service::{Service, quantile};
use serde::Serialize;

/// A rule of the service; the discriminant is the rule's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every accepted RPC gets exactly one answer before its deadline.
    OneAnswer = 1,
    /// No effect of an RPC happens twice where its method forbids it.
    #[serde(rename = "no-effect-twice")]
    NoDuplicateEffect = 2,
    /// A draining or removed backend gets no new work.
    #[serde(rename = "drains")]
    Draining = 3,
    /// No backend in slow start is overloaded.
    #[serde(rename = "cold-nodes")]
    SlowStart = 4,
}

/// A violation of a rule; there is at most one for each rule and subject.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it happened, in seconds since the rehearsal began.
    pub at: f64,
    /// The RPC, proxy or backend that it concerns.
    pub subject: String,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// Whether it rests on a time limit, so that it can't be judged where the rehearsal itself was late.
    #[serde(rename = "timed")]
    pub timing_dependent: bool,
}

/// Counts that a report shows beside the rules.
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
    /// Requests that got another status.
    pub aborted: usize,
    /// Requests that got no answer because their proxy was killed.
    pub lost_with_proxy: usize,
    /// Requests for which no connection to the proxy was established.
    pub unreachable: usize,
    /// Requests that their client cancelled.
    #[serde(rename = "hung_up")]
    pub cancelled: usize,
    /// Attempts that backends rejected.
    #[serde(rename = "turned_away")]
    pub attempts_rejected: usize,
    /// Executions beyond the first one of an RPC whose method allows them.
    #[serde(rename = "repeated_runs")]
    pub repeated_executions: usize,
    /// Duplicates that backends dropped.
    #[serde(rename = "dropped_repeats")]
    pub duplicates_dropped: usize,
    /// Executions beyond the first one of an RPC whose method forbids them.
    #[serde(rename = "double_runs")]
    pub double_executions: usize,
    /// Backends that collapsed under overload.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    /// Of these, the ones for which proxies that knew of the start are not responsible.
    #[serde(rename = "fallen_uninformed")]
    pub collapsed_uninformed: usize,
    /// Attempts that their proxy cancelled.
    #[serde(rename = "withdrawn")]
    pub attempts_cancelled: usize,
}

/// A backend's cold start, and how close to a collapse it came.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ColdStart {
    /// Name of the backend.
    #[serde(rename = "node")]
    pub backend: String,
    /// When it started, in seconds since the rehearsal began.
    #[serde(rename = "from")]
    pub started_at: f64,
    /// Largest overload, as a share of the one at which it collapses.
    #[serde(rename = "peak")]
    pub peak_overload: f64,
}

/// What an audit found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Findings {
    /// Violations of the rules, in the order of time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Counts of events.
    pub counts: Counts,
    /// Quality of service.
    pub service: Service,
    /// Cold starts, in the order of time.
    #[serde(rename = "cold")]
    pub cold_starts: Vec<ColdStart>,
    /// Longest time from the notification that a backend drains or is gone to new work for it, in seconds.
    #[serde(rename = "latest_after_told")]
    pub latest_after_notification: f64,
    /// How late the emulated clients sent their requests.
    #[serde(rename = "kit_late")]
    pub client_lateness: LatenessSummary,
    /// How late the emulated backends were: one that lacks processor time would look like a slow backend.
    #[serde(rename = "stage_late")]
    pub emulator_lateness: LatenessSummary,
}

/// Lateness of scheduled actions, in seconds; written as `[median, 99th percentile, worst]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "[f64; 3]")]
pub struct LatenessSummary {
    /// Median, in seconds.
    pub median: f64,
    /// 99th percentile, in seconds.
    pub percentile_99: f64,
    /// Largest value, in seconds.
    pub worst: f64,
}

impl LatenessSummary {
    /// Summarises the samples, which it sorts; all values are 0 if there are none.
    pub(crate) fn of(samples: &mut [f64]) -> Self {
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
