//! Configuration keys that a reload does not apply, and the texts that list them.
use crate::common::sockets::{
    EVENT_TIMEOUT, Log, echo, endpoint_entry, eventually, unused_address,
};
use crate::proxy::{Proxy, method, methods};
use serde_json::{Value, json};

const RESTART_KEYS: &str = "name, listen, seed, limits, settings.membership-mode, settings.failure-domains, \
    settings.weight-source, settings.ceilings.connect-timeout-ns, settings.ceilings.conn-idle-ns, watch";

/// Changes each of the [`RESTART_KEYS`].
fn change_restart_keys(config: &mut Value) {
    config["name"] = "n9".into();
    config["listen"] = unused_address().to_string().into();
    config["seed"] = "1".into();
    config["limits"]["sockets"] = 77.into();
    let settings = &mut config["settings"];
    settings["membership-mode"] = "pushed".into();
    settings["failure-domains"] = json!(["z", "a"]);
    settings["weight-source"] = "nominal".into();
    settings["ceilings"]["connect-timeout-ns"] = 1e9.into();
    settings["ceilings"]["conn-idle-ns"] = 1e9.into();
    config["watch"] = config["settings"].clone();
}

/// Each reload lists the changed keys that need a restart, and applies none of them.
#[test]
fn keys_that_need_a_restart_are_named_and_not_applied() {
    let log = Log::new(vec![]);
    let address = echo("b1", &log);
    let mut proxy = Proxy::start(&[("s-1", address)], |_| {});
    change_restart_keys(&mut proxy.config);
    for reloads in 1..=2 {
        proxy.reload();
        let warning = format!("these keys take effect at the next start: {RESTART_KEYS}");
        eventually(EVENT_TIMEOUT, "the warning was not logged", || {
            proxy.daemon.logged().matches(&warning).count() == reloads
        });
        let pending = format!("at the next start: {RESTART_KEYS}\n");
        eventually(
            EVENT_TIMEOUT,
            "GET /settings does not list the keys",
            || proxy.active_settings().ends_with(&pending),
        );
        assert!(proxy.is_active_version(0), "{}", proxy.active_settings());
    }
    assert_eq!(proxy.call("POST", "book", "as-before"), 200);
    // Changes of other keys are applied in the same reload.
    proxy.config["watch"] = Value::Null;
    proxy.change(1, |settings| {
        methods(settings).push(method("extra", "non_idempotent"))
    });
    assert_eq!(proxy.call("POST", "extra", "new"), 200);
    // The endpoint list is still read with the membership mode and zones of the start.
    proxy
        .daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", address, "Ready")]);
    assert_eq!(proxy.call("POST", "extra", "listed"), 200);
}

/// Scripts of operators parse these lines.
#[test]
fn texts_of_a_reload_are_stable() {
    let log = Log::new(vec![]);
    let mut proxy = Proxy::start(&[("s-1", echo("b1", &log))], |_| {});
    let digest = proxy.expected_digest();
    let expected = format!("version 0, digest {digest}, 3 methods, 0 tenants\n");
    assert_eq!(proxy.active_settings(), expected);
    proxy.config["name"] = "n9".into();
    proxy.change(1, |settings| {
        settings["my-zone"] = "elsewhere".into();
        settings["ceilings"]["most-picks"] = 4.into();
        settings["accounts"] = json!([{"name": "acme", "quota-per-s": 1e6}]);
        methods(settings).push(method("extra", "read_like"));
    });
    let digest = proxy.expected_digest();
    let active = format!(
        "version 1, digest {digest}, 4 methods, 1 tenants; at the next start: name, settings.my-zone"
    );
    assert_eq!(proxy.active_settings(), format!("{active}\n"));
    proxy.await_log(&format!(
        " of the loop: {active}; methods 1 added, 0 changed, 0 removed, 4 in all; \
         tenants 1 added, 0 changed, 0 removed, 1 in all; other keys: ceilings.most-picks\n"
    ));
    proxy.await_log("SIGHUP: these keys take effect at the next start: name, settings.my-zone\n");
}
