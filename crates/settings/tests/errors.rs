//! Error messages of settings and load reports. The operators' documentation quotes them.
mod fixtures;
use birchhub_settings::{parse, parse_load_report, parse_value};
use fixtures::{EVERY_KEY, every_key};
use serde_json::{Value, json};

#[test]
fn error_of_a_number_that_is_out_of_range_names_its_position() {
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

/// Returns the settings object with every key, with this value at a JSON pointer.
fn settings_with(pointer: &str, value: Value) -> Value {
    let mut settings = every_key();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = settings.pointer_mut(parent).expect("a parent");
    match key.parse::<usize>() {
        Ok(index) => parent[index] = value,
        Err(_) => parent[key] = value,
    }
    settings
}

/// Returns the error message of settings, which must be the same for text and value.
fn error_of(settings: &Value) -> String {
    let error = parse(&settings.to_string()).expect_err("an error");
    assert_eq!(parse_value(settings).expect_err("an error"), error);
    error.to_string()
}

#[test]
fn error_names_the_missing_setting() {
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
        let error = error_of(&settings_with(pointer, Value::Null));
        assert_eq!(error, format!("{missing} is missing"), "{pointer}");
    }
}

fn assert_error(pointer: &str, value: Value, expected: &str) {
    assert_eq!(
        error_of(&settings_with(pointer, value)),
        expected,
        "{pointer}"
    );
}

/// Converts a JSON pointer into the form that errors use for paths.
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
fn error_names_the_invalid_number_and_its_value() {
    let assert_not_a_number = |pointer: &str, value: Value, shown: &str| {
        let path = path_of(pointer);
        let expected = format!("{path} is not a number of 0 or more: {shown}");
        assert_error(pointer, value, &expected);
    };
    assert_not_a_number("/balancers", json!("2"), "\"2\"");
    assert_not_a_number("/ceilings/most-picks", json!(-1), "-1");
    assert_not_a_number("/ceilings/connect-timeout-ns", json!("250ms"), "\"250ms\"");
    assert_not_a_number(
        "/ceilings/conn-idle-ns",
        json!([1, {"a": true}]),
        "[1,{\"a\":true}]",
    );
    assert_not_a_number("/ceilings/max-retry-after-ns", json!(false), "false");
    assert_not_a_number("/methods/3/hard-limit-ns", json!(-0.5), "-0.5");
    assert_not_a_number("/accounts/0/quota-per-s", json!(-3), "-3");
    assert_not_a_number("/penalties/cross-zone", json!({}), "{}");
}

#[test]
fn error_names_the_invalid_boolean_and_its_value() {
    let assert_not_a_boolean = |pointer: &str, value: Value, shown: &str| {
        let path = path_of(pointer);
        assert_error(
            pointer,
            value,
            &format!("{path} is not true or false: {shown}"),
        );
    };
    assert_not_a_boolean("/ceilings/cancel", json!(1), "1");
    assert_not_a_boolean("/ceilings/retry-after", json!("yes"), "\"yes\"");
    assert_not_a_boolean("/extra/warm-keys", json!([]), "[]");
    assert_not_a_boolean("/methods/4/keep-order", json!(0), "0");
}

#[test]
fn error_names_the_value_that_is_not_a_string_or_list() {
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
            &format!("{} is not a string", path_of(pointer)),
        );
    }
}

#[test]
fn error_names_the_unknown_choice() {
    let idempotency = "/methods/0/idempotency";
    let error = "methods[0].idempotency is not known: perhaps";
    assert_error(idempotency, json!("perhaps"), error);
    let scope = "/methods/2/dedup-scope";
    let error = "methods[2].dedup-scope is not known: planet";
    assert_error(scope, json!("planet"), error);
    let error =
        "goal.nines-wanted is 0: it must be greater than 0, because losses are divided by it";
    assert_error("/goal/nines-wanted", json!(0), error);
}

/// Checks that each of these errors is the reported one if it and all errors after it in the list are present.
fn assert_reported_in_order(errors: &[(&str, Value, &str)]) {
    for from in 0..errors.len() {
        let mut settings = every_key();
        for (pointer, value, _) in errors[from..].iter().rev() {
            let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
            if let Some(Value::Object(parent)) = settings.pointer_mut(parent) {
                parent.insert(key.to_owned(), value.clone());
            }
        }
        let (pointer, _, error) = &errors[from];
        let expected = format!("{} {error}", path_of(pointer));
        assert_eq!(error_of(&settings), expected);
    }
}

#[test]
fn first_of_several_missing_settings_is_reported() {
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
    assert_reported_in_order(&errors.map(|pointer| (pointer, Value::Null, "is missing")));
}

#[test]
fn first_of_several_invalid_settings_is_reported() {
    const NOT_A_NUMBER: &str = "is not a number of 0 or more: \"x\"";
    const ZERO_NINES: &str = "is 0: it must be greater than 0, because losses are divided by it";
    let invalid = || json!("x");
    assert_reported_in_order(&[
        ("/accounts", invalid(), "is not a list"),
        ("/ceilings/retry-after", json!(5), "is not true or false: 5"),
        ("/report/how", json!(5), "is not a string"),
        ("/report/fields", invalid(), "is not a list"),
        ("/weight-source", json!(5), "is not a string"),
        ("/membership-mode", json!(5), "is not a string"),
        ("/failure-domains", invalid(), "is not a list"),
        ("/my-zone", json!(5), "is not a string"),
        ("/ceilings/cancel", json!(5), "is not true or false: 5"),
        ("/extra/warm-keys", json!(5), "is not true or false: 5"),
        ("/penalties/probe", invalid(), NOT_A_NUMBER),
        ("/goal/log-loss-part", invalid(), NOT_A_NUMBER),
        ("/contract/key-quiet-ns", invalid(), NOT_A_NUMBER),
        ("/goal/nines-wanted", json!(0), ZERO_NINES),
        ("/methods/0/hard-limit-ns", invalid(), NOT_A_NUMBER),
        ("/ceilings/connect-timeout-ns", invalid(), NOT_A_NUMBER),
        ("/ceilings/conn-idle-ns", invalid(), NOT_A_NUMBER),
    ]);
}

#[test]
fn json_errors_name_line_and_column() {
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
fn load_report_errors_name_the_field() {
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
