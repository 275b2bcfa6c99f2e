//! Responses of backends that are endless or incomplete.
use crate::PROGRAM;
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, Message, backend, rpc, without_health_checks,
};
use std::io::Read;

/// The client can tell that it is truncated.
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
    let mut all = Vec::new();
    client
        .stream()
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let ended = client.stream().read_to_end(&mut all);
    assert!(
        ended.is_ok() && !all.ends_with(b"\r\n0\r\n\r\n"),
        "looks complete: {ended:?}"
    );
    assert!(
        ((16 << 20)..(33 << 20)).contains(&all.len()),
        "{} bytes",
        all.len()
    );
    assert!(daemon.memory() < 64 << 20);
}

/// Responses that stop at each stage: their RPCs fail in time.
#[test]
fn incomplete_responses_fail_the_attempt_in_time() {
    let log = Log::new(vec![]);
    let parts = [
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
    ];
    let at = backend("b1", &log, move |m| {
        let number: usize = m.header("request-id")[1..].parse().expect("a number");
        BackendAction::RespondLater {
            first: parts[number].into(),
            log: Log::new(vec![]),
            event: "never".into(),
            rest: vec![],
        }
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let mut clients: Vec<_> = parts.iter().map(|_| daemon.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), "").replace("3000", "300"));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.response().map(|answer| answer.status()),
            Some(502),
            "{}",
            parts[n]
        );
    }
}
