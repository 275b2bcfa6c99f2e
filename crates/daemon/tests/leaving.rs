//! Clients that leave while their RPC waits: it is not sent on. Each kind of wait, and each way to leave.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Client, Daemon, HEALTH, Log, PATIENCE, Shared, Slow, backend, blind, echo, eventually, gated, line,
    reply, rpc,
};
use serde_json::Value;
use std::net::Shutdown;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// `book` keeps the order of a key.
fn in_order(config: &mut Value) {
    config["settings"]["methods"][1]["keep-order"] = true.into();
    config["settings"]["contract"]["key-quiet-ns"] = 1.into();
    blind(config);
}

/// An RPC of the one key that all of these tests use.
fn of_key(id: &str) -> String {
    rpc("POST", "/book", id, "").replace("Tenant", "Request-Info: entity=k:7\r\nTenant")
}

/// A backend of which the RPC named `first` waits for the gate, and a proxy that keeps order before it.
fn behind_a_gate(log: &Log) -> (Daemon, Shared<bool>) {
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", log, move |m| {
        if m.header("request-id") == "first" {
            open.wait(PATIENCE, |open| *open);
        }
        Act::Write(reply("200 OK", ""))
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], in_order);
    daemon.earn_credit(); // and shows that work is short: a line is no reason to turn what comes away
    (daemon, gate)
}

/// What stands behind the RPC, and how its client goes.
enum Leaves {
    Ends,
    HalfEnds,
    Resets,
}

/// In the line of a key: the RPC that would come next has gone by when its turn comes.
fn in_a_line(behind: &str, leaves: &Leaves, clients: usize) {
    let log = Log::new(vec![]);
    let (daemon, gate) = behind_a_gate(&log);
    let mut first = daemon.client();
    first.send(&of_key("first"));
    log.await_event("b1 got POST /book HTTP/1.1 first");
    let mut last = daemon.client();
    assert_eq!(last.call(HEALTH).unwrap().status(), 200);
    let before = daemon.descriptors();
    let gone: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    eventually(PATIENCE, "not all were accepted", || daemon.descriptors() == before + clients);
    // A stopped proxy finds the RPC, what stands behind it and its client's end all at once.
    daemon.signal("STOP");
    let mut kept = Vec::new();
    for (n, mut client) in gone.into_iter().enumerate() {
        client.send(&(of_key(&format!("gone{n}")) + behind));
        match leaves {
            Leaves::Ends => {}
            Leaves::HalfEnds => {
                client.stream().shutdown(Shutdown::Write).expect("half closed");
                kept.push(client);
            }
            Leaves::Resets => client.resets_when_dropped(),
        }
    }
    daemon.signal("CONT");
    eventually(PATIENCE, "clients that left are still held", || daemon.descriptors() <= before);
    last.send(&of_key("last"));
    gate.change(|open| *open = true);
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(last.answer().expect("an answer").status(), 200);
    assert_eq!(log.count(" gone"), 0, "sent on for a client that had left");
}

#[test]
fn one_that_ends_in_a_line_is_not_sent() {
    in_a_line("", &Leaves::Ends, 1);
}

/// One byte behind the RPC is enough to hide the end from who reads one message at a time.
#[test]
fn one_that_ends_behind_further_bytes_is_not_sent() {
    in_a_line("\r\n", &Leaves::Ends, 1);
}

#[test]
fn one_that_half_ends_behind_further_bytes_is_not_sent() {
    in_a_line("\r\n", &Leaves::HalfEnds, 1);
}

#[test]
fn one_that_resets_behind_further_bytes_is_not_sent() {
    in_a_line("\r\n", &Leaves::Resets, 1);
}

/// Nor is any of what it sent behind the first.
#[test]
fn one_that_sent_many_at_once_and_ends_is_not_sent() {
    let more: String = (0..20).map(|n| of_key(&format!("gone-more{n}"))).collect();
    in_a_line(&more, &Leaves::Ends, 1);
}

/// More than is read ahead.
#[test]
fn one_that_sent_much_at_once_and_ends_is_not_sent() {
    let more: String = (0..400).map(|n| of_key(&format!("gone-more{n}"))).collect();
    in_a_line(&more, &Leaves::Ends, 1);
}

#[test]
fn hundreds_that_leave_at_once_are_not_sent() {
    in_a_line("\r\n", &Leaves::Ends, 300);
}

/// What a client sends behind an RPC is served in turn, whole, if it stays.
#[test]
fn what_stands_behind_is_served_in_turn() {
    let log = Log::new(vec![]);
    let (daemon, gate) = behind_a_gate(&log);
    let mut client = daemon.client();
    let body = "x".repeat(500);
    let all: String =
        (0..100).map(|n| rpc("POST", "/log", &format!("n{n}"), &format!("{n}{body}"))).collect();
    client.send(&of_key("first"));
    log.await_event("b1 got POST /book HTTP/1.1 first");
    client.send(&all);
    gate.change(|open| *open = true);
    let answers = (0..101).filter_map(|_| client.answer()).filter(|answer| answer.status() == 200).count();
    assert_eq!((answers, log.count(" /log ")), (101, 100));
}

/// While its connection comes up, also where the settings allow no cancelling, and with a body that is still coming.
fn for_a_connection(more: impl Fn(&mut Value), message: &str) {
    let log = Log::new(vec![]);
    let slow = Slow::start();
    // The connection would be waited for longer than the test waits.
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", slow.at)], |config| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        blind(config);
        more(config);
    });
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&message.replace("3000", "60000"));
    eventually(PATIENCE, "no connection was asked for", || daemon.descriptors() >= before + 2);
    drop(client);
    eventually(PATIENCE, "the client, or what was to be sent for it, is still held", || {
        daemon.descriptors() <= before
    });
    daemon.list.tell_heard(&[line("s-1", slow.at, "Terminating"), line("s-2", echo("b2", &log), "Ready")]);
    assert_eq!(slow.heard_when_let_in(), 0, "sent on for a client that had left");
    assert_eq!(daemon.client().call(&rpc("POST", "/book", "next", "")).unwrap().status(), 200);
}

#[test]
fn one_that_leaves_while_a_connection_comes_up_is_not_sent() {
    for_a_connection(|_| {}, &rpc("POST", "/book", "gone", ""));
}

#[test]
fn one_that_may_not_be_cancelled_is_not_sent_either() {
    let fixed = |config: &mut Value| config["settings"]["ceilings"]["cancel"] = false.into();
    for_a_connection(fixed, &(rpc("POST", "/book", "gone", "") + "\r\n"));
}

#[test]
fn one_whose_long_body_waits_is_not_sent() {
    let body = "x".repeat(100_000);
    for_a_connection(
        |_| {},
        &rpc("POST", "/book", "gone", &body).replace("Length: 100000", "Length: 200000"),
    );
}

/// The same RPC again, while a pick of the first is still out: never two out, and none once it may have run.
#[test]
fn a_name_stays_open_until_its_picks_have_ended() {
    let log = Log::new(vec![]);
    let (at, gate) = gated("b1", &log, "");
    let fixed = |config: &mut Value| {
        config["settings"]["ceilings"]["cancel"] = false.into();
        blind(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], fixed);
    let mut other = daemon.client();
    assert_eq!(other.call(HEALTH).unwrap().status(), 200);
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "same", ""));
    log.await_event("b1 got POST /book HTTP/1.1 same");
    drop(client);
    eventually(PATIENCE, "the client is still held", || daemon.descriptors() <= before + 1);
    let again = |other: &mut Client| other.call(&rpc("POST", "/book", "same", "")).map(|a| a.status());
    assert_eq!(again(&mut other), Some(409));
    assert_eq!(log.count("same"), 1);
    gate.change(|open| *open = true);
    eventually(PATIENCE, "the name stays open", || again(&mut daemon.client()) == Some(200));
}
