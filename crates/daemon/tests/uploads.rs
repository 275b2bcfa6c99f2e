//! Long request bodies that a backend refuses before their end: each attempt has the body from its first byte on, and no
//! other one reads it meanwhile.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Daemon, EVENT_TIMEOUT, Log, Shared, SlowAccept, endpoint_entry, eventually, read_message,
    reply, rpc, serve, without_health_checks,
};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Bytes of the body that the client sends before the refusal: more than the proxy buffers of a short body.
const FIRST_PART_BYTES: usize = 70_000;
/// Bytes of the whole body.
const BODY_BYTES: usize = 150_000;

/// The response to a request that was rejected before any work on it.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

/// How a request declares the end of its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

/// A request in two pieces, of which the first one ends inside the body.
struct SplitRequest {
    first: String,
    rest: String,
    body: String,
}

impl SplitRequest {
    fn new(id: &str, framing: Framing) -> Self {
        let body: String = (0..BODY_BYTES)
            .map(|n| char::from(b'a' + (n % 23 + n / 1000 % 3) as u8))
            .collect();
        let message = rpc("POST", "/book", id, &body);
        let (head, _) = message.split_once("\r\n\r\n").expect("a head");
        let (first, rest) = body.split_at(FIRST_PART_BYTES);
        let (first, rest) = match framing {
            Framing::Length => (format!("{head}\r\n\r\n{first}"), rest.to_owned()),
            Framing::Chunks => {
                let length = format!("Content-Length: {BODY_BYTES}");
                let head = head.replace(&length, "Transfer-Encoding: chunked");
                let first = format!("{head}\r\n\r\n{:x}\r\n{first}\r\n", first.len());
                (first, format!("{:x}\r\n{rest}\r\n0\r\n\r\n", rest.len()))
            }
        };
        Self { first, rest, body }
    }
}

/// Reads the head of a request, refuses it, and reads on until the proxy closes the connection. Records `refused` and the
/// number of bytes that follow the refusal.
fn refuse_early(mut stream: TcpStream, log: &Log, wait_before_refusal: impl Fn()) {
    let mut received = Vec::new();
    let mut piece = [0; 4096];
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        let Ok(bytes) = stream.read(&mut piece) else {
            return;
        };
        received.extend_from_slice(&piece[..bytes]);
    }
    log.record("head received".to_owned());
    wait_before_refusal();
    let _ = stream.write_all(REFUSAL);
    log.record("refused".to_owned());
    while let Ok(bytes @ 1..) = stream.read(&mut piece) {
        received.extend_from_slice(&piece[..bytes]);
    }
    let is_within_first_part = received.len() < BODY_BYTES;
    log.record(format!("closed, rest unread: {is_within_first_part}"));
}

/// Reads requests and responds with their bodies.
fn echo_bodies(mut stream: TcpStream, log: &Log) {
    let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(message) = read_message(&mut input) {
        log.record(format!("ran {}", message.header("request-id")));
        let _ = stream.write_all(&reply("200 OK", &message.text()));
    }
}

/// A refused attempt kept its connection, and with it the only reader of the body: the next attempt failed, and its backend
/// was blamed for it.
#[test]
fn a_request_refused_before_its_end_is_served_by_another_backend() {
    for framing in [Framing::Length, Framing::Chunks] {
        let log = Log::new(vec![]);
        let has_refused = Arc::new(AtomicBool::new(false));
        let refuse_first = || {
            let (log, has_refused) = (log.clone(), has_refused.clone());
            serve("127.0.0.1:0", move |stream| {
                if has_refused.swap(true, Ordering::SeqCst) {
                    echo_bodies(stream, &log);
                } else {
                    refuse_early(stream, &log, || {});
                }
            })
        };
        let backends: [(&str, SocketAddr); 2] = [("s-1", refuse_first()), ("s-2", refuse_first())];
        let daemon = Daemon::start_with(PROGRAM, &backends, without_health_checks);
        let request = SplitRequest::new("long", framing);
        let mut client = daemon.client();
        client.send(&request.first);
        log.await_event("closed, rest unread: true");
        client.send(&request.rest);
        let response = client.response().expect("a response");
        assert_eq!(response.status(), 200, "{framing:?}");
        assert!(
            response.text() == request.body,
            "{framing:?}: the body was changed"
        );
        assert_eq!(log.count("ran long"), 1, "{framing:?}");
    }
}

/// While the next connection came up late, the refused one went on to read the client's body. The next backend got a
/// request in chunks with an empty body, and ran it.
#[test]
fn the_body_of_a_refused_request_waits_for_a_late_connection() {
    for framing in [Framing::Length, Framing::Chunks] {
        let log = Log::new(vec![]);
        let late = SlowAccept::start();
        let refusals = log.clone();
        let is_late_backend_known = Shared::new(false);
        let known = is_late_backend_known.clone();
        let refusing = serve("127.0.0.1:0", move |stream| {
            refuse_early(stream, &refusals, || {
                known.wait(EVENT_TIMEOUT, |known| *known);
            });
        });
        let daemon = Daemon::start_with(PROGRAM, &[("s-1", refusing)], without_health_checks);
        let request = SplitRequest::new("long", framing);
        let mut client = daemon.client();
        client.send(&request.first);
        log.await_event("head received");
        daemon.discovery.publish_and_wait(&[
            endpoint_entry("s-1", refusing, "Ready"),
            endpoint_entry("s-2", late.address, "Ready"),
        ]);
        is_late_backend_known.change(|known| *known = true);
        eventually(EVENT_TIMEOUT, "no further attempt", || {
            late.pending_connects() > 0
        });
        client.send(&request.rest);
        log.await_event("closed, rest unread: true");
        let mut accepted = late.accept(1);
        let stream = TcpStream::from(accepted.remove(0));
        let backend_log = log.clone();
        let backend = std::thread::spawn(move || echo_bodies(stream, &backend_log));
        let response = client.response().expect("a response");
        assert_eq!(response.status(), 200, "{framing:?}");
        assert!(
            response.text() == request.body,
            "{framing:?}: the body was changed"
        );
        assert_eq!(log.count("ran long"), 1, "{framing:?}");
        drop(daemon);
        backend.join().expect("the end of the backend");
    }
}
