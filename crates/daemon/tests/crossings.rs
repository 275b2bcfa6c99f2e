//! Races of an attempt with a change of its backend, its connection, its client or its time limits.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Client, Daemon, EVENT_TIMEOUT, Log, Shared, SlowAccept, backend, echo,
    endpoint_entry, eventually, reply, rpc, without_health_checks,
};
use serde_json::Value;
use std::io::Read;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Connects do not time out within a test.
fn patient(config: &mut Value) {
    for method in config["settings"]["methods"]
        .as_array_mut()
        .expect("methods")
    {
        method["latency-target-ns"] = 60e9.into();
    }
    config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
    without_health_checks(config);
}

/// A backend that moves during a connect gets nothing at its old address: another may be there.
#[test]
fn a_backend_that_moves_during_a_connect_gets_nothing_at_its_old_address() {
    let log = Log::new(vec![]);
    let slow = SlowAccept::start();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", slow.at)], patient);
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "id", "").replace("3000", "60000"));
    eventually(EVENT_TIMEOUT, "no connect was begun", || {
        daemon.descriptors() >= before + 2
    });
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", echo("b2", &log), "Ready")]);
    assert_eq!(slow.count_senders(), 0, "sent to its old address");
    assert_eq!(client.response().expect("an answer").text(), "b2:");
}

/// A backend that resets an attempt that may have run, once the gate is open, and a deduplication window of 0.3 s.
fn cuts_behind_a_gate(log: &Log) -> (Daemon, SocketAddr, Shared<bool>) {
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", log, move |m| match m.header("request-id") {
        "id" => {
            open.wait(EVENT_TIMEOUT, |open| *open);
            BackendAction::RespondAndClose(vec![])
        }
        _ => BackendAction::Respond(reply("200 OK", "")),
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        patient(config);
        config["settings"]["methods"][2]["window-ns"] = 300e6.into();
    });
    daemon.fill_retry_budget();
    (daemon, at, gate)
}

/// Rule 2: repeats are dropped within a window only. The connect for a retry takes longer.
#[test]
fn a_retry_whose_connect_outlasts_the_deduplication_window_is_not_sent() {
    let log = Log::new(vec![]);
    let (daemon, at, gate) = cuts_behind_a_gate(&log);
    let slow = SlowAccept::start();
    let mut client = daemon.client();
    client.send(&rpc("POST", "/log", "id", "").replace("3000", "60000"));
    log.await_event("b1 got POST /log HTTP/1.1 id");
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", at, "Ready"),
        endpoint_entry("s-2", slow.at, "Ready"),
    ]);
    gate.change(|open| *open = true);
    sleep(Duration::from_millis(400)); // longer than the window
    assert_eq!(
        slow.count_senders(),
        0,
        "sent after the window in which repeats are dropped"
    );
    assert_eq!(client.response().expect("an answer").status(), 502);
}

/// The same where the process was stopped meanwhile, and the time of its decisions with it.
#[test]
fn a_stopped_process_extends_no_deduplication_window() {
    let log = Log::new(vec![]);
    let (daemon, at, gate) = cuts_behind_a_gate(&log);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/log", "id", "").replace("3000", "60000"));
    log.await_event("b1 got POST /log HTTP/1.1 id");
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", at, "Ready"),
        endpoint_entry("s-2", echo("b2", &log), "Ready"),
    ]);
    daemon.signal("STOP");
    sleep(Duration::from_millis(400)); // longer than the window
    gate.change(|open| *open = true);
    daemon.signal("CONT");
    assert_eq!(client.response().expect("an answer").status(), 502);
    assert_eq!(
        log.count("b2 got"),
        0,
        "sent after the window in which repeats are dropped"
    );
}

/// A pooled connection on which bytes have arrived by the time of its next use, seen at once with the RPC for it.
fn kept_until(more: &'static [u8]) {
    let log = Log::new(vec![]);
    let seen = log.clone();
    let at = backend("b1", &log, move |m| match m.header("request-id") {
        "first" => BackendAction::RespondLater {
            first: reply("200 OK", "first"),
            log: seen.clone(),
            event: "go on".into(),
            rest: more.to_vec(),
        },
        id => BackendAction::Respond(reply("200 OK", id)),
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let mut client = daemon.client();
    assert_eq!(client.text_of(&rpc("POST", "/book", "first", "")), "first");
    sleep(Duration::from_millis(50)); // longer than a connection is suspected after its last use
    daemon.signal("STOP");
    log.record("go on".into());
    log.await_event("b1 done with first");
    client.send(&rpc("POST", "/book", "second", ""));
    daemon.signal("CONT");
    let answer = client.response().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "second"));
    assert_eq!(log.count(" second"), 1);
}

#[test]
fn a_connection_that_closes_as_it_is_reused_is_not_used() {
    kept_until(b"");
}

#[test]
fn a_second_response_as_the_connection_is_reused_answers_no_rpc() {
    kept_until(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain");
}

#[test]
fn half_a_response_as_the_connection_is_reused_answers_no_rpc() {
    kept_until(b"HTTP/1.1 200");
}

/// A response and another end of its attempt, seen at once: one answer to the client, and nothing is sent twice.
fn an_answer_and(what: impl Fn(&Daemon, &mut Client), waits: &str, allowed: &[Option<u16>]) {
    let log = Log::new(vec![]);
    let seen = log.clone();
    let at = backend("b1", &log, move |m| match m.header("request-id") {
        "crossed" => {
            seen.wait(EVENT_TIMEOUT, |events| events.iter().any(|e| e == "go on"));
            BackendAction::RespondLater {
                first: reply("200 OK", "done"),
                log: Log::new(vec![]),
                event: "never".into(),
                rest: b"\r\n".to_vec(),
            }
        }
        _ => BackendAction::Respond(reply("200 OK", "")),
    });
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", at), ("s-2", echo("b2", &log))],
        without_health_checks,
    );
    daemon.fill_retry_budget();
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", at, "Ready")]);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "crossed", "").replace("3000", waits));
    log.await_event("b1 got POST /book HTTP/1.1 crossed");
    daemon.signal("STOP");
    log.record("go on".into());
    log.await_event("b1 done with crossed");
    what(&daemon, &mut client);
    daemon.signal("CONT");
    let status = client.response().map(|answer| answer.status());
    assert!(allowed.contains(&status), "{status:?}");
    let next = daemon
        .client()
        .call(&rpc("POST", "/book", "next", ""))
        .map(|answer| answer.status());
    assert!(matches!(next, Some(200 | 503)), "{next:?}");
    assert_eq!(log.count(" got POST /book HTTP/1.1 crossed"), 1);
    assert!(!daemon.logged().contains("panicked"), "{}", daemon.logged());
}

#[test]
fn a_response_that_crosses_with_a_drain_is_delivered_once() {
    let drain = |daemon: &Daemon, _: &mut Client| daemon.discovery.publish(&[]);
    an_answer_and(drain, "3000", &[Some(200)]);
}

#[test]
fn a_response_that_crosses_with_the_deadline_is_delivered_once() {
    let late = |_: &Daemon, _: &mut Client| sleep(Duration::from_millis(400));
    an_answer_and(late, "300", &[Some(200), Some(502)]);
}

#[test]
fn a_response_that_crosses_with_a_client_disconnect_is_delivered_once() {
    let leaves = |_: &Daemon, client: &mut Client| {
        client
            .stream()
            .shutdown(std::net::Shutdown::Write)
            .expect("half closed");
    };
    an_answer_and(leaves, "3000", &[Some(200), None]);
}

#[test]
fn a_response_that_crosses_with_sigterm_is_delivered_once() {
    let ends = |daemon: &Daemon, _: &mut Client| daemon.signal("TERM");
    an_answer_and(ends, "3000", &[Some(200)]);
}

/// A response that never ends is cut off, and does not look complete.
#[test]
fn a_response_without_end_is_cut_off() {
    let log = Log::new(vec![]);
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "x".repeat(1 << 20));
    let endless = move |_: &common::sockets::Message| {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        BackendAction::Respond((head + &chunk.repeat(48)).into_bytes())
    };
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", backend("b1", &log, endless))],
        without_health_checks,
    );
    let mut client = daemon.client();
    client.send(&rpc("GET", "/read", "id", ""));
    let mut all = Vec::new();
    client
        .stream()
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a time-out");
    let ended = client.stream().read_to_end(&mut all);
    assert!(
        ended.is_ok() && !all.ends_with(b"\r\n0\r\n\r\n"),
        "looks complete: {ended:?}"
    );
    assert!(
        ((16 << 20)..(33 << 20)).contains(&all.len()),
        "{} bytes",
        all.len()
    );
    assert!(daemon.memory() < 64 << 20);
}

/// Responses that stop at each stage: their RPCs are answered in time, and never as complete.
#[test]
fn incomplete_responses_fail_the_attempt_in_time() {
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
        BackendAction::RespondLater {
            first: parts[number].into(),
            log: Log::new(vec![]),
            event: "never".into(),
            rest: vec![],
        }
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let mut clients: Vec<_> = parts.iter().map(|_| daemon.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), "").replace("3000", "300"));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.response().map(|answer| answer.status()),
            Some(502),
            "{}",
            parts[n]
        );
    }
}
