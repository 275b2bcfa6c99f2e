//! What an audit finds: violations of the rules, counts, and summaries for the report.
use crate::service::{Service, quantile};
use serde::Serialize;

/// Which rule was broken; the number is the rule's.
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

/// One breach, told once for its rule and subject.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub at: f64,
    /// The RPC's number, or the node's name for rule 4.
    pub subject: String,
    #[serde(rename = "what")]
    pub description: String,
    /// Rests on a time limit: can't be upheld where the kit itself was late.
    #[serde(rename = "timed")]
    pub timing_dependent: bool,
}

/// Counts that a report shows beside the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    pub rpcs: usize,
    #[serde(rename = "tries")]
    pub client_requests: usize,
    #[serde(rename = "picks")]
    pub attempts: usize,
    #[serde(rename = "runs")]
    pub executions: usize,
    pub ok: usize,
    #[serde(rename = "pushed_back")]
    pub rejected: usize,
    pub aborted: usize,
    /// Tries that got no answer because their proxy was killed.
    pub lost_with_proxy: usize,
    pub unreachable: usize,
    #[serde(rename = "hung_up")]
    pub cancelled: usize,
    #[serde(rename = "turned_away")]
    pub attempts_rejected: usize,
    /// Runs beyond the first of an RPC, where the method allows them.
    #[serde(rename = "repeated_runs")]
    pub repeated_executions: usize,
    /// Repeats that nodes dropped.
    #[serde(rename = "dropped_repeats")]
    pub duplicates_dropped: usize,
    /// Runs beyond the first of an RPC whose method forbids them.
    #[serde(rename = "double_runs")]
    pub double_executions: usize,
    /// Nodes that fell, and those that fell by no fault of informed proxies.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    #[serde(rename = "fallen_uninformed")]
    pub collapsed_uninformed: usize,
    #[serde(rename = "withdrawn")]
    pub attempts_cancelled: usize,
}

/// A cold incarnation and how near to its fall it came.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ColdStart {
    #[serde(rename = "node")]
    pub backend: String,
    #[serde(rename = "from")]
    pub started_at: f64,
    /// Part of what makes it fall.
    #[serde(rename = "peak")]
    pub peak_overload: f64,
}

/// What an audit found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Findings {
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    pub counts: Counts,
    pub service: Service,
    #[serde(rename = "cold")]
    pub cold_starts: Vec<ColdStart>,
    /// Latest new work to a draining or gone node after its proxy was told, s.
    #[serde(rename = "latest_after_told")]
    pub latest_after_notification: f64,
    /// The kit's own lateness, s: median, 99th percentile and worst.
    #[serde(rename = "kit_late")]
    pub client_lateness: LatenessSummary,
    /// The same of stand-in nodes: guards against a stage that is out of breath and taken for slow nodes.
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
