//! The settings of the proxies that are measured, with as many methods and tenants as wanted.
use crate::planned_size;
use crate::stub_backends::CONNECTION_IDLE_TIMEOUT;
use serde_json::{Value, json};

/// The cost of a health check for every RPC in points of service: at this cost two or three are worth it.
const HEALTH_CHECK_COST: f64 = 0.01;
/// Quota of a tenant, in RPCs per second.
const TENANT_QUOTA_PER_SECOND: f64 = 4.0;

/// What the configurations of the measured proxies differ in.
#[derive(Clone, Copy, Debug)]
pub struct ProxyProfile {
    /// Number of methods.
    pub methods: u32,
    /// Number of tenants.
    pub tenants: u32,
    /// Number of proxies in the configured fleet.
    pub proxies: u32,
    /// Whether the load of backends is known by health checks; else by reports in responses.
    pub health_checks: bool,
}

impl Default for ProxyProfile {
    fn default() -> Self {
        Self {
            methods: 1,
            tenants: 0,
            proxies: planned_size::PROXIES as u32,
            health_checks: false,
        }
    }
}

impl ProxyProfile {
    /// The settings object of a proxy's configuration file.
    pub fn settings(self) -> Value {
        let methods: Vec<_> = (0..self.methods)
            .map(|n| method(&format!("m{n}")))
            .collect();
        let accounts: Vec<_> = (0..self.tenants).map(|n| self.account(n)).collect();
        let zones: Vec<_> = (0..planned_size::ZONES as u32)
            .map(|n| format!("z{n}"))
            .collect();
        let report_source = match self.health_checks {
            true => "probe",
            false => "answers",
        };
        json!({
            "balancers": self.proxies, "me": 0,
            "accounts": accounts,
            "methods": methods,
            "ceilings": {"cancel": true, "conn-idle-ns": nanoseconds(CONNECTION_IDLE_TIMEOUT.as_secs_f64()),
                "connect-timeout-ns": nanoseconds(0.25), "most-picks": 3, "probes": self.health_checks},
            "contract": {"ask-within-ns": nanoseconds(2.0), "cold-from": 0.3, "cold-ns": nanoseconds(8.0),
                "drain-grace-ns": nanoseconds(0.3), "fall-multiple": 3.0, "tip-after-ns": nanoseconds(1.0)},
            "failure-domains": zones, "my-zone": "z0", "membership-mode": "on_request",
            "penalties": {"probe": HEALTH_CHECK_COST},
            "report": {"how": report_source, "fields": ["concurrent", "depth"]}, "weight-source": "none"
        })
    }

    fn account(self, number: u32) -> Value {
        let share = 1.0 / f64::from(self.tenants);
        json!({"name": format!("tenant-{number:06}"), "quota-per-s": TENANT_QUOTA_PER_SECOND, "share": share})
    }
}

/// The settings of one method.
pub(crate) fn method(name: &str) -> Value {
    json!({"name": name, "idempotency": "read_like", "latency-target-ns": nanoseconds(0.25),
        "hard-limit-ns": nanoseconds(1.0), "utility": 1.0})
}

fn nanoseconds(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}
