//! RPCs that wait in the queue of their key.
use crate::common::sockets::{Log, rpc};
use crate::harness::{
    Disconnect, accepted_client, await_descriptors, behind_a_gate, disconnect,
    disconnect_and_continue, of_key, send_first_of_key, send_from_new_clients,
};

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
    assert_eq!(first.response().expect("an answer").status(), 200);
    assert_eq!(last.response().expect("an answer").status(), 200);
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
        .filter_map(|_| client.response())
        .filter(|answer| answer.status() == 200)
        .count();
    assert_eq!((answers, log.count(" /log ")), (101, 100));
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
    assert_eq!(first.response().expect("an answer").status(), 200);
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
