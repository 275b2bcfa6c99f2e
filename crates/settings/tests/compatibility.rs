//! What must stay the same in every version: how a settings object with every key is parsed, its digest, the hash of an
//! RPC's key, and the text that describes a change.
mod fixtures;
use birchhub::interface::{
    DeduplicationScope, Idempotency, LoadReportSource, MethodSettings, Settings, TenantSettings,
};
use birchhub_settings::{Change, ParsedSettings, hash_key, parse, parse_value};
use fixtures::{EVERY_KEY, every_key};
use serde_json::{Value, json};

fn method(idempotency: Idempotency, latency_objective: f64) -> MethodSettings {
    MethodSettings {
        idempotency,
        latency_objective,
        objective_stretch: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        ordered_by_key: false,
    }
}

fn deduplicated(scope: DeduplicationScope, window: f64) -> Idempotency {
    Idempotency::Deduplicated { scope, window }
}

fn expected_methods() -> Vec<MethodSettings> {
    vec![
        method(Idempotency::Idempotent, 0.4),
        MethodSettings {
            objective_stretch: 1.5,
            priority_weight: 2.5,
            late_weight_fraction: 0.25,
            ordered_by_key: true,
            ..method(Idempotency::NonIdempotent, 0.8)
        },
        method(deduplicated(DeduplicationScope::Cell, 4.0), 1.0),
        method(deduplicated(DeduplicationScope::Zone, 1.0), 0.0),
        method(deduplicated(DeduplicationScope::All, 0.0), 1e9),
    ]
}

fn expected_settings() -> Settings {
    Settings {
        proxy_count: 7,
        methods: expected_methods(),
        tenants: [120.0, 0.5].map(|quota| TenantSettings { quota }).into(),
        max_attempts: 4,
        can_cancel: true,
        can_health_check: true,
        key_affinity: true,
        can_hedge: true,
        max_retry_after: 2.5,
        health_check_cost: 0.01,
        cross_zone_cost: 0.02,
        own_zone: 1,
        zone_count: 3,
        log_loss_weight: 0.4,
        target_nines: 3.0,
        load_report_source: LoadReportSource::HealthChecks,
        reports_include_queue: true,
        polls_endpoint_list: true,
        max_poll_interval: 4.0,
        drain_grace: 0.5,
        only_draining_is_binding: true,
        key_cooldown: 0.05,
        slow_start_initial_fraction: 0.2,
        slow_start_duration: 5.0,
        overload_multiple: 3.5,
        overload_window: 1.5,
    }
}

fn strings<const N: usize>(texts: [&str; N]) -> Vec<String> {
    texts.map(str::to_owned).into()
}

#[test]
fn settings_object_with_every_key_is_parsed_as_in_earlier_versions() {
    let expected = ParsedSettings {
        settings: expected_settings(),
        methods: strings(["read", "book", "log", "pay \u{e9}", "sync"]),
        tenants: strings(["acme", "b\"\\\u{e9}"]),
        zones: strings(["north", "south", "west"]),
        lists_endpoint_sizes: true,
        connect_timeout: 0.25,
        idle_timeout: 30.0,
        longest_deadline: Some(9.0),
        digest: 0,
    };
    let parsed = parse(EVERY_KEY).expect("settings");
    assert_eq!(parse_value(&every_key()), Ok(parsed.clone()));
    assert_eq!(
        ParsedSettings {
            digest: 0,
            ..parsed
        },
        expected
    );
}

/// Operators compare the digests of proxies that run different versions.
#[test]
fn digest_is_the_same_in_every_version() {
    let digest = |value: &Value| {
        let parsed = parse(&value.to_string()).expect("settings");
        format!("{:016x}", parsed.digest)
    };
    let mut value = every_key();
    let every_key = digest(&value);
    value["my-zone"] = "west".into();
    let own_zone = digest(&value);
    value["accounts"] = Value::Null;
    let no_accounts = digest(&value);
    value["accounts"] = json!([{"name": "acme", "quota-per-s": 120.5}]);
    let other_quota = digest(&value);
    value["balancers"] = json!(7.0);
    let decimal_point = digest(&value);
    assert_eq!(
        [every_key, own_zone, no_accounts, other_quota, decimal_point],
        [
            "f87f656b4ca088de",
            "f87f656b4ca088de",
            "f7ed6d9e6a377965",
            "eaac6ca4c26e2ad1",
            "04b91cdc34079de3"
        ]
    );
}

/// Proxies that run different versions must compute the same hash for a key.
#[test]
fn hash_of_a_key_is_the_same_in_every_version() {
    let hashes = ["", "a", "entity-17", "\u{e9}\u{4e16}"].map(hash_key);
    let expected = [
        14_695_981_039_346_656_037,
        12_638_187_200_555_641_996,
        15_408_325_498_452_109_345,
        14_926_167_286_903_391_497,
    ];
    assert_eq!(hashes, expected);
}

#[test]
fn text_of_a_change_is_the_same_in_every_version() {
    let parsed = |value: &Value| parse_value(value).expect("settings");
    let before = parsed(&every_key());
    let text = |value: &Value| Change::between(&before, &parsed(value)).to_string();
    assert_eq!(
        text(&every_key()),
        "methods 0 added, 0 changed, 0 removed, 5 in all; tenants 0 added, 0 changed, 0 removed, 2 in all"
    );
    let mut other = every_key();
    other["balancers"] = json!(8);
    other["ceilings"]["most-picks"] = json!(5);
    other["contract"]["cold-from"] = json!(0.3);
    other["my-zone"] = json!("west");
    other["accounts"] = json!([{"name": "acme", "quota-per-s": 121}]);
    other["methods"][0]["utility"] = json!(2);
    let mut added = other["methods"][1].clone();
    added["name"] = json!("new");
    other["methods"]
        .as_array_mut()
        .expect("methods")
        .push(added);
    assert_eq!(
        text(&other),
        "methods 1 added, 1 changed, 0 removed, 6 in all; tenants 0 added, 1 changed, 1 removed, 1 in all; \
         other keys: balancers, ceilings.most-picks, contract.cold-from"
    );
}
