//! Reloads of an invalid configuration and of the active one, which change nothing.
use crate::common::sockets::{EVENT_TIMEOUT, Log, echo, eventually, unused_address};
use crate::proxy::{Proxy, method, methods};
use serde_json::{Value, json};

fn start(log: &Log) -> Proxy {
    Proxy::start(&[("s-1", echo("b1", log))], |config| {
        config["settings"]["accounts"] = json!([{"name": "acme", "quota-per-s": 100}]);
    })
}

/// Returns invalid values: JSON pointer of the parent, key, value, and a part of the error.
fn invalid_values() -> [(&'static str, &'static str, Value, &'static str); 6] {
    [
        (
            "/settings/methods/1",
            "idempotency",
            json!("perhaps"),
            "methods[1].idempotency is not known: perhaps",
        ),
        (
            "/settings/accounts/0",
            "quota-per-s",
            json!("many"),
            "accounts[0].quota-per-s is not a number",
        ),
        (
            "/settings/contract",
            "drain-grace-ns",
            Value::Null,
            "contract.drain-grace-ns is missing",
        ),
        ("/settings", "methods", json!({}), "methods is not a list"),
        ("", "settings", Value::Null, "is missing"),
        ("", "seed", Value::Null, "seed is missing"),
    ]
}

/// A configuration with an invalid value is rejected as a whole: its valid changes are not applied either.
#[test]
fn invalid_configuration_changes_nothing() {
    let log = Log::new(vec![]);
    let proxy = start(&log);
    let initial = proxy.active_settings();
    assert!(initial.starts_with("version 0, digest "), "{initial}");
    assert!(initial.ends_with(", 3 methods, 1 tenants\n"), "{initial}");
    for (parent, key, value, error) in invalid_values() {
        let mut config = proxy.config.clone();
        methods(&mut config["settings"]).push(method("extra", "read_like"));
        config["discovery"] = unused_address().to_string().into();
        config.pointer_mut(parent).expect("the parent")[key] = value;
        proxy.daemon.reload(&config.to_string());
        eventually(EVENT_TIMEOUT, &format!("not logged: {error}"), || {
            let logged = proxy.daemon.logged();
            let mut lines = logged.lines();
            lines.any(|line| {
                line.contains("reload failed, the active configuration is kept: ")
                    && line.contains(error)
            })
        });
        assert_eq!(proxy.active_settings(), initial, "{error}");
        let id = error.split(' ').next().expect("a word");
        assert_eq!(proxy.call("GET", "extra", id), 404);
    }
    assert!(!proxy.daemon.logged().contains("SIGHUP: discovery is at"));
    // The rejected configurations have no effect on the next reload.
    proxy.reload();
    proxy.await_log("SIGHUP: discovery is at");
    assert_eq!(proxy.active_settings(), initial);
    assert!(!proxy.daemon.logged().contains("in force"));
}

#[test]
fn reload_of_the_active_configuration_changes_nothing() {
    let log = Log::new(vec![]);
    let proxy = start(&log);
    let initial = proxy.active_settings();
    proxy.reload();
    proxy.await_log("SIGHUP: discovery is at");
    proxy.reload_unchanged();
    assert_eq!(proxy.active_settings(), initial);
    let logged = proxy.daemon.logged();
    assert!(!logged.contains("in force"), "{logged}");
}

#[test]
fn digest_follows_the_active_settings() {
    let log = Log::new(vec![]);
    let mut proxy = start(&log);
    let without_version = |text: String| text["version N".len()..].to_owned();
    let initial = without_version(proxy.active_settings());
    proxy.change(1, |settings| {
        settings["accounts"][0]["quota-per-s"] = 200.into()
    });
    assert_ne!(without_version(proxy.active_settings()), initial);
    proxy.change(2, |settings| {
        settings["accounts"][0]["quota-per-s"] = 100.into()
    });
    assert_eq!(without_version(proxy.active_settings()), initial);
}
