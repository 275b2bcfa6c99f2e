//! Clients that stop in the middle of a request, or say nothing, and stay: each is owed an error or a close.
use crate::fault::{FaultKind, SoakPlan};
use crate::scenario::chosen;
use birchhub_backend_model::work::generator;
use birchhub_emulator::Clock;
use rand::Rng;
use serde::Serialize;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::thread::{Builder, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Within which the end is owed, from the last byte, and a little for this machine.
const OWED: Duration = Duration::from_millis(3250);
/// For a connection to come up: a proxy may be starting.
const CONNECT: Duration = Duration::from_secs(1);
const STACK: usize = 128 << 10;
/// Keeps the draws of clients apart from others.
const STREAM: u64 = 0x50A6;

const HALF_HEAD: &str = "GET /read HTTP/1.1\r\nHost: api.internal\r\nRequest-";

/// What a stopped client has sent.
struct Stop {
    name: &'static str,
    sent: String,
}

/// One stopped client that was owed an end and got none.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LateEnd {
    /// What it had sent.
    pub client: String,
    /// The proxy that it was connected to.
    pub proxy: usize,
    /// When it stopped, s.
    pub at: f64,
}

fn post(length: &str, body: usize) -> String {
    format!(
        "POST /book/0 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: ffff\r\n\
         Request-Timeout-Ms: 60000\r\n{length}\r\n\r\n{}",
        "x".repeat(body)
    )
}

fn stops() -> Vec<Stop> {
    let stop = |name, sent: &str| Stop {
        name,
        sent: sent.to_owned(),
    };
    let health = "GET /health/ready HTTP/1.1\r\n\r\n";
    vec![
        stop("one byte", "G"),
        stop("half a head", HALF_HEAD),
        stop(
            "half a head behind health",
            &(health.to_owned() + HALF_HEAD),
        ),
        stop("half a body", &post("Content-Length: 9", 4)),
        stop("a byte missing", &post("Content-Length: 60000", 59_999)),
        stop("no chunk", &post("Transfer-Encoding: chunked", 0)),
        stop("half a long body", &post("Content-Length: 140000", 70_000)),
        stop(
            "a long byte missing",
            &post("Content-Length: 90000", 89_999),
        ),
    ]
}

/// Plays all stopped clients of a plan, and tells of those that were left waiting. Ends when the last of them does.
pub(crate) fn start(
    plan: SoakPlan,
    clock: Clock,
    proxies: Vec<SocketAddr>,
    late: Sender<LateEnd>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut clients = Vec::new();
        for fault in &plan.faults {
            let (count, is_silent) = match fault.kind {
                FaultKind::StoppedClients { count } => (count, false),
                FaultKind::SilentClients { count } => (count, true),
                _ => continue,
            };
            wait_until(clock, fault.at);
            let mut chance = generator(plan.seed, STREAM ^ fault.at.to_bits());
            // Silent ones crowd one proxy, the others are spread.
            let crowded = chosen(&plan, fault, 1, proxies.len())[0];
            for _ in 0..count {
                let mut stops = stops();
                let stop = stops.swap_remove(chance.random_range(0..stops.len()));
                let proxy = chance.random_range(0..proxies.len());
                let proxy = if is_silent { crowded } else { proxy };
                let stop = if is_silent {
                    Stop {
                        name: "nothing",
                        sent: String::new(),
                    }
                } else {
                    stop
                };
                let (at, late, begun) = (proxies[proxy], late.clone(), clock.now());
                let client = Builder::new().stack_size(STACK).spawn(move || {
                    if !is_ended_in_time(at, &stop) {
                        let _ = late.send(LateEnd {
                            client: stop.name.to_owned(),
                            proxy,
                            at: begun,
                        });
                    }
                });
                clients.extend(client);
            }
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

fn wait_until(clock: Clock, at: f64) {
    let left = at - clock.now();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}

/// Whether the client got an error or a close in time, or could not be a client at all.
fn is_ended_in_time(at: SocketAddr, stop: &Stop) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, CONNECT) else {
        return true;
    };
    let _ = stream.write_all(stop.sent.as_bytes());
    let deadline = Instant::now() + OWED;
    let mut received = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        let Some(left) = deadline.checked_duration_since(Instant::now()) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut chunk) {
            Ok(0) => return true,
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => return true,
        }
        let text = String::from_utf8_lossy(&received);
        if text.contains("HTTP/1.1 4") || text.contains("HTTP/1.1 5") {
            return true;
        }
    }
}
