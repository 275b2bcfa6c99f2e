//! The form of a scenario's file. `fixtures/every-key.toml` was written on 2026-12-02 and has each key of each table
//! and each kind of fault; every key keeps its name and its meaning, and plans stay the plans that they were.
use birchhub_audit::header::ServiceTargets;
use birchhub_audit::{DeduplicationScope, Idempotency};
use birchhub_backend_model::work::Spread;
use birchhub_rehearsal::duration::ScenarioDuration;
use birchhub_rehearsal::scenario::{
    BackendSelector, Clients, Discovery, FaultKind, LoadReports, Machine, Method, Phase,
    ProxySelector, Rules, Tenant,
};
use birchhub_rehearsal::{Plan, Scenario, shipped};
use std::collections::BTreeSet;
use toml::{Table, Value};

const FILE: &str = "every-key.toml";
const TEXT: &str = include_str!("fixtures/every-key.toml");
const UNKNOWN: &str = "no-such-key";

fn every_key() -> Scenario {
    Scenario::read(FILE, TEXT).expect("a scenario")
}

/// Plans of seed 1, by the hashes that ledgers name them by.
const PLAN_HASHES: [(&str, &str); 10] = [
    ("calm", "113d5c0d9b647d4f"),
    ("overlap", "62b54cb0aea4320b"),
    ("zone-down", "1b4003d92fbb62ed"),
    ("proxy-killed", "2930f1145cbcddc0"),
    ("rolling-restart", "9580bc9ab1696c12"),
    ("list-trouble", "f03492b5ef3c844a"),
    ("harvest", "d39e562622273ab6"),
    ("silent-rack", "18e679d4ddf182bf"),
    ("pauses", "afb5fc04b64b32fc"),
    ("season", "b42742535b4c62f4"),
];
const EVERY_KEY_PLAN_HASH: &str = "bce1400149da3420";

fn plan_hash(file: &str, text: &str) -> String {
    let scenario = Scenario::read(file, text).expect("a scenario");
    Plan::generate(&scenario, 1, file, text)
        .expect("a plan")
        .hash()
}

#[test]
fn each_shipped_scenario_is_read_and_keeps_its_plan() {
    let hashes: Vec<_> = shipped::ALL
        .iter()
        .map(|shipped| (shipped.name, plan_hash(shipped.name, shipped.text)))
        .collect();
    let expected: Vec<_> = PLAN_HASHES
        .map(|(name, hash)| (name, hash.to_owned()))
        .into();
    assert_eq!(hashes, expected);
}

#[test]
fn a_scenario_with_every_key_keeps_its_plan() {
    assert_eq!(plan_hash(FILE, TEXT), EVERY_KEY_PLAN_HASH);
}

#[test]
fn the_rules_table_keeps_its_keys() {
    let rules = Rules {
        drain_grace: ScenarioDuration(0.31),
        initial_capacity: 0.4,
        warm_up: ScenarioDuration(9.0),
        collapse_factor: 2.5,
        overload_window: ScenarioDuration(1.5),
        max_attempts: 4,
        hedging_allowed: true,
        cancellation_allowed: false,
        health_checks_allowed: false,
        max_retry_after: ScenarioDuration(0.5),
        poll_within: ScenarioDuration(11.0),
        time_tolerance: ScenarioDuration(0.06),
        max_lateness: ScenarioDuration(0.02),
        over_quota_utility: 0.1,
        health_check_cost: 0.004,
        cross_zone_cost: 0.001,
    };
    assert_eq!(every_key().rules, rules);
}

#[test]
fn the_fleet_table_keeps_its_keys() {
    let fleet = every_key().fleet;
    assert_eq!(
        (fleet.zones.as_slice(), fleet.racks_per_zone),
        (&["a".to_owned(), "b".to_owned()][..], 2)
    );
    assert_eq!(
        (fleet.load_reports, fleet.report_interval),
        (LoadReports::HealthChecks, ScenarioDuration(0.01))
    );
    assert_eq!(
        (fleet.cancel_stops_execution, fleet.idle_timeout),
        (false, ScenarioDuration(20.0))
    );
    assert_eq!(fleet.health_check_work, ScenarioDuration(0.0005));
    let machine = Machine {
        name: "m".into(),
        count: 8,
        cores: 2,
        speed: 1.5,
        queue_capacity: 16,
        max_connections: 256,
        connection_work: ScenarioDuration(0.002),
    };
    assert_eq!(fleet.machines, [machine]);
}

#[test]
fn the_list_table_keeps_its_keys() {
    let discovery = Discovery {
        update_delay: ScenarioDuration(0.2),
        failure_detection_delay: ScenarioDuration(3.0),
        max_concurrent_calls: Some(12),
        call_duration: ScenarioDuration(0.002),
        duration_per_endpoint: ScenarioDuration(0.00001),
        known_at_start: false,
    };
    let read = every_key().discovery;
    assert!((read.duration_per_endpoint.0 - discovery.duration_per_endpoint.0).abs() < 1e-12);
    assert_eq!(
        Discovery {
            duration_per_endpoint: discovery.duration_per_endpoint,
            ..read
        },
        discovery
    );
}

#[test]
fn the_method_table_keeps_its_keys() {
    let methods = every_key().methods;
    let effects: Vec<_> = methods.iter().map(Method::idempotency).collect();
    let (scope, window) = (DeduplicationScope::Rack, 4.0);
    assert_eq!(
        effects,
        [
            Idempotency::Deduplicated { scope, window },
            Idempotency::NonIdempotent,
            Idempotency::Idempotent
        ]
    );
    let spreads: Vec<_> = methods.iter().map(|method| method.spread).collect();
    assert_eq!(
        spreads,
        [Spread::HeavyTail, Spread::Constant, Spread::Exponential]
    );
    let log = &methods[0];
    assert_eq!(log.name, "log");
    assert_eq!(
        (log.mean_work, log.latency_target, log.deadline),
        (
            ScenarioDuration(0.01),
            ScenarioDuration(0.2),
            ScenarioDuration(0.5)
        )
    );
    assert_eq!((log.utility, log.late_utility), (2.0, 0.25));
    assert_eq!((log.traffic_weight, log.body_bytes), (3.0, 64));
}

#[test]
fn the_tables_of_proxies_traffic_and_tenants_keep_their_keys() {
    let Scenario {
        duration,
        proxies,
        traffic,
        tenants,
        ..
    } = every_key();
    assert_eq!(duration, ScenarioDuration(120.0));
    assert_eq!((proxies.count, proxies.max_sockets), (3, 512));
    assert_eq!(
        (proxies.memory_mb, proxies.front_detection_delay),
        (128, ScenarioDuration(2.0))
    );
    let phase = Phase {
        start: ScenarioDuration(1.0),
        duration: ScenarioDuration(2.0),
        rate_factor: 3.0,
        ramp: true,
    };
    assert_eq!(
        (traffic.rate_per_second, traffic.phases.as_slice()),
        (100.0, &[phase][..])
    );
    let acme = Tenant {
        name: "acme".into(),
        traffic_weight: 2.0,
        quota_per_second: 40.0,
    };
    assert_eq!(tenants, [acme]);
}

#[test]
fn the_tables_of_clients_and_expectations_keep_their_keys() {
    let clients = Clients {
        max_retries: 1,
        retry_delay: ScenarioDuration(0.03),
        exponential_backoff: false,
        honors_retry_after: false,
        marks_retries: false,
        attempt_timeout_fraction: 0.5,
        cancelling_fraction: 0.01,
    };
    assert_eq!(every_key().clients, clients);
    let targets = ServiceTargets {
        service: Some(0.99),
        worst_10s: Some(0.98),
        worst_method: Some(0.97),
        worst_tenant: Some(0.96),
    };
    assert_eq!(every_key().targets, targets);
}

#[test]
fn the_trouble_table_keeps_its_keys() {
    let faults = every_key().faults;
    let find = |name: &str| faults.iter().find(|t| t.name == name).expect("a fault");
    let stall = find("stall");
    assert_eq!(
        (stall.start, stall.duration),
        (ScenarioDuration(1.0), Some(ScenarioDuration(2.0)))
    );
    assert_eq!(
        (stall.pause, stall.interval),
        (Some(ScenarioDuration(0.1)), Some(ScenarioDuration(1.0)))
    );
    assert_eq!(find("neighbour").capacity_taken, Some(0.5));
    let slow = find("slow-method");
    assert_eq!(
        (slow.method.as_deref(), slow.factor),
        (Some("read"), Some(2.0))
    );
    let deploy = find("deploy");
    assert_eq!(
        (deploy.batch_size, deploy.drain_notice),
        (Some(2), Some(ScenarioDuration(1.0)))
    );
    assert_eq!(
        (deploy.drain_timeout, deploy.restart_delay),
        (Some(ScenarioDuration(3.0)), Some(ScenarioDuration(4.0)))
    );
    assert_eq!(find("list-late").delay, Some(ScenarioDuration(4.0)));
    let trickle = find("trickle");
    assert_eq!(
        (trickle.share, trickle.response_duration),
        (Some(0.5), Some(ScenarioDuration(0.3)))
    );
}

#[test]
fn the_selectors_keep_their_keys() {
    let faults = every_key().faults;
    let find = |name: &str| faults.iter().find(|t| t.name == name).expect("a fault");
    let nodes = |name: &str| find(name).backends.clone().expect("a selector");
    let proxies = |name: &str| find(name).proxies.clone().expect("a selector");
    let stalled = BackendSelector {
        zone: Some("a".into()),
        rack: Some(1),
        machine: Some("m".into()),
        count: Some(1),
        ..BackendSelector::default()
    };
    assert_eq!(nodes("stall"), stalled);
    let other = nodes("neighbour");
    assert_eq!(
        (other.not_affected_by.as_deref(), other.share),
        (Some("stall"), Some(0.5))
    );
    assert_eq!(nodes("crash").affected_by.as_deref(), Some("stall"));
    assert_eq!(nodes("partition").names, Some(vec!["a-0-0".into()]));
    let stale = ProxySelector {
        zone: Some("a".into()),
        count: Some(1),
        ..ProxySelector::default()
    };
    assert_eq!(proxies("list-stale"), stale);
    assert_eq!(proxies("proxy-kill").share, Some(0.5));
    assert_eq!(proxies("proxy-pause").names, Some(vec!["proxy-1".into()]));
}

#[test]
fn each_kind_of_trouble_keeps_its_name() {
    use FaultKind::*;
    let kinds: Vec<_> = every_key().faults.iter().map(|t| t.kind).collect();
    assert_eq!(
        kinds,
        [
            Stall,
            Neighbour,
            SlowMethod,
            Crash,
            Deploy,
            ListLate,
            ListDown,
            ListStale,
            ProxyKill,
            ProxyRestart,
            ProxyPause,
            Reset,
            Spoilt,
            Mute,
            Error,
            Trickle,
            Partition
        ]
    );
}

/// The words between backticks of a message such as "unknown field `x`, expected one of `a`, `b`", without the first.
fn expected_words(message: &str) -> BTreeSet<String> {
    message
        .split('`')
        .skip(1)
        .step_by(2)
        .skip(1)
        .map(str::to_owned)
        .collect()
}

/// Reads the scenario after a change and returns the words that it would have accepted there.
fn accepted_after(change: impl FnOnce(&mut Table)) -> BTreeSet<String> {
    let mut table: Table = TEXT.parse().expect("TOML");
    change(&mut table);
    let error = Scenario::read(FILE, &table.to_string()).expect_err("an unknown word");
    assert!(error.message.contains(UNKNOWN), "{error}");
    expected_words(&error.message)
}

fn first<'a>(table: &'a mut Table, path: &[&str]) -> &'a mut Table {
    let Some((key, rest)) = path.split_first() else {
        return table;
    };
    let next = match table.get_mut(*key).expect("a key") {
        Value::Array(items) => items[0].as_table_mut(),
        other => other.as_table_mut(),
    };
    first(next.expect("a table"), rest)
}

/// The keys of all tables at this path: of each item, where a part of the path is a discovery.
fn used_keys(value: &Value, path: &[&str]) -> BTreeSet<String> {
    match (value, path) {
        (Value::Array(items), _) => items
            .iter()
            .flat_map(|item| used_keys(item, path))
            .collect(),
        (Value::Table(table), []) => table.keys().cloned().collect(),
        (Value::Table(table), [key, rest @ ..]) => table
            .get(*key)
            .map_or_else(BTreeSet::new, |next| used_keys(next, rest)),
        _ => BTreeSet::new(),
    }
}

#[test]
fn the_fixture_has_every_key_of_every_table() {
    let all = Value::Table(TEXT.parse().expect("TOML"));
    let tables: [&[&str]; 14] = [
        &[],
        &["rules"],
        &["fleet"],
        &["fleet", "machine"],
        &["list"],
        &["method"],
        &["tenant"],
        &["proxies"],
        &["traffic"],
        &["traffic", "phase"],
        &["clients"],
        &["expect"],
        &["trouble"],
        &["trouble", "nodes"],
    ];
    for path in tables {
        let accepted = accepted_after(|table| {
            first(table, path).insert(UNKNOWN.into(), Value::Integer(1));
        });
        assert_eq!(accepted, used_keys(&all, path), "{path:?}");
    }
}

#[test]
fn the_fixture_has_every_kind_of_trouble() {
    let accepted = accepted_after(|table| {
        first(table, &["trouble"]).insert("kind".into(), UNKNOWN.into());
    });
    let used: BTreeSet<_> = every_key().faults.iter().map(|t| t.name.clone()).collect();
    assert_eq!(accepted, used);
}
