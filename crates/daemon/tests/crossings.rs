//! Picks that cross with what happens to their backend, their connection and the time that their rules give them.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Daemon, Log, PATIENCE, Shared, Slow, backend, blind, echo, eventually, line, reply, rpc,
};
use serde_json::Value;
use std::io::Read;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Connections are waited for longer than a test waits.
fn patient(config: &mut Value) {
    for method in config["settings"]["methods"].as_array_mut().expect("methods") {
        method["latency-target-ns"] = 60e9.into();
    }
    config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
    blind(config);
}

/// A backend that moves while a connection to it comes up gets nothing where it was: another may live there.
#[test]
fn a_backend_that_moves_while_a_connection_comes_up_is_followed() {
    let log = Log::new(vec![]);
    let slow = Slow::start();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", slow.at)], patient);
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "id", "").replace("3000", "60000"));
    eventually(PATIENCE, "no connection was asked for", || daemon.descriptors() >= before + 2);
    daemon.list.tell_heard(&[line("s-1", echo("b2", &log), "Ready")]);
    assert_eq!(slow.heard_when_let_in(), 0, "sent to where it was");
    assert_eq!(client.answer().expect("an answer").text(), "b2:");
}

/// A backend that cuts off what may have run, once the gate is open, and a proxy whose repeats are dropped for 0.3 s.
fn cuts_behind_a_gate(log: &Log) -> (Daemon, SocketAddr, Shared<bool>) {
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", log, move |m| match m.header("request-id") {
        "id" => {
            open.wait(PATIENCE, |open| *open);
            Act::Cut(vec![])
        }
        _ => Act::Write(reply("200 OK", "")),
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        patient(config);
        config["settings"]["methods"][2]["window-ns"] = 300e6.into();
    });
    daemon.earn_credit();
    (daemon, at, gate)
}

/// Rule 2: repeats are dropped for a while only. The connection for one comes up after that.
#[test]
fn a_repeat_whose_connection_comes_up_too_late_is_not_sent() {
    let log = Log::new(vec![]);
    let (daemon, at, gate) = cuts_behind_a_gate(&log);
    let slow = Slow::start();
    let mut client = daemon.client();
    client.send(&rpc("POST", "/log", "id", "").replace("3000", "60000"));
    log.await_event("b1 got POST /log HTTP/1.1 id");
    daemon.list.tell_heard(&[line("s-1", at, "Ready"), line("s-2", slow.at, "Ready")]);
    gate.change(|open| *open = true);
    sleep(Duration::from_millis(400)); // longer than repeats are dropped
    assert_eq!(slow.heard_when_let_in(), 0, "sent when its repeats are dropped no more");
    assert_eq!(client.answer().expect("an answer").status(), 502);
}

/// The same where this process stood still meanwhile, and its module's time with it.
#[test]
fn a_stop_of_the_proxy_lengthens_no_window() {
    let log = Log::new(vec![]);
    let (daemon, at, gate) = cuts_behind_a_gate(&log);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/log", "id", "").replace("3000", "60000"));
    log.await_event("b1 got POST /log HTTP/1.1 id");
    daemon.list.tell_heard(&[line("s-1", at, "Ready"), line("s-2", echo("b2", &log), "Ready")]);
    daemon.signal("STOP");
    sleep(Duration::from_millis(400)); // longer than repeats are dropped
    gate.change(|open| *open = true);
    daemon.signal("CONT");
    assert_eq!(client.answer().expect("an answer").status(), 502);
    assert_eq!(log.count("b2 got"), 0, "sent when its repeats are dropped no more");
}

/// An answer that never ends is cut off, and nobody takes it for whole.
#[test]
fn an_answer_without_end_is_cut_off() {
    let log = Log::new(vec![]);
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "x".repeat(1 << 20));
    let endless = move |_: &common::sockets::Message| {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        Act::Write((head + &chunk.repeat(48)).into_bytes())
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", backend("b1", &log, endless))], blind);
    let mut client = daemon.client();
    client.send(&rpc("GET", "/read", "id", ""));
    let mut all = Vec::new();
    client.stream().set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let ended = client.stream().read_to_end(&mut all);
    assert!(ended.is_ok() && !all.ends_with(b"\r\n0\r\n\r\n"), "taken for whole: {ended:?}");
    assert!(((16 << 20)..(33 << 20)).contains(&all.len()), "{} bytes", all.len());
    assert!(daemon.memory() < 64 << 20);
}

/// Answers that come to no end below that, at each stage: answered in time, and never as whole.
#[test]
fn answers_that_stop_half_way_are_no_answers() {
    let log = Log::new(vec![]);
    let parts = [
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
    ];
    let at = backend("b1", &log, move |m| {
        let number: usize = m.header("request-id")[1..].parse().expect("a number");
        Act::Late(parts[number].into(), Log::new(vec![]), "never".into(), vec![])
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], blind);
    let mut clients: Vec<_> = parts.iter().map(|_| daemon.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), "").replace("3000", "300"));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(502), "{}", parts[n]);
    }
}
