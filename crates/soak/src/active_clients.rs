//! Clients that keep a proxy busy while a fault lasts: floods of small messages, and crowds that write slowly.
use crate::plan::{Fault, FaultKind, SoakPlan};
use crate::scenario::select_targets;
use crate::stalled_clients::wait_until;
use birchhub_emulator::Clock;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// Timeout for connecting to a proxy, which may be restarting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause of a flood while the proxy takes nothing.
const FLOOD_PAUSE: Duration = Duration::from_millis(1);
/// Bytes of one write of a flood, at least.
const FLOOD_WRITE_BYTES: usize = 16 << 10;
/// Time between two writes of a client of a crowd.
const CROWD_STEP: Duration = Duration::from_millis(64);
/// Bytes of one write of a client of a crowd: 64 kB/s.
const CROWD_WRITE_BYTES: usize = 4 << 10;
/// Declared length of a body of a crowd, which no client of it completes.
const CROWD_BODY_BYTES: usize = 8 << 20;

const HEALTH_CHECK: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

/// What the clients of a group write.
#[derive(Clone, Copy)]
enum Traffic {
    /// Health checks without a pause.
    Flood,
    /// A long request at 64 kB/s.
    Crowd,
}

/// The clients of one fault, all connected to one proxy.
struct ClientGroup {
    traffic: Traffic,
    proxy: SocketAddr,
    name: String,
    clients: Vec<ActiveClient>,
}

struct ActiveClient {
    stream: TcpStream,
    unsent: Vec<u8>,
}

/// Starts the threads of all clients of a plan that keep a proxy busy. They end with the faults.
pub(crate) fn start(plan: &SoakPlan, clock: Clock, proxies: &[SocketAddr]) -> Vec<JoinHandle<()>> {
    let groups = plan.faults.iter().filter_map(|fault| {
        let (traffic, count) = match fault.kind {
            FaultKind::FloodingClients { count } => (Traffic::Flood, count),
            FaultKind::Crowd { count } => (Traffic::Crowd, count),
            _ => return None,
        };
        let proxy = proxies[select_targets(plan, fault, 1, proxies.len())[0]];
        Some(start_group(fault, traffic, count, proxy, clock))
    });
    groups.collect()
}

fn start_group(
    fault: &Fault,
    traffic: Traffic,
    count: usize,
    proxy: SocketAddr,
    clock: Clock,
) -> JoinHandle<()> {
    let name = fault.name.clone();
    let start = fault.start_seconds;
    let duration = Duration::from_secs_f64(fault.duration_seconds);
    spawn(move || {
        wait_until(clock, start);
        let ends_at = Instant::now() + duration;
        let mut group = ClientGroup {
            traffic,
            proxy,
            name,
            clients: Vec::new(),
        };
        group.run(count, ends_at);
    })
}

impl ClientGroup {
    /// Keeps this number of clients connected until the end of the fault.
    fn run(&mut self, count: usize, ends_at: Instant) {
        let mut connections = 0;
        while Instant::now() < ends_at {
            while self.clients.len() < count {
                let Some(client) = self.connect(connections) else {
                    break;
                };
                connections += 1;
                self.clients.push(client);
            }
            let traffic = self.traffic;
            let mut has_written = false;
            self.clients
                .retain_mut(|client| match client.step(traffic) {
                    Ok(written) => {
                        has_written |= written > 0;
                        true
                    }
                    Err(_) => false,
                });
            match traffic {
                Traffic::Crowd => sleep(CROWD_STEP),
                Traffic::Flood if !has_written => sleep(FLOOD_PAUSE),
                Traffic::Flood => {}
            }
        }
    }

    fn connect(&self, number: usize) -> Option<ActiveClient> {
        let stream = TcpStream::connect_timeout(&self.proxy, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        let unsent = match self.traffic {
            Traffic::Flood => Vec::new(),
            Traffic::Crowd => format!(
                "POST /book/0 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {}-{number}\r\n\
                 Request-Timeout-Ms: 60000\r\nContent-Length: {CROWD_BODY_BYTES}\r\n\r\n",
                self.name
            )
            .into_bytes(),
        };
        Some(ActiveClient { stream, unsent })
    }
}

impl ActiveClient {
    /// Writes once and reads what has come. Returns how many bytes were written.
    ///
    /// # Errors
    /// The connection has ended.
    fn step(&mut self, traffic: Traffic) -> std::io::Result<usize> {
        while let Traffic::Flood = traffic
            && self.unsent.len() < FLOOD_WRITE_BYTES
        {
            self.unsent.extend_from_slice(HEALTH_CHECK.as_bytes());
        }
        if self.unsent.is_empty() {
            self.unsent.resize(CROWD_WRITE_BYTES, b'c');
        }
        let written = not_blocked(self.stream.write(&self.unsent))?.unwrap_or(0);
        self.unsent.drain(..written);
        match not_blocked(self.stream.read(&mut [0; FLOOD_WRITE_BYTES]))? {
            Some(0) => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(written),
        }
    }
}

/// The result of a call on a socket that doesn't block; none if it would.
fn not_blocked(result: std::io::Result<usize>) -> std::io::Result<Option<usize>> {
    match result {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
