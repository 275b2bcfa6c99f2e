//! Clients that disconnect while their RPC waits: it is not forwarded. Each kind of wait, each way to disconnect.
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
    daemon.earn_credit(); // and shows that work is short: a queue is no reason to reject what comes
    (daemon, gate)
}

/// How a client disconnects.
enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

/// All disconnect; those that can still read are given back.
fn disconnect(clients: Vec<Client>, how: &Disconnect) -> Vec<Client> {
    let mut kept = Vec::new();
    let mut ends = HashSet::new();
    for client in clients {
        let stream = client.stream();
        match how {
            // Whoever is started by another test may hold a copy of the socket for a moment: a close alone might be late.
            Disconnect::Close => stream.shutdown(Shutdown::Both).expect("ended"),
            Disconnect::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("half closed");
                kept.push(client);
            }
            Disconnect::Reset => {
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

/// Each of so many new clients sends its message.
fn send_from_new_clients(
    daemon: &Daemon,
    clients: usize,
    message: impl Fn(usize) -> String,
) -> Vec<Client> {
    let mut opened: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in opened.iter_mut().enumerate() {
        client.send(&message(n));
    }
    opened
}

/// A client whose connection is accepted, and with it all that were opened before.
fn accepted_client(daemon: &Daemon) -> Client {
    let mut client = daemon.client();
    assert_eq!(client.call(HEALTH).unwrap().status(), 200);
    client
}

/// The backend holds the first RPC of the key from now on.
fn send_first_of_key(daemon: &Daemon, log: &Log) -> Client {
    let mut first = daemon.client();
    first.send(&of_key("first"));
    log.await_event("b1 got POST /book HTTP/1.1 first");
    first
}

/// A proxy that waits for its connections for longer than the test does.
fn proxy_before_a_slow_backend(slow: &Slow, change: impl Fn(&mut Value)) -> Daemon {
    Daemon::start_with(PROGRAM, &[("s-1", slow.at)], |config| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        blind(config);
        change(config);
    })
}

/// The clients disconnect while the proxy is stopped, longer before it continues than an attempt may begin.
fn disconnect_and_continue(daemon: &Daemon, clients: Vec<Client>, how: &Disconnect) -> Vec<Client> {
    let kept = disconnect(clients, how);
    sleep(LATE);
    daemon.signal("CONT");
    kept
}

fn await_descriptors(daemon: &Daemon, most: usize, complaint: &str) {
    eventually(PATIENCE, complaint, || daemon.descriptors() <= most);
}

/// An RPC of a client that stays is answered with 200.
fn assert_serves(client: &mut Client) {
    let answer = client.call(&rpc("POST", "/book", "next", ""));
    assert_eq!(answer.unwrap().status(), 200);
}

/// In the queue of a key: the client of the RPC that would come next has disconnected by then.
fn in_the_key_queue(behind: &str, how: &Disconnect, clients: usize) {
    let log = Log::new(vec![]);
    let (daemon, gate) = behind_a_gate(&log);
    let mut first = send_first_of_key(&daemon, &log);
    let mut last = accepted_client(&daemon);
    let before = daemon.descriptors();
    let mut gone: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    drop(accepted_client(&daemon));
    // A stopped proxy finds the RPC, what stands behind it and its client's end all at once.
    daemon.signal("STOP");
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&(of_key(&format!("gone{n}")) + behind));
    }
    let _kept = disconnect(gone, how);
    daemon.signal("CONT");
    await_descriptors(&daemon, before, "clients that left are still held");
    last.send(&of_key("last"));
    gate.change(|open| *open = true);
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(last.answer().expect("an answer").status(), 200);
    assert_eq!(
        log.count(" gone"),
        0,
        "forwarded for a client that had left"
    );
}

#[test]
fn client_that_closes_in_the_key_queue_is_not_served() {
    in_the_key_queue("", &Disconnect::Close, 1);
}

/// One byte behind the RPC is enough to hide the end from who reads one message at a time.
#[test]
fn client_that_closes_behind_further_bytes_is_not_served() {
    in_the_key_queue("\r\n", &Disconnect::Close, 1);
}

#[test]
fn client_that_half_closes_behind_further_bytes_is_not_served() {
    in_the_key_queue("\r\n", &Disconnect::HalfClose, 1);
}

#[test]
fn client_that_resets_behind_further_bytes_is_not_served() {
    in_the_key_queue("\r\n", &Disconnect::Reset, 1);
}

/// Nor is any of what it sent behind the first.
#[test]
fn client_that_pipelines_rpcs_and_closes_is_not_served() {
    let more: String = (0..20).map(|n| of_key(&format!("gone-more{n}"))).collect();
    in_the_key_queue(&more, &Disconnect::Close, 1);
}

/// More than is read ahead.
#[test]
fn client_that_pipelines_more_than_is_read_ahead_and_closes_is_not_served() {
    let more: String = (0..400).map(|n| of_key(&format!("gone-more{n}"))).collect();
    in_the_key_queue(&more, &Disconnect::Close, 1);
}

#[test]
fn hundreds_of_clients_that_close_at_once_are_not_served() {
    in_the_key_queue("\r\n", &Disconnect::Close, 300);
}

/// What a client sends behind an RPC is served in turn, whole, if it stays.
#[test]
fn pipelined_rpcs_are_served_in_order() {
    let log = Log::new(vec![]);
    let (daemon, gate) = behind_a_gate(&log);
    let body = "x".repeat(500);
    let all: String = (0..100)
        .map(|n| rpc("POST", "/log", &format!("n{n}"), &format!("{n}{body}")))
        .collect();
    let mut client = send_first_of_key(&daemon, &log);
    client.send(&all);
    gate.change(|open| *open = true);
    let answers = (0..101)
        .filter_map(|_| client.answer())
        .filter(|answer| answer.status() == 200)
        .count();
    assert_eq!((answers, log.count(" /log ")), (101, 100));
}

/// While its connection comes up, also where the settings allow no cancelling, and with a body that is still coming.
fn while_connecting(change: impl Fn(&mut Value), message: &str) {
    let log = Log::new(vec![]);
    let slow = Slow::start();
    let daemon = proxy_before_a_slow_backend(&slow, change);
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&message.replace("3000", "60000"));
    eventually(PATIENCE, "no connection was asked for", || {
        slow.asked() == 1
    });
    drop(client);
    let complaint = "the client, or what was to be sent for it, is still held";
    await_descriptors(&daemon, before, complaint);
    daemon.list.tell_heard(&[
        line("s-1", slow.at, "Terminating"),
        line("s-2", echo("b2", &log), "Ready"),
    ]);
    assert_eq!(
        slow.heard_when_let_in(),
        0,
        "forwarded for a client that had left"
    );
    assert_serves(&mut daemon.client());
}

/// The proxy is stopped while connections are established and the clients disconnect, in this order. It finds both at once,
/// longer after that than an attempt may begin.
fn while_the_proxy_is_stopped(message: impl Fn(usize) -> String, how: &Disconnect, clients: usize) {
    let log = Log::new(vec![]);
    let slow = Slow::start();
    let daemon = proxy_before_a_slow_backend(&slow, |_| {});
    let gone = send_from_new_clients(&daemon, clients, |n| message(n).replace("3000", "60000"));
    eventually(PATIENCE, "not all asked for a connection", || {
        slow.asked() == clients
    });
    daemon.signal("STOP");
    let peers = slow.let_in(clients);
    let kept = disconnect_and_continue(&daemon, gone, how);
    let heard = |mut peer: &socket2::Socket| {
        peer.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        peer.read(&mut [0])
            .map_or_else(|e| e.kind() == ErrorKind::WouldBlock, |bytes| bytes > 0)
    };
    assert_eq!(
        peers.iter().filter(|peer| heard(peer)).count(),
        0,
        "forwarded for clients that had left"
    );
    drop(kept);
    daemon
        .list
        .tell_heard(&[line("s-2", echo("b2", &log), "Ready")]);
    assert_serves(&mut daemon.client());
}

fn gone(n: usize) -> String {
    rpc("POST", "/book", &format!("gone{n}"), "")
}

#[test]
fn client_that_closes_while_the_proxy_is_stopped_is_not_served() {
    while_the_proxy_is_stopped(gone, &Disconnect::Close, 1);
}

#[test]
fn client_that_half_closes_while_the_proxy_is_stopped_is_not_served() {
    while_the_proxy_is_stopped(gone, &Disconnect::HalfClose, 1);
}

#[test]
fn client_that_resets_while_the_proxy_is_stopped_is_not_served() {
    while_the_proxy_is_stopped(gone, &Disconnect::Reset, 1);
}

#[test]
fn hundreds_of_clients_that_close_while_the_proxy_is_stopped_are_not_served() {
    while_the_proxy_is_stopped(gone, &Disconnect::Close, 200);
}

#[test]
fn hundreds_of_clients_that_reset_while_the_proxy_is_stopped_are_not_served() {
    while_the_proxy_is_stopped(gone, &Disconnect::Reset, 200);
}

/// The end stands behind further RPCs, fewer and more than are read ahead.
#[test]
fn client_that_pipelines_and_closes_while_the_proxy_is_stopped_is_not_served() {
    for more in [1, 20, 400] {
        let all = |_: usize| (0..=more).map(gone).collect();
        while_the_proxy_is_stopped(all, &Disconnect::Close, 1);
    }
}

/// Its body is on its way.
#[test]
fn client_whose_body_is_cut_while_the_proxy_is_stopped_is_not_served() {
    let body = "x".repeat(100_000);
    let half =
        |_: usize| rpc("POST", "/book", "gone", &body).replace("Length: 100000", "Length: 200000");
    while_the_proxy_is_stopped(half, &Disconnect::Close, 1);
}

/// One that stays through all that is served, and what it sent meanwhile goes on whole and in order.
#[test]
fn client_that_stays_while_the_proxy_is_stopped_is_served() {
    let slow = Slow::start();
    let daemon = proxy_before_a_slow_backend(&slow, |_| {});
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

/// In the queue of a key, whose turn comes while the proxy is stopped, and then the clients disconnect.
fn as_its_turn_comes(how: &Disconnect, clients: usize) {
    let log = Log::new(vec![]);
    let (daemon, gate) = behind_a_gate(&log);
    let mut first = send_first_of_key(&daemon, &log);
    let gone = send_from_new_clients(&daemon, clients, |n| of_key(&format!("gone{n}")));
    let mut last = accepted_client(&daemon);
    daemon.signal("STOP");
    gate.change(|open| *open = true);
    log.await_event("b1 done with first");
    let kept = disconnect_and_continue(&daemon, gone, how);
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(last.call(&of_key("last")).expect("an answer").status(), 200);
    assert_eq!(log.count(" gone"), 0, "forwarded for clients that had left");
    drop(kept);
}

#[test]
fn client_that_closes_as_its_turn_comes_is_not_served() {
    as_its_turn_comes(&Disconnect::Close, 1);
}

#[test]
fn client_that_half_closes_as_its_turn_comes_is_not_served() {
    as_its_turn_comes(&Disconnect::HalfClose, 1);
}

#[test]
fn client_that_resets_as_its_turn_comes_is_not_served() {
    as_its_turn_comes(&Disconnect::Reset, 1);
}

#[test]
fn hundreds_of_clients_that_disconnect_as_their_turn_comes_are_not_served() {
    as_its_turn_comes(&Disconnect::Close, 300);
    as_its_turn_comes(&Disconnect::Reset, 300);
}

/// Between two attempts: the first is rejected while the proxy is stopped, and then the clients disconnect.
fn between_attempts(how: &Disconnect, clients: usize) {
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
    let kept = disconnect_and_continue(&daemon, gone, how);
    let next = daemon
        .client()
        .call(&rpc("POST", "/book", "next", ""))
        .map(|answer| answer.status());
    assert!(matches!(next, Some(200 | 503)), "{next:?}");
    assert_eq!(
        log.count(" gone"),
        2 * clients,
        "forwarded for clients that had left"
    ); // got, and done with
    drop(kept);
}

#[test]
fn client_that_disconnects_between_two_attempts_is_not_retried() {
    between_attempts(&Disconnect::Close, 1);
    between_attempts(&Disconnect::HalfClose, 1);
    between_attempts(&Disconnect::Reset, 1);
}

/// What is there at once when the proxy goes on: the last piece of an RPC, and its client's end.
fn all_at_once(how: &Disconnect, clients: usize) {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], blind);
    daemon.earn_credit();
    let mut last = accepted_client(&daemon);
    let before = daemon.descriptors();
    let message = |n| rpc("POST", "/book", &format!("gone{n}"), "a body");
    let all_but_the_end = |n| message(n)[..message(n).len() - 3].to_owned();
    let mut gone = send_from_new_clients(&daemon, clients, all_but_the_end);
    drop(accepted_client(&daemon));
    daemon.signal("STOP");
    for (n, client) in gone.iter_mut().enumerate() {
        client.send(&message(n)[message(n).len() - 3..]);
    }
    let kept = disconnect_and_continue(&daemon, gone, how);
    await_descriptors(&daemon, before, "clients that left are still held");
    assert_serves(&mut last);
    assert_eq!(log.count(" gone"), 0, "forwarded for clients that had left");
    drop(kept);
}

#[test]
fn client_whose_body_and_end_come_at_once_is_not_served() {
    all_at_once(&Disconnect::Close, 1);
    all_at_once(&Disconnect::HalfClose, 1);
    all_at_once(&Disconnect::Reset, 1);
}

#[test]
fn hundreds_of_clients_whose_bodies_and_ends_come_at_once_are_not_served() {
    all_at_once(&Disconnect::Close, 300);
    all_at_once(&Disconnect::Reset, 300);
}

#[test]
fn client_that_closes_while_a_connection_is_established_is_not_served() {
    while_connecting(|_| {}, &rpc("POST", "/book", "gone", ""));
}

#[test]
fn client_that_closes_is_not_served_where_cancelling_is_off() {
    let fixed = |config: &mut Value| config["settings"]["ceilings"]["cancel"] = false.into();
    while_connecting(fixed, &(rpc("POST", "/book", "gone", "") + "\r\n"));
}

#[test]
fn client_that_closes_with_a_long_body_under_way_is_not_served() {
    let body = "x".repeat(100_000);
    while_connecting(
        |_| {},
        &rpc("POST", "/book", "gone", &body).replace("Length: 100000", "Length: 200000"),
    );
}

/// The same RPC again, while a pick of the first is still out: never two out, and none once it may have run.
#[test]
fn request_id_stays_in_use_until_its_attempts_have_ended() {
    let log = Log::new(vec![]);
    let (at, gate) = gated("b1", &log, "");
    let fixed = |config: &mut Value| {
        config["settings"]["ceilings"]["cancel"] = false.into();
        blind(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], fixed);
    let mut other = accepted_client(&daemon);
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "same", "").replace("3000", "20000"));
    log.await_event("b1 got POST /book HTTP/1.1 same");
    drop(client);
    await_descriptors(&daemon, before + 1, "the client is still held");
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
