//! Clients that stop in the middle of a request and stay: each gets an error or a close in time, whatever it stopped in
//! and whatever the backends do.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Client, Daemon, HEALTH, Log, echo, eventually, rpc};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// By when a client that stopped is owed an error or a close, counted from its last byte.
const OWED_WITHIN: Duration = Duration::from_secs(3);
/// After which a test stops waiting for a client's end.
const EVENT_TIMEOUT: Duration = Duration::from_secs(9);
/// Between the bytes of a client that sends the end of its request one by one.
const DRIBBLE_INTERVAL: Duration = Duration::from_millis(300);

/// What a stalled client does.
struct Stall {
    name: &'static str,
    /// Complete RPCs that are answered on the connection first.
    answered_before: usize,
    /// Sent at once; nothing follows.
    sent: String,
    /// Complete RPCs in `sent`: their answers come before the end that is waited for.
    complete: usize,
    /// Further bytes, sent one by one.
    dribbled: usize,
}

impl Stall {
    fn new(name: &'static str, sent: impl Into<String>) -> Self {
        Self {
            name,
            answered_before: 0,
            sent: sent.into(),
            complete: 0,
            dribbled: 0,
        }
    }

    fn after_answers(self, answered_before: usize) -> Self {
        Self {
            answered_before,
            ..self
        }
    }

    fn with_complete(self, complete: usize) -> Self {
        Self { complete, ..self }
    }

    fn dribbling(self, dribbled: usize) -> Self {
        Self { dribbled, ..self }
    }

    /// Plays the client and returns how long after its last byte it was answered with an error or closed; none if
    /// neither happened.
    fn play(&self, at: SocketAddr) -> Option<Duration> {
        let mut client = Client::open(at).expect("a connection");
        for number in 0..self.answered_before {
            let id = format!("before-{number}-{}", self.name.replace(' ', "-"));
            assert_eq!(client.status_of(&rpc("GET", "/read", &id, "")), 200);
        }
        let mut stream = client.stream();
        // Where the proxy has answered already, the rest can't be sent.
        let _ = stream.write_all(self.sent.as_bytes());
        for _ in 0..self.complete {
            assert_eq!(client.response().expect("an answer").status(), 200);
        }
        let stopped = Instant::now();
        if self.dribbled > 0 {
            let (mut stream, count) = (client.stream(), self.dribbled);
            thread::spawn(move || {
                for _ in 0..count {
                    sleep(DRIBBLE_INTERVAL);
                    if stream.write_all(b"x").is_err() {
                        return;
                    }
                }
            });
        }
        is_ended(&stream).then(|| stopped.elapsed())
    }
}

/// Waits for an error or a close; false if neither comes.
fn is_ended(mut stream: &TcpStream) -> bool {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let Some(left) = deadline.checked_duration_since(Instant::now()) else {
            return false;
        };
        let left = left.max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).expect("a time limit");
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

/// An RPC whose body is declared longer than what is sent of it.
fn cut_body(id: &str, declared: usize, sent: usize) -> String {
    rpc("POST", "/book", id, &"x".repeat(sent)).replace(
        &format!("Content-Length: {sent}"),
        &format!("Content-Length: {declared}"),
    )
}

/// An RPC whose body is sent in chunks; `body` is what stands behind the head.
fn chunked(id: &str, body: &str) -> String {
    let head = rpc("POST", "/book", id, "");
    head.replace("Content-Length: 0", "Transfer-Encoding: chunked") + body
}

fn chunk(length: usize) -> String {
    format!("{length:x}\r\n{}\r\n", "x".repeat(length))
}

const HALF_HEAD: &str = "GET /read HTTP/1.1\r\nHost: api.internal\r\nRequest-";

/// Clients that stop before their head is complete.
fn stalls_in_a_head() -> Vec<Stall> {
    vec![
        Stall::new("nothing", ""),
        Stall::new("an empty line", "\r\n"),
        Stall::new("one byte", "G"),
        Stall::new("half a head", HALF_HEAD),
        Stall::new("half a head, dribbled", HALF_HEAD).dribbling(40),
        Stall::new("a head without its end", {
            let head = rpc("GET", "/read", "endless", "");
            head[..head.len() - 2].to_owned()
        }),
        Stall::new("one byte, kept", "G").after_answers(1),
        Stall::new("half a head, kept", HALF_HEAD).after_answers(2),
        Stall::new("half a head after health", format!("{HEALTH}{HALF_HEAD}")).with_complete(1),
    ]
}

/// Clients that stop in a body that is short enough to be buffered.
fn stalls_in_a_short_body() -> Vec<Stall> {
    vec![
        Stall::new("no body", cut_body("short-none", 9, 0)),
        Stall::new("half a body", cut_body("short-half", 9, 4)),
        Stall::new("a byte missing", cut_body("short-1", 60_000, 59_999)),
        Stall::new("half a body, kept", cut_body("short-kept", 9, 4)).after_answers(1),
        Stall::new("half a body, dribbled", cut_body("short-dribble", 900, 4)).dribbling(40),
        Stall::new("no chunk", chunked("chunk-none", "")),
        Stall::new("half a chunk", chunked("chunk-half", "9\r\nhalf")),
        Stall::new("half a chunk size", chunked("chunk-size", "9")),
        Stall::new("no last chunk", chunked("chunk-last", &chunk(9))),
        Stall::new("half the trailers", chunked("trailers", "0\r\nX-A: ")),
        Stall::new(
            "expects to be asked",
            cut_body("expect", 9, 0).replace("Host:", "Expect: 100-continue\r\nHost:"),
        ),
    ]
}

/// Clients that stop in a body that is too long to be buffered.
fn stalls_in_a_long_body() -> Vec<Stall> {
    let half = || cut_body("long-half", 140_000, 70_000);
    vec![
        Stall::new("half a long body", half()),
        Stall::new("little time", {
            half().replace("long-half", "hurry").replace("3000", "100")
        }),
        Stall::new("much time", {
            half().replace("long-half", "calm").replace("3000", "60000")
        }),
        Stall::new(
            "a byte of a long body missing",
            cut_body("long-1", 70_000, 69_999),
        ),
        Stall::new(
            "a megabyte and no more",
            cut_body("long-mb", 2 << 20, 1 << 20),
        ),
        Stall::new("half a long body, kept", cut_body("kept", 140_000, 70_000)).after_answers(1),
        Stall::new("no last long chunk", chunked("long-c", &chunk(70_000))),
        Stall::new(
            "half a long chunk",
            chunked("long-hc", &chunk(140_000)[..100_000]),
        ),
        Stall::new("a long body, dribbled", cut_body("drip", 70_000, 69_900)).dribbling(40),
    ]
}

/// Clients that stop in a message behind a complete one.
fn stalls_behind_a_request() -> Vec<Stall> {
    let whole = |id: &str| rpc("GET", "/read", id, "");
    let book = |id: &str| rpc("POST", "/book", id, "body");
    vec![
        Stall::new("half a second head", whole("p1") + HALF_HEAD).with_complete(1),
        Stall::new("one byte behind", whole("p2") + "G").with_complete(1),
        Stall::new("half a head behind a body", book("p3") + HALF_HEAD).with_complete(1),
        Stall::new(
            "half a head behind chunks",
            chunked("p4", "4\r\nbody\r\n0\r\n\r\n") + HALF_HEAD,
        )
        .with_complete(1),
        Stall::new("half a third head", whole("p5") + &whole("p6") + HALF_HEAD).with_complete(2),
        Stall::new("half a body behind", whole("p7") + &cut_body("p8", 9, 4)).with_complete(1),
        Stall::new(
            "half a long body behind",
            whole("p9") + &cut_body("p10", 140_000, 70_000),
        )
        .with_complete(1),
    ]
}

/// Plays all clients at once; the names of those that were not ended in time, with the time.
fn late(at: SocketAddr, stalls: Vec<Stall>) -> Vec<(&'static str, Option<Duration>)> {
    let players: Vec<JoinHandle<_>> = stalls
        .into_iter()
        .map(|stall| thread::spawn(move || (stall.name, stall.play(at))))
        .collect();
    players
        .into_iter()
        .map(|player| player.join().expect("a player"))
        .filter(|(_, ended)| ended.is_none_or(|ended| ended > OWED_WITHIN))
        .collect()
}

/// A backend that takes connections and never reads from them.
fn deaf_backend() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    (listener.local_addr().expect("an address"), listener)
}

#[test]
fn clients_that_stop_in_a_request_are_answered_or_closed_in_time() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let stalls = [
        stalls_in_a_head(),
        stalls_in_a_short_body(),
        stalls_in_a_long_body(),
        stalls_behind_a_request(),
    ];
    let late = late(daemon.at, stalls.into_iter().flatten().collect());
    assert!(late.is_empty(), "{} are late: {late:#?}", late.len());
}

#[test]
fn clients_that_stop_in_a_long_body_are_answered_in_time_while_the_backend_hangs() {
    let (at, _listener) = deaf_backend();
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", at)],
        common::sockets::without_health_checks,
    );
    // Nothing is answered on a connection before, as nothing is answered at all.
    let stalls = stalls_in_a_long_body().into_iter();
    let stalls = stalls.filter(|stall| stall.answered_before == 0).collect();
    let late = late(daemon.at, stalls);
    assert!(late.is_empty(), "{} are late: {late:#?}", late.len());
}

/// Sends the pieces with a pause ahead of each but the first, and returns the status of the answer.
fn status_in_pieces(daemon: &Daemon, pieces: &[&str], pause: Duration) -> u16 {
    let mut client = daemon.client();
    for (number, piece) in pieces.iter().enumerate() {
        sleep(if number > 0 { pause } else { Duration::ZERO });
        assert!(client.send(piece), "closed at piece {number}");
    }
    client.response().expect("an answer").status()
}

/// What stopped clients are owed takes nothing from usual ones: they take 2 s for a head, and send a body at 64 kB a
/// second in pieces of any size.
#[test]
fn usual_slow_clients_are_served() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let slow_head = rpc("GET", "/read", "slow-head", "");
    let (head, end) = slow_head.split_at(HALF_HEAD.len());
    let slow_body = rpc("POST", "/book", "slow-body", &"x".repeat(300_000));
    let (burst, rest) = slow_body.split_at(128_000);
    let (second_burst, last) = rest.split_at(128_000);
    let dribbled = rpc("POST", "/book", "dribbled", &"x".repeat(100_000));
    let text = |piece| str::from_utf8(piece).expect("plain text");
    let small_pieces: Vec<_> = dribbled.as_bytes().chunks(1280).map(text).collect();
    thread::scope(|scope| {
        let played = [
            scope.spawn(|| status_in_pieces(&daemon, &[head, end], Duration::from_secs(2))),
            scope.spawn(|| {
                let pieces = [burst, second_burst, last];
                status_in_pieces(&daemon, &pieces, Duration::from_secs(2))
            }),
            scope.spawn(|| status_in_pieces(&daemon, &small_pieces, Duration::from_millis(20))),
        ];
        let statuses = played.map(|client| client.join().expect("a client"));
        assert_eq!(statuses, [200; 3]);
    });
}

/// The log tells why a connection was closed and in which phase it was, and names a request that failed.
#[test]
fn the_log_tells_why_a_connection_and_a_request_ended() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut stopped = daemon.client();
    assert!(stopped.send(HALF_HEAD));
    assert_eq!(
        daemon.client().status_of(&rpc("GET", "/nothing", "id", "")),
        404
    );
    assert!(stopped.is_closed());
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
        eventually(EVENT_TIMEOUT, "a line is missing", || is_logged(&words));
    }
}
