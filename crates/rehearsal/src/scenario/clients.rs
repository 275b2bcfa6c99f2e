//! Section `clients`: how clients retry, wait and cancel.
use crate::duration::ScenarioDuration;
use serde::Deserialize;

/// The behaviour of clients whose RPC fails.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Clients {
    /// Maximum number of retries of an RPC.
    #[serde(rename = "retries")]
    pub max_retries: u8,
    /// Delay before the first retry.
    #[serde(rename = "wait")]
    pub retry_delay: ScenarioDuration,
    /// Whether the delay doubles with each retry.
    #[serde(rename = "backoff")]
    pub exponential_backoff: bool,
    /// Whether clients wait for the Retry-After of a rejection if it is longer.
    #[serde(rename = "obey-retry-after")]
    pub honors_retry_after: bool,
    /// Whether clients mark retries as such.
    pub marks_retries: bool,
    /// Timeout of an attempt, as a fraction of the RPC's deadline.
    #[serde(rename = "try-patience")]
    pub attempt_timeout_fraction: f64,
    /// Fraction of the RPCs whose first attempt the client cancels early.
    #[serde(rename = "leave")]
    pub cancelling_fraction: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            max_retries: 2,
            retry_delay: ScenarioDuration(0.02),
            exponential_backoff: true,
            honors_retry_after: true,
            marks_retries: true,
            attempt_timeout_fraction: 1.0,
            cancelling_fraction: 0.0,
        }
    }
}
