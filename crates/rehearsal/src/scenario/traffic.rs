//! Section `traffic`: the rate at which RPCs arrive.
use crate::duration::ScenarioDuration;
use serde::Deserialize;

/// Poisson arrivals at a base rate, multiplied by the factors of the phases.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Traffic {
    /// Base rate, in RPCs per second.
    #[serde(rename = "rate")]
    pub rate_per_second: f64,
    /// Periods with another rate; they may overlap.
    #[serde(default, rename = "phase")]
    pub phases: Vec<Phase>,
}

/// A period in which the rate is multiplied.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Phase {
    /// Start of the phase.
    #[serde(rename = "at")]
    pub start: ScenarioDuration,
    /// Duration of the phase.
    #[serde(rename = "for")]
    pub duration: ScenarioDuration,
    /// Factor of the rate.
    #[serde(rename = "times")]
    pub rate_factor: f64,
    /// Whether the factor rises linearly from 1 during the phase, instead of applying throughout.
    #[serde(default)]
    pub ramp: bool,
}
