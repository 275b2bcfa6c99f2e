//! The birchhubd process: failed starts, signals, and intervals in which it is stopped.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Daemon, DiscoveryService, EVENT_TIMEOUT, FailedStart, HEALTH, Log, Shared,
    TestFolder, backend, config, echo, endpoint_entry, eventually, gated_backend, reply, rpc,
    unused_address, without_health_checks,
};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::process::Command;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

#[test]
fn killed_proxy_restarts_at_its_address() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut client = daemon.client();
    assert_eq!(client.status_of(&rpc("GET", "/read", "first", "")), 200);
    daemon.restart(PROGRAM);
    assert!(client.is_closed());
    assert_eq!(
        daemon.client().status_of(&rpc("GET", "/read", "again", "")),
        200
    );
}

#[test]
fn graceful_shutdown_serves_rpcs_in_flight_and_new_ones() {
    let log = Log::new(vec![]);
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", &log, move |m| {
        if m.header("request-id") == "held" {
            open.wait(EVENT_TIMEOUT, |open| *open);
        }
        BackendAction::Respond(reply("200 OK", "done"))
    });
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let mut held = daemon.client();
    let mut half = daemon.client();
    let mut idle = daemon.client();
    held.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let message = rpc("POST", "/book", "half", "body");
    half.send(&message[..message.len() - 2]);
    // This response shows that the proxy has accepted the other connections and read the incomplete RPC.
    assert_eq!(daemon.client().status_of(HEALTH), 200);
    daemon.signal("TERM");
    daemon.await_ready(503); // on a new connection
    half.send(&message[message.len() - 2..]);
    let answer = half.response().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(idle.is_closed());
    gate.change(|open| *open = true);
    let answer = held.response().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
    assert!(daemon.await_exit().success());
}

/// After SIGHUP the proxy polls the new service from its first version on, and no RPC in flight is lost.
#[test]
fn sighup_switches_to_another_discovery_service() {
    let log = Log::new(vec![]);
    let (old, gate) = gated_backend("b1", &log, "old");
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut held = daemon.client();
    held.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let mut client = daemon.client();
    let mut ask = |n: &str| client.text_of(&rpc("GET", "/read", n, ""));
    // Each service starts with the version that its predecessor had: only a call for the full list is answered.
    let mut now = endpoint_entry("s-1", old, "Ready");
    for name in ["b2", "b3"] {
        let version = daemon
            .discovery
            .publish_and_wait(std::slice::from_ref(&now));
        let next = DiscoveryService::start();
        (1..version).for_each(|_| next.publish(&[]));
        now = endpoint_entry("s-2", echo(name, &log), "Ready");
        next.publish(std::slice::from_ref(&now));
        daemon.reload(&config(daemon.address, next.address, &[]).to_string());
        eventually(EVENT_TIMEOUT, "the new list was never applied", || {
            ask(name) == format!("{name}:")
        });
        daemon
            .discovery
            .publish(&[endpoint_entry("s-1", old, "Ready")]); // nobody listens there any more
        daemon.discovery = next;
    }
    for text in ["", "{\"listen\":", "{}"] {
        daemon.reload(text);
        assert_eq!(ask("kept"), "b3:");
    }
    gate.change(|open| *open = true);
    assert_eq!(held.response().expect("an answer").text(), "old");
    daemon.signal("TERM");
    daemon.await_ready(503);
    daemon.reload("{}");
    assert!(daemon.await_exit().success());
}

/// An interval in which the process was stopped does not count as response time of its backends.
#[test]
fn stop_of_the_process_does_not_count_against_backends() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |_| {
        std::thread::sleep(Duration::from_millis(30));
        BackendAction::Respond(reply("200 OK", "done"))
    });
    let tight = |config: &mut Value| {
        config["settings"]["methods"][0]["latency-target-ns"] = 200e6.into();
        without_health_checks(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], tight);
    let mut client = daemon.client();
    assert_eq!(client.status_of(&rpc("GET", "/read", "before", "")), 200);
    client.send(&rpc("GET", "/read", "stopped", ""));
    log.await_event("b1 got GET /read HTTP/1.1 stopped");
    daemon.signal("STOP");
    std::thread::sleep(Duration::from_millis(600));
    daemon.signal("CONT");
    client.response().expect("an answer, whatever it is");
    assert_eq!(client.status_of(&rpc("GET", "/read", "after", "")), 200);
}

/// A timer that expires while the process is stopped fires later: queued RPCs are answered before their deadline.
#[test]
fn timers_that_expire_while_the_process_is_stopped_fire_later() {
    let tight =
        |config: &mut Value| config["settings"]["methods"][0]["latency-target-ns"] = 200e6.into();
    let daemon = Daemon::start_with(PROGRAM, &[], tight);
    let mut client = daemon.client();
    for n in 0..5 {
        client.send(&rpc("GET", "/read", &format!("n{n}"), ""));
        std::thread::sleep(Duration::from_millis(5));
        daemon.signal("STOP");
        std::thread::sleep(Duration::from_millis(100));
        daemon.signal("CONT");
        assert_eq!(client.response().expect("an answer").status(), 503);
    }
}

/// Returns invalid variants of a valid configuration, and what the error must name.
fn bad_configurations(good: &Value) -> Vec<(Option<String>, &'static str)> {
    let without = |key: &str| {
        let mut file = good.clone();
        file.as_object_mut().expect("an object").remove(key);
        file.to_string()
    };
    let odd = |key: &str| {
        let mut file = good.clone();
        file[key] = "odd".into();
        file.to_string()
    };
    vec![
        (None, "LB_CONFIG is not set"),
        (Some(String::new()), "LB_CONFIG"),
        (Some(without("listen")), "LB_LISTEN"),
        (Some(odd("discovery")), "LB_DISCOVERY"),
        (Some(odd("seed")), "seed"),
        (Some(without("settings")), "settings"),
        (Some(odd("settings")), "settings"),
        (Some(odd("watch")), "watch"),
        (Some(good.to_string()), "LB_LISTEN cannot be bound"),
    ]
}

/// Returns configurations with invalid shadow settings, and what the error must name.
fn bad_shadow_settings(good: &Value) -> Vec<(Option<String>, &'static str)> {
    let watching = |change: fn(&mut Value)| {
        let mut file = good.clone();
        file["watch"] = file["settings"].clone();
        change(&mut file["watch"]);
        Some(file.to_string())
    };
    vec![
        (
            watching(|watch| watch["ceilings"]["probes"] = 1.into()),
            "watch.ceilings.probes",
        ),
        (
            watching(|watch| watch["report"]["fields"] = "depth".into()),
            "watch.report.fields",
        ),
        (
            watching(|watch| watch["extra"] = json!({"warm-keys": 3})),
            "watch.extra.warm-keys",
        ),
        (
            watching(|watch| watch["goal"] = json!({"nines-wanted": -2})),
            "watch.goal.nines-wanted",
        ),
        (
            watching(|watch| watch["methods"][1]["name"] = "sell".into()),
            "watch.methods",
        ),
        (
            watching(|watch| watch["failure-domains"] = json!(["b"])),
            "watch.failure-domains",
        ),
    ]
}

#[test]
fn startup_error_names_the_invalid_configuration_value() {
    let folder = TestFolder::new("bad");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let good = config(
        taken.local_addr().expect("an address"),
        unused_address(),
        &[],
    );
    for (file, named) in [bad_configurations(&good), bad_shadow_settings(&good)].concat() {
        let mut start = Command::new(PROGRAM);
        if let Some(text) = file {
            start.env("LB_CONFIG", folder.write_config(&text));
        }
        let end = FailedStart::of(&mut start);
        end.assert_one_line();
        assert!(end.error.contains(named), "{named}: {end:?}");
    }
}
