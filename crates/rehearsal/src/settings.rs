//! What proxies are told of the deployment: the platform's settings object, from the scenario.
use crate::plan::proxy_name;
use crate::scenario::{LoadReports, MethodKind, Scenario};
use birchhub_audit::{DeduplicationScope, Head, Method, Rules, head};
use birchhub_backend_model::Spec;
use serde_json::{Value, json};

fn ns(seconds: f64) -> u64 {
    (seconds * 1e9).round() as u64
}

/// The settings for a proxy.
#[expect(clippy::too_many_lines)]
pub fn settings(scenario: &Scenario, proxy: u16) -> Value {
    let rules = &scenario.rules;
    let methods: Vec<_> = scenario
        .methods
        .iter()
        .map(|m| {
            let idempotency = match m.kind {
                MethodKind::Idempotent => "read_like",
                MethodKind::NonIdempotent => "non_idempotent",
                MethodKind::Deduplicated => "idempotency_key",
            };
            let scope = match m.deduplication_scope {
                None | Some(DeduplicationScope::All) => "all",
                Some(DeduplicationScope::Zone) => "zone",
                Some(DeduplicationScope::Rack) => "cell",
            };
            json!({"name": m.name, "idempotency": idempotency, "dedup-scope": scope,
                "window-ns": ns(m.deduplication_window.map_or(0.0, |w| w.0)), "latency-target-ns": ns(m.latency_target.0),
                "hard-limit-ns": ns(m.deadline.0), "utility": m.utility, "tardy-utility": m.late_utility,
                "streaming": false})
        })
        .collect();
    let total: f64 = scenario.tenants.iter().map(|t| t.traffic_weight).sum();
    let tenants = scenario.tenants.iter();
    let accounts: Vec<_> = tenants
        .map(|t| json!({"name": t.name, "quota-per-s": t.quota_per_second, "share": t.traffic_weight / total}))
        .collect();
    let how = match scenario.fleet.load_reports {
        LoadReports::Responses => "answers",
        LoadReports::HealthChecks => "probe",
        LoadReports::None => "none",
    };
    json!({
        "accounts": accounts, "balancers": scenario.proxies.count, "me": proxy,
        "callers": {"marks-retry": scenario.clients.marks_retries},
        "ceilings": {"cancel": rules.cancellation_allowed, "conn-idle-ns": ns(scenario.fleet.idle_timeout.0),
            "connect-timeout-ns": 250_000_000u64, "max-retry-after-ns": ns(rules.max_retry_after.0),
            "most-picks": rules.max_attempts, "probes": rules.health_checks_allowed, "retry-after": rules.max_retry_after.0 > 0.0,
            "second-copies": rules.hedging_allowed},
        "contract": {"ask-within-ns": ns(rules.poll_within.0), "cold-from": rules.initial_capacity,
            "cold-ns": ns(rules.warm_up.0), "drain-grace-ns": ns(rules.drain_grace.0),
            "fall-multiple": rules.collapse_factor, "tip-after-ns": ns(rules.overload_window.0)},
        "failure-domains": scenario.fleet.zones, "my-zone": zone_of(scenario, proxy),
        "membership-mode": "on_request", "methods": methods,
        "overage-utility": rules.over_quota_utility,
        "penalties": {"probe": rules.health_check_cost, "cross-zone": rules.cross_zone_cost},
        "report": {"how": how, "fields": ["concurrent", "depth"]}, "weight-source": "none"
    })
}

/// The zone that a proxy stands in.
pub fn zone_of(scenario: &Scenario, proxy: u16) -> &str {
    &scenario.fleet.zones[usize::from(proxy) % scenario.fleet.zones.len()]
}

/// What a planned node is, for sockets and simulated time alike.
pub fn spec(scenario: &Scenario, planned: &crate::plan::PlannedNode) -> Spec {
    let (machine, rules) = (&scenario.fleet.machines[planned.machine], &scenario.rules);
    Spec {
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

/// The head of the ledger.
pub fn head(scenario: &Scenario, plan: &crate::Plan) -> Head {
    let rules = &scenario.rules;
    let method = |m: &crate::scenario::Method| Method {
        name: m.name.clone(),
        kind: m.idempotency(),
        target: m.latency_target.0,
        deadline: m.deadline.0,
        utility: m.utility,
        late_utility: m.late_utility,
    };
    let backend = |n: &crate::plan::PlannedNode| head::Backend {
        name: n.name.clone(),
        zone: n.zone,
        rack: n.rack,
    };
    Head {
        scenario: scenario.name.clone(),
        seed: plan.seed,
        plan: plan.hash(),
        length: plan.length,
        rules: Rules {
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
