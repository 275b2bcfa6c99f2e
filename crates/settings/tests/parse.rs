//! Parsing of settings and load reports.
use birchhub::interface::Settings;
use birchhub_settings::{ParsedSettings, SettingsError, parse, parse_load_report, parse_value};
use serde_json::{Value, json};

/// The settings and the protocol have different names for the fields. A report may use either.
#[test]
fn load_reports_are_parsed_with_the_field_names_of_settings_and_protocol() {
    for text in ["concurrent=7,depth=2,new=x", " inflight=7,queue=2\n"] {
        let load = parse_load_report(text, '=').expect("a report");
        assert_eq!(
            (load.in_flight, load.queued, load.utilisation),
            (Some(7.0), Some(2.0), None)
        );
    }
}

#[test]
fn malformed_load_reports_are_rejected() {
    assert!(parse_load_report("inflight", '=').is_err());
    assert!(parse_load_report("inflight=many", '=').is_err());
}

#[test]
fn negative_values_of_load_reports_are_ignored() {
    let load = parse_load_report("util=-1", '=').expect("a report");
    assert_eq!(load.utilisation, None);
}

/// Applies a change to minimal settings, parses them and returns the settings of the decision logic.
fn decision_settings(change: impl FnOnce(&mut Value)) -> Result<Settings, SettingsError> {
    parse_changed(change).map(|parsed| parsed.settings)
}

/// Applies a change to minimal settings and parses them.
fn parse_changed(change: impl FnOnce(&mut Value)) -> Result<ParsedSettings, SettingsError> {
    let mut value = json!({"balancers": 2, "ceilings": {"most-picks": 3},
        "methods": [{"name": "move", "idempotency": "non_idempotent", "latency-target-ns": 4e8}],
        "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
            "tip-after-ns": 1e9}});
    change(&mut value);
    parse_value(&value)
}

/// The defaults are constants, so that they are the same in every deployment.
#[test]
fn missing_durations_have_defaults() {
    let parsed = parse_changed(|_| ()).expect("settings");
    let max_poll_interval = parsed.settings.max_poll_interval;
    let times = (
        max_poll_interval,
        parsed.connect_timeout,
        parsed.idle_timeout,
    );
    assert_eq!(times, (2.0, 1.0, 1.0));
    assert_eq!(parsed.longest_deadline, None);
}

/// Longer durations could overflow when they are added to the time of a clock.
#[test]
fn unlimited_and_huge_durations_are_bounded() {
    let parsed = parse_changed(|settings| {
        settings["ceilings"]["connect-timeout-ns"] = 0.into();
        settings["ceilings"]["conn-idle-ns"] = 1e300.into();
        settings["methods"][0]["hard-limit-ns"] = u64::MAX.into();
    });
    let parsed = parsed.expect("settings");
    let timeouts = (parsed.connect_timeout, parsed.idle_timeout);
    assert_eq!(timeouts, (1e9, 1e9));
    assert_eq!(parsed.longest_deadline, Some(1e9));
}

#[test]
fn longest_deadline_is_missing_if_a_method_has_none() {
    let parsed = parse_changed(|settings| {
        let mut second = settings["methods"][0].clone();
        second["hard-limit-ns"] = 2_000_000_000.into();
        let methods = settings["methods"].as_array_mut().expect("methods");
        methods.push(second);
    });
    assert_eq!(parsed.expect("settings").longest_deadline, None);
}

#[test]
fn optional_settings_are_parsed_and_have_defaults() {
    let defaults = decision_settings(|_| ()).expect("settings");
    assert_eq!(
        (
            defaults.key_cooldown,
            defaults.only_draining_is_binding,
            defaults.methods[0].ordered_by_key
        ),
        (0.0, false, false)
    );
    assert_eq!(
        (defaults.log_loss_weight, defaults.target_nines),
        (0.0, 0.0)
    );
    let explicit = decision_settings(|settings| {
        settings["methods"][0]["keep-order"] = true.into();
        settings["contract"]["key-quiet-ns"] = 50_000_000.into();
        settings["contract"]["removal-not-binding"] = true.into();
        settings["goal"] = json!({"log-loss-part": 0.4, "nines-wanted": 2.0});
    });
    let explicit = explicit.expect("settings");
    assert_eq!(
        (
            explicit.key_cooldown,
            explicit.only_draining_is_binding,
            explicit.methods[0].ordered_by_key
        ),
        (0.05, true, true)
    );
    assert_eq!(
        (explicit.log_loss_weight, explicit.target_nines),
        (0.4, 2.0)
    );
}

#[test]
fn errors_of_optional_settings_name_path_and_value() {
    let assert_error = |section: &str, key: &str, value: Value, expected: &str| {
        let parsed = decision_settings(|settings| settings[section][key] = value);
        let error = parsed.expect_err("an error").to_string();
        assert_eq!(error, format!("{section}.{key} {expected}"));
    };
    let not_a_number = "is not a number of 0 or more:";
    assert_error(
        "contract",
        "key-quiet-ns",
        json!(-1),
        &format!("{not_a_number} -1"),
    );
    assert_error(
        "contract",
        "key-quiet-ns",
        json!("5"),
        &format!("{not_a_number} \"5\""),
    );
    assert_error(
        "goal",
        "log-loss-part",
        json!([]),
        &format!("{not_a_number} []"),
    );
    let not_a_boolean = "is not true or false: 1";
    assert_error("contract", "removal-not-binding", json!(1), not_a_boolean);
    let zero = "is 0: it must be greater than 0, because losses are divided by it";
    assert_error("goal", "nines-wanted", json!(0), zero);
}

#[test]
fn errors_of_optional_method_settings_name_the_method() {
    let parsed = decision_settings(|settings| settings["methods"][0]["keep-order"] = "yes".into());
    let expected = "methods[0].keep-order is not true or false: \"yes\"";
    assert_eq!(parsed.expect_err("an error").to_string(), expected);
}

/// In a text, accounts are parsed one by one instead of as a part of the whole document. Results and errors must not
/// differ.
#[test]
fn accounts_are_parsed_alike_from_text_and_value() {
    let mut settings = json!({"balancers": 2, "ceilings": {"most-picks": 3}, "my-zone": "a", "methods": [],
        "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
            "tip-after-ns": 1e9}});
    for accounts in [
        Value::Null,
        json!([]),
        json!({}),
        json!("many"),
        json!([{"name": "a\"\\\u{e9}", "quota-per-s": 3}, {"quota-per-s": 1e300, "name": "b", "more": [{}]}]),
        json!([{"name": "a", "quota-per-s": 3}, {"name": "b", "quota-per-s": -1}]),
        json!([{"name": "a", "quota-per-s": "3"}]),
        json!([{"name": "a", "quota-per-s": null}]),
        json!([{"name": 7, "quota-per-s": 1}]),
        json!([{"quota-per-s": 1}, 5]),
    ] {
        settings["accounts"] = accounts;
        let text = settings.to_string();
        assert_eq!(parse(&text), parse_value(&settings), "{text}");
        assert_eq!(
            parse(&format!(" {text}\n")),
            parse_value(&settings),
            "{text}"
        );
    }
}

#[test]
fn text_that_is_not_a_settings_object_is_rejected() {
    assert!(parse("[]").is_err_and(|error| error.to_string() == "ceilings is missing"));
    assert!(parse("null").is_err_and(|error| error.to_string() == "ceilings is missing"));
    assert!(parse("{\"a\":").is_err_and(|error| error.to_string().starts_with("is not JSON: ")));
}
