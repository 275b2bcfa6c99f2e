//! Forwarding of RPCs over loopback sockets: what reaches a backend, what is retried, and how faults of backends affect
//! the response.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Client, Daemon, EVENT_TIMEOUT, HEALTH, Log, Message, Shared, backend, echo,
    endpoint_entry, eventually, reply, rpc, unused_address, without_health_checks,
};
use serde_json::{Value, json};
use std::net::SocketAddr;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// A method of the default test configuration.
struct Method {
    name: &'static str,
    verb: &'static str,
}

/// One method of each kind: idempotent, non-idempotent, and with an idempotency key.
const METHODS: [Method; 3] = [
    Method {
        name: "read",
        verb: "GET",
    },
    Method {
        name: "book",
        verb: "POST",
    },
    Method {
        name: "log",
        verb: "POST",
    },
];

#[test]
fn rpcs_of_each_idempotency_are_forwarded_unchanged() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut client = daemon.client();
    for (n, Method { name, verb }) in METHODS.iter().enumerate() {
        let body = if *verb == "POST" { "x\0y" } else { "" };
        let response = client.call(&rpc(
            verb,
            &format!("/{name}/7?a=%20b"),
            &format!("id{n}"),
            body,
        ));
        let response = response.expect("a response");
        assert_eq!(
            (response.status(), response.text()),
            (200, format!("b1:{body}"))
        );
        log.await_event(&format!("b1 got {verb} /{name}/7?a=%20b HTTP/1.1 id{n}"));
    }
}

#[test]
fn idempotency_key_and_timeout_are_forwarded() {
    let log = Log::new(vec![]);
    let headers = log.clone();
    let address = backend("b1", &log, move |request| {
        headers.record(format!(
            "{} {}",
            request.header("idempotency-key"),
            request.header("request-timeout-ms").len()
        ));
        BackendAction::Respond(reply("200 OK", ""))
    });
    let daemon = Daemon::start(PROGRAM, &[("s-1", address)]);
    assert_eq!(
        daemon.client().status_of(&rpc("POST", "/log", "id", "b")),
        200
    );
    log.await_event("k1 4");
}

/// Rule 2 of the audit, no effect happens twice: an attempt that a backend may have executed is retried only if the
/// method is idempotent or has an idempotency key.
#[test]
fn reset_attempt_is_retried_only_if_the_method_is_idempotent() {
    let log = Log::new(vec![]);
    let close_next = Shared::new(true);
    let closing_backend = |name| {
        let close_next = close_next.clone();
        backend(name, &log, move |request| {
            let must_close = request.header("request-id").starts_with("cut")
                && close_next.change(std::mem::take);
            if must_close {
                BackendAction::RespondAndClose(vec![])
            } else {
                BackendAction::Respond(reply("200 OK", name))
            }
        })
    };
    let daemon = Daemon::start(
        PROGRAM,
        &[
            ("s-1", closing_backend("b1")),
            ("s-2", closing_backend("b2")),
        ],
    );
    daemon.fill_retry_budget();
    let mut client = daemon.client();
    for (Method { name, verb }, (status, attempts)) in
        METHODS.iter().zip([(200, 2), (502, 1), (200, 2)])
    {
        close_next.change(|close_next| *close_next = true);
        let id = format!("cut-{name}");
        assert_eq!(
            client.status_of(&rpc(verb, &format!("/{name}"), &id, "")),
            status,
            "{name}"
        );
        assert_eq!(log.count(&id), attempts, "{name}");
        daemon.fill_retry_budget();
    }
}

/// No backend can have executed an attempt without a connection, so even a non-idempotent RPC is retried.
#[test]
fn attempt_without_a_connection_is_retried_at_another_backend() {
    let log = Log::new(vec![]);
    let reachable_address = echo("b1", &log);
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", reachable_address)],
        without_health_checks,
    );
    daemon.fill_retry_budget();
    let unreachable_entries = [
        endpoint_entry("s-2", unused_address(), "Ready"),
        endpoint_entry("s-3", unused_address(), "Ready"),
    ];
    daemon.discovery.publish_and_wait(
        &[
            &unreachable_entries[..],
            &[endpoint_entry("s-1", reachable_address, "Ready")],
        ]
        .concat(),
    );
    let mut client = daemon.client();
    for n in 0..20 {
        assert_eq!(
            client.status_of(&rpc("POST", "/book", &format!("n{n}"), "")),
            200
        );
    }
    assert_eq!(log.count(" /book "), 20);
}

#[test]
fn malformed_response_fails_the_attempt() {
    let log = Log::new(vec![]);
    let address = backend("b1", &log, |request| match request.header("request-id") {
        "garbage" => BackendAction::Respond(b"what?\r\n\r\n".to_vec()),
        "half" => BackendAction::RespondAndClose(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec(),
        ),
        "error" => BackendAction::Respond(reply("500 No", "")),
        "refuses" => BackendAction::Respond(reply("503 No", "")),
        _ => BackendAction::Respond(reply("200 OK", &"x".repeat(64 << 10))),
    });
    let daemon = Daemon::start(PROGRAM, &[("s-1", address)]);
    let mut client = daemon.client();
    for id in ["garbage", "half", "error", "refuses"] {
        // The proxy must not forward the 503 of the backend, nor respond with one itself: the backend may have executed
        // the RPC, and 503 tells the client that none has.
        assert_eq!(client.status_of(&rpc("POST", "/book", id, "")), 502, "{id}");
    }
    assert_eq!(
        client
            .call(&rpc("POST", "/book", "good", ""))
            .unwrap()
            .body
            .len(),
        64 << 10
    );
}

#[test]
fn rpc_that_no_backend_started_is_rejected() {
    let log = Log::new(vec![]);
    let full_response = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    let daemon = Daemon::start(
        PROGRAM,
        &[(
            "s-1",
            backend("b1", &log, |_| {
                BackendAction::Respond(full_response.to_vec())
            }),
        )],
    );
    assert_eq!(
        daemon.client().status_of(&rpc("POST", "/book", "id", "")),
        503
    );
}

/// An attempt that times out closes its connection to the backend, and the client gets a response before its
/// deadline.
#[test]
fn timed_out_attempt_closes_its_socket() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(
        PROGRAM,
        &[("s-1", backend("b1", &log, |_| BackendAction::Hang))],
    );
    let mut client = daemon.client();
    let message = rpc("POST", "/book", "slow", "").replace("3000", "400");
    assert_eq!(client.status_of(&message), 502);
    log.await_event("b1 closed slow");
    assert_eq!(
        client.status_of(HEALTH),
        200,
        "the connection of the client must stay open"
    );
}

#[test]
fn disconnect_of_the_client_cancels_the_attempt() {
    let log = Log::new(vec![]);
    // With this latency target the attempt does not time out within the test.
    let with_long_latency_target =
        |config: &mut Value| config["settings"]["methods"][0]["latency-target-ns"] = 60e9.into();
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", backend("b1", &log, |_| BackendAction::Hang))],
        with_long_latency_target,
    );
    let mut client = daemon.client();
    client.send(&rpc("GET", "/read", "gone", "").replace("3000", "60000"));
    log.await_event("b1 got GET /read HTTP/1.1 gone");
    drop(client);
    log.await_event("b1 closed gone");
}

/// The proxy must not take bytes that a backend sends after a response for the response to the next RPC, not even if
/// they arrive a moment later.
#[test]
fn bytes_after_a_response_are_not_the_next_response() {
    let log = Log::new(vec![]);
    let echo_body = |request: &Message| reply("200 OK", &request.text());
    let address = backend("b1", &log, move |request| {
        BackendAction::Respond([echo_body(request), echo_body(request)].concat())
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", address)], without_health_checks);
    let mut client = daemon.client();
    for n in 0..20 {
        let body = format!("body{n}");
        let response = client.call(&rpc("POST", "/book", &format!("n{n}"), &body));
        let response = response.map(|response| (response.status(), response.text()));
        assert_eq!(response, Some((200, body)));
    }
    let awaited_log = log.clone();
    let delayed_address = backend("b2", &log, move |request| {
        match request.header("request-id").strip_prefix("first") {
            Some(n) => BackendAction::RespondLater {
                first: echo_body(request),
                log: awaited_log.clone(),
                event: format!("second{n}"),
                rest: echo_body(request),
            },
            None => BackendAction::Respond(echo_body(request)),
        }
    });
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", delayed_address, "Ready")]);
    let mut rounds = 0..;
    // On a slow machine the extra bytes may arrive when the connection is in use again, so one clean round suffices.
    eventually(
        EVENT_TIMEOUT,
        "extra bytes were taken for the response to the next RPC",
        || {
            let n = rounds.next().expect("another round");
            let [first, second] = ["first", "second"].map(|name| {
                let text = format!("{name}{n}");
                client
                    .call(&rpc("POST", "/book", &text, &text))
                    .is_some_and(|response| response.text() == text)
            });
            first && second
        },
    );
}

/// Each of many concurrent RPCs on many connections gets its own response.
#[test]
fn responses_of_concurrent_rpcs_are_not_mixed_up() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(
        PROGRAM,
        &[("s-1", echo("b1", &log)), ("s-2", echo("b2", &log))],
    );
    let address = daemon.address;
    let send_rpcs = move |client_number: usize| {
        let mut client = Client::open(address).expect("a connection");
        for n in 0..50 {
            let body = format!("{client_number}-{n}");
            let response = client
                .call(&rpc("POST", "/log", &format!("id{body}"), &body))
                .expect("a response");
            assert!(
                response.status() != 200 || response.text().ends_with(&format!(":{body}")),
                "{}",
                response.text()
            );
        }
    };
    let threads: Vec<_> = (0..8)
        .map(|client_number| std::thread::spawn(move || send_rpcs(client_number)))
        .collect();
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("a client thread that did not panic"));
}

/// Guards against a proxy that ignores the entity key of an RPC, so that no backend has a warm cache for the key.
#[test]
fn rpcs_with_a_key_go_to_few_backends() {
    let log = Log::new(vec![]);
    let names = ["b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9"];
    let uids: Vec<_> = names.iter().map(|name| format!("s-{name}")).collect();
    let backends: Vec<_> = uids
        .iter()
        .zip(names)
        .map(|(uid, name)| (uid.as_str(), echo(name, &log)))
        .collect();
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        config["settings"]["extra"] = json!({"warm-keys": true});
    });
    let entry_in_own_pod_group = |(n, (uid, address)): (usize, &(&str, SocketAddr))| {
        let mut entry = endpoint_entry(uid, *address, "Ready");
        entry["pod_group"] = n.into();
        entry
    };
    daemon.discovery.publish_and_wait(
        &backends
            .iter()
            .enumerate()
            .map(entry_in_own_pod_group)
            .collect::<Vec<_>>(),
    );
    let mut client = daemon.client();
    for n in 0..60 {
        let plain = rpc("GET", "/read", &format!("n{n}"), "");
        let keyed = plain.replacen(
            "\r\n",
            "\r\nRequest-Info: cost-guess-ns=5000000,entity=0004f4187e9284a5\r\n",
            1,
        );
        assert_eq!(client.status_of(&keyed), 200);
    }
    let backends_with_the_key = names
        .iter()
        .filter(|name| log.count(&format!("{name} got GET /read")) > 0)
        .count();
    assert!(
        (1..=3).contains(&backends_with_the_key),
        "{backends_with_the_key} of ten backends got the key"
    );
}
