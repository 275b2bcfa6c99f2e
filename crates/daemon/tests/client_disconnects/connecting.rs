//! Disconnects while an RPC waits for a connection to its backend.
use crate::common::sockets::{
    EVENT_TIMEOUT, Log, SlowAccept, echo, endpoint_entry, eventually, rpc,
};
use crate::harness::{assert_serves, await_descriptors, start_proxy_before_slow_backend};
use serde_json::Value;

/// Checks that an RPC is not forwarded whose client disconnects during the connect.
fn assert_not_forwarded_after_connect(change: impl Fn(&mut Value), message: &str) {
    let log = Log::new(vec![]);
    let slow = SlowAccept::start();
    let daemon = start_proxy_before_slow_backend(&slow, change);
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&message.replace("3000", "60000"));
    eventually(EVENT_TIMEOUT, "no connect was started", || {
        slow.pending_connects() == 1
    });
    drop(client);
    let complaint = "the connection of the client or of its attempt is still open";
    await_descriptors(&daemon, before, complaint);
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", slow.address, "Terminating"),
        endpoint_entry("s-2", echo("b2", &log), "Ready"),
    ]);
    assert_eq!(
        slow.count_senders(),
        0,
        "forwarded for a client that has disconnected"
    );
    assert_serves(&mut daemon.client());
}

#[test]
fn an_rpc_is_not_forwarded_after_a_disconnect_during_the_connect() {
    assert_not_forwarded_after_connect(|_| {}, &rpc("POST", "/book", "gone", ""));
}

#[test]
fn an_rpc_is_not_forwarded_after_a_disconnect_without_cancellation() {
    let without_cancellation =
        |config: &mut Value| config["settings"]["ceilings"]["cancel"] = false.into();
    assert_not_forwarded_after_connect(
        without_cancellation,
        &(rpc("POST", "/book", "gone", "") + "\r\n"),
    );
}

#[test]
fn an_rpc_is_not_forwarded_after_a_disconnect_within_a_long_body() {
    let body = "x".repeat(100_000);
    assert_not_forwarded_after_connect(
        |_| {},
        &rpc("POST", "/book", "gone", &body).replace("Length: 100000", "Length: 200000"),
    );
}
