//! RPCs that wait for a connection to their backend.
use crate::common::sockets::{
    EVENT_TIMEOUT, Log, SlowAccept, echo, endpoint_entry, eventually, rpc,
};
use crate::harness::{assert_serves, await_descriptors, proxy_before_a_slow_backend};
use serde_json::Value;

/// While its connection comes up, also where the settings allow no cancelling, and with a body that is still coming.
fn while_connecting(change: impl Fn(&mut Value), message: &str) {
    let log = Log::new(vec![]);
    let slow = SlowAccept::start();
    let daemon = proxy_before_a_slow_backend(&slow, change);
    let before = daemon.descriptors();
    let mut client = daemon.client();
    client.send(&message.replace("3000", "60000"));
    eventually(EVENT_TIMEOUT, "no connection was asked for", || {
        slow.pending_connects() == 1
    });
    drop(client);
    let complaint = "the client, or what was to be sent for it, is still held";
    await_descriptors(&daemon, before, complaint);
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", slow.at, "Terminating"),
        endpoint_entry("s-2", echo("b2", &log), "Ready"),
    ]);
    assert_eq!(
        slow.count_senders(),
        0,
        "forwarded for a client that had left"
    );
    assert_serves(&mut daemon.client());
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
