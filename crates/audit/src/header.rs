//! The header of a ledger: the deployment, the methods, the planned faults, and the parameters of the audit.
use serde::{Deserialize, Serialize};

/// Shown for an index that the header does not contain.
const UNKNOWN_NAME: &str = "?";

/// Shown for an RPC without a tenant.
const NO_TENANT: &str = "-";

/// Set of backends that drop duplicates of each other's RPCs.
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
    /// Returns the id of the deduplication group of a backend in this zone and rack. The ids are unique across scopes.
    pub fn group_id(self, zone: u32, rack: u32) -> u64 {
        match self {
            Self::All => 0,
            Self::Zone => 1 << 40 | u64::from(zone),
            Self::Rack => 2 << 40 | u64::from(zone) << 16 | u64::from(rack),
        }
    }
}

/// Whether an RPC of a method may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Repeated executions are harmless.
    Idempotent,
    /// Repeated executions are not allowed.
    NonIdempotent,
    /// Repeated attempts are harmless where backends drop duplicates.
    Deduplicated {
        /// The backends that drop duplicates of each other's RPCs.
        #[serde(rename = "group")]
        scope: DeduplicationScope,
        /// How long they drop duplicates, in seconds from the first attempt that may have run.
        window: f64,
    },
}

impl Idempotency {
    /// Whether a client may safely retry at any backend. Only then may a proxy reject an RPC that may have run.
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
    /// Whether its RPCs may be executed more than once.
    #[serde(rename = "kind")]
    pub idempotency: Idempotency,
    /// Latency objective, in seconds: a response within it has the full utility.
    #[serde(rename = "target")]
    pub latency_target: f64,
    /// Latency above which a response has no utility, in seconds.
    pub deadline: f64,
    /// Utility of a response within the latency objective.
    pub utility: f64,
    /// Share of the utility that a response between the latency objective and the deadline has.
    pub late_utility: f64,
}

/// Limits and tolerances with which the audit checks the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    /// How long new work may still reach a backend after the proxy was notified that it drains or is gone, in seconds.
    pub drain_grace: f64,
    /// Tolerance added to each time limit for delays of sockets and of the rehearsal itself, in seconds.
    pub slack: f64,
    /// Sliding window over which the work sent to a cold backend is summed, in seconds.
    #[serde(rename = "fall_window")]
    pub overload_window: f64,
    /// Maximum number of attempts for one client request.
    #[serde(rename = "most_picks")]
    pub max_attempts: usize,
    /// Whether a proxy may start an attempt while an earlier one is in flight.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Share of its utility that an RPC beyond its tenant's quota has.
    pub over_quota_utility: f64,
    /// Largest 99th percentile of the rehearsal's own scheduling delay at which time limits can still be checked, in
    /// seconds.
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
    /// When it begins, in seconds since the rehearsal began.
    pub from: f64,
    /// When it ends, in seconds since the rehearsal began.
    pub until: f64,
    /// Indices of the affected backends.
    #[serde(rename = "nodes")]
    pub backends: Vec<u32>,
    /// Indices of the affected proxies.
    pub proxies: Vec<u16>,
}

/// Minimum quality of service that a scenario requires, as shares of the requested utility between 0 and 1. `None` is
/// not checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceTargets {
    /// Over the whole rehearsal.
    pub service: Option<f64>,
    /// In the worst window of 10 s.
    pub worst_10s: Option<f64>,
    /// For the method with the lowest share.
    pub worst_method: Option<f64>,
    /// For the tenant with the lowest share.
    pub worst_tenant: Option<f64>,
}

/// The header of a ledger. Events refer to its methods, tenants, proxies, backends and faults by index.
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
    /// Quality of service that the scenario requires.
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
    /// Whether two backends, given by index, drop duplicates of each other's RPCs.
    pub fn shares_deduplication(&self, scope: DeduplicationScope, one: u32, other: u32) -> bool {
        let backend = |index: u32| self.backends.get(index as usize);
        match (scope, backend(one), backend(other)) {
            (DeduplicationScope::All, ..) => true,
            (DeduplicationScope::Zone, Some(a), Some(b)) => a.zone == b.zone,
            (DeduplicationScope::Rack, Some(a), Some(b)) => (a.zone, a.rack) == (b.zone, b.rack),
            _ => one == other,
        }
    }

    /// Returns the name of a proxy, or `?` if the index is unknown.
    pub fn proxy_name(&self, proxy: u16) -> &str {
        let name = self.proxies.get(proxy as usize);
        name.map_or(UNKNOWN_NAME, String::as_str)
    }

    /// Returns the name of a backend, or `?` if the index is unknown.
    pub fn backend_name(&self, backend: u32) -> &str {
        let backend = self.backends.get(backend as usize);
        backend.map_or(UNKNOWN_NAME, |backend| &backend.name)
    }

    /// Returns the name of a method, or `?` if the index is unknown.
    pub fn method_name(&self, method: u8) -> &str {
        let method = self.methods.get(method as usize);
        method.map_or(UNKNOWN_NAME, |method| &method.name)
    }

    /// Returns the name of a tenant, or `-` if the index is unknown.
    pub fn tenant_name(&self, tenant: u8) -> &str {
        let name = self.tenants.get(tenant as usize);
        name.map_or(NO_TENANT, String::as_str)
    }

    /// Returns the name of a fault, or `?` if the index is unknown.
    pub fn fault_name(&self, fault: u16) -> &str {
        let fault = self.faults.get(fault as usize);
        fault.map_or(UNKNOWN_NAME, |fault| &fault.name)
    }
}
