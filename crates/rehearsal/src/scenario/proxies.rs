//! Section `proxies`: the proxies and their limits.
use crate::duration::ScenarioDuration;
use serde::Deserialize;

/// The proxies, distributed over the zones round-robin.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Proxies {
    /// Number of proxies.
    pub count: usize,
    /// Maximum number of sockets of a proxy.
    #[serde(default = "default_max_sockets", rename = "sockets")]
    pub max_sockets: usize,
    /// Memory limit of a proxy, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Time for which the load balancer in front of the proxies keeps sending to one that has ended.
    #[serde(default = "default_front_detection_delay", rename = "front-notices")]
    pub front_detection_delay: ScenarioDuration,
}

fn default_max_sockets() -> usize {
    1024
}

fn default_memory_mb() -> usize {
    192
}

fn default_front_detection_delay() -> ScenarioDuration {
    ScenarioDuration(1.0)
}
