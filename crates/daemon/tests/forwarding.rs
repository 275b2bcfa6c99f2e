//! Forwarding of RPCs over loopback sockets: what reaches a backend, what is retried, and the outcomes of backends' faults.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Client, Daemon, EVENT_TIMEOUT, HEALTH, Log, Message, Shared, backend, echo,
    endpoint_entry, eventually, reply, rpc, unused_address, without_health_checks,
};
use serde_json::{Value, json};
use std::net::SocketAddr;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// A method of the usual configuration.
struct Method {
    name: &'static str,
    verb: &'static str,
}

/// A method of each idempotency: idempotent, non-idempotent, with an idempotency key.
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
        let answer = client.call(&rpc(
            verb,
            &format!("/{name}/7?a=%20b"),
            &format!("id{n}"),
            body,
        ));
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.text()),
            (200, format!("b1:{body}"))
        );
        log.await_event(&format!("b1 got {verb} /{name}/7?a=%20b HTTP/1.1 id{n}"));
    }
}

#[test]
fn idempotency_key_and_timeout_are_forwarded() {
    let log = Log::new(vec![]);
    let headers = log.clone();
    let at = backend("b1", &log, move |m| {
        headers.record(format!(
            "{} {}",
            m.header("idempotency-key"),
            m.header("request-timeout-ms").len()
        ));
        BackendAction::Respond(reply("200 OK", ""))
    });
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    assert_eq!(
        daemon.client().status_of(&rpc("POST", "/log", "id", "b")),
        200
    );
    log.await_event("k1 4");
}

/// Rule 2: an attempt that may have run is retried only if the method is idempotent.
#[test]
fn reset_attempt_is_retried_only_if_the_method_is_idempotent() {
    let log = Log::new(vec![]);
    let first = Shared::new(true);
    let resetting = |name| {
        let first = first.clone();
        backend(name, &log, move |m| {
            let is_reset =
                m.header("request-id").starts_with("cut") && first.change(std::mem::take);
            if is_reset {
                BackendAction::RespondAndClose(vec![])
            } else {
                BackendAction::Respond(reply("200 OK", name))
            }
        })
    };
    let daemon = Daemon::start(
        PROGRAM,
        &[("s-1", resetting("b1")), ("s-2", resetting("b2"))],
    );
    daemon.fill_retry_budget();
    let mut client = daemon.client();
    for (Method { name, verb }, (status, attempts)) in
        METHODS.iter().zip([(200, 2), (502, 1), (200, 2)])
    {
        first.change(|f| *f = true);
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

/// An attempt without a connection never ran, so that even a non-idempotent RPC is retried.
#[test]
fn attempt_without_a_connection_is_retried_at_another_backend() {
    let log = Log::new(vec![]);
    let good = echo("b1", &log);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", good)], without_health_checks);
    daemon.fill_retry_budget();
    let dead = [
        endpoint_entry("s-2", unused_address(), "Ready"),
        endpoint_entry("s-3", unused_address(), "Ready"),
    ];
    daemon
        .discovery
        .publish_and_wait(&[&dead[..], &[endpoint_entry("s-1", good, "Ready")]].concat());
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
    let at = backend("b1", &log, |m| match m.header("request-id") {
        "garbage" => BackendAction::Respond(b"what?\r\n\r\n".to_vec()),
        "half" => BackendAction::RespondAndClose(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec(),
        ),
        "error" => BackendAction::Respond(reply("500 No", "")),
        "refuses" => BackendAction::Respond(reply("503 No", "")),
        _ => BackendAction::Respond(reply("200 OK", &"x".repeat(64 << 10))),
    });
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let mut client = daemon.client();
    for id in ["garbage", "half", "error", "refuses"] {
        // A backend's 503 is not forwarded, and the proxy must not reject what may have run.
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
    let full = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    let daemon = Daemon::start(
        PROGRAM,
        &[(
            "s-1",
            backend("b1", &log, |_| BackendAction::Respond(full.to_vec())),
        )],
    );
    assert_eq!(
        daemon.client().status_of(&rpc("POST", "/book", "id", "")),
        503
    );
}

/// An attempt that times out closes its connection, and the client gets a response before its deadline.
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
    assert_eq!(client.status_of(HEALTH), 200, "the client stays");
}

#[test]
fn disconnect_of_the_client_cancels_the_attempt() {
    let log = Log::new(vec![]);
    // The attempt would not time out within the test.
    let long =
        |config: &mut Value| config["settings"]["methods"][0]["latency-target-ns"] = 60e9.into();
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", backend("b1", &log, |_| BackendAction::Hang))],
        long,
    );
    let mut client = daemon.client();
    client.send(&rpc("GET", "/read", "gone", "").replace("3000", "60000"));
    log.await_event("b1 got GET /read HTTP/1.1 gone");
    drop(client);
    log.await_event("b1 closed gone");
}

/// Bytes that a backend sends after a response are not the response to the next RPC, even if they arrive a moment later.
#[test]
fn bytes_after_a_response_are_not_the_next_response() {
    let log = Log::new(vec![]);
    let copy = |m: &Message| reply("200 OK", &m.text());
    let at = backend("b1", &log, move |m| {
        BackendAction::Respond([copy(m), copy(m)].concat())
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let mut client = daemon.client();
    for n in 0..20 {
        let answer = client
            .call(&rpc("POST", "/book", &format!("n{n}"), &format!("body{n}")))
            .unwrap();
        assert_eq!((answer.status(), answer.text()), (200, format!("body{n}")));
    }
    let awaited_log = log.clone();
    let late = backend("b2", &log, move |m| {
        match m.header("request-id").strip_prefix("first") {
            Some(n) => BackendAction::RespondLater {
                first: copy(m),
                log: awaited_log.clone(),
                event: format!("second{n}"),
                rest: copy(m),
            },
            None => BackendAction::Respond(copy(m)),
        }
    });
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", late, "Ready")]);
    let mut rounds = 0..;
    // On a slow machine the extra bytes may arrive after the connection is in use again.
    eventually(
        EVENT_TIMEOUT,
        "extra bytes were taken for the response to the next RPC",
        || {
            let n = rounds.next().expect("another round");
            let [first, second] = ["first", "second"].map(|name| {
                let text = format!("{name}{n}");
                client
                    .call(&rpc("POST", "/book", &text, &text))
                    .is_some_and(|a| a.text() == text)
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
    let at = daemon.address;
    let run = move |c: usize| {
        let mut client = Client::open(at).expect("a connection");
        for n in 0..50 {
            let body = format!("{c}-{n}");
            let answer = client
                .call(&rpc("POST", "/log", &format!("id{body}"), &body))
                .expect("an answer");
            assert!(
                answer.status() != 200 || answer.text().ends_with(&format!(":{body}")),
                "{}",
                answer.text()
            );
        }
    };
    let all: Vec<_> = (0..8).map(|c| std::thread::spawn(move || run(c))).collect();
    all.into_iter()
        .for_each(|thread| thread.join().expect("a client without a failure"));
}

/// Prevents the entity key of an RPC from being ignored, which would leave no backend with a warm cache for it.
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
    let in_its_cell = |(n, (uid, at)): (usize, &(&str, SocketAddr))| {
        let mut line = endpoint_entry(uid, *at, "Ready");
        line["pod_group"] = n.into();
        line
    };
    daemon.discovery.publish_and_wait(
        &backends
            .iter()
            .enumerate()
            .map(in_its_cell)
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
