//! Section `trouble`: the faults injected into the deployment, and the selectors of those that they affect.
use crate::duration::ScenarioDuration;
use serde::Deserialize;

/// Kind of a fault. The ledger stores the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Backends stall: throughout, or for `pause` in each `interval`.
    Stall,
    /// A noisy neighbour takes a fraction of the machines' capacity.
    Neighbour,
    /// The work of a method is multiplied on all backends.
    SlowMethod,
    /// Backends crash and are restarted, cold, at the end.
    Crash,
    /// Backends are drained and replaced in batches, one batch in each `interval`.
    Deploy,
    /// Updates of the discovery service are delayed further.
    ListLate,
    /// The discovery service is unavailable.
    ListDown,
    /// Proxies receive the endpoint list as it was when the fault began.
    ListStale,
    /// Proxies are killed, `interval` apart, and restarted after `restart_delay`.
    ProxyKill,
    /// Proxies are terminated with SIGTERM, `interval` apart, and restarted after `restart_delay`.
    ProxyRestart,
    /// Proxies are stopped for `pause` in each `interval`.
    ProxyPause,
    /// A share of the RPCs is executed, and then the connection is reset.
    Reset,
    /// A share of the RPCs is executed, and the response is truncated or not HTTP.
    Spoilt,
    /// A share of the RPCs is read and never answered.
    Mute,
    /// A share of the RPCs fails at once with an error.
    Error,
    /// A share of the RPCs is answered byte by byte.
    Trickle,
    /// No traffic passes between backends and proxies.
    Partition,
}

/// A fault. Validation checks which of the optional keys its kind has.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// Name, unique in the scenario; it seeds the fault's random choices.
    pub name: String,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault.
    #[serde(rename = "at")]
    pub start: ScenarioDuration,
    /// Duration of the fault.
    #[serde(rename = "for")]
    pub duration: Option<ScenarioDuration>,
    /// The affected backends.
    #[serde(rename = "nodes")]
    pub backends: Option<BackendSelector>,
    /// The affected proxies.
    pub proxies: Option<ProxySelector>,
    /// Name of the method that becomes slow.
    pub method: Option<String>,
    /// Duration of each stall or pause.
    pub pause: Option<ScenarioDuration>,
    /// Interval between stalls, pauses, batches or proxies.
    #[serde(rename = "every")]
    pub interval: Option<ScenarioDuration>,
    /// Fraction of the capacity that a noisy neighbour takes.
    #[serde(rename = "takes")]
    pub capacity_taken: Option<f64>,
    /// Factor of a slow method's work.
    pub factor: Option<f64>,
    /// Backends that a deploy replaces at a time.
    #[serde(rename = "batch")]
    pub batch_size: Option<usize>,
    /// Deploy: time from the announcement of a drain until the backend rejects new work.
    #[serde(rename = "lead")]
    pub drain_notice: Option<ScenarioDuration>,
    /// Deploy: time from the announcement of a drain until the backend ends at the latest.
    #[serde(rename = "stop-after")]
    pub drain_timeout: Option<ScenarioDuration>,
    /// Time from the end of a backend or proxy until its successor starts.
    #[serde(rename = "back-after")]
    pub restart_delay: Option<ScenarioDuration>,
    /// Additional delay of the discovery service's updates.
    #[serde(rename = "by")]
    pub delay: Option<ScenarioDuration>,
    /// Fraction of the affected backends' RPCs that meet the fault.
    pub share: Option<f64>,
    /// Time over which a response is sent byte by byte.
    #[serde(rename = "over")]
    pub response_duration: Option<ScenarioDuration>,
}

/// Selects the backends that match all criteria, and of them `count` or `share` at random.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct BackendSelector {
    /// Name of their zone.
    pub zone: Option<String>,
    /// Number of their rack within the zone.
    pub rack: Option<u32>,
    /// Name of their machine type.
    pub machine: Option<String>,
    /// Their own names.
    #[serde(rename = "named")]
    pub names: Option<Vec<String>>,
    /// Only backends affected by this earlier fault.
    #[serde(rename = "among")]
    pub affected_by: Option<String>,
    /// Only backends not affected by this earlier fault.
    #[serde(rename = "without")]
    pub not_affected_by: Option<String>,
    /// Number of backends to choose.
    pub count: Option<usize>,
    /// Fraction of the matching backends to choose.
    pub share: Option<f64>,
}

/// Selects the proxies that match all criteria, and of them `count` or `share` at random.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ProxySelector {
    /// Name of their zone.
    pub zone: Option<String>,
    /// Their own names.
    #[serde(rename = "named")]
    pub names: Option<Vec<String>>,
    /// Number of proxies to choose.
    pub count: Option<usize>,
    /// Fraction of the matching proxies to choose.
    pub share: Option<f64>,
}
