//! Section `list`: the delays and the capacity of the discovery service.
use crate::duration::ScenarioDuration;
use serde::Deserialize;

/// The discovery service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Discovery {
    /// Delay until it lists a planned change: a drain or a start.
    #[serde(rename = "lag")]
    pub update_delay: ScenarioDuration,
    /// Delay until it lists that a backend has failed.
    #[serde(rename = "notices")]
    pub failure_detection_delay: ScenarioDuration,
    /// Calls that it processes concurrently; it rejects more. Unlimited if absent. A watch that waits for an update
    /// does not count.
    #[serde(rename = "calls")]
    pub max_concurrent_calls: Option<usize>,
    /// Base duration of a call.
    #[serde(rename = "call-takes")]
    pub call_duration: ScenarioDuration,
    /// Duration added to a call by each endpoint in its response.
    #[serde(rename = "line-takes")]
    pub duration_per_endpoint: ScenarioDuration,
    /// Whether proxies start with the current endpoint list; otherwise they are ready after the first update.
    #[serde(rename = "known")]
    pub known_at_start: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            update_delay: ScenarioDuration(0.1),
            failure_detection_delay: ScenarioDuration(2.0),
            max_concurrent_calls: None,
            call_duration: ScenarioDuration(0.001),
            duration_per_endpoint: ScenarioDuration(0.0),
            known_at_start: true,
        }
    }
}

impl Discovery {
    /// Returns the duration of a call whose response has this many endpoints, in seconds.
    pub fn call_seconds(&self, endpoints: usize) -> f64 {
        self.call_duration.0 + self.duration_per_endpoint.0 * endpoints as f64
    }
}
