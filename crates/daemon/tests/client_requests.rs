//! Requests that are malformed, incomplete or too large, and clients that exceed the socket budget.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Client, Daemon, EVENT_TIMEOUT, Log, echo, eventually, gated_backend, rpc, without_health_checks,
};
use serde_json::Value;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Returns requests with a malformed or unknown head, and the status of the response.
fn malformed_heads() -> Vec<(String, u16)> {
    let good = rpc("GET", "/read", "id", "");
    let keyed = rpc("POST", "/log", "id", "");
    vec![
        (good.replace("Request-Id: id\r\n", ""), 400),
        (good.replace("Request-Id: id", "Request-Id: "), 400),
        (good.replace("Request-Id: id", "Request-Id: a b"), 400),
        (
            good.replace("Request-Id: id", "Request-Id: id\r\nRequest-Id: id2"),
            400,
        ),
        (good.replace("Request-Timeout-Ms: 3000\r\n", ""), 400),
        (good.replace("3000", "soon"), 400),
        (good.replace("3000", "-1"), 400),
        (good.replace("3000", "+5"), 400),
        (keyed.replace("Idempotency-Key: k1\r\n", ""), 400),
        (good.replace("GET", "POST"), 400),
        (keyed.replace("POST", "GET"), 400),
        (rpc("GET", "/read", "id", "body"), 400),
        (good.replace("/read", "/nothing"), 404),
        (good.replace("/read", "/"), 404),
        (good.replace("acme", &"x".repeat((64 << 10) + 1)), 431),
    ]
}

/// Returns requests whose body has malformed framing, and the status of the response.
fn malformed_framing() -> Vec<(String, u16)> {
    let good = rpc("GET", "/read", "id", "");
    let book = rpc("POST", "/book", "id", "half");
    let framed = |by: &str| book.replace("Content-Length: 4", by);
    vec![
        (framed("Content-Length: 60000000"), 413),
        (
            good.replace("Content-Length: 0", "Content-Length: many"),
            400,
        ),
        (framed("Content-Length: -4"), 400),
        (framed("Content-Length: 4\r\nContent-Length: 5"), 400),
        (framed("Transfer-Encoding: gzip"), 400),
        // Request smuggling, with the two headers in either order.
        (
            framed("Content-Length: 4\r\nTransfer-Encoding: chunked"),
            400,
        ),
        (
            framed("Transfer-Encoding: chunked\r\nContent-Length: 4"),
            400,
        ),
        (framed("Content-Length: 4\r\ncontent-length: 4"), 400),
        (
            framed("Transfer-Encoding: chunked\r\ntransfer-encoding: chunked"),
            400,
        ),
        (framed("Transfer-Encoding: gzip, chunked"), 400),
        // "half" is not a chunk size.
        (framed("Transfer-Encoding: chunked"), 400),
        ("what?\r\n\r\n".to_owned(), 400),
    ]
}

#[test]
fn malformed_requests_are_rejected_and_not_forwarded() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let good = rpc("GET", "/read", "id", "");
    for (message, status) in [malformed_heads(), malformed_framing()].concat() {
        let mut client = daemon.client();
        let answer = client.call(&message).map(|answer| answer.status());
        assert_eq!(
            answer,
            Some(status),
            "{}",
            &message[..message.len().min(200)]
        );
        assert!(client.is_closed(), "{}", &message[..message.len().min(200)]);
    }
    assert_eq!(log.all(), Vec::<String>::new());
    let odd = good
        .replace("acme", "nobody")
        .replace("Tenant", "Further: 1\r\nTenant");
    let answer = daemon.client().call(&odd).expect("an answer");
    assert_eq!(
        answer.status(),
        200,
        "unknown tenants and headers are allowed"
    );
}

/// Prevents request smuggling behind another request.
#[test]
fn malformed_framing_of_a_pipelined_request_is_rejected_and_not_forwarded() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    for (number, (message, status)) in malformed_framing().into_iter().enumerate() {
        let id = format!("ahead{number}");
        let mut client = daemon.client();
        let first = client.call(&(rpc("GET", "/read", &id, "") + &message));
        assert_eq!(first.expect("an answer").status(), 200);
        let second = client.response().map(|answer| answer.status());
        assert_eq!(second, Some(status), "{message}");
        assert!(client.is_closed(), "{message}");
    }
    assert_eq!(log.count("POST"), 0, "{:?}", log.all());
}

#[test]
fn incomplete_requests_time_out() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let begun = Instant::now();
    let half = rpc("POST", "/book", "id", "half").replace("Length: 4", "Length: 9");
    let starts = ["", "GET /read HTTP/1.1\r\nRequest-", &half];
    let mut clients = starts.map(|start| {
        let mut client = daemon.client();
        client.send(start);
        client
    });
    // Further bytes do not extend the timeout.
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        clients[1].send("x");
    }
    assert_eq!(
        clients[2].response().map(|answer| answer.status()),
        Some(408)
    );
    assert!(clients.iter_mut().all(Client::is_closed));
    assert!(
        begun.elapsed() < Duration::from_secs(7),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(log.all(), Vec::<String>::new());
}

/// Prevents that a reset discards the response.
#[test]
fn a_rejection_can_be_read_by_a_client_that_is_still_sending() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut client = daemon.client();
    let large = rpc("POST", "/book", "id", &"x".repeat(3 << 20))
        .replace("Length: 3145728", "Length: 40000000");
    assert!(client.send(&large), "the connection was reset");
    assert_eq!(client.response().map(|answer| answer.status()), Some(413));
}

/// The id can be used again after the response.
#[test]
fn the_id_of_an_rpc_in_flight_is_rejected() {
    let log = Log::new(vec![]);
    let (at, gate) = gated_backend("b1", &log, "done");
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let mut first = daemon.client();
    let message = rpc("POST", "/book", "same", "");
    first.send(&message);
    log.await_event("b1 got POST /book HTTP/1.1 same");
    assert_eq!(daemon.client().status_of(&message), 409);
    gate.change(|open| *open = true);
    assert_eq!(first.response().unwrap().status(), 200);
    assert_eq!(daemon.client().status_of(&message), 200);
    assert_eq!(log.count("same"), 2);
}

#[test]
fn connections_with_incomplete_heads_are_evicted() {
    let log = Log::new(vec![]);
    let with_few_sockets = |config: &mut Value| config["limits"]["sockets"] = 74.into();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], with_few_sockets);
    let open = |_| {
        let mut client = daemon.client();
        client.send("GET /read HTTP/1.1\r\nRequest-");
        client
    };
    let mut incomplete: Vec<_> = (0..10).map(open).collect();
    let mut served = Vec::new();
    // The connections that were idle longest are evicted first.
    eventually(
        EVENT_TIMEOUT,
        "connections with incomplete heads are not evicted",
        || {
            let mut client = daemon.client();
            if client
                .call(&rpc("GET", "/read", "id", ""))
                .is_some_and(|answer| answer.status() == 200)
            {
                served.push(client);
            }
            served.len() >= 30
        },
    );
    assert!(incomplete.iter_mut().all(Client::is_closed));
}

#[test]
fn an_exhausted_socket_budget_rejects_clients_and_evicts_idle_connections() {
    let log = Log::new(vec![]);
    let with_few_sockets = |config: &mut Value| {
        without_health_checks(config);
        config["limits"]["sockets"] = 74.into();
    };
    let (at, gate) = gated_backend("b1", &log, "done");
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], with_few_sockets);
    let open = |n: usize| {
        let mut client = daemon.client();
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
        log.await_event(&format!("b1 got POST /book HTTP/1.1 n{n}"));
        client
    };
    let mut clients: Vec<_> = (0..10).map(open).collect();
    let answer = || {
        daemon
            .client()
            .call(&rpc("GET", "/read", "late", ""))
            .map(|a| (a.status(), a.header("connection") == "close"))
    };
    eventually(
        Duration::from_secs(3),
        "no RPC was rejected with an exhausted budget",
        || answer() == Some((503, true)),
    );
    gate.change(|open| *open = true);
    assert!(
        clients
            .iter_mut()
            .all(|client| client.response().is_some_and(|a| a.status() == 200))
    );
    assert_eq!(
        answer(),
        Some((200, false)),
        "an idle connection is evicted"
    );
}
