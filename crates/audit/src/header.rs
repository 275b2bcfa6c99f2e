//! The header of a ledger: the deployment, the methods, the planned faults, and the figures that the audit judges by.
use serde::{Deserialize, Serialize};

/// Shown in place of a name that the header does not have.
const UNKNOWN_NAME: &str = "?";

/// Shown in place of the tenant of an RPC without one.
const NO_TENANT: &str = "-";

/// Which backends drop duplicates of each other's RPCs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of a zone.
    Zone,
    /// The backends of a rack.
    Rack,
}

impl DeduplicationScope {
    /// Returns the id of the deduplication group that a backend in this zone and rack belongs to. Ids of groups of
    /// different scopes differ.
    pub fn group_id(self, zone: u32, rack: u32) -> u64 {
        match self {
            Self::All => 0,
            Self::Zone => 1 << 40 | u64::from(zone),
            Self::Rack => 2 << 40 | u64::from(zone) << 16 | u64::from(rack),
        }
    }
}

/// Whether the RPCs of a method may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Never.
    NonIdempotent,
    /// Only where backends drop duplicates.
    Deduplicated {
        /// The backends that drop duplicates of each other's RPCs.
        #[serde(rename = "group")]
        scope: DeduplicationScope,
        /// For how long they drop duplicates, in seconds from the first attempt that may have run.
        window: f64,
    },
}

impl Idempotency {
    /// Whether a retry by the client is harmless at any backend, so that an RPC may be rejected after it may have run.
    pub fn retry_is_harmless(self) -> bool {
        matches!(
            self,
            Self::Idempotent
                | Self::Deduplicated {
                    scope: DeduplicationScope::All,
                    ..
                }
        )
    }
}

/// A method of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Method {
    /// Name of the method.
    pub name: String,
    /// Whether its RPCs may run again.
    #[serde(rename = "kind")]
    pub idempotency: Idempotency,
    /// Latency objective, in seconds: an answer within it has the full utility.
    #[serde(rename = "target")]
    pub latency_target: f64,
    /// Time after which an answer has no utility, in seconds.
    pub deadline: f64,
    /// Utility of an answer within the latency objective.
    pub utility: f64,
    /// Share of the utility of an answer after the latency objective and before the deadline.
    pub late_utility: f64,
}

/// Limits and tolerances with which the audit checks the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    /// For how long new work may still reach a backend after its proxy learnt that it drains or is gone, in seconds.
    pub drain_grace: f64,
    /// Tolerance of each time limit for delays of sockets and of the rehearsal itself, in seconds.
    pub slack: f64,
    /// Window over which the work sent to a cold backend is summed, in seconds.
    #[serde(rename = "fall_window")]
    pub overload_window: f64,
    /// Largest number of attempts for one client request.
    #[serde(rename = "most_picks")]
    pub max_attempts: usize,
    /// Whether a proxy may make an attempt while an earlier one is open.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Share of the utility of an RPC beyond its tenant's quota.
    pub over_quota_utility: f64,
    /// Largest 99th percentile of the rehearsal's own lateness with which time limits can be judged, in seconds.
    #[serde(rename = "kit_late")]
    pub max_lateness: f64,
}

/// A backend of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the backend.
    pub name: String,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its rack within the zone.
    pub rack: u32,
}

/// A planned fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Name of the fault in the scenario.
    pub name: String,
    /// Kind of the fault in the scenario.
    pub kind: String,
    /// When it begins, in seconds.
    pub from: f64,
    /// When it ends, in seconds.
    pub until: f64,
    /// Indices of the affected backends.
    #[serde(rename = "nodes")]
    pub backends: Vec<u32>,
    /// Indices of the affected proxies.
    pub proxies: Vec<u16>,
}

/// Service that a scenario expects, as shares between 0 and 1; `None` is not judged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceTargets {
    /// Over the whole rehearsal.
    pub service: Option<f64>,
    /// In the worst window of 10 s.
    pub worst_10s: Option<f64>,
    /// Of the method with the lowest share.
    pub worst_method: Option<f64>,
    /// Of the tenant with the lowest share.
    pub worst_tenant: Option<f64>,
}

/// The header of a ledger. Events refer to methods, tenants, proxies, backends and faults by their index in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed from which the plan was generated.
    pub seed: u64,
    /// Hash of the plan.
    #[serde(rename = "plan")]
    pub plan_hash: String,
    /// Duration of the scenario, in seconds: the last RPC arrives before its end.
    #[serde(rename = "length")]
    pub duration: f64,
    /// Limits and tolerances with which the audit checks the rules.
    pub rules: RuleParameters,
    /// Service that the scenario expects.
    #[serde(rename = "bars")]
    pub targets: ServiceTargets,
    /// Methods of the service.
    pub methods: Vec<Method>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the proxies.
    pub proxies: Vec<String>,
    /// Backends of the deployment.
    #[serde(rename = "nodes")]
    pub backends: Vec<Backend>,
    /// Planned faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

impl Header {
    /// Whether duplicates of an RPC that one backend received are dropped at the other; both are given by index.
    pub fn shares_deduplication(&self, scope: DeduplicationScope, one: u32, other: u32) -> bool {
        let backend = |index: u32| self.backends.get(index as usize);
        match (scope, backend(one), backend(other)) {
            (DeduplicationScope::All, ..) => true,
            (DeduplicationScope::Zone, Some(a), Some(b)) => a.zone == b.zone,
            (DeduplicationScope::Rack, Some(a), Some(b)) => (a.zone, a.rack) == (b.zone, b.rack),
            _ => one == other,
        }
    }

    /// Returns the name of a proxy, or `?`.
    pub fn proxy_name(&self, proxy: u16) -> &str {
        let name = self.proxies.get(proxy as usize);
        name.map_or(UNKNOWN_NAME, String::as_str)
    }

    /// Returns the name of a backend, or `?`.
    pub fn backend_name(&self, backend: u32) -> &str {
        let backend = self.backends.get(backend as usize);
        backend.map_or(UNKNOWN_NAME, |backend| &backend.name)
    }

    /// Returns the name of a method, or `?`.
    pub fn method_name(&self, method: u8) -> &str {
        let method = self.methods.get(method as usize);
        method.map_or(UNKNOWN_NAME, |method| &method.name)
    }

    /// Returns the name of a tenant, or `-`.
    pub fn tenant_name(&self, tenant: u8) -> &str {
        let name = self.tenants.get(tenant as usize);
        name.map_or(NO_TENANT, String::as_str)
    }

    /// Returns the name of a fault, or `?`.
    pub fn fault_name(&self, fault: u16) -> &str {
        let fault = self.faults.get(fault as usize);
        fault.map_or(UNKNOWN_NAME, |fault| &fault.name)
    }
}
