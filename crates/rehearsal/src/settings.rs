//! Mapping of a scenario to what the parts of a rehearsal are configured with: the settings of proxies, the specification of
//! backends, and the header of the ledger.
use crate::plan::{Plan, PlannedNode, proxy_name};
use crate::scenario::{LoadReports, Method, MethodKind, Scenario, Tenant};
use birchhub_audit::{DeduplicationScope, Header, RuleParameters, header};
use birchhub_backend_model::BackendParameters;
use serde_json::{Value, json};

/// Connect timeout of proxies.
const CONNECT_TIMEOUT_NS: u64 = 250_000_000;

fn nanoseconds(seconds: f64) -> u64 {
    (seconds * 1e9).round() as u64
}

/// Returns the settings of a proxy, under the keys of the platform's settings object.
pub fn settings(scenario: &Scenario, proxy: u16) -> Value {
    let rules = &scenario.rules;
    let methods: Vec<_> = scenario.methods.iter().map(method_settings).collect();
    let total_weight: f64 = scenario.tenants.iter().map(|t| t.traffic_weight).sum();
    let accounts: Vec<_> = scenario
        .tenants
        .iter()
        .map(|tenant| tenant_settings(tenant, total_weight))
        .collect();
    let how = match scenario.fleet.load_reports {
        LoadReports::Responses => "answers",
        LoadReports::HealthChecks => "probe",
        LoadReports::None => "none",
    };
    json!({
        "accounts": accounts, "balancers": scenario.proxies.count, "me": proxy,
        "callers": {"marks-retry": scenario.clients.marks_retries},
        "ceilings": {"cancel": rules.cancellation_allowed, "conn-idle-ns": nanoseconds(scenario.fleet.idle_timeout.0),
            "connect-timeout-ns": CONNECT_TIMEOUT_NS, "max-retry-after-ns": nanoseconds(rules.max_retry_after.0),
            "most-picks": rules.max_attempts, "probes": rules.health_checks_allowed, "retry-after": rules.max_retry_after.0 > 0.0,
            "second-copies": rules.hedging_allowed},
        "contract": {"ask-within-ns": nanoseconds(rules.poll_within.0), "cold-from": rules.initial_capacity,
            "cold-ns": nanoseconds(rules.warm_up.0), "drain-grace-ns": nanoseconds(rules.drain_grace.0),
            "fall-multiple": rules.collapse_factor, "tip-after-ns": nanoseconds(rules.overload_window.0)},
        "failure-domains": scenario.fleet.zones, "my-zone": zone_of(scenario, proxy),
        "membership-mode": "on_request", "methods": methods,
        "overage-utility": rules.over_quota_utility,
        "penalties": {"probe": rules.health_check_cost, "cross-zone": rules.cross_zone_cost},
        "report": {"how": how, "fields": ["concurrent", "depth"]}, "weight-source": "none"
    })
}

fn method_settings(method: &Method) -> Value {
    let idempotency = match method.kind {
        MethodKind::Idempotent => "read_like",
        MethodKind::NonIdempotent => "non_idempotent",
        MethodKind::Deduplicated => "idempotency_key",
    };
    let scope = match method.deduplication_scope {
        None | Some(DeduplicationScope::All) => "all",
        Some(DeduplicationScope::Zone) => "zone",
        Some(DeduplicationScope::Rack) => "cell",
    };
    let window = method.deduplication_window.map_or(0.0, |window| window.0);
    json!({
        "name": method.name, "idempotency": idempotency, "dedup-scope": scope,
        "window-ns": nanoseconds(window), "latency-target-ns": nanoseconds(method.latency_target.0),
        "hard-limit-ns": nanoseconds(method.deadline.0), "utility": method.utility,
        "tardy-utility": method.late_utility, "streaming": false
    })
}

fn tenant_settings(tenant: &Tenant, total_weight: f64) -> Value {
    json!({
        "name": tenant.name, "quota-per-s": tenant.quota_per_second,
        "share": tenant.traffic_weight / total_weight
    })
}

/// Returns the name of a proxy's zone.
pub fn zone_of(scenario: &Scenario, proxy: u16) -> &str {
    &scenario.fleet.zones[usize::from(proxy) % scenario.fleet.zones.len()]
}

/// Returns the specification of a planned backend, for sockets and for simulated time.
pub fn spec(scenario: &Scenario, planned: &PlannedNode) -> BackendParameters {
    let machine = &scenario.fleet.machines[planned.machine];
    let rules = &scenario.rules;
    BackendParameters {
        cores: machine.cores,
        speed: machine.speed,
        queue_capacity: machine.queue_capacity,
        initial_capacity: rules.initial_capacity,
        warm_up_seconds: rules.warm_up.0,
        collapse_factor: rules.collapse_factor,
        overload_window_seconds: rules.overload_window.0,
        report_interval: scenario.fleet.report_interval.0,
        cancel_stops_execution: scenario.fleet.cancel_stops_execution,
        connections: machine.max_connections,
        connection_work: machine.connection_work.0,
    }
}

/// Returns the header of the ledger.
pub fn header(scenario: &Scenario, plan: &Plan) -> Header {
    let rules = &scenario.rules;
    let method = |m: &Method| header::Method {
        name: m.name.clone(),
        idempotency: m.idempotency(),
        latency_target: m.latency_target.0,
        deadline: m.deadline.0,
        utility: m.utility,
        late_utility: m.late_utility,
    };
    let backend = |n: &PlannedNode| header::Backend {
        name: n.name.clone(),
        zone: n.zone,
        rack: n.rack,
    };
    Header {
        scenario: scenario.name.clone(),
        seed: plan.seed,
        plan_hash: plan.hash(),
        duration: plan.length,
        rules: RuleParameters {
            drain_grace: rules.drain_grace.0,
            slack: rules.time_tolerance.0,
            overload_window: rules.overload_window.0,
            max_attempts: rules.max_attempts,
            hedging_allowed: rules.hedging_allowed,
            over_quota_utility: rules.over_quota_utility,
            max_lateness: rules.max_lateness.0,
        },
        targets: scenario.targets.clone(),
        methods: scenario.methods.iter().map(method).collect(),
        tenants: scenario.tenants.iter().map(|t| t.name.clone()).collect(),
        proxies: (0..scenario.proxies.count as u16).map(proxy_name).collect(),
        backends: plan.nodes.iter().map(backend).collect(),
        faults: plan.faults.clone(),
    }
}
