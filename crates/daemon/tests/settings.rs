//! Settings of other customers: what is missing, null, zero or beyond all measure ends no proxy that could serve, and what
//! can't be read ends the start with a line that names it. Nothing is filled in with another deployment's figure.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Daemon, Log, blind, config, echo, free, line, rpc};
use serde_json::{Value, json};
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Each with what it is made to be.
#[expect(clippy::too_many_lines)]
fn odd() -> Vec<(&'static str, &'static str, Value)> {
    let gone = || Value::Null;
    let huge = || json!(u64::MAX);
    vec![
        ("/ceilings", "connect-timeout-ns", gone()),
        ("/ceilings", "connect-timeout-ns", json!(0)),
        ("/ceilings", "connect-timeout-ns", huge()),
        ("/ceilings", "conn-idle-ns", gone()),
        ("/ceilings", "conn-idle-ns", json!(0)),
        ("/ceilings", "conn-idle-ns", huge()),
        ("/ceilings", "most-picks", huge()),
        ("/ceilings", "retry-after", json!(true)),
        ("/contract", "ask-within-ns", gone()),
        ("/contract", "ask-within-ns", json!(0)),
        ("/contract", "ask-within-ns", huge()),
        ("/contract", "drain-grace-ns", json!(0)),
        ("/contract", "cold-ns", json!(0)),
        ("/contract", "tip-after-ns", huge()),
        ("/contract", "fall-multiple", json!(1e30)),
        ("/contract", "key-quiet-ns", huge()),
        ("/methods/1", "hard-limit-ns", gone()),
        ("/methods/1", "hard-limit-ns", json!(0)),
        ("/methods/1", "hard-limit-ns", huge()),
        ("/methods/1", "latency-target-ns", huge()),
        ("/methods/1", "utility", json!(0)),
        ("/methods/1", "utility", json!(1e300)),
        ("/methods/2", "window-ns", json!(0)),
        ("/methods/2", "window-ns", huge()),
        ("", "failure-domains", gone()),
        ("", "my-zone", json!("elsewhere")),
        ("", "report", gone()),
        (
            "",
            "report",
            json!({"how": "answers", "fields": ["err_ps", "of_their_own"]}),
        ),
        ("", "report", json!({"how": "by_pigeon"})),
        ("", "membership-mode", gone()),
        ("", "accounts", json!([{"name": "acme", "quota-per-s": 0}])),
        (
            "",
            "accounts",
            json!([{"name": "acme", "quota-per-s": 1e300}]),
        ),
        ("", "balancers", json!(0)),
        ("", "further", json!({"unknown": [1, 2, 3]})),
    ]
}

#[test]
fn odd_settings_end_no_proxy() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    for (place, key, value) in odd() {
        let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
            blind(config);
            config["settings"].pointer_mut(place).expect("a place")[key] = value.clone();
        });
        let mut client = daemon.client();
        for (n, (verb, method)) in [("GET", "read"), ("POST", "book"), ("POST", "log")]
            .into_iter()
            .enumerate()
        {
            let answer = client.call(&rpc(verb, &format!("/{method}"), &format!("n{n}"), ""));
            // One of no utility may be turned away; none is left without a word.
            let status = answer.map(|answer| answer.status());
            assert!(
                matches!(status, Some(200 | 503)),
                "{place}/{key} = {value}: {method} {status:?}"
            );
            assert!(
                status == Some(200) || key == "utility" || key == "accounts",
                "{place}/{key} = {value}: {method}"
            );
        }
        assert!(
            !daemon.logged().contains("panicked"),
            "{place}/{key} = {value}: {}",
            daemon.logged()
        );
    }
}

#[test]
#[expect(clippy::too_many_lines)]
fn settings_that_cannot_be_read_name_themselves() {
    let folder = std::env::temp_dir().join(format!("birchhubd-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("config.json");
    for (place, key, value, named) in [
        (
            "/ceilings",
            "connect-timeout-ns",
            json!("250ms"),
            "ceilings.connect-timeout-ns",
        ),
        (
            "/ceilings",
            "conn-idle-ns",
            json!(-1),
            "ceilings.conn-idle-ns",
        ),
        (
            "/contract",
            "ask-within-ns",
            json!([]),
            "contract.ask-within-ns",
        ),
        (
            "/contract",
            "drain-grace-ns",
            Value::Null,
            "contract.drain-grace-ns",
        ),
        (
            "/methods/1",
            "hard-limit-ns",
            json!("3s"),
            "methods[1].hard-limit-ns",
        ),
        (
            "/methods/1",
            "idempotency",
            json!("perhaps"),
            "methods[1].idempotency",
        ),
        (
            "/methods/2",
            "window-ns",
            Value::Null,
            "methods[2].window-ns",
        ),
        (
            "/methods/2",
            "dedup-scope",
            json!("planet"),
            "methods[2].dedup-scope",
        ),
    ] {
        let mut config = config(free(), free(), &[line("s-1", free(), "Ready")]);
        config["settings"].pointer_mut(place).expect("a place")[key] = value;
        std::fs::write(&file, config.to_string()).expect("a file");
        let output = Command::new(PROGRAM)
            .env("LB_CONFIG", &file)
            .output()
            .expect("birchhubd");
        let fault = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            (output.status.code(), fault.lines().count()),
            (Some(2), 1),
            "{named}: {fault}"
        );
        assert!(fault.contains(named), "{named}: {fault}");
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
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

fn assert_refused(variables: &[(&str, &str)], fault: &str) {
    let expected = (Some(2), format!("birchhubd: {fault}\n"));
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
    for (text, fault) in [
        ("", "EOF while parsing a value at line 1 column 0"),
        (
            "[]",
            "invalid type: sequence, expected a map at line 1 column 0",
        ),
    ] {
        let file = folder.file(text);
        let fault = format!("LB_CONFIG is not JSON: {file}: {fault}");
        assert_refused(&[("LB_CONFIG", &file)], &fault);
    }
}

/// Each is a change of a good configuration, and the whole text of the fault.
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
    for (place, key, value, fault) in wrong_configurations() {
        let mut config = good.clone();
        config.pointer_mut(place).expect("a place")[key] = value;
        let file = folder.file(&config.to_string());
        assert_refused(&[("LB_CONFIG", &file)], fault);
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
    for (passed, fault) in [
        ("-1", "is not a number: -1"),
        ("4294967295", "is not a number: 4294967295"),
        ("99", "is not open: 99"),
        ("1", "is not a socket: 1"),
    ] {
        let variables = [("LB_PASSED_SOCKET", passed)];
        assert_refused(&variables, &format!("LB_PASSED_SOCKET {fault}"));
    }
}
