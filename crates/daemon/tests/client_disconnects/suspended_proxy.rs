//! Disconnects while the proxy is suspended.
use crate::common::sockets::{
    Daemon, EVENT_TIMEOUT, Log, SlowAccept, echo, endpoint_entry, eventually, read_message, reply,
    rpc, without_health_checks,
};
use crate::harness::{
    Disconnect, PAUSE_AFTER_DISCONNECT, PROGRAM, accepted_client, assert_serves, await_descriptors,
    disconnect_and_resume, send_from_new_clients, start_proxy_before_slow_backend,
};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::thread::{sleep, spawn};

/// Checks that RPCs are not forwarded whose connects complete, and whose clients disconnect, while the proxy is suspended.
/// It resumes later than an attempt may start for them.
fn assert_not_forwarded_after_suspension(
    message: impl Fn(usize) -> String,
    how: &Disconnect,
    clients: usize,
) {
    let log = Log::new(vec![]);
    let slow = SlowAccept::start();
    let daemon = start_proxy_before_slow_backend(&slow, |_| {});
    let gone = send_from_new_clients(&daemon, clients, |n| message(n).replace("3000", "60000"));
    eventually(EVENT_TIMEOUT, "not all connects were started", || {
        slow.pending_connects() == clients
    });
    daemon.signal("STOP");
    let peers = slow.accept(clients);
    let readable = disconnect_and_resume(&daemon, gone, how);
    let heard = |mut peer: &socket2::Socket| {
        peer.set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a timeout");
        peer.read(&mut [0])
            .map_or_else(|e| e.kind() == ErrorKind::WouldBlock, |bytes| bytes > 0)
    };
    assert_eq!(
        peers.iter().filter(|peer| heard(peer)).count(),
        0,
        "forwarded for clients that have disconnected"
    );
    drop(readable);
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
    assert_serves(&mut daemon.client());
}

fn gone(n: usize) -> String {
    rpc("POST", "/book", &format!("gone{n}"), "")
}

#[test]
fn an_rpc_is_not_forwarded_after_a_close_during_a_suspension() {
    assert_not_forwarded_after_suspension(gone, &Disconnect::Close, 1);
}

#[test]
fn an_rpc_is_not_forwarded_after_a_half_close_during_a_suspension() {
    assert_not_forwarded_after_suspension(gone, &Disconnect::HalfClose, 1);
}

#[test]
fn an_rpc_is_not_forwarded_after_a_reset_during_a_suspension() {
    assert_not_forwarded_after_suspension(gone, &Disconnect::Reset, 1);
}

#[test]
fn rpcs_of_hundreds_of_clients_are_not_forwarded_after_a_close_during_a_suspension() {
    assert_not_forwarded_after_suspension(gone, &Disconnect::Close, 200);
}

#[test]
fn rpcs_of_hundreds_of_clients_are_not_forwarded_after_a_reset_during_a_suspension() {
    assert_not_forwarded_after_suspension(gone, &Disconnect::Reset, 200);
}

/// The pipelined RPCs before the close are fewer and more than fit into the read-ahead buffer.
#[test]
fn pipelined_rpcs_are_not_forwarded_after_a_close_during_a_suspension() {
    for more in [1, 20, 400] {
        let all = |_: usize| (0..=more).map(gone).collect();
        assert_not_forwarded_after_suspension(all, &Disconnect::Close, 1);
    }
}

#[test]
fn an_rpc_with_a_truncated_body_is_not_forwarded_after_a_suspension() {
    let body = "x".repeat(100_000);
    let half =
        |_: usize| rpc("POST", "/book", "gone", &body).replace("Length: 100000", "Length: 200000");
    assert_not_forwarded_after_suspension(half, &Disconnect::Close, 1);
}

/// The body that it sent meanwhile is forwarded completely and in order.
#[test]
fn an_rpc_of_a_connected_client_is_forwarded_after_a_suspension() {
    let slow = SlowAccept::start();
    let daemon = start_proxy_before_slow_backend(&slow, |_| {});
    let body: String = (0..25_000).map(|n| format!("{n:8}")).collect();
    let message = rpc("POST", "/book", "stays", &body).replacen("3000", "60000", 1);
    let (half, rest) = message.split_at(100_000);
    let mut client = daemon.client();
    client.send(half);
    eventually(EVENT_TIMEOUT, "no connect was started", || {
        slow.pending_connects() == 1
    });
    daemon.signal("STOP");
    let peer = slow.accept(1).pop().expect("a connection");
    let mut sender = client.stream();
    let rest = rest.to_owned();
    let sent = spawn(move || sender.write_all(rest.as_bytes()).is_ok());
    sleep(PAUSE_AFTER_DISCONNECT);
    daemon.signal("CONT");
    peer.set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let got = read_message(&mut BufReader::new(&peer)).expect("the RPC");
    assert!(got.text() == body && sent.join().expect("a sender"));
    (&peer)
        .write_all(&reply("200 OK", "done"))
        .expect("an answer");
    assert_eq!(client.response().expect("an answer").text(), "done");
}

/// Checks that RPCs are not forwarded whose last bytes and whose client's disconnect are received together.
fn assert_not_forwarded_with_disconnect(how: &Disconnect, clients: usize) {
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
    let readable = disconnect_and_resume(&daemon, gone, how);
    await_descriptors(
        &daemon,
        before,
        "connections of disconnected clients are still open",
    );
    assert_serves(&mut last);
    assert_eq!(
        log.count(" gone"),
        0,
        "forwarded for clients that have disconnected"
    );
    drop(readable);
}

#[test]
fn an_rpc_that_is_received_with_its_disconnect_is_not_forwarded() {
    assert_not_forwarded_with_disconnect(&Disconnect::Close, 1);
    assert_not_forwarded_with_disconnect(&Disconnect::HalfClose, 1);
    assert_not_forwarded_with_disconnect(&Disconnect::Reset, 1);
}

#[test]
fn rpcs_of_hundreds_of_clients_that_are_received_with_their_disconnects_are_not_forwarded() {
    assert_not_forwarded_with_disconnect(&Disconnect::Close, 300);
    assert_not_forwarded_with_disconnect(&Disconnect::Reset, 300);
}
