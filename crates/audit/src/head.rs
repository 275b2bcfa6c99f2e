//! Among whom a rehearsal was played and by which figures it is judged.
use serde::{Deserialize, Serialize};

/// Which nodes drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    All,
    Zone,
    Rack,
}

impl DeduplicationScope {
    /// Numbers the group that a node of this zone and rack belongs to: no two groups share a number.
    pub fn number(self, zone: u32, rack: u32) -> u64 {
        match self {
            Self::All => 0,
            Self::Zone => 1 << 40 | u64::from(zone),
            Self::Rack => 2 << 40 | u64::from(zone) << 16 | u64::from(rack),
        }
    }
}

/// Whether an RPC may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    Idempotent,
    NonIdempotent,
    /// Within the group and so many seconds of the first pick that may have run.
    Deduplicated {
        group: DeduplicationScope,
        window: f64,
    },
}

impl Idempotency {
    /// Whether pushing back what may have run is harmless.
    pub fn retry_is_harmless(self) -> bool {
        matches!(
            self,
            Self::Idempotent
                | Self::Deduplicated {
                    group: DeduplicationScope::All,
                    ..
                }
        )
    }
}

/// A method. Times in s.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Method {
    pub name: String,
    pub kind: Idempotency,
    pub target: f64,
    pub deadline: f64,
    pub utility: f64,
    /// Part of the utility of an answer after the target and before the deadline.
    pub late_utility: f64,
}

/// Figures of the rules, s where not said otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// New work may still go to a node so long after its proxy was told that it drains or is gone.
    pub drain_grace: f64,
    /// For the way over sockets and the kit's own delay: each time limit is so much longer.
    pub slack: f64,
    /// Work sent to a cold node is summed over this window.
    #[serde(rename = "fall_window")]
    pub overload_window: f64,
    #[serde(rename = "most_picks")]
    pub max_attempts: usize,
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Part of the utility of what lies beyond a tenant's quota.
    pub over_quota_utility: f64,
    /// The kit's own lateness, 99th percentile, beyond which time limits can't be judged.
    #[serde(rename = "kit_late")]
    pub max_lateness: f64,
}

/// A node, as far as rules and reports want to know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    pub name: String,
    pub zone: u32,
    pub rack: u32,
}

/// A trouble as the plan drew it: from, until, and the nodes or proxies that it befell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub name: String,
    pub kind: String,
    pub from: f64,
    pub until: f64,
    #[serde(rename = "nodes")]
    pub backends: Vec<u32>,
    pub proxies: Vec<u16>,
}

/// What service must reach, parts of 1; `None` is not judged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceTargets {
    pub service: Option<f64>,
    pub worst_10s: Option<f64>,
    pub worst_method: Option<f64>,
    pub worst_tenant: Option<f64>,
}

/// The head of a ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub scenario: String,
    pub seed: u64,
    pub plan: String,
    /// s, until the last arrival.
    pub length: f64,
    pub rules: Rules,
    #[serde(rename = "bars")]
    pub targets: ServiceTargets,
    pub methods: Vec<Method>,
    pub tenants: Vec<String>,
    pub proxies: Vec<String>,
    #[serde(rename = "nodes")]
    pub backends: Vec<Backend>,
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

impl Head {
    /// Whether repeats of this method at one node are dropped at the other.
    pub fn shares_deduplication(&self, group: DeduplicationScope, one: u32, other: u32) -> bool {
        let of = |n: u32| self.backends.get(n as usize);
        match (group, of(one), of(other)) {
            (DeduplicationScope::All, ..) => true,
            (DeduplicationScope::Zone, Some(a), Some(b)) => a.zone == b.zone,
            (DeduplicationScope::Rack, Some(a), Some(b)) => (a.zone, a.rack) == (b.zone, b.rack),
            _ => one == other,
        }
    }
}
