//! Section `rules`: the parameters of the rules, which proxies are configured with and the audit judges by.
use crate::duration::ScenarioDuration;
use serde::Deserialize;

/// Parameters of the rules.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rules {
    /// Time after the announcement of a drain during which proxies may still send to the backend.
    pub drain_grace: ScenarioDuration,
    /// Fraction of its capacity with which a backend starts.
    #[serde(rename = "cold-from")]
    pub initial_capacity: f64,
    /// Time until a started backend has its full capacity.
    #[serde(rename = "cold-for")]
    pub warm_up: ScenarioDuration,
    /// A warming backend collapses when its load is this multiple of its capacity.
    #[serde(rename = "fall-multiple")]
    pub collapse_factor: f64,
    /// Window over which the load of a warming backend is summed.
    #[serde(rename = "fall-window")]
    pub overload_window: ScenarioDuration,
    /// Maximum number of attempts of one RPC.
    #[serde(rename = "most-picks")]
    pub max_attempts: usize,
    /// Whether hedged requests are permitted.
    #[serde(rename = "second-copies")]
    pub hedging_allowed: bool,
    /// Whether a proxy may cancel an attempt.
    #[serde(rename = "cancel")]
    pub cancellation_allowed: bool,
    /// Whether a proxy may send health checks.
    #[serde(rename = "probes")]
    pub health_checks_allowed: bool,
    /// Longest Retry-After of a rejection; 0 for none.
    #[serde(rename = "retry-after")]
    pub max_retry_after: ScenarioDuration,
    /// Time within which proxies poll the discovery service.
    #[serde(rename = "ask-within")]
    pub poll_within: ScenarioDuration,
    /// Tolerance added to time limits, for the latency of sockets.
    #[serde(rename = "slack")]
    pub time_tolerance: ScenarioDuration,
    /// 99th percentile of the emulator's own lateness from which a verdict is void.
    #[serde(rename = "kit-late")]
    pub max_lateness: ScenarioDuration,
    /// Utility of an RPC above its tenant's quota.
    pub over_quota_utility: f64,
    /// Cost of a health check, in utility, as proxies are configured.
    #[serde(rename = "probe-price")]
    pub health_check_cost: f64,
    /// Cost of an attempt in another zone, in utility, as proxies are configured.
    #[serde(rename = "cross-price")]
    pub cross_zone_cost: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace: ScenarioDuration(0.3),
            initial_capacity: 0.3,
            warm_up: ScenarioDuration(8.0),
            collapse_factor: 3.0,
            overload_window: ScenarioDuration(1.0),
            max_attempts: 3,
            hedging_allowed: false,
            cancellation_allowed: true,
            health_checks_allowed: true,
            max_retry_after: ScenarioDuration(0.0),
            poll_within: ScenarioDuration(10.0),
            time_tolerance: ScenarioDuration(0.05),
            max_lateness: ScenarioDuration(0.01),
            over_quota_utility: 0.05,
            health_check_cost: 0.002,
            cross_zone_cost: 0.0,
        }
    }
}
