//! RPCs whose clients disconnect while the proxy is stopped.
use crate::common::sockets::{
    Daemon, EVENT_TIMEOUT, Log, SlowAccept, echo, endpoint_entry, eventually, read_message, reply,
    rpc, without_health_checks,
};
use crate::harness::{
    Disconnect, LATE, PROGRAM, accepted_client, assert_serves, await_descriptors,
    disconnect_and_continue, proxy_before_a_slow_backend, send_from_new_clients,
};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::thread::{sleep, spawn};

/// The proxy is stopped while connections are established and the clients disconnect, in this order. It finds both at once,
/// longer after that than an attempt may begin.
fn while_the_proxy_is_stopped(message: impl Fn(usize) -> String, how: &Disconnect, clients: usize) {
    let log = Log::new(vec![]);
    let slow = SlowAccept::start();
    let daemon = proxy_before_a_slow_backend(&slow, |_| {});
    let gone = send_from_new_clients(&daemon, clients, |n| message(n).replace("3000", "60000"));
    eventually(EVENT_TIMEOUT, "not all asked for a connection", || {
        slow.pending_connects() == clients
    });
    daemon.signal("STOP");
    let peers = slow.accept(clients);
    let kept = disconnect_and_continue(&daemon, gone, how);
    let heard = |mut peer: &socket2::Socket| {
        peer.set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time-out");
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
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
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
    let slow = SlowAccept::start();
    let daemon = proxy_before_a_slow_backend(&slow, |_| {});
    let body: String = (0..25_000).map(|n| format!("{n:8}")).collect();
    let message = rpc("POST", "/book", "stays", &body).replacen("3000", "60000", 1);
    let (half, rest) = message.split_at(100_000);
    let mut client = daemon.client();
    client.send(half);
    eventually(EVENT_TIMEOUT, "no connection was asked for", || {
        slow.pending_connects() == 1
    });
    daemon.signal("STOP");
    let peer = slow.accept(1).pop().expect("a connection");
    let mut sender = client.stream();
    let rest = rest.to_owned();
    let sent = spawn(move || sender.write_all(rest.as_bytes()).is_ok());
    sleep(LATE);
    daemon.signal("CONT");
    peer.set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a time-out");
    let got = read_message(&mut BufReader::new(&peer)).expect("the RPC");
    assert!(got.text() == body && sent.join().expect("a sender"));
    (&peer)
        .write_all(&reply("200 OK", "done"))
        .expect("an answer");
    assert_eq!(client.response().expect("an answer").text(), "done");
}

/// What is there at once when the proxy goes on: the last piece of an RPC, and its client's end.
fn all_at_once(how: &Disconnect, clients: usize) {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    daemon.fill_retry_budget();
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
