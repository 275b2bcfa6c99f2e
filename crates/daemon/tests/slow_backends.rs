//! Long requests whose backends read slowly or not at all: the client's timeout counts from its last byte, which may lie
//! unread in the sockets.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Client, Daemon, Log, read_message, reply, rpc, serve, without_health_checks,
};
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::thread::{JoinHandle, scope, sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Time after the client's timeout at which a request without a response is lost.
const RESPONSE_GRACE: Duration = Duration::from_millis(550);
/// Longer than any request in these tests waits.
const LONG_PAUSE: Duration = Duration::from_secs(4);

/// How a request declares the end of its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

/// A long request and how its client sends it.
#[derive(Clone, Debug)]
struct LongRequest {
    id: String,
    framing: Framing,
    body_bytes: usize,
    client_timeout: Duration,
    /// Bytes that the client sends each [`LongRequest::PIECE_INTERVAL`].
    piece_bytes: usize,
}

/// What a client has seen.
struct Outcome {
    status: u16,
    /// Time from the client's last byte to the response; none if the response came before.
    waited: Option<Duration>,
}

impl LongRequest {
    const PIECE_INTERVAL: Duration = Duration::from_millis(100);

    fn encode(&self) -> Vec<u8> {
        let body = "x".repeat(self.body_bytes);
        let timeout = self.client_timeout.as_millis().to_string();
        let message = rpc("POST", "/book", &self.id, &body).replacen("3000", &timeout, 1);
        match self.framing {
            Framing::Length => message.into_bytes(),
            Framing::Chunks => {
                let (head, body) = message.split_once("\r\n\r\n").expect("a head");
                let length = format!("Content-Length: {}", self.body_bytes);
                let head = head.replace(&length, "Transfer-Encoding: chunked");
                let mut message = format!("{head}\r\n\r\n").into_bytes();
                for chunk in body.as_bytes().chunks(50_000) {
                    message.extend(format!("{:x}\r\n", chunk.len()).bytes());
                    message.extend(chunk);
                    message.extend(b"\r\n");
                }
                message.extend(b"0\r\n\r\n");
                message
            }
        }
    }

    /// Sends the request and waits for its response.
    fn send(&self, address: SocketAddr) -> Outcome {
        let mut client = Client::open(address).expect("a connection");
        let mut stream = client.stream();
        let message = self.encode();
        let piece_bytes = self.piece_bytes;
        let sender: JoinHandle<Option<Instant>> = spawn(move || {
            for (number, piece) in message.chunks(piece_bytes).enumerate() {
                if number > 0 {
                    sleep(Self::PIECE_INTERVAL);
                }
                stream.write_all(piece).ok()?;
            }
            Some(Instant::now())
        });
        let status = client.response().map_or(0, |response| response.status());
        let responded_at = Instant::now();
        drop(client);
        let sent_at = sender.join().expect("a sender");
        Outcome {
            status,
            waited: sent_at.and_then(|sent_at| responded_at.checked_duration_since(sent_at)),
        }
    }
}

/// Starts a backend that pauses before it reads each request, and then records `ran ID` for those that are complete.
fn pausing_backend(log: &Log, pause: Duration) -> SocketAddr {
    let log = log.clone();
    serve("127.0.0.1:0", move |mut stream| {
        sleep(pause);
        let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(message) = read_message(&mut input) {
            log.record(format!("ran {}", message.header("request-id")));
            let _ = stream.write_all(&reply("200 OK", "done"));
            sleep(pause);
        }
    })
}

fn start(backend: SocketAddr, memory_mebibytes: u64) -> Daemon {
    Daemon::start_with(PROGRAM, &[("s-1", backend)], |config: &mut Value| {
        without_health_checks(config);
        config["limits"]["memory_mb"] = memory_mebibytes.into();
    })
}

/// Checks that this request, whose client has sent it whole, has its response in time, and that it is not told as not run if
/// it ran.
fn assert_answered_in_time(request: &LongRequest, outcome: &Outcome, log: &Log) {
    let id = &request.id;
    let waited = outcome.waited.unwrap_or_default();
    assert!(
        waited <= request.client_timeout + RESPONSE_GRACE,
        "{request:?}: {} after {waited:?}",
        outcome.status
    );
    let has_run = log.count(&format!("ran {id}")) > 0;
    assert!(
        outcome.status == 502 || (outcome.status == 503 && !has_run),
        "{request:?}: {}, ran: {has_run}",
        outcome.status
    );
}

/// The rest of a long request lay unread in the sockets while its backend read nothing, and its client had no answer in
/// time.
#[test]
fn a_request_in_the_sockets_is_answered_in_time_while_its_backend_reads_nothing() {
    let log = Log::new(vec![]);
    let backend = pausing_backend(&log, LONG_PAUSE);
    let daemon = start(backend, 1024);
    let mut requests = Vec::new();
    for framing in [Framing::Length, Framing::Chunks] {
        for body_bytes in [3_500_000, 5_000_000, 8_000_000] {
            for milliseconds in [400, 1000, 1700] {
                requests.push(LongRequest {
                    id: format!("{framing:?}-{body_bytes}-{milliseconds}"),
                    framing,
                    body_bytes,
                    client_timeout: Duration::from_millis(milliseconds),
                    piece_bytes: body_bytes,
                });
            }
        }
    }
    let outcomes = send_all(&requests, daemon.address);
    // The backend has gone on reading.
    sleep(LONG_PAUSE);
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert_answered_in_time(request, outcome, &log);
        let earliest = request.client_timeout - Duration::from_millis(20);
        assert!(
            outcome.waited.is_some_and(|waited| waited >= earliest),
            "{request:?}: {} after {:?}",
            outcome.status,
            outcome.waited
        );
    }
}

/// Sends these requests at the same time.
fn send_all(requests: &[LongRequest], address: SocketAddr) -> Vec<Outcome> {
    scope(|threads| {
        let senders: Vec<_> = requests
            .iter()
            .map(|request| threads.spawn(move || request.send(address)))
            .collect();
        let outcomes = senders
            .into_iter()
            .map(|sender| sender.join().expect("a client"));
        outcomes.collect()
    })
}

/// Reading ahead must not take all memory: without more of it, requests are still answered in time.
#[test]
fn memory_is_bounded_while_many_long_requests_wait_for_a_backend() {
    let log = Log::new(vec![]);
    let limit_mebibytes = 48;
    let daemon = start(pausing_backend(&log, LONG_PAUSE), limit_mebibytes);
    let requests: Vec<_> = (0..40)
        .map(|number| LongRequest {
            id: format!("many-{number}"),
            framing: [Framing::Length, Framing::Chunks][number % 2],
            body_bytes: 6_000_000,
            client_timeout: Duration::from_millis(600),
            piece_bytes: 6_000_000,
        })
        .collect();
    let mut peak_memory = 0;
    let outcomes = scope(|threads| {
        let address = daemon.address;
        let requests = &requests;
        let outcomes = threads.spawn(move || send_all(requests, address));
        while !outcomes.is_finished() {
            peak_memory = peak_memory.max(daemon.memory());
            sleep(Duration::from_millis(2));
        }
        outcomes.join().expect("clients")
    });
    sleep(LONG_PAUSE);
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert_answered_in_time(request, outcome, &log);
    }
    let limit = usize::try_from(limit_mebibytes << 20).expect("a limit");
    assert!(peak_memory <= limit, "{} MiB of memory", peak_memory >> 20);
}

/// Neither a client that sends for longer than its timeout nor a pause of its backend ends a request early.
#[test]
fn slow_requests_are_served_across_a_pause_of_their_backend() {
    let log = Log::new(vec![]);
    let daemon = start(pausing_backend(&log, Duration::from_millis(1200)), 512);
    let request = |id: &str, framing, body_bytes, piece_bytes| LongRequest {
        id: id.to_owned(),
        framing,
        body_bytes,
        client_timeout: Duration::from_millis(400),
        piece_bytes,
    };
    let requests = [
        // 64 kB/s, with some of the pause left when the body begins to be streamed.
        request("slow-length", Framing::Length, 300_000, 6_400),
        request("slow-chunks", Framing::Chunks, 300_000, 6_400),
        // So fast that the sockets to the backend are full during its pause.
        request("fast-length", Framing::Length, 30_000_000, 1_000_000),
        request("fast-chunks", Framing::Chunks, 30_000_000, 1_000_000),
    ];
    let outcomes = send_all(&requests, daemon.address);
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert_eq!(outcome.status, 200, "{request:?}");
    }
}
