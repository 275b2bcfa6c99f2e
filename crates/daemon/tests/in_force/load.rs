//! Reloads under load.
use crate::common::sockets::{Client, EVENT_TIMEOUT, Log, Shared, echo, eventually, rpc};
use crate::proxy::{Proxy, method, methods};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Sets the flag when it is dropped, so that the client threads end even if an assertion fails.
pub(crate) struct SetOnDrop(pub Shared<bool>);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.change(|flag| *flag = true);
    }
}

/// Sends RPCs on one connection until the flag is set, and counts the responses.
fn send_rpcs(
    client_number: usize,
    address: SocketAddr,
    stop: &Shared<bool>,
    responses: &AtomicUsize,
) {
    let mut client = Client::open(address).expect("a connection");
    for n in 0.. {
        let (verb, name) = [("GET", "read"), ("POST", "book"), ("POST", "log")][n % 3];
        let message = rpc(
            verb,
            &format!("/{name}"),
            &format!("l{client_number}-{n}"),
            "",
        );
        let message = message.replace("Timeout-Ms: 3000", "Timeout-Ms: 15000");
        let status = client.call(&message).map(|response| response.status());
        assert_eq!(status, Some(200), "{name} {n} of client {client_number}");
        responses.fetch_add(1, Ordering::SeqCst);
        if stop.change(|stop| *stop) {
            return;
        }
    }
}

/// Changes the order of the methods, one method, the quotas and the maximum number of attempts.
fn change_settings(settings: &mut Value, n: usize) {
    let all = methods(settings);
    all.retain(|m| ["read", "book", "log"].contains(&m["name"].as_str().expect("a name")));
    all.rotate_left(n % 3);
    all.insert(n % 4, method(&format!("m{n}"), "non_idempotent"));
    settings["accounts"] =
        json!([{"name": "x", "quota-per-s": n}, {"name": "acme", "quota-per-s": 1e6 + n as f64}]);
    settings["ceilings"]["most-picks"] = (2 + n % 3).into();
}

/// Reloads changed settings, and waits for the next response, so that RPCs are in flight at each change.
fn reload_between_rpcs(proxy: &mut Proxy, n: usize, responses: &AtomicUsize) {
    change_settings(&mut proxy.config["settings"], n);
    let before = responses.load(Ordering::SeqCst);
    proxy.reload();
    eventually(EVENT_TIMEOUT, "no RPC completed", || {
        responses.load(Ordering::SeqCst) > before
    });
}

/// Waits until the log shows that the last change is active. Polling with RPCs would disturb the test: rejected RPCs would
/// exhaust the proxy's socket budget, and idle clients would be evicted.
fn await_last_change(proxy: &Proxy) {
    let digest = format!("digest {}", proxy.expected_digest());
    eventually(
        EVENT_TIMEOUT,
        "the last change did not become active",
        || {
            std::thread::sleep(Duration::from_millis(10));
            let logged = proxy.daemon.logged();
            let mut lines = logged.lines();
            lines.any(|line| line.contains("in force") && line.contains(&digest))
        },
    );
}

/// Each RPC gets a response on the one connection of its client.
#[test]
fn hundreds_of_reloads_lose_no_rpc() {
    let log = Log::new(vec![]);
    let backends = [
        ("s-1", echo("b1", &log)),
        ("s-2", echo("b2", &log)),
        ("s-3", echo("b3", &log)),
    ];
    // Latency targets long enough for a machine that stalls for some seconds.
    let mut proxy = Proxy::start(&backends, |config| {
        methods(&mut config["settings"])
            .iter_mut()
            .for_each(|m| m["latency-target-ns"] = 15e9.into());
    });
    let stop = Shared::new(false);
    let responses = AtomicUsize::new(0);
    let address = proxy.daemon.address;
    std::thread::scope(|threads| {
        let _guard = SetOnDrop(stop.clone());
        for number in 0..4 {
            let stop = &stop;
            let responses = &responses;
            threads.spawn(move || send_rpcs(number, address, stop, responses));
        }
        for n in 1..=300 {
            reload_between_rpcs(&mut proxy, n, &responses);
        }
        await_last_change(&proxy);
    });
    assert_eq!(proxy.call("POST", "m300", "last"), 200);
    assert_eq!(proxy.call("POST", "m299", "past"), 404);
    proxy.assert_not_panicked();
}
