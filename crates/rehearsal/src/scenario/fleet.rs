//! Section `fleet`: the backends, their machines, zones and racks.
use crate::duration::ScenarioDuration;
use serde::Deserialize;

/// How backends report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReports {
    /// In responses.
    #[default]
    #[serde(rename = "answers")]
    Responses,
    /// In answers to health checks.
    #[serde(rename = "probes")]
    HealthChecks,
    /// Not at all.
    None,
}

/// The backends. Those of all machine types are distributed over the zones, and within a zone over its racks, round-robin.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Racks in each zone.
    #[serde(default = "one", rename = "racks")]
    pub racks_per_zone: usize,
    /// The machine types.
    #[serde(rename = "machine")]
    pub machines: Vec<Machine>,
    /// How backends report their load.
    #[serde(default, rename = "reports")]
    pub load_reports: LoadReports,
    /// Interval at which a backend refreshes its load report.
    #[serde(default = "default_report_interval", rename = "report-every")]
    pub report_interval: ScenarioDuration,
    /// Whether the cancellation of an attempt stops its execution.
    #[serde(default = "enabled", rename = "cancel-stops")]
    pub cancel_stops_execution: bool,
    /// Time after which a backend closes an idle connection.
    #[serde(default = "default_idle_timeout", rename = "idle-limit")]
    pub idle_timeout: ScenarioDuration,
    /// Work of a health check, on a standard core.
    #[serde(default, rename = "probe-work")]
    pub health_check_work: ScenarioDuration,
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Machine {
    /// Name of the type.
    pub name: String,
    /// Number of backends on such machines.
    pub count: usize,
    /// Cores, each of which executes one RPC at a time.
    #[serde(default = "one")]
    pub cores: usize,
    /// Speed of a core, in standard cores.
    #[serde(default = "standard_speed")]
    pub speed: f64,
    /// RPCs that may wait for a core.
    #[serde(default = "default_queue_capacity", rename = "queue")]
    pub queue_capacity: usize,
    /// Maximum number of open connections.
    #[serde(default = "default_max_connections", rename = "connections")]
    pub max_connections: usize,
    /// Work caused by a new connection, on a standard core.
    #[serde(default)]
    pub connection_work: ScenarioDuration,
}

fn one() -> usize {
    1
}

fn standard_speed() -> f64 {
    1.0
}

fn enabled() -> bool {
    true
}

fn default_queue_capacity() -> usize {
    32
}

fn default_max_connections() -> usize {
    512
}

fn default_report_interval() -> ScenarioDuration {
    ScenarioDuration(0.005)
}

fn default_idle_timeout() -> ScenarioDuration {
    ScenarioDuration(15.0)
}
