//! Changes of the endpoint list, outages of discovery, and the connections to backends.
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

/// Prevents that an RPC is sent after the drain grace because its connect was slow.
#[test]
fn a_drain_withdraws_an_attempt_that_waits_for_its_connection() {
    let log = Log::new(vec![]);
    let good = echo("b1", &log);
    let slow = SlowAccept::start();
    let without_connect_timeouts = |config: &mut Value| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        without_health_checks(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", good)], without_connect_timeouts);
    daemon.fill_retry_budget();
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", good, "Terminating"),
        endpoint_entry("s-2", slow.address, "Ready"),
    ]);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "waits", "").replace("3000", "60000"));
    // By then the attempt has started.
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(log.count("waits"), 0, "sent to the draining backend");
    daemon.discovery.publish(&[
        endpoint_entry("s-1", good, "Ready"),
        endpoint_entry("s-2", slow.address, "Terminating"),
    ]);
    assert_eq!(client.response().unwrap().text(), "b1:");
}

/// Neither a connection in use nor an idle one leads to the former address.
#[test]
fn a_backend_with_a_new_address_gets_no_rpcs_at_the_former_one() {
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

/// They would otherwise fail the next RPC.
#[test]
fn idle_connections_that_a_backend_closes_are_released() {
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

/// A network path that drops idle connections sooner than the settings say costs one RPC only.
#[test]
fn the_idle_timeout_is_reduced_after_the_loss_of_a_connection() {
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

#[test]
fn memory_does_not_grow_with_removed_backends() {
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
    let before = replace(0..8);
    let after = replace(8..58);
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

#[test]
fn a_watch_that_times_out_is_repeated_at_once() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let next = DiscoveryService::without_response_to(0);
    next.publish(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
    daemon.reload(&config(daemon.address, next.address, &[]).to_string());
    daemon.discovery = next;
    let mut client = daemon.client();
    let mut is_applied = || client.text_of(&rpc("GET", "/read", "id", "")) == "b2:";
    eventually(
        Duration::from_secs(5),
        "the list is not applied after one lost poll",
        &mut is_applied,
    );
}

#[test]
fn the_last_list_is_kept_during_an_outage_of_discovery() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut client = daemon.client();
    let mut send = |n: &str| client.text_of(&rpc("GET", "/read", n, ""));
    assert_eq!(send("up"), "b1:");
    daemon.discovery.respond_with(None);
    assert_eq!(send("down"), "b1:");
    daemon.discovery.respond_with(Some("{\"rev\": nonsense"));
    assert_eq!(send("garbage"), "b1:");
    let odd = [
        json!({"uid": "s-9", "state": "Dreaming"}),
        json!({"state": "Ready"}),
    ];
    daemon
        .discovery
        .publish(&[&odd[..], &[endpoint_entry("s-2", new, "Ready")]].concat());
    eventually(
        EVENT_TIMEOUT,
        "the list of the recovered service was never applied",
        || send("back") == "b2:",
    );
}

/// Prevents a busy loop.
#[test]
fn polls_of_a_service_that_responds_at_once_are_spaced() {
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

/// It does not prevent the start.
#[test]
fn a_malformed_cached_list_is_replaced_by_discovery() {
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
