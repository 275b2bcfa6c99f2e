//! Responses of backends that never end, or that stop before they are complete.
use crate::PROGRAM;
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, Message, backend, rpc, without_health_checks,
};
use std::io::Read;

/// The proxy ends the response without its last chunk, so that the client can tell that it is truncated. The
/// response exceeds the body limit of 32 MiB; the proxy must not hold all of it in memory.
#[test]
fn an_endless_response_is_truncated() {
    let log = Log::new(vec![]);
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "x".repeat(1 << 20));
    let endless = move |_: &Message| {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        BackendAction::Respond((head + &chunk.repeat(48)).into_bytes())
    };
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", backend("b1", &log, endless))],
        without_health_checks,
    );
    let mut client = daemon.client();
    client.send(&rpc("GET", "/read", "id", ""));
    let mut received = Vec::new();
    client
        .stream()
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let read_result = client.stream().read_to_end(&mut received);
    assert!(
        read_result.is_ok() && !received.ends_with(b"\r\n0\r\n\r\n"),
        "the response looks complete: {read_result:?}"
    );
    assert!(
        ((16 << 20)..(33 << 20)).contains(&received.len()),
        "{} bytes",
        received.len()
    );
    assert!(daemon.memory() < 64 << 20);
}

/// The connection stays open after a response has stopped within its status line, head or body: the RPC fails at its
/// deadline.
#[test]
fn incomplete_responses_fail_the_attempt_in_time() {
    let log = Log::new(vec![]);
    let incomplete_responses = [
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
    ];
    let address = backend("b1", &log, move |request| {
        let number: usize = request.header("request-id")[1..].parse().expect("a number");
        BackendAction::RespondLater {
            first: incomplete_responses[number].into(),
            log: Log::new(vec![]),
            event: "never".into(),
            rest: vec![],
        }
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", address)], without_health_checks);
    let mut clients: Vec<_> = incomplete_responses
        .iter()
        .map(|_| daemon.client())
        .collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{number}"), "").replace("3000", "300"));
    }
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.response().map(|response| response.status()),
            Some(502),
            "{}",
            incomplete_responses[number]
        );
    }
}
