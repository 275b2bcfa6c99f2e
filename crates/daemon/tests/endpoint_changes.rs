//! Changes of the endpoint list and of its service: drains, moves, outages, and the connections to backends that go with them.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Daemon, DiscoveryService, EVENT_TIMEOUT, HEALTH, Log, Shared, SlowAccept,
    backend, config, echo, endpoint_entry, eventually, gated_backend, reply, rpc,
    without_health_checks,
};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Rule 3: a slow connect must not send an RPC after the drain grace.
#[test]
fn a_drain_withdraws_an_attempt_that_waits_for_its_connection() {
    let log = Log::new(vec![]);
    let (good, slow) = (echo("b1", &log), SlowAccept::start());
    // The connect would not time out within the test.
    let long = |config: &mut Value| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        without_health_checks(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", good)], long);
    daemon.fill_retry_budget();
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", good, "Terminating"),
        endpoint_entry("s-2", slow.at, "Ready"),
    ]);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "waits", "").replace("3000", "60000"));
    std::thread::sleep(Duration::from_millis(300)); // the attempt has begun, or the RPC is sent after the drain
    assert_eq!(
        log.count("waits"),
        0,
        "the draining backend gets nothing new"
    );
    daemon.discovery.publish(&[
        endpoint_entry("s-1", good, "Ready"),
        endpoint_entry("s-2", slow.at, "Terminating"),
    ]);
    assert_eq!(client.response().unwrap().text(), "b1:");
}

/// A backend that moved gets nothing at its old address, also not on a connection that was in use meanwhile.
#[test]
fn a_moved_backend_gets_rpcs_at_its_new_address_only() {
    let log = Log::new(vec![]);
    let (old, gate) = gated_backend("b1", &log, "old");
    let daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "before", ""));
    log.await_event("b1 got POST /book HTTP/1.1 before");
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", echo("b2", &log), "Ready")]);
    gate.change(|open| *open = true);
    assert_eq!(client.response().unwrap().text(), "old");
    assert_eq!(client.text_of(&rpc("POST", "/book", "after", "")), "b2:");
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", echo("b3", &log), "Ready")]);
    assert_eq!(client.text_of(&rpc("POST", "/book", "idle", "")), "b3:");
}

/// A pooled connection that the backend closed is noticed and released, not written to.
#[test]
fn connections_that_a_backend_closed_are_released() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |_| {
        BackendAction::RespondAndClose(reply("200 OK", "last"))
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", at, "Ready")]);
    let mut client = daemon.client();
    assert_eq!(client.status_of(HEALTH), 200);
    let before = daemon.descriptors();
    for n in 0..5 {
        assert_eq!(
            client.status_of(&rpc("POST", "/book", &format!("n{n}"), "")),
            200
        );
        let is_released = || daemon.descriptors() <= before;
        eventually(
            Duration::from_secs(5),
            "the closed connection is still open",
            is_released,
        );
    }
}

/// A network path that drops connections sooner than the settings say costs one RPC, not one each time.
#[test]
fn the_idle_time_of_connections_is_learnt_from_one_loss() {
    let log = Log::new(vec![]);
    let last = Shared::new(Instant::now());
    let at = backend("b1", &log, move |m| {
        let idle = last.change(|last| std::mem::replace(last, Instant::now()).elapsed());
        let lost = m.messages_before > 0 && idle > Duration::from_millis(150);
        if lost {
            BackendAction::RespondAndClose(vec![])
        } else {
            BackendAction::Respond(reply("200 OK", ""))
        }
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let mut client = daemon.client();
    let mut lost = 0;
    for n in 0..6 {
        lost += usize::from(client.status_of(&rpc("POST", "/book", &format!("n{n}"), "")) != 200);
        std::thread::sleep(Duration::from_millis(250));
    }
    assert_eq!(lost, 1);
}

/// Backends that were removed from the list are forgotten: memory does not grow with all that ever were listed.
#[test]
fn removed_backends_are_forgotten() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let replace = |rounds: std::ops::Range<usize>| {
        for round in rounds {
            let lines = (0..2000).map(|n| endpoint_entry(&format!("s-{round}-{n}"), at, "Ready"));
            daemon
                .discovery
                .publish_and_wait(&lines.collect::<Vec<_>>());
        }
        daemon.memory()
    };
    let (before, after) = (replace(0..8), replace(8..58));
    assert!(
        after < before + (25 << 20),
        "{} MB more for 100,000 removed backends",
        (after - before) >> 20
    );
    assert_eq!(
        daemon.client().status_of(&rpc("GET", "/read", "id", "")),
        200
    );
}

/// A call without an answer times out soon, and the next one is sent at once.
#[test]
fn a_watch_without_an_answer_is_repeated() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let next = DiscoveryService::without_response_to(0);
    next.publish(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
    daemon.reload(&config(daemon.at, next.at, &[]).to_string());
    daemon.discovery = next;
    let mut client = daemon.client();
    let mut ask = || client.text_of(&rpc("GET", "/read", "id", "")) == "b2:";
    eventually(
        Duration::from_secs(5),
        "one lost call, and the list is not applied",
        &mut ask,
    );
}

#[test]
fn an_outage_of_discovery_keeps_the_cached_list() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut client = daemon.client();
    let mut ask = |n: &str| client.text_of(&rpc("GET", "/read", n, ""));
    assert_eq!(ask("up"), "b1:");
    daemon.discovery.respond_with(None);
    assert_eq!(ask("down"), "b1:");
    daemon.discovery.respond_with(Some("{\"rev\": nonsense"));
    assert_eq!(ask("garbage"), "b1:");
    let odd = [
        json!({"uid": "s-9", "state": "Dreaming"}),
        json!({"state": "Ready"}),
    ];
    daemon
        .discovery
        .publish(&[&odd[..], &[endpoint_entry("s-2", new, "Ready")]].concat());
    eventually(
        EVENT_TIMEOUT,
        "the list of the restored service was never applied",
        || ask("back") == "b2:",
    );
}

/// A discovery service that answers every watch at once must not keep the proxy busy.
#[test]
fn watches_that_return_at_once_are_spaced() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let begun = Instant::now();
    let same = json!({"rev": 0, "all": true, "targets": [endpoint_entry("s-1", at, "Ready")]});
    daemon.discovery.respond_with(Some(&same.to_string()));
    std::thread::sleep(Duration::from_millis(300));
    let calls = daemon.discovery.calls.change(|calls| *calls) as u128;
    assert!(
        calls <= 4 + begun.elapsed().as_millis() / 20,
        "{calls} calls"
    );
}

/// A cached list that can't be read does not prevent the start: the first answer of discovery replaces it.
#[test]
fn an_unreadable_cached_list_is_replaced_by_discovery() {
    let log = Log::new(vec![]);
    for known in [json!("odd"), json!({"rev": "x"}), json!(null)] {
        let backend = [("s-1", echo("b1", &log))];
        let daemon =
            Daemon::start_with(PROGRAM, &backend, |config| config["known"] = known.clone());
        let answer = daemon
            .client()
            .call(&rpc("GET", "/read", "id1", ""))
            .expect("an answer");
        assert_eq!(answer.status(), 200, "started with known {known}");
    }
}
