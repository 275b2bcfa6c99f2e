//! What proxies are told of the deployment: the platform's settings object, from the scenario.
use crate::plan::proxy_name;
use crate::scenario::{MethodKind, Reports, Scenario};
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
        .method
        .iter()
        .map(|m| {
            let idempotency = match m.kind {
                MethodKind::Idempotent => "read_like",
                MethodKind::NonIdempotent => "non_idempotent",
                MethodKind::Deduplicated => "idempotency_key",
            };
            let scope = match m.group {
                None | Some(DeduplicationScope::All) => "all",
                Some(DeduplicationScope::Zone) => "zone",
                Some(DeduplicationScope::Rack) => "cell",
            };
            json!({"name": m.name, "idempotency": idempotency, "dedup-scope": scope,
                "window-ns": ns(m.window.map_or(0.0, |w| w.0)), "latency-target-ns": ns(m.target.0),
                "hard-limit-ns": ns(m.deadline.0), "utility": m.utility, "tardy-utility": m.late_utility,
                "streaming": false})
        })
        .collect();
    let total: f64 = scenario.tenant.iter().map(|t| t.share).sum();
    let tenants = scenario.tenant.iter();
    let accounts: Vec<_> = tenants
        .map(|t| json!({"name": t.name, "quota-per-s": t.quota, "share": t.share / total}))
        .collect();
    let how = match scenario.fleet.reports {
        Reports::Answers => "answers",
        Reports::Probes => "probe",
        Reports::None => "none",
    };
    json!({
        "accounts": accounts, "balancers": scenario.proxies.count, "me": proxy,
        "callers": {"marks-retry": scenario.clients.marks_retries},
        "ceilings": {"cancel": rules.cancel, "conn-idle-ns": ns(scenario.fleet.idle_limit.0),
            "connect-timeout-ns": 250_000_000u64, "max-retry-after-ns": ns(rules.retry_after.0),
            "most-picks": rules.most_picks, "probes": rules.probes, "retry-after": rules.retry_after.0 > 0.0,
            "second-copies": rules.second_copies},
        "contract": {"ask-within-ns": ns(rules.ask_within.0), "cold-from": rules.cold_from,
            "cold-ns": ns(rules.cold_for.0), "drain-grace-ns": ns(rules.drain_grace.0),
            "fall-multiple": rules.fall_multiple, "tip-after-ns": ns(rules.fall_window.0)},
        "failure-domains": scenario.fleet.zones, "my-zone": zone_of(scenario, proxy),
        "membership-mode": "on_request", "methods": methods,
        "overage-utility": rules.over_quota_utility,
        "penalties": {"probe": rules.probe_price, "cross-zone": rules.cross_price},
        "report": {"how": how, "fields": ["concurrent", "depth"]}, "weight-source": "none"
    })
}

/// The zone that a proxy stands in.
pub fn zone_of(scenario: &Scenario, proxy: u16) -> &str {
    &scenario.fleet.zones[usize::from(proxy) % scenario.fleet.zones.len()]
}

/// What a planned node is, for sockets and simulated time alike.
pub fn spec(scenario: &Scenario, planned: &crate::plan::PlannedNode) -> Spec {
    let (machine, rules) = (&scenario.fleet.machine[planned.machine], &scenario.rules);
    Spec {
        cores: machine.cores,
        speed: machine.speed,
        queue_capacity: machine.queue,
        initial_capacity: rules.cold_from,
        warm_up_seconds: rules.cold_for.0,
        collapse_factor: rules.fall_multiple,
        overload_window_seconds: rules.fall_window.0,
        report_interval: scenario.fleet.report_every.0,
        cancel_stops_execution: scenario.fleet.cancel_stops,
        connections: machine.connections,
        connection_work: machine.connection_work.0,
    }
}

/// The head of the ledger.
pub fn head(scenario: &Scenario, plan: &crate::Plan) -> Head {
    let rules = &scenario.rules;
    let method = |m: &crate::scenario::Method| Method {
        name: m.name.clone(),
        kind: m.idempotency(),
        target: m.target.0,
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
            slack: rules.slack.0,
            overload_window: rules.fall_window.0,
            max_attempts: rules.most_picks,
            hedging_allowed: rules.second_copies,
            over_quota_utility: rules.over_quota_utility,
            max_lateness: rules.kit_late.0,
        },
        targets: scenario.expect.clone(),
        methods: scenario.method.iter().map(method).collect(),
        tenants: scenario.tenant.iter().map(|t| t.name.clone()).collect(),
        proxies: (0..scenario.proxies.count as u16).map(proxy_name).collect(),
        backends: plan.nodes.iter().map(backend).collect(),
        faults: plan.faults.clone(),
    }
}
