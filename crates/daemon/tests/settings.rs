//! Validation of the configuration when birchhubd starts.
//!
//! Optional values that are missing, null, zero or huge do not prevent a start. A value that cannot be parsed ends the start
//! with exit code 2 and one line that names the value.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Daemon, FailedStart, Log, TestFolder, config, echo, endpoint_entry, rpc, unused_address,
    without_health_checks,
};
use serde_json::{Value, json};
use std::path::Path;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// JSON pointer of an object in the settings, a key of the object, and an unusual value.
type UnusualSetting = (&'static str, &'static str, Value);

fn missing() -> Value {
    Value::Null
}

fn huge() -> Value {
    json!(u64::MAX)
}

fn unusual_ceiling_values() -> Vec<UnusualSetting> {
    vec![
        ("/ceilings", "connect-timeout-ns", missing()),
        ("/ceilings", "connect-timeout-ns", json!(0)),
        ("/ceilings", "connect-timeout-ns", huge()),
        ("/ceilings", "conn-idle-ns", missing()),
        ("/ceilings", "conn-idle-ns", json!(0)),
        ("/ceilings", "conn-idle-ns", huge()),
        ("/ceilings", "most-picks", huge()),
        ("/ceilings", "retry-after", json!(true)),
    ]
}

fn unusual_contract_values() -> Vec<UnusualSetting> {
    vec![
        ("/contract", "ask-within-ns", missing()),
        ("/contract", "ask-within-ns", json!(0)),
        ("/contract", "ask-within-ns", huge()),
        ("/contract", "drain-grace-ns", json!(0)),
        ("/contract", "cold-ns", json!(0)),
        ("/contract", "tip-after-ns", huge()),
        ("/contract", "fall-multiple", json!(1e30)),
        ("/contract", "key-quiet-ns", huge()),
    ]
}

fn unusual_method_values() -> Vec<UnusualSetting> {
    vec![
        ("/methods/1", "hard-limit-ns", missing()),
        ("/methods/1", "hard-limit-ns", json!(0)),
        ("/methods/1", "hard-limit-ns", huge()),
        ("/methods/1", "latency-target-ns", huge()),
        ("/methods/1", "utility", json!(0)),
        ("/methods/1", "utility", json!(1e300)),
        ("/methods/2", "window-ns", json!(0)),
        ("/methods/2", "window-ns", huge()),
    ]
}

fn other_unusual_values() -> Vec<UnusualSetting> {
    let unknown_fields = json!({"how": "answers", "fields": ["err_ps", "unknown_field"]});
    let account = |quota: f64| json!([{"name": "acme", "quota-per-s": quota}]);
    vec![
        ("", "failure-domains", missing()),
        ("", "my-zone", json!("elsewhere")),
        ("", "report", missing()),
        ("", "report", unknown_fields),
        ("", "report", json!({"how": "unknown"})),
        ("", "membership-mode", missing()),
        ("", "accounts", account(0.0)),
        ("", "accounts", account(1e300)),
        ("", "balancers", json!(0)),
        ("", "further", json!({"unknown": [1, 2, 3]})),
    ]
}

/// Starts a proxy with this value and checks that it serves an RPC of each method.
fn assert_serves((pointer, key, value): UnusualSetting, backend: std::net::SocketAddr) {
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", backend)], |config| {
        without_health_checks(config);
        config["settings"]
            .pointer_mut(pointer)
            .expect("an existing object")[key] = value.clone();
    });
    // RPCs without utility, or over their quota, may be rejected.
    let may_reject = key == "utility" || key == "accounts";
    let mut client = daemon.client();
    let calls = [("GET", "read"), ("POST", "book"), ("POST", "log")];
    for (n, (verb, method)) in calls.into_iter().enumerate() {
        let response = client.call(&rpc(verb, &format!("/{method}"), &format!("n{n}"), ""));
        let status = response.map(|response| response.status());
        assert!(
            status == Some(200) || may_reject && status == Some(503),
            "{pointer}/{key} = {value}: {method} {status:?}"
        );
    }
    let logged = daemon.logged();
    assert!(
        !logged.contains("panicked"),
        "{pointer}/{key} = {value}: {logged}"
    );
}

#[test]
fn proxy_with_unusual_settings_serves_rpcs() {
    let log = Log::new(vec![]);
    let backend = echo("b1", &log);
    let groups = [
        unusual_ceiling_values(),
        unusual_contract_values(),
        unusual_method_values(),
        other_unusual_values(),
    ];
    for unusual in groups.into_iter().flatten() {
        assert_serves(unusual, backend);
    }
}

#[test]
fn startup_error_names_the_setting_that_cannot_be_parsed() {
    let folder = TestFolder::new("settings");
    let assert_named = |pointer: &str, key: &str, value: Value, path: &str| {
        let mut config = config(
            unused_address(),
            unused_address(),
            &[endpoint_entry("s-1", unused_address(), "Ready")],
        );
        config["settings"]
            .pointer_mut(pointer)
            .expect("an existing object")[key] = value;
        let failed = failed_start_with(&folder.write_config(&config.to_string()));
        failed.assert_one_line();
        assert!(failed.error.contains(path), "{path}: {failed:?}");
    };
    let path = "ceilings.connect-timeout-ns";
    assert_named("/ceilings", "connect-timeout-ns", json!("250ms"), path);
    let path = "ceilings.conn-idle-ns";
    assert_named("/ceilings", "conn-idle-ns", json!(-1), path);
    let path = "contract.ask-within-ns";
    assert_named("/contract", "ask-within-ns", json!([]), path);
    let path = "contract.drain-grace-ns";
    assert_named("/contract", "drain-grace-ns", missing(), path);
    let path = "methods[1].hard-limit-ns";
    assert_named("/methods/1", "hard-limit-ns", json!("3s"), path);
    let path = "methods[1].idempotency";
    assert_named("/methods/1", "idempotency", json!("perhaps"), path);
    let path = "methods[2].window-ns";
    assert_named("/methods/2", "window-ns", missing(), path);
    let path = "methods[2].dedup-scope";
    assert_named("/methods/2", "dedup-scope", json!("planet"), path);
}

/// Starts birchhubd, which must fail, with only these environment variables.
fn failed_start(variables: &[(&str, &str)]) -> FailedStart {
    let mut start = Command::new(PROGRAM);
    FailedStart::of(start.env_clear().envs(variables.iter().copied()))
}

/// Starts birchhubd, which must fail, with this configuration file.
fn failed_start_with(config: &Path) -> FailedStart {
    failed_start(&[("LB_CONFIG", config.to_str().expect("a path"))])
}

/// Returns the result of a start that fails with this error.
fn failure(error: &str) -> FailedStart {
    FailedStart {
        exit_code: Some(2),
        error: format!("birchhubd: {error}\n"),
    }
}

#[test]
fn error_text_of_an_unreadable_configuration_file() {
    let folder = TestFolder::new("unreadable");
    assert_eq!(failed_start(&[]), failure("LB_CONFIG is not set"));
    let absent = folder.path().join("absent");
    let error = format!(
        "LB_CONFIG cannot be read: {}: No such file or directory (os error 2)",
        absent.display()
    );
    assert_eq!(failed_start_with(&absent), failure(&error));
    for (text, error) in [
        ("", "EOF while parsing a value at line 1 column 0"),
        (
            "[]",
            "invalid type: sequence, expected a map at line 1 column 0",
        ),
    ] {
        let file = folder.write_config(text);
        let error = format!("LB_CONFIG is not JSON: {}: {error}", file.display());
        assert_eq!(failed_start_with(&file), failure(&error));
    }
}

/// Returns changes that make a valid configuration invalid, each with the complete text of the error.
fn invalid_configurations() -> Vec<(&'static str, &'static str, Value, &'static str)> {
    let mut settings_with_account =
        config(unused_address(), unused_address(), &[])["settings"].clone();
    settings_with_account["accounts"] = json!([{"name": "x", "quota-per-s": 1}]);
    vec![
        ("", "name", Value::Null, "LB_NAME is not set"),
        ("", "listen", json!(5), "LB_LISTEN is not set"),
        (
            "",
            "listen",
            json!("here"),
            "LB_LISTEN is not an address and port: here",
        ),
        ("", "discovery", Value::Null, "LB_DISCOVERY is not set"),
        (
            "",
            "management",
            json!("there"),
            "LB_MANAGEMENT is not an address and port: there",
        ),
        (
            "",
            "management",
            json!(5),
            "management is not a text in LB_CONFIG: 5",
        ),
        ("", "seed", json!(7), "seed is missing in LB_CONFIG"),
        ("", "seed", json!("xyz"), "seed is not a hex number: xyz"),
        ("", "settings", json!([]), "settings: ceilings is missing"),
        (
            "/settings/methods/1",
            "idempotency",
            json!("perhaps"),
            "settings: methods[1].idempotency is not known: perhaps",
        ),
        ("", "watch", json!({}), "watch.ceilings is missing"),
        (
            "",
            "watch",
            settings_with_account,
            "watch.accounts has other names than settings.accounts",
        ),
    ]
}

#[test]
fn error_texts_of_invalid_configurations() {
    let folder = TestFolder::new("wrong");
    let valid_config = config(unused_address(), unused_address(), &[]);
    for (pointer, key, value, error) in invalid_configurations() {
        let mut config = valid_config.clone();
        config.pointer_mut(pointer).expect("an existing object")[key] = value;
        let file = folder.write_config(&config.to_string());
        assert_eq!(failed_start_with(&file), failure(error));
    }
    let mut config = valid_config;
    config
        .as_object_mut()
        .expect("an object")
        .remove("settings");
    let file = folder.write_config(&config.to_string());
    let error = "settings is missing in LB_CONFIG";
    assert_eq!(failed_start_with(&file), failure(error));
}

#[test]
fn error_texts_of_invalid_inherited_descriptors() {
    for (passed, error) in [
        ("-1", "is not a number: -1"),
        ("4294967295", "is not a number: 4294967295"),
        ("99", "is not open: 99"),
        ("1", "is not a socket: 1"),
    ] {
        let failed = failed_start(&[("LB_PASSED_SOCKET", passed)]);
        assert_eq!(failed, failure(&format!("LB_PASSED_SOCKET {error}")));
    }
}

#[test]
fn error_text_of_an_inherited_socket_that_does_not_listen() {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut start = Command::new(PROGRAM);
    start
        .env("LB_PASSED_SOCKET", "0")
        .stdin(std::os::fd::OwnedFd::from(socket));
    let error = "LB_PASSED_SOCKET is not a listening TCP socket: 0";
    assert_eq!(FailedStart::of(&mut start), failure(error));
}
