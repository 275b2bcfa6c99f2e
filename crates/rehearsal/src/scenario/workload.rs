//! Sections `method` and `tenant`: what clients call, and on whose behalf.
use crate::duration::ScenarioDuration;
use birchhub_audit::{DeduplicationScope, Idempotency};
use birchhub_backend_model::work::Spread;
use serde::Deserialize;

/// Whether a method may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MethodKind {
    /// Safe to execute more than once.
    Idempotent,
    /// Must not be executed more than once.
    NonIdempotent,
    /// Carries an idempotency key by which backends drop repeats.
    Deduplicated,
}

/// A method.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Method {
    /// Name, the first part of the request's path.
    pub name: String,
    /// Whether it may be executed more than once.
    pub kind: MethodKind,
    /// Backends that share the idempotency keys of a deduplicated method.
    #[serde(rename = "group")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// Time for which the idempotency keys of a deduplicated method are kept.
    #[serde(rename = "window")]
    pub deduplication_window: Option<ScenarioDuration>,
    /// Mean work, on a standard core.
    #[serde(rename = "work")]
    pub mean_work: ScenarioDuration,
    /// Distribution of the work around its mean.
    #[serde(default)]
    pub spread: Spread,
    /// Latency up to which a response has its full utility.
    #[serde(rename = "target")]
    pub latency_target: ScenarioDuration,
    /// Latency from which a response has no utility.
    pub deadline: ScenarioDuration,
    /// Utility of a response within the latency target.
    #[serde(default = "full_utility")]
    pub utility: f64,
    /// Utility of a response between latency target and deadline.
    #[serde(default)]
    pub late_utility: f64,
    /// Weight in the traffic, relative to the other methods.
    #[serde(default = "equal_weight", rename = "share")]
    pub traffic_weight: f64,
    /// Size of the request body, if it has one.
    #[serde(default = "default_body_bytes", rename = "body")]
    pub body_bytes: usize,
}

impl Method {
    /// Returns the idempotency that the audit assumes.
    pub fn idempotency(&self) -> Idempotency {
        match (
            self.kind,
            self.deduplication_scope,
            self.deduplication_window,
        ) {
            (MethodKind::Deduplicated, Some(scope), Some(window)) => Idempotency::Deduplicated {
                scope,
                window: window.0,
            },
            (MethodKind::NonIdempotent, ..) => Idempotency::NonIdempotent,
            _ => Idempotency::Idempotent,
        }
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Weight in the traffic, relative to the other tenants.
    #[serde(default = "equal_weight", rename = "share")]
    pub traffic_weight: f64,
    /// Quota, in RPCs per second.
    #[serde(rename = "quota")]
    pub quota_per_second: f64,
}

fn full_utility() -> f64 {
    1.0
}

fn equal_weight() -> f64 {
    1.0
}

fn default_body_bytes() -> usize {
    128
}
