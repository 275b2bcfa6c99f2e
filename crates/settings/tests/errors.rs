//! The texts of errors, pinned to the byte: the operators' pages quote them.
mod fixtures;
use birchhub_settings::{parse, parse_load_report, parse_value};
use fixtures::{EVERY_KEY, every_key};
use serde_json::{Value, json};

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
