//! Results that other processes and the operators' pages rely on, pinned to the byte: the parsed settings object with every
//! key, its digest, the hash of a key, the texts of errors and the text of a change.
use birchhub::interface::{
    DeduplicationScope, Idempotency, LoadReportSource, MethodSettings, Settings, TenantSettings,
};
use birchhub_settings::{Change, ParsedSettings, hash_key, parse, parse_load_report, parse_value};
use serde_json::{Value, json};

const EVERY_KEY: &str = include_str!("fixtures/every_key.json");

fn every_key() -> Value {
    serde_json::from_str(EVERY_KEY).expect("the fixture")
}

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
        poll_within: 4.0,
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
fn a_settings_object_with_every_key_is_parsed_as_in_earlier_versions() {
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

/// Operators compare digests of proxies of different versions.
#[test]
fn the_digest_is_the_same_in_every_version() {
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

/// Proxies of different versions have to agree on the number of a key.
#[test]
fn the_hash_of_a_key_is_the_same_in_every_version() {
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
fn numbers_that_are_too_large_for_a_float_are_named() {
    let too_large = EVERY_KEY.replace("\"balancers\": 7", "\"balancers\": 7e999");
    let error = parse(&too_large).expect_err("an error");
    assert_eq!(
        error.to_string(),
        "is not JSON: number out of range at line 1 column 5"
    );
    let too_large = EVERY_KEY.replace("\"quota-per-s\": 0.5", "\"quota-per-s\": 5e999");
    let error = parse(&too_large).expect_err("an error");
    assert_eq!(
        error.to_string(),
        "accounts[1] is not JSON: number out of range at line 1 column 44"
    );
}

/// The fixture with the value at a JSON pointer's place replaced.
fn with(pointer: &str, value: Value) -> Value {
    let mut settings = every_key();
    let (place, key) = pointer.rsplit_once('/').expect("a pointer");
    let place = settings.pointer_mut(place).expect("a place");
    match key.parse::<usize>() {
        Ok(index) => place[index] = value,
        Err(_) => place[key] = value,
    }
    settings
}

fn error_of(settings: &Value) -> String {
    let error = parse(&settings.to_string()).expect_err("an error");
    assert_eq!(parse_value(settings).expect_err("an error"), error);
    error.to_string()
}

#[test]
fn missing_settings_are_named() {
    for (pointer, missing) in [
        ("/balancers", "balancers"),
        ("/ceilings", "ceilings"),
        ("/ceilings/most-picks", "ceilings.most-picks"),
        ("/contract", "contract"),
        ("/contract/drain-grace-ns", "contract.drain-grace-ns"),
        ("/contract/cold-from", "contract.cold-from"),
        ("/contract/cold-ns", "contract.cold-ns"),
        ("/contract/fall-multiple", "contract.fall-multiple"),
        ("/contract/tip-after-ns", "contract.tip-after-ns"),
        ("/methods", "methods"),
        ("/methods/1", "methods[1].idempotency"),
        ("/methods/1/name", "methods[1].name"),
        ("/methods/1/idempotency", "methods[1].idempotency"),
        (
            "/methods/1/latency-target-ns",
            "methods[1].latency-target-ns",
        ),
        ("/methods/2/dedup-scope", "methods[2].dedup-scope"),
        ("/methods/2/window-ns", "methods[2].window-ns"),
        ("/accounts/1/name", "accounts[1].name"),
        ("/accounts/1/quota-per-s", "accounts[1].quota-per-s"),
        ("/accounts/0", "accounts[0].name"),
    ] {
        let error = error_of(&with(pointer, Value::Null));
        assert_eq!(error, format!("{missing} is missing"), "{pointer}");
    }
}

fn assert_error(pointer: &str, value: Value, expected: &str) {
    assert_eq!(error_of(&with(pointer, value)), expected, "{pointer}");
}

/// The path of the value at a JSON pointer, as errors name it.
fn path_of(pointer: &str) -> String {
    let mut path = String::new();
    for part in pointer[1..].split('/') {
        match part.parse::<usize>() {
            Ok(index) => path += &format!("[{index}]"),
            Err(_) if path.is_empty() => path += part,
            Err(_) => path += &format!(".{part}"),
        }
    }
    path
}

#[test]
fn wrong_numbers_are_named_with_their_value() {
    let assert_no_number = |pointer: &str, value: Value, shown: &str| {
        let path = path_of(pointer);
        let expected = format!("{path} is not a number of 0 or more: {shown}");
        assert_error(pointer, value, &expected);
    };
    assert_no_number("/balancers", json!("2"), "\"2\"");
    assert_no_number("/ceilings/most-picks", json!(-1), "-1");
    assert_no_number("/ceilings/connect-timeout-ns", json!("250ms"), "\"250ms\"");
    assert_no_number(
        "/ceilings/conn-idle-ns",
        json!([1, {"a": true}]),
        "[1,{\"a\":true}]",
    );
    assert_no_number("/ceilings/max-retry-after-ns", json!(false), "false");
    assert_no_number("/methods/3/hard-limit-ns", json!(-0.5), "-0.5");
    assert_no_number("/accounts/0/quota-per-s", json!(-3), "-3");
    assert_no_number("/penalties/cross-zone", json!({}), "{}");
}

#[test]
fn wrong_flags_are_named_with_their_value() {
    let assert_no_flag = |pointer: &str, value: Value, shown: &str| {
        let path = path_of(pointer);
        assert_error(
            pointer,
            value,
            &format!("{path} is not true or false: {shown}"),
        );
    };
    assert_no_flag("/ceilings/cancel", json!(1), "1");
    assert_no_flag("/ceilings/retry-after", json!("yes"), "\"yes\"");
    assert_no_flag("/extra/warm-keys", json!([]), "[]");
    assert_no_flag("/methods/4/keep-order", json!(0), "0");
}

#[test]
fn wrong_strings_and_lists_are_named() {
    for pointer in [
        "/methods",
        "/accounts",
        "/failure-domains",
        "/report/fields",
    ] {
        let expected = format!("{} is not a list", path_of(pointer));
        assert_error(pointer, json!({}), &expected);
        assert_error(pointer, json!("a"), &expected);
    }
    for pointer in [
        "/failure-domains/1",
        "/report/fields/0",
        "/report/how",
        "/my-zone",
        "/membership-mode",
        "/weight-source",
        "/methods/0/name",
        "/accounts/0/name",
    ] {
        assert_error(
            pointer,
            json!(5),
            &format!("{} is not a text", path_of(pointer)),
        );
    }
}

#[test]
fn unknown_choices_are_named() {
    let kind = "/methods/0/idempotency";
    let error = "methods[0].idempotency is not known: perhaps";
    assert_error(kind, json!("perhaps"), error);
    let scope = "/methods/2/dedup-scope";
    let error = "methods[2].dedup-scope is not known: planet";
    assert_error(scope, json!("planet"), error);
    let error = "goal.nines-wanted is 0: what is lost could not be set against it";
    assert_error("/goal/nines-wanted", json!(0), error);
}

/// Errors in the order in which they are reported: each is, while all behind it are there as well.
fn assert_named_in_order(errors: &[(&str, Value, &str)]) {
    for from in 0..errors.len() {
        let mut settings = every_key();
        for (pointer, value, _) in errors[from..].iter().rev() {
            let (place, key) = pointer.rsplit_once('/').expect("a pointer");
            if let Some(Value::Object(place)) = settings.pointer_mut(place) {
                place.insert(key.to_owned(), value.clone());
            }
        }
        let (pointer, _, error) = &errors[from];
        let expected = format!("{} {error}", path_of(pointer));
        assert_eq!(error_of(&settings), expected);
    }
}

#[test]
fn the_first_of_several_missing_settings_is_named() {
    let errors = [
        "/ceilings",
        "/contract",
        "/methods",
        "/accounts/0/name",
        "/balancers",
        "/ceilings/most-picks",
        "/contract/drain-grace-ns",
        "/contract/cold-from",
        "/contract/tip-after-ns",
    ];
    assert_named_in_order(&errors.map(|pointer| (pointer, Value::Null, "is missing")));
}

#[test]
fn the_first_of_several_wrong_settings_is_named() {
    const NO_NUMBER: &str = "is not a number of 0 or more: \"x\"";
    const NO_ADDEND: &str = "is 0: what is lost could not be set against it";
    let wrong = || json!("x");
    assert_named_in_order(&[
        ("/accounts", wrong(), "is not a list"),
        ("/ceilings/retry-after", json!(5), "is not true or false: 5"),
        ("/report/how", json!(5), "is not a text"),
        ("/report/fields", wrong(), "is not a list"),
        ("/weight-source", json!(5), "is not a text"),
        ("/membership-mode", json!(5), "is not a text"),
        ("/failure-domains", wrong(), "is not a list"),
        ("/my-zone", json!(5), "is not a text"),
        ("/ceilings/cancel", json!(5), "is not true or false: 5"),
        ("/extra/warm-keys", json!(5), "is not true or false: 5"),
        ("/penalties/probe", wrong(), NO_NUMBER),
        ("/goal/log-loss-part", wrong(), NO_NUMBER),
        ("/contract/key-quiet-ns", wrong(), NO_NUMBER),
        ("/goal/nines-wanted", json!(0), NO_ADDEND),
        ("/methods/0/hard-limit-ns", wrong(), NO_NUMBER),
        ("/ceilings/connect-timeout-ns", wrong(), NO_NUMBER),
        ("/ceilings/conn-idle-ns", wrong(), NO_NUMBER),
    ]);
}

#[test]
fn errors_of_json_name_line_and_column() {
    let errors = ["", "{\"a\":", "{\"a\": tru}"].map(|text| {
        let error = parse(text).expect_err("an error");
        error.to_string()
    });
    let expected = [
        "is not JSON: EOF while parsing a value at line 1 column 0",
        "is not JSON: EOF while parsing a value at line 1 column 5",
        "is not JSON: expected ident at line 1 column 10",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn errors_of_load_reports_name_the_pair() {
    let errors = ["", "inflight", "inflight=1, depth", "inflight=many"].map(|text| {
        let error = parse_load_report(text, '=').expect_err("an error");
        error.to_string()
    });
    let expected = [
        "is not name=value: ",
        "is not name=value: inflight",
        "is not name=value:  depth",
        "is not a number: inflight=many",
    ];
    assert_eq!(errors, expected);
    let error = parse_load_report("inflight=1", ':').expect_err("an error");
    assert_eq!(error.to_string(), "is not name:value: inflight=1");
}

#[test]
fn the_text_of_a_change_is_the_same_in_every_version() {
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
