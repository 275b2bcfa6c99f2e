//! Clients that leave while their RPC waits: it is not sent on. Each kind of wait, and each way to leave.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Client, Daemon, HEALTH, Log, PATIENCE, Shared, Slow, backend, blind, echo, eventually,
    gated, line, read_message, reply, rpc,
};
use serde_json::Value;
use std::collections::HashSet;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::thread::{sleep, spawn};
use std::time::Duration;

// After a client has gone: an attempt that begins more than 0.1 s after that breaks the rule.
const LATE: Duration = Duration::from_millis(150);
const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// `book` keeps the order of a key.
fn in_order(config: &mut Value) {
    config["settings"]["methods"][1]["keep-order"] = true.into();
    config["settings"]["contract"]["key-quiet-ns"] = 1.into();
    blind(config);
}

/// An RPC of the one key that all of these tests use.
fn of_key(id: &str) -> String {
    rpc("POST", "/book", id, "")
        .replace("Tenant", "Request-Info: entity=k:7\r\nTenant")
        .replace("3000", "20000")
}

/// A backend of which the RPC named `first` waits for the gate, and a proxy that keeps order before it.
fn behind_a_gate(log: &Log) -> (Daemon, Shared<bool>) {
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", log, move |m| match m.header("request-id") {
        "first" => {
            open.wait(PATIENCE, |open| *open);
            // Noted as done with once the answer is on its way, at once.
            Act::Late(
                reply("200 OK", ""),
                Log::new(vec![String::new()]),
                String::new(),
                b"\r\n".to_vec(),
            )
        }
        _ => Act::Write(reply("200 OK", "")),
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

/// All go like this; those that can still read are given back.
fn leave(clients: Vec<Client>, leaves: &Leaves) -> Vec<Client> {
    let mut kept = Vec::new();
    let mut ends = HashSet::new();
    for client in clients {
        let stream = client.stream();
        match leaves {
            // Whoever is started by another test may hold a copy of the socket for a moment: a close alone might be late.
            Leaves::Ends => stream.shutdown(Shutdown::Both).expect("ended"),
            Leaves::HalfEnds => {
                stream.shutdown(Shutdown::Write).expect("half closed");
                kept.push(client);
            }
            Leaves::Resets => {
                ends.insert((entry(stream.local_addr()), entry(stream.peer_addr())));
                client.resets_when_dropped();
            }
        }
    }
    while !ends.is_empty() && open_connections().any(|ends_of| ends.contains(&ends_of)) {
        sleep(Duration::from_millis(10));
    }
    kept
}

/// An address as the machine's list of connections has it.
fn entry(at: std::io::Result<SocketAddr>) -> String {
    match at.expect("an address") {
        SocketAddr::V4(at) => format!(
            "{:08X}:{:04X}",
            u32::from_ne_bytes(at.ip().octets()),
            at.port()
        ),
        SocketAddr::V6(at) => panic!("no such address: {at}"),
    }
}

/// Both ends of each open connection.
fn open_connections() -> impl Iterator<Item = (String, String)> {
    let all = std::fs::read_to_string("/proc/net/tcp").expect("connections");
    let open = |line: &str| {
        let mut words = line.split_whitespace().skip(1).map(str::to_owned);
        let (from, to) = (words.next()?, words.next()?);
        (words.next()? == "01").then_some((from, to))
    };
    all.lines().filter_map(open).collect::<Vec<_>>().into_iter()
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
    assert_eq!(daemon.client().call(HEALTH).unwrap().status(), 200); // accepted after those
    // A stopped proxy finds the RPC, what stands behind it and its client's end all at once.
    daemon.signal("STOP");
    let mut gone = gone;
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&(of_key(&format!("gone{n}")) + behind));
    }
    let _kept = leave(gone, leaves);
    daemon.signal("CONT");
    eventually(PATIENCE, "clients that left are still held", || {
        daemon.descriptors() <= before
    });
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
    let all: String = (0..100)
        .map(|n| rpc("POST", "/log", &format!("n{n}"), &format!("{n}{body}")))
        .collect();
    client.send(&of_key("first"));
    log.await_event("b1 got POST /book HTTP/1.1 first");
    client.send(&all);
    gate.change(|open| *open = true);
    let answers = (0..101)
        .filter_map(|_| client.answer())
        .filter(|answer| answer.status() == 200)
        .count();
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
    eventually(PATIENCE, "no connection was asked for", || {
        slow.asked() == 1
    });
    drop(client);
    eventually(
        PATIENCE,
        "the client, or what was to be sent for it, is still held",
        || daemon.descriptors() <= before,
    );
    daemon.list.tell_heard(&[
        line("s-1", slow.at, "Terminating"),
        line("s-2", echo("b2", &log), "Ready"),
    ]);
    assert_eq!(
        slow.heard_when_let_in(),
        0,
        "sent on for a client that had left"
    );
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "next", ""))
            .unwrap()
            .status(),
        200
    );
}

/// The proxy stands still while the connections come up and the clients go, in this order. It finds both at once,
/// longer after that than an attempt may begin.
fn while_it_stands_still(message: impl Fn(usize) -> String, leaves: &Leaves, clients: usize) {
    let log = Log::new(vec![]);
    let slow = Slow::start();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", slow.at)], |config| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        blind(config);
    });
    let mut gone: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&message(n).replace("3000", "60000"));
    }
    eventually(PATIENCE, "not all asked for a connection", || {
        slow.asked() == clients
    });
    daemon.signal("STOP");
    let peers = slow.let_in(clients);
    let kept = leave(gone, leaves);
    sleep(LATE);
    daemon.signal("CONT");
    let heard = |mut peer: &socket2::Socket| {
        peer.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        peer.read(&mut [0])
            .map_or_else(|e| e.kind() == ErrorKind::WouldBlock, |bytes| bytes > 0)
    };
    assert_eq!(
        peers.iter().filter(|peer| heard(peer)).count(),
        0,
        "sent on for clients that had left"
    );
    drop(kept);
    daemon
        .list
        .tell_heard(&[line("s-2", echo("b2", &log), "Ready")]);
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "next", ""))
            .unwrap()
            .status(),
        200
    );
}

fn gone(n: usize) -> String {
    rpc("POST", "/book", &format!("gone{n}"), "")
}

#[test]
fn one_that_ends_while_the_proxy_stands_still_is_not_sent() {
    while_it_stands_still(gone, &Leaves::Ends, 1);
}

#[test]
fn one_that_half_ends_while_the_proxy_stands_still_is_not_sent() {
    while_it_stands_still(gone, &Leaves::HalfEnds, 1);
}

#[test]
fn one_that_resets_while_the_proxy_stands_still_is_not_sent() {
    while_it_stands_still(gone, &Leaves::Resets, 1);
}

#[test]
fn hundreds_that_end_while_the_proxy_stands_still_are_not_sent() {
    while_it_stands_still(gone, &Leaves::Ends, 200);
}

#[test]
fn hundreds_that_reset_while_the_proxy_stands_still_are_not_sent() {
    while_it_stands_still(gone, &Leaves::Resets, 200);
}

/// The end stands behind further RPCs, fewer and more than are read ahead.
#[test]
fn one_that_ends_behind_more_while_the_proxy_stands_still_is_not_sent() {
    for more in [1, 20, 400] {
        let all = |_: usize| (0..=more).map(gone).collect();
        while_it_stands_still(all, &Leaves::Ends, 1);
    }
}

/// Its body is on its way.
#[test]
fn one_whose_long_body_is_cut_while_the_proxy_stands_still_is_not_sent() {
    let body = "x".repeat(100_000);
    let half =
        |_: usize| rpc("POST", "/book", "gone", &body).replace("Length: 100000", "Length: 200000");
    while_it_stands_still(half, &Leaves::Ends, 1);
}

/// One that stays through all that is served, and what it sent meanwhile goes on whole and in order.
#[test]
fn one_that_stays_while_the_proxy_stands_still_is_served() {
    let slow = Slow::start();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", slow.at)], |config| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        blind(config);
    });
    let body: String = (0..25_000).map(|n| format!("{n:8}")).collect();
    let message = rpc("POST", "/book", "stays", &body).replacen("3000", "60000", 1);
    let (half, rest) = message.split_at(100_000);
    let mut client = daemon.client();
    client.send(half);
    eventually(PATIENCE, "no connection was asked for", || {
        slow.asked() == 1
    });
    daemon.signal("STOP");
    let peer = slow.let_in(1).pop().expect("a connection");
    let mut sender = client.stream();
    let rest = rest.to_owned();
    let sent = spawn(move || sender.write_all(rest.as_bytes()).is_ok());
    sleep(LATE);
    daemon.signal("CONT");
    peer.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let got = read_message(&mut BufReader::new(&peer)).expect("the RPC");
    assert!(got.text() == body && sent.join().expect("a sender"));
    (&peer)
        .write_all(&reply("200 OK", "done"))
        .expect("an answer");
    assert_eq!(client.answer().expect("an answer").text(), "done");
}

/// In the line of a key, whose turn comes while the proxy stands still, and then the clients go.
fn whose_turn_comes(leaves: &Leaves, clients: usize) {
    let log = Log::new(vec![]);
    let (daemon, gate) = behind_a_gate(&log);
    let mut first = daemon.client();
    first.send(&of_key("first"));
    log.await_event("b1 got POST /book HTTP/1.1 first");
    let mut gone: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&of_key(&format!("gone{n}")));
    }
    let mut last = daemon.client();
    assert_eq!(last.call(HEALTH).unwrap().status(), 200); // accepted after those
    daemon.signal("STOP");
    gate.change(|open| *open = true);
    log.await_event("b1 done with first");
    let kept = leave(gone, leaves);
    sleep(LATE);
    daemon.signal("CONT");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(last.call(&of_key("last")).expect("an answer").status(), 200);
    assert_eq!(log.count(" gone"), 0, "sent on for clients that had left");
    drop(kept);
}

#[test]
fn one_that_ends_as_its_turn_comes_is_not_sent() {
    whose_turn_comes(&Leaves::Ends, 1);
}

#[test]
fn one_that_half_ends_as_its_turn_comes_is_not_sent() {
    whose_turn_comes(&Leaves::HalfEnds, 1);
}

#[test]
fn one_that_resets_as_its_turn_comes_is_not_sent() {
    whose_turn_comes(&Leaves::Resets, 1);
}

#[test]
fn hundreds_that_leave_as_their_turn_comes_are_not_sent() {
    whose_turn_comes(&Leaves::Ends, 300);
    whose_turn_comes(&Leaves::Resets, 300);
}

/// Between two picks: the first is turned away while the proxy stands still, and then the clients go.
fn between_picks(leaves: &Leaves, clients: usize) {
    let log = Log::new(vec![]);
    let (gate, seen) = (Shared::new(false), log.clone());
    let open = gate.clone();
    let at = backend("b1", &log, move |m| {
        if !m.header("request-id").starts_with("gone") {
            return Act::Write(reply("200 OK", ""));
        }
        open.wait(PATIENCE, |open| *open);
        Act::Late(
            reply("503 Busy\r\nNot-Started: 1", ""),
            seen.clone(),
            "".into(),
            b"\r\n".to_vec(),
        )
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at), ("s-2", echo("b2", &log))], blind);
    daemon.earn_credit();
    daemon.list.tell_heard(&[line("s-1", at, "Ready")]);
    let mut gone: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("gone{n}"), ""));
        log.await_event(&format!("b1 got POST /book HTTP/1.1 gone{n}"));
    }
    daemon.list.tell_heard(&[
        line("s-1", at, "Ready"),
        line("s-2", echo("b2", &log), "Ready"),
    ]);
    daemon.signal("STOP");
    gate.change(|open| *open = true);
    (0..clients).for_each(|n| log.await_event(&format!("b1 done with gone{n}")));
    let kept = leave(gone, leaves);
    sleep(LATE);
    daemon.signal("CONT");
    let next = daemon
        .client()
        .call(&rpc("POST", "/book", "next", ""))
        .map(|answer| answer.status());
    assert!(matches!(next, Some(200 | 503)), "{next:?}");
    assert_eq!(
        log.count(" gone"),
        2 * clients,
        "sent on for clients that had left"
    ); // got, and done with
    drop(kept);
}

#[test]
fn one_that_leaves_between_two_picks_is_not_sent_again() {
    between_picks(&Leaves::Ends, 1);
    between_picks(&Leaves::HalfEnds, 1);
    between_picks(&Leaves::Resets, 1);
}

/// What is there at once when the proxy goes on: the last piece of an RPC, and its client's end.
fn all_at_once(leaves: &Leaves, clients: usize) {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], blind);
    daemon.earn_credit();
    let mut last = daemon.client();
    assert_eq!(last.call(HEALTH).unwrap().status(), 200);
    let before = daemon.descriptors();
    let mut gone: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    let message = |n| rpc("POST", "/book", &format!("gone{n}"), "a body");
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&message(n)[..message(n).len() - 3]);
    }
    assert_eq!(daemon.client().call(HEALTH).unwrap().status(), 200); // accepted after those
    daemon.signal("STOP");
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&message(n)[message(n).len() - 3..]);
    }
    let kept = leave(gone, leaves);
    sleep(LATE);
    daemon.signal("CONT");
    eventually(PATIENCE, "clients that left are still held", || {
        daemon.descriptors() <= before
    });
    assert_eq!(
        last.call(&rpc("POST", "/book", "next", ""))
            .unwrap()
            .status(),
        200
    );
    assert_eq!(log.count(" gone"), 0, "sent on for clients that had left");
    drop(kept);
}

#[test]
fn one_whose_body_and_end_come_at_once_is_not_sent() {
    all_at_once(&Leaves::Ends, 1);
    all_at_once(&Leaves::HalfEnds, 1);
    all_at_once(&Leaves::Resets, 1);
}

#[test]
fn hundreds_whose_bodies_and_ends_come_at_once_are_not_sent() {
    all_at_once(&Leaves::Ends, 300);
    all_at_once(&Leaves::Resets, 300);
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
    client.send(&rpc("POST", "/book", "same", "").replace("3000", "20000"));
    log.await_event("b1 got POST /book HTTP/1.1 same");
    drop(client);
    eventually(PATIENCE, "the client is still held", || {
        daemon.descriptors() <= before + 1
    });
    let again = |other: &mut Client| {
        other
            .call(&rpc("POST", "/book", "same", ""))
            .map(|a| a.status())
    };
    assert_eq!(again(&mut other), Some(409));
    assert_eq!(log.count("same"), 1);
    gate.change(|open| *open = true);
    eventually(PATIENCE, "the name stays open", || {
        again(&mut daemon.client()) == Some(200)
    });
}
