//! The form of a scenario's file. `fixtures/every-key.toml` was written on 2026-12-02 and has each key of each table
//! and each kind of fault; every key keeps its name and its meaning, and plans stay the plans that they were.
use birchhub_audit::head::ServiceTargets;
use birchhub_audit::{DeduplicationScope, Idempotency};
use birchhub_backend_model::work::Spread;
use birchhub_rehearsal::duration::ScenarioDuration;
use birchhub_rehearsal::scenario::{
    Clients, FaultKind, List, Machine, Method, Phase, ProxySelector, Reports, Rules, Selector,
    Tenant,
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
        cold_from: 0.4,
        cold_for: ScenarioDuration(9.0),
        fall_multiple: 2.5,
        fall_window: ScenarioDuration(1.5),
        most_picks: 4,
        second_copies: true,
        cancel: false,
        probes: false,
        retry_after: ScenarioDuration(0.5),
        ask_within: ScenarioDuration(11.0),
        slack: ScenarioDuration(0.06),
        kit_late: ScenarioDuration(0.02),
        over_quota_utility: 0.1,
        probe_price: 0.004,
        cross_price: 0.001,
    };
    assert_eq!(every_key().rules, rules);
}

#[test]
fn the_fleet_table_keeps_its_keys() {
    let fleet = every_key().fleet;
    assert_eq!(
        (fleet.zones.as_slice(), fleet.racks),
        (&["a".to_owned(), "b".to_owned()][..], 2)
    );
    assert_eq!(
        (fleet.reports, fleet.report_every),
        (Reports::Probes, ScenarioDuration(0.01))
    );
    assert_eq!(
        (fleet.cancel_stops, fleet.idle_limit),
        (false, ScenarioDuration(20.0))
    );
    assert_eq!(fleet.probe_work, ScenarioDuration(0.0005));
    let machine = Machine {
        name: "m".into(),
        count: 8,
        cores: 2,
        speed: 1.5,
        queue: 16,
        connections: 256,
        connection_work: ScenarioDuration(0.002),
    };
    assert_eq!(fleet.machine, [machine]);
}

#[test]
fn the_list_table_keeps_its_keys() {
    let list = List {
        lag: ScenarioDuration(0.2),
        notices: ScenarioDuration(3.0),
        calls: Some(12),
        call_takes: ScenarioDuration(0.002),
        line_takes: ScenarioDuration(0.00001),
        known: false,
    };
    let read = every_key().list;
    assert!((read.line_takes.0 - list.line_takes.0).abs() < 1e-12);
    assert_eq!(
        List {
            line_takes: list.line_takes,
            ..read
        },
        list
    );
}

#[test]
fn the_method_table_keeps_its_keys() {
    let methods = every_key().method;
    let effects: Vec<_> = methods.iter().map(Method::idempotency).collect();
    let (group, window) = (DeduplicationScope::Rack, 4.0);
    assert_eq!(
        effects,
        [
            Idempotency::Deduplicated { group, window },
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
        (log.work, log.target, log.deadline),
        (
            ScenarioDuration(0.01),
            ScenarioDuration(0.2),
            ScenarioDuration(0.5)
        )
    );
    assert_eq!((log.utility, log.late_utility), (2.0, 0.25));
    assert_eq!((log.share, log.body), (3.0, 64));
}

#[test]
fn the_tables_of_proxies_traffic_and_tenants_keep_their_keys() {
    let Scenario {
        length,
        proxies,
        traffic,
        tenant,
        ..
    } = every_key();
    assert_eq!(length, ScenarioDuration(120.0));
    assert_eq!((proxies.count, proxies.sockets), (3, 512));
    assert_eq!(
        (proxies.memory_mb, proxies.front_notices),
        (128, ScenarioDuration(2.0))
    );
    let phase = Phase {
        at: ScenarioDuration(1.0),
        length: ScenarioDuration(2.0),
        times: 3.0,
        ramp: true,
    };
    assert_eq!(
        (traffic.rate, traffic.phase.as_slice()),
        (100.0, &[phase][..])
    );
    let acme = Tenant {
        name: "acme".into(),
        share: 2.0,
        quota: 40.0,
    };
    assert_eq!(tenant, [acme]);
}

#[test]
fn the_tables_of_clients_and_expectations_keep_their_keys() {
    let clients = Clients {
        retries: 1,
        wait: ScenarioDuration(0.03),
        backoff: false,
        obey_retry_after: false,
        marks_retries: false,
        try_patience: 0.5,
        leave: 0.01,
    };
    assert_eq!(every_key().clients, clients);
    let bars = ServiceTargets {
        service: Some(0.99),
        worst_10s: Some(0.98),
        worst_method: Some(0.97),
        worst_tenant: Some(0.96),
    };
    assert_eq!(every_key().expect, bars);
}

#[test]
fn the_trouble_table_keeps_its_keys() {
    let troubles = every_key().trouble;
    let find = |name: &str| troubles.iter().find(|t| t.name == name).expect("a trouble");
    let stall = find("stall");
    assert_eq!(
        (stall.at, stall.length),
        (ScenarioDuration(1.0), Some(ScenarioDuration(2.0)))
    );
    assert_eq!(
        (stall.pause, stall.every),
        (Some(ScenarioDuration(0.1)), Some(ScenarioDuration(1.0)))
    );
    assert_eq!(find("neighbour").takes, Some(0.5));
    let slow = find("slow-method");
    assert_eq!(
        (slow.method.as_deref(), slow.factor),
        (Some("read"), Some(2.0))
    );
    let deploy = find("deploy");
    assert_eq!(
        (deploy.batch, deploy.lead),
        (Some(2), Some(ScenarioDuration(1.0)))
    );
    assert_eq!(
        (deploy.stop_after, deploy.back_after),
        (Some(ScenarioDuration(3.0)), Some(ScenarioDuration(4.0)))
    );
    assert_eq!(find("list-late").by, Some(ScenarioDuration(4.0)));
    let trickle = find("trickle");
    assert_eq!(
        (trickle.share, trickle.over),
        (Some(0.5), Some(ScenarioDuration(0.3)))
    );
}

#[test]
fn the_selectors_keep_their_keys() {
    let troubles = every_key().trouble;
    let find = |name: &str| troubles.iter().find(|t| t.name == name).expect("a trouble");
    let nodes = |name: &str| find(name).nodes.clone().expect("a selector");
    let proxies = |name: &str| find(name).proxies.clone().expect("a selector");
    let stalled = Selector {
        zone: Some("a".into()),
        rack: Some(1),
        machine: Some("m".into()),
        count: Some(1),
        ..Selector::default()
    };
    assert_eq!(nodes("stall"), stalled);
    let other = nodes("neighbour");
    assert_eq!(
        (other.without.as_deref(), other.share),
        (Some("stall"), Some(0.5))
    );
    assert_eq!(nodes("crash").among.as_deref(), Some("stall"));
    assert_eq!(nodes("partition").named, Some(vec!["a-0-0".into()]));
    let stale = ProxySelector {
        zone: Some("a".into()),
        count: Some(1),
        ..ProxySelector::default()
    };
    assert_eq!(proxies("list-stale"), stale);
    assert_eq!(proxies("proxy-kill").share, Some(0.5));
    assert_eq!(proxies("proxy-pause").named, Some(vec!["proxy-1".into()]));
}

#[test]
fn each_kind_of_trouble_keeps_its_name() {
    use FaultKind::*;
    let kinds: Vec<_> = every_key().trouble.iter().map(|t| t.kind).collect();
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
    let fault = Scenario::read(FILE, &table.to_string()).expect_err("an unknown word");
    assert!(fault.what.contains(UNKNOWN), "{fault}");
    expected_words(&fault.what)
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

/// The keys of all tables at this path: of each item, where a part of the path is a list.
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
    let used: BTreeSet<_> = every_key().trouble.iter().map(|t| t.name.clone()).collect();
    assert_eq!(accepted, used);
}
