//! Clients that stall inside a request without closing the connection: the proxy sends an error or closes the connection in
//! time, wherever the client stalls and whatever the backends do.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Client, Daemon, HEALTH, Log, echo, eventually, rpc};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Time within which a stalled client gets an error or a close, counted from its last byte.
const REQUIRED_WITHIN: Duration = Duration::from_secs(3);
/// Time after which a test stops waiting for an error or a close.
const EVENT_TIMEOUT: Duration = Duration::from_secs(9);
/// Interval between the bytes of a client that trickles the end of its request.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(300);

/// The behaviour of a stalled client.
struct Stall {
    name: &'static str,
    /// Number of RPCs that are served on the connection first.
    served_before: usize,
    /// Bytes that the client sends at once before it stalls.
    sent: String,
    /// Number of complete requests in `sent`, whose responses precede the error or close.
    complete_requests: usize,
    /// Number of further bytes that it sends one by one.
    trickled_bytes: usize,
}

impl Stall {
    fn new(name: &'static str, sent: impl Into<String>) -> Self {
        Self {
            name,
            served_before: 0,
            sent: sent.into(),
            complete_requests: 0,
            trickled_bytes: 0,
        }
    }

    fn after_served(self, served_before: usize) -> Self {
        Self {
            served_before,
            ..self
        }
    }

    fn with_complete_requests(self, complete_requests: usize) -> Self {
        Self {
            complete_requests,
            ..self
        }
    }

    fn trickling(self, trickled_bytes: usize) -> Self {
        Self {
            trickled_bytes,
            ..self
        }
    }

    /// Runs the client and returns the time from its last byte to an error or a close; none if neither happened.
    fn run(&self, address: SocketAddr) -> Option<Duration> {
        let mut client = Client::open(address).expect("a connection");
        for number in 0..self.served_before {
            let id = format!("before-{number}-{}", self.name.replace(' ', "-"));
            assert_eq!(client.status_of(&rpc("GET", "/read", &id, "")), 200);
        }
        let mut stream = client.stream();
        // The write fails if the proxy has already responded and closed the connection.
        let _ = stream.write_all(self.sent.as_bytes());
        for _ in 0..self.complete_requests {
            assert_eq!(client.response().expect("a response").status(), 200);
        }
        let stalled_at = Instant::now();
        if self.trickled_bytes > 0 {
            let mut stream = client.stream();
            let count = self.trickled_bytes;
            thread::spawn(move || {
                for _ in 0..count {
                    sleep(TRICKLE_INTERVAL);
                    if stream.write_all(b"x").is_err() {
                        return;
                    }
                }
            });
        }
        gets_error_or_close(&stream).then(|| stalled_at.elapsed())
    }
}

/// Waits for an error or a close; false if there is neither before the timeout.
fn gets_error_or_close(mut stream: &TcpStream) -> bool {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let Some(remaining) = deadline.checked_duration_since(Instant::now()) else {
            return false;
        };
        let remaining = remaining.max(Duration::from_millis(1));
        stream
            .set_read_timeout(Some(remaining))
            .expect("a positive timeout");
        match stream.read(&mut chunk) {
            Ok(0) => return true,
            Ok(length) => {
                received.extend_from_slice(&chunk[..length]);
                let text = String::from_utf8_lossy(&received);
                if text.starts_with("HTTP/1.1 4") || text.starts_with("HTTP/1.1 5") {
                    return true;
                }
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// Encodes an RPC whose declared length exceeds the bytes that are sent.
fn truncated_body(id: &str, declared: usize, sent: usize) -> String {
    rpc("POST", "/book", id, &"x".repeat(sent)).replace(
        &format!("Content-Length: {sent}"),
        &format!("Content-Length: {declared}"),
    )
}

/// Encodes an RPC with the chunked transfer coding; `body` follows the head.
fn chunked(id: &str, body: &str) -> String {
    let head = rpc("POST", "/book", id, "");
    head.replace("Content-Length: 0", "Transfer-Encoding: chunked") + body
}

/// Encodes one chunk.
fn chunk(length: usize) -> String {
    format!("{length:x}\r\n{}\r\n", "x".repeat(length))
}

const HALF_HEAD: &str = "GET /read HTTP/1.1\r\nHost: api.internal\r\nRequest-";

/// Clients that stall before their head is complete.
fn stalls_in_a_head() -> Vec<Stall> {
    vec![
        Stall::new("nothing", ""),
        Stall::new("an empty line", "\r\n"),
        Stall::new("one byte", "G"),
        Stall::new("half a head", HALF_HEAD),
        Stall::new("half a head, trickled", HALF_HEAD).trickling(40),
        Stall::new("a head without its end", {
            let head = rpc("GET", "/read", "endless", "");
            head[..head.len() - 2].to_owned()
        }),
        Stall::new("one byte, connection reused", "G").after_served(1),
        Stall::new("half a head, connection reused", HALF_HEAD).after_served(2),
        Stall::new("half a head after health", format!("{HEALTH}{HALF_HEAD}"))
            .with_complete_requests(1),
    ]
}

/// Clients that stall in a body that is short enough to be buffered.
fn stalls_in_a_short_body() -> Vec<Stall> {
    vec![
        Stall::new("no body", truncated_body("short-none", 9, 0)),
        Stall::new("half a body", truncated_body("short-half", 9, 4)),
        Stall::new("a byte missing", truncated_body("short-1", 60_000, 59_999)),
        Stall::new(
            "half a body, connection reused",
            truncated_body("short-kept", 9, 4),
        )
        .after_served(1),
        Stall::new(
            "half a body, trickled",
            truncated_body("short-trickle", 900, 4),
        )
        .trickling(40),
        Stall::new("no chunk", chunked("chunk-none", "")),
        Stall::new("half a chunk", chunked("chunk-half", "9\r\nhalf")),
        Stall::new("half a chunk size", chunked("chunk-size", "9")),
        Stall::new("no last chunk", chunked("chunk-last", &chunk(9))),
        Stall::new("half the trailers", chunked("trailers", "0\r\nX-A: ")),
        Stall::new(
            "waits for 100 Continue",
            truncated_body("expect", 9, 0).replace("Host:", "Expect: 100-continue\r\nHost:"),
        ),
    ]
}

/// Clients that stall in a body that is too long to be buffered.
fn stalls_in_a_long_body() -> Vec<Stall> {
    let half = || truncated_body("long-half", 140_000, 70_000);
    vec![
        Stall::new("half a long body", half()),
        Stall::new("short deadline", {
            half().replace("long-half", "hurry").replace("3000", "100")
        }),
        Stall::new("long deadline", {
            half().replace("long-half", "calm").replace("3000", "60000")
        }),
        Stall::new(
            "a byte of a long body missing",
            truncated_body("long-1", 70_000, 69_999),
        ),
        Stall::new(
            "a megabyte and no more",
            truncated_body("long-mb", 2 << 20, 1 << 20),
        ),
        Stall::new(
            "half a long body, connection reused",
            truncated_body("kept", 140_000, 70_000),
        )
        .after_served(1),
        Stall::new("no last long chunk", chunked("long-c", &chunk(70_000))),
        Stall::new(
            "half a long chunk",
            chunked("long-hc", &chunk(140_000)[..100_000]),
        ),
        Stall::new(
            "a long body, trickled",
            truncated_body("drip", 70_000, 69_900),
        )
        .trickling(40),
    ]
}

/// Clients that stall in a message that follows a complete one.
fn stalls_behind_a_request() -> Vec<Stall> {
    let complete = |id: &str| rpc("GET", "/read", id, "");
    let book = |id: &str| rpc("POST", "/book", id, "body");
    vec![
        Stall::new("half a second head", complete("p1") + HALF_HEAD).with_complete_requests(1),
        Stall::new("one byte behind", complete("p2") + "G").with_complete_requests(1),
        Stall::new("half a head behind a body", book("p3") + HALF_HEAD).with_complete_requests(1),
        Stall::new(
            "half a head behind chunks",
            chunked("p4", "4\r\nbody\r\n0\r\n\r\n") + HALF_HEAD,
        )
        .with_complete_requests(1),
        Stall::new(
            "half a third head",
            complete("p5") + &complete("p6") + HALF_HEAD,
        )
        .with_complete_requests(2),
        Stall::new(
            "half a body behind",
            complete("p7") + &truncated_body("p8", 9, 4),
        )
        .with_complete_requests(1),
        Stall::new(
            "half a long body behind",
            complete("p9") + &truncated_body("p10", 140_000, 70_000),
        )
        .with_complete_requests(1),
    ]
}

/// A client that got no error or close in time.
#[derive(Debug)]
struct LateClient {
    #[expect(dead_code, reason = "shown by a failed assertion")]
    name: &'static str,
    /// Time from the last byte to the error or close; none if neither happened.
    ended_after: Option<Duration>,
}

/// Runs all clients concurrently, and returns those that got no error or close in time.
fn late_clients(address: SocketAddr, stalls: Vec<Stall>) -> Vec<LateClient> {
    let run = move |stall: Stall| LateClient {
        name: stall.name,
        ended_after: stall.run(address),
    };
    let clients: Vec<JoinHandle<_>> = stalls
        .into_iter()
        .map(|stall| thread::spawn(move || run(stall)))
        .collect();
    clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .filter(|client| {
            client
                .ended_after
                .is_none_or(|ended_after| ended_after > REQUIRED_WITHIN)
        })
        .collect()
}

/// Starts a backend that accepts connections and never reads from them. It ends when the listener is dropped.
fn unresponsive_backend() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    (listener.local_addr().expect("an address"), listener)
}

#[test]
fn clients_that_stall_in_a_request_get_an_error_or_a_close_in_time() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let stalls = [
        stalls_in_a_head(),
        stalls_in_a_short_body(),
        stalls_in_a_long_body(),
        stalls_behind_a_request(),
    ];
    let late = late_clients(daemon.address, stalls.into_iter().flatten().collect());
    assert!(
        late.is_empty(),
        "{} clients got no error or close in time: {late:#?}",
        late.len()
    );
}

#[test]
fn clients_that_stall_in_a_long_body_get_an_error_in_time_while_the_backend_hangs() {
    let (address, _listener) = unresponsive_backend();
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", address)],
        common::sockets::without_health_checks,
    );
    // This backend serves nothing, so the clients that need a served RPC first are left out.
    let stalls = stalls_in_a_long_body().into_iter();
    let stalls = stalls.filter(|stall| stall.served_before == 0).collect();
    let late = late_clients(daemon.address, stalls);
    assert!(
        late.is_empty(),
        "{} clients got no error or close in time: {late:#?}",
        late.len()
    );
}

/// Sends the pieces with a pause between them, and returns the status of the response.
fn status_in_pieces(daemon: &Daemon, pieces: &[&str], pause: Duration) -> u16 {
    let mut client = daemon.client();
    for (number, piece) in pieces.iter().enumerate() {
        sleep(if number > 0 { pause } else { Duration::ZERO });
        assert!(client.send(piece), "closed at piece {number}");
    }
    client.response().expect("a response").status()
}

/// The proxy's timeouts permit what the protocol permits: 2 s for a head, and a body at 64 kB/s in pieces of any size.
#[test]
fn slow_clients_within_the_limits_are_served() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let slow_head = rpc("GET", "/read", "slow-head", "");
    let (head, end) = slow_head.split_at(HALF_HEAD.len());
    let slow_body = rpc("POST", "/book", "slow-body", &"x".repeat(300_000));
    let (burst, rest) = slow_body.split_at(128_000);
    let (second_burst, last) = rest.split_at(128_000);
    let trickled = rpc("POST", "/book", "trickled", &"x".repeat(100_000));
    let text = |piece| str::from_utf8(piece).expect("ASCII text");
    let small_pieces: Vec<_> = trickled.as_bytes().chunks(1280).map(text).collect();
    thread::scope(|scope| {
        let clients = [
            scope.spawn(|| status_in_pieces(&daemon, &[head, end], Duration::from_secs(2))),
            scope.spawn(|| {
                let pieces = [burst, second_burst, last];
                status_in_pieces(&daemon, &pieces, Duration::from_secs(2))
            }),
            scope.spawn(|| status_in_pieces(&daemon, &small_pieces, Duration::from_millis(20))),
        ];
        let statuses = clients.map(|client| client.join().expect("a client"));
        assert_eq!(statuses, [200; 3]);
    });
}

/// The log contains the reason and phase of a closed connection, and the status of the response to an invalid request.
#[test]
fn end_reasons_of_connections_and_requests_are_logged() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut stalled = daemon.client();
    assert!(stalled.send(HALF_HEAD));
    assert_eq!(
        daemon.client().status_of(&rpc("GET", "/nothing", "id", "")),
        404
    );
    assert!(stalled.is_closed());
    let is_logged = |words: &[&str]| {
        let logged = daemon.logged();
        logged
            .lines()
            .any(|line| words.iter().all(|word| line.contains(word)))
    };
    for words in [
        [
            "client connection ended",
            "reason=head-timeout",
            "phase=ReadingHead",
        ],
        ["message is no valid RPC", "reason=invalid-request", "404"],
    ] {
        eventually(EVENT_TIMEOUT, "a log line is missing", || is_logged(&words));
    }
}
