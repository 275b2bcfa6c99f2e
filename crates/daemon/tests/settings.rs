//! Settings at the start of birchhubd. Values that are missing, null, zero or huge do not end a proxy that could serve;
//! what cannot be parsed ends the start with one line that names it, and exit code 2.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Daemon, Log, blind, config, echo, free, line, rpc};
use serde_json::{Value, json};
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// An unusual value and its place in the settings.
type Unusual = (&'static str, &'static str, Value);

fn missing() -> Value {
    Value::Null
}

fn huge() -> Value {
    json!(u64::MAX)
}

fn unusual_ceilings() -> Vec<Unusual> {
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

fn unusual_contracts() -> Vec<Unusual> {
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

fn unusual_methods() -> Vec<Unusual> {
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

fn unusual_rest() -> Vec<Unusual> {
    let unknown_fields = json!({"how": "answers", "fields": ["err_ps", "of_their_own"]});
    let account = |quota: f64| json!([{"name": "acme", "quota-per-s": quota}]);
    vec![
        ("", "failure-domains", missing()),
        ("", "my-zone", json!("elsewhere")),
        ("", "report", missing()),
        ("", "report", unknown_fields),
        ("", "report", json!({"how": "by_pigeon"})),
        ("", "membership-mode", missing()),
        ("", "accounts", account(0.0)),
        ("", "accounts", account(1e300)),
        ("", "balancers", json!(0)),
        ("", "further", json!({"unknown": [1, 2, 3]})),
    ]
}

/// Starts a proxy with this value and calls each method.
fn assert_serves((place, key, value): Unusual, backend: std::net::SocketAddr) {
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", backend)], |config| {
        blind(config);
        config["settings"].pointer_mut(place).expect("a place")[key] = value.clone();
    });
    // RPCs without weight, or over their quota, may be rejected.
    let may_reject = key == "utility" || key == "accounts";
    let mut client = daemon.client();
    let calls = [("GET", "read"), ("POST", "book"), ("POST", "log")];
    for (n, (verb, method)) in calls.into_iter().enumerate() {
        let response = client.call(&rpc(verb, &format!("/{method}"), &format!("n{n}"), ""));
        let status = response.map(|response| response.status());
        assert!(
            status == Some(200) || may_reject && status == Some(503),
            "{place}/{key} = {value}: {method} {status:?}"
        );
    }
    let logged = daemon.logged();
    assert!(
        !logged.contains("panicked"),
        "{place}/{key} = {value}: {logged}"
    );
}

#[test]
fn a_proxy_with_unusual_settings_serves() {
    let log = Log::new(vec![]);
    let backend = echo("b1", &log);
    let groups = [
        unusual_ceilings(),
        unusual_contracts(),
        unusual_methods(),
        unusual_rest(),
    ];
    for unusual in groups.into_iter().flatten() {
        assert_serves(unusual, backend);
    }
}

#[test]
fn settings_that_cannot_be_parsed_are_named() {
    let folder = Folder::new("settings");
    let assert_named = |place: &str, key: &str, value: Value, path: &str| {
        let mut config = config(free(), free(), &[line("s-1", free(), "Ready")]);
        config["settings"].pointer_mut(place).expect("a place")[key] = value;
        let file = folder.file(&config.to_string());
        let (code, error) = refused_start(&[("LB_CONFIG", &file)]);
        assert_eq!((code, error.lines().count()), (Some(2), 1), "{error}");
        assert!(error.contains(path), "{path}: {error}");
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

/// What birchhubd writes and exits with when it is started with these variables alone.
fn refused_start(variables: &[(&str, &str)]) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM)
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .expect("birchhubd");
    let line = String::from_utf8(output.stderr).expect("a text");
    (output.status.code(), line)
}

fn assert_refused(variables: &[(&str, &str)], error: &str) {
    let expected = (Some(2), format!("birchhubd: {error}\n"));
    assert_eq!(refused_start(variables), expected);
}

/// A folder of this test, removed at its end.
struct Folder(std::path::PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("birchhubd-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self(folder)
    }

    /// The path of a file in it with this text.
    fn file(&self, text: &str) -> String {
        let file = self.0.join("config.json");
        std::fs::write(&file, text).expect("a file");
        file.to_str().expect("a path").to_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_configuration_file_that_cannot_be_read_is_named_to_the_byte() {
    let folder = Folder::new("unreadable");
    assert_refused(&[], "LB_CONFIG is not set");
    let absent = folder.0.join("absent").to_str().expect("a path").to_owned();
    assert_refused(
        &[("LB_CONFIG", &absent)],
        &format!("LB_CONFIG cannot be read: {absent}: No such file or directory (os error 2)"),
    );
    for (text, error) in [
        ("", "EOF while parsing a value at line 1 column 0"),
        (
            "[]",
            "invalid type: sequence, expected a map at line 1 column 0",
        ),
    ] {
        let file = folder.file(text);
        let error = format!("LB_CONFIG is not JSON: {file}: {error}");
        assert_refused(&[("LB_CONFIG", &file)], &error);
    }
}

/// Each is a change of a valid configuration, and the whole text of the error.
fn wrong_configurations() -> Vec<(&'static str, &'static str, Value, &'static str)> {
    let mut other = config(free(), free(), &[])["settings"].clone();
    other["accounts"] = json!([{"name": "x", "quota-per-s": 1}]);
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
            other,
            "watch.accounts has other names than settings.accounts",
        ),
    ]
}

#[test]
fn wrong_configurations_are_named_to_the_byte() {
    let folder = Folder::new("wrong");
    let good = config(free(), free(), &[]);
    for (place, key, value, error) in wrong_configurations() {
        let mut config = good.clone();
        config.pointer_mut(place).expect("a place")[key] = value;
        let file = folder.file(&config.to_string());
        assert_refused(&[("LB_CONFIG", &file)], error);
    }
    let mut config = good;
    config
        .as_object_mut()
        .expect("an object")
        .remove("settings");
    let file = folder.file(&config.to_string());
    assert_refused(&[("LB_CONFIG", &file)], "settings is missing in LB_CONFIG");
}

#[test]
fn a_passed_descriptor_that_is_no_listener_is_named_to_the_byte() {
    for (passed, error) in [
        ("-1", "is not a number: -1"),
        ("4294967295", "is not a number: 4294967295"),
        ("99", "is not open: 99"),
        ("1", "is not a socket: 1"),
    ] {
        let variables = [("LB_PASSED_SOCKET", passed)];
        assert_refused(&variables, &format!("LB_PASSED_SOCKET {error}"));
    }
}
