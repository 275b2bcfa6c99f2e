//! The shadow evaluation, which compares the decisions of other settings with those of the active ones.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Daemon, Log, backend, echo, reply, rpc, unused_address, without_health_checks,
};
use serde_json::Value;
use std::net::SocketAddr;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Method and verb for each kind of idempotency: idempotent, non-idempotent, deduplicated.
const METHODS: [(&str, &str); 3] = [("read", "GET"), ("book", "POST"), ("log", "POST")];

/// Sends this many RPCs, of each method in turn, ends the proxy, and returns the counts that the shadow evaluation logs at
/// its end.
fn shadow_counts(mut daemon: Daemon, rpcs: usize) -> String {
    let mut client = daemon.client();
    for n in 0..rpcs {
        let (method, verb) = METHODS[n % METHODS.len()];
        assert!(
            client
                .call(&rpc(verb, &format!("/{method}"), &format!("n{n}"), ""))
                .is_some(),
            "no response to RPC {n}"
        );
    }
    drop(client);
    daemon.signal("TERM");
    daemon.await_exit();
    let log = daemon.logged();
    let last = log
        .lines()
        .rev()
        .find(|line| line.contains("shadow evaluation ended: "))
        .expect("a log line with the counts");
    last.split_once("shadow evaluation ended: ")
        .expect("the counts after the prefix")
        .1
        .to_owned()
}

/// Starts two backends that succeed and one that sometimes fails, and adds an address where nothing listens.
fn mixed_backends(log: &Log) -> [(&'static str, SocketAddr); 4] {
    let faulty = backend("b3", log, |m| {
        match m.header("request-id").as_bytes().last() {
            Some(b'3') => BackendAction::RespondAndClose(vec![]),
            Some(b'6') => BackendAction::Respond(reply("500 No", "")),
            _ => BackendAction::Respond(reply("200 OK", "b3")),
        }
    });
    [
        ("s-1", echo("b1", log)),
        ("s-2", echo("b2", log)),
        ("s-3", faulty),
        ("s-4", unused_address()),
    ]
}

#[test]
fn shadow_with_the_same_settings_makes_the_same_decisions() {
    for change in [|_: &mut Value| {}, without_health_checks] {
        let log = Log::new(vec![]);
        let daemon = Daemon::start_with(PROGRAM, &mixed_backends(&log), |config| {
            change(config);
            config["watch"] = config["settings"].clone();
        });
        let counts = shadow_counts(daemon, 300);
        let no_differences = "300 RPCs compared: queued 0, attempted 0, rejected 0, accepted 0, given up 0, retried 0, \
                    answered differently 0; other backend 0; ";
        let health_checks = counts
            .strip_prefix(no_differences)
            .unwrap_or_else(|| panic!("{counts}"));
        let (active, shadow) = health_checks
            .split_once(", would be ")
            .expect("health checks");
        assert_eq!(
            active.strip_prefix("health checks "),
            Some(shadow),
            "{counts}"
        );
    }
}

#[test]
fn shadow_with_other_settings_is_counted_and_sends_nothing() {
    let log = Log::new(vec![]);
    let backends = [("s-1", echo("b1", &log)), ("s-2", echo("b2", &log))];
    // A shadow without health checks does not queue RPCs until there are load reports.
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        config["watch"] = config["settings"].clone();
        config["watch"]["ceilings"]["probes"] = false.into();
    });
    let counts = shadow_counts(daemon, 90);
    assert!(
        !counts.contains(" attempted 0,") && counts.ends_with(", would be 0"),
        "{counts}"
    );
    let requests_before = log.all().len();
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        config["watch"] = config["settings"].clone();
        without_health_checks(config);
    });
    let counts = shadow_counts(daemon, 90);
    assert!(
        !counts.contains(" queued 0,") && counts.contains("; health checks 0, would be "),
        "{counts}"
    );
    assert!(!counts.ends_with("would be 0"), "{counts}");
    assert_eq!(
        log.all().len() - requests_before,
        90,
        "one request for each RPC, and no health check"
    );
}
