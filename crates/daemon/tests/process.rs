//! The process: its start, its signals, and times at which it is stopped.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Daemon, HEALTH, List, Log, PATIENCE, Shared, backend, blind, config, echo, eventually,
    free, gated, line, reply, rpc,
};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

#[test]
fn a_killed_proxy_starts_again_at_its_address() {
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
fn sigterm_serves_rpcs_in_flight_and_those_that_still_arrive() {
    let log = Log::new(vec![]);
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", &log, move |m| {
        if m.header("request-id") == "held" {
            open.wait(PATIENCE, |open| *open);
        }
        Act::Write(reply("200 OK", "done"))
    });
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let (mut held, mut half, mut idle) = (daemon.client(), daemon.client(), daemon.client());
    held.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let message = rpc("POST", "/book", "half", "body");
    half.send(&message[..message.len() - 2]);
    // A connection that is answered after the other two were opened: the half RPC is known by then.
    assert_eq!(daemon.client().status_of(HEALTH), 200);
    daemon.signal("TERM");
    daemon.await_ready(503); // on a new connection
    half.send(&message[message.len() - 2..]);
    let answer = half.answer().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(idle.is_closed());
    gate.change(|open| *open = true);
    let answer = held.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
    assert!(daemon.await_end().success());
}

/// SIGHUP: the proxy watches the other service from its first version on, and no RPC in flight is lost.
#[test]
fn sighup_switches_to_another_discovery_service() {
    let log = Log::new(vec![]);
    let (old, gate) = gated("b1", &log, "old");
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut held = daemon.client();
    held.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let mut client = daemon.client();
    let mut ask = |n: &str| client.text_of(&rpc("GET", "/read", n, ""));
    // Each service has the version that the one before had: only a call for the full list is answered.
    let mut now = line("s-1", old, "Ready");
    for name in ["b2", "b3"] {
        let version = daemon.list.tell_heard(std::slice::from_ref(&now));
        let next = List::start();
        (1..version).for_each(|_| next.tell(&[]));
        now = line("s-2", echo(name, &log), "Ready");
        next.tell(std::slice::from_ref(&now));
        daemon.reload(&config(daemon.at, next.at, &[]).to_string());
        eventually(PATIENCE, "the new list was never applied", || {
            ask(name) == format!("{name}:")
        });
        daemon.list.tell(&[line("s-1", old, "Ready")]); // nobody listens there any more
        daemon.list = next;
    }
    for text in ["", "{\"listen\":", "{}"] {
        daemon.reload(text);
        assert_eq!(ask("kept"), "b3:");
    }
    gate.change(|open| *open = true);
    assert_eq!(held.answer().expect("an answer").text(), "old");
    daemon.signal("TERM");
    daemon.await_ready(503);
    daemon.reload("{}");
    assert!(daemon.await_end().success());
}

/// Time for which the process was stopped does not count as response time of its backends.
#[test]
fn a_stopped_process_is_not_blamed_on_backends() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |_| {
        std::thread::sleep(Duration::from_millis(30));
        Act::Write(reply("200 OK", "done"))
    });
    let tight = |config: &mut Value| {
        config["settings"]["methods"][0]["latency-target-ns"] = 200e6.into();
        blind(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], tight);
    let mut client = daemon.client();
    assert_eq!(client.status_of(&rpc("GET", "/read", "before", "")), 200);
    client.send(&rpc("GET", "/read", "stopped", ""));
    log.await_event("b1 got GET /read HTTP/1.1 stopped");
    daemon.signal("STOP");
    std::thread::sleep(Duration::from_millis(600));
    daemon.signal("CONT");
    client.answer().expect("an answer, whatever it is");
    assert_eq!(client.status_of(&rpc("GET", "/read", "after", "")), 200);
}

/// A timer that falls due while the process is stopped still fires: queued RPCs are answered, not left until their
/// deadline.
#[test]
fn a_stopped_process_loses_no_timer() {
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
        assert_eq!(client.answer().expect("an answer").status(), 503);
    }
}

/// Bad configurations made of a good one, and what the message has to name.
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

/// Bad settings for the shadow in a good configuration, and what the message has to name.
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
fn a_start_with_a_bad_configuration_names_the_fault() {
    let folder = std::env::temp_dir().join(format!("birchhubd-bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = (taken.local_addr().expect("an address"), taken);
    let good = config(taken.0, free(), &[]);
    for (file, named) in [bad_configurations(&good), bad_shadow_settings(&good)].concat() {
        let path = folder.join("config.json");
        let mut start = Command::new(PROGRAM);
        if let Some(text) = file {
            std::fs::write(&path, text).expect("a file");
            start.env("LB_CONFIG", &path);
        }
        let end = start.stderr(Stdio::piped()).output().expect("birchhubd");
        let said = String::from_utf8_lossy(&end.stderr);
        assert!(
            end.status.code() == Some(2) && said.contains(named) && said.lines().count() == 1,
            "{named}: {said}"
        );
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
}
