//! Clients that stall within a request or send nothing. A proxy must terminate each with an error response or a close.
use crate::plan::{Fault, FaultKind, SoakPlan};
use crate::scenario::select_targets;
use birchhub_backend_model::work::seeded_rng;
use birchhub_emulator::Clock;
use rand::Rng;
use serde::Serialize;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::thread::{Builder, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Time after a stalled client's last byte within which a proxy must terminate it, with an allowance for delays of this
/// machine.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3250);
/// Timeout for connecting to a proxy, which may be restarting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum timeout of a read: the standard library rejects 0.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Stack size of a client's thread.
const STACK_BYTES: usize = 128 << 10;
/// Random stream for clients, distinct from the other streams of a seed.
const STREAM: u64 = 0x50A6;

const PARTIAL_HEAD: &str = "GET /read HTTP/1.1\r\nHost: api.internal\r\nRequest-";
const HEALTH_CHECK: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

/// What a stalled client sends before it stalls.
#[derive(Clone, Debug)]
struct PartialRequest {
    name: &'static str,
    bytes: String,
}

/// A stalled client that a proxy did not terminate in time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UnterminatedClient {
    /// Name of the partial request that it had sent.
    #[serde(rename = "client")]
    pub sent: String,
    /// The proxy that it was connected to.
    pub proxy: usize,
    /// When it stalled, in seconds.
    #[serde(rename = "at")]
    pub stalled_at: f64,
}

impl fmt::Display for UnterminatedClient {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            sent,
            proxy,
            stalled_at,
        } = self;
        write!(
            formatter,
            "at {stalled_at:.3} s: proxy {proxy} neither rejected nor closed a stalled client that had sent {sent}"
        )
    }
}

/// A `POST` request with `body_bytes` bytes of body, regardless of the length in `body_header`.
fn post(body_header: &str, body_bytes: usize) -> String {
    format!(
        "POST /book/0 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: ffff\r\n\
         Request-Timeout-Ms: 60000\r\n{body_header}\r\n\r\n{}",
        "x".repeat(body_bytes)
    )
}

/// All partial requests after which a client may stall.
fn partial_requests() -> Vec<PartialRequest> {
    let request = |name, bytes: &str| PartialRequest {
        name,
        bytes: bytes.to_owned(),
    };
    let after_health_check = HEALTH_CHECK.to_owned() + PARTIAL_HEAD;
    vec![
        request("one byte", "G"),
        request("half a head", PARTIAL_HEAD),
        request("half a head behind health", &after_health_check),
        request("half a body", &post("Content-Length: 9", 4)),
        request("a byte missing", &post("Content-Length: 60000", 59_999)),
        request("no chunk", &post("Transfer-Encoding: chunked", 0)),
        request("half a long body", &post("Content-Length: 140000", 70_000)),
        request(
            "a long byte missing",
            &post("Content-Length: 90000", 89_999),
        ),
    ]
}

/// Starts a thread that runs all stalled clients of a plan and sends those that were not terminated in time to
/// `unterminated`. The thread ends with the last client.
pub(crate) fn start(
    plan: SoakPlan,
    clock: Clock,
    proxies: Vec<SocketAddr>,
    unterminated: Sender<UnterminatedClient>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut clients = Vec::new();
        for fault in &plan.faults {
            let Some(group) = ClientGroup::of(&fault.kind) else {
                continue;
            };
            wait_until(clock, fault.start_seconds);
            for client in group.clients(&plan, fault, proxies.len()) {
                let address = proxies[client.proxy];
                clients.extend(client.spawn(address, clock.now(), unterminated.clone()));
            }
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

/// A client that connects to a proxy, sends a partial request and stalls.
struct StalledClient {
    proxy: usize,
    request: PartialRequest,
}

/// The clients of one fault.
struct ClientGroup {
    count: usize,
    /// Silent clients send nothing and all connect to one proxy.
    is_silent: bool,
}

impl ClientGroup {
    /// The clients of a kind of fault; `None` if it has none.
    fn of(kind: &FaultKind) -> Option<Self> {
        match *kind {
            FaultKind::StalledClients { count } => Some(Self {
                count,
                is_silent: false,
            }),
            FaultKind::SilentClients { count } => Some(Self {
                count,
                is_silent: true,
            }),
            _ => None,
        }
    }

    /// Selects the proxy and the partial request of each client at random.
    fn clients(&self, plan: &SoakPlan, fault: &Fault, proxies: usize) -> Vec<StalledClient> {
        let mut rng = seeded_rng(plan.seed, STREAM ^ fault.start_seconds.to_bits());
        let silent_clients_proxy = select_targets(plan, fault, 1, proxies)[0];
        let requests = partial_requests();
        let client = |_| {
            let request = requests[rng.random_range(0..requests.len())].clone();
            let proxy = rng.random_range(0..proxies);
            if self.is_silent {
                StalledClient {
                    proxy: silent_clients_proxy,
                    request: PartialRequest {
                        name: "nothing",
                        bytes: String::new(),
                    },
                }
            } else {
                StalledClient { proxy, request }
            }
        };
        (0..self.count).map(client).collect()
    }
}

impl StalledClient {
    /// Runs the client on its own thread. Fails if the system cannot create a thread.
    fn spawn(
        self,
        address: SocketAddr,
        stalled_at: f64,
        unterminated: Sender<UnterminatedClient>,
    ) -> std::io::Result<JoinHandle<()>> {
        Builder::new().stack_size(STACK_BYTES).spawn(move || {
            if !is_terminated_in_time(address, &self.request) {
                let _ = unterminated.send(UnterminatedClient {
                    sent: self.request.name.to_owned(),
                    proxy: self.proxy,
                    stalled_at,
                });
            }
        })
    }
}

/// Waits until this time of a run.
pub(crate) fn wait_until(clock: Clock, at: f64) {
    let left = at - clock.now();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}

/// Whether the client received an error response or a close in time, or could not connect.
fn is_terminated_in_time(address: SocketAddr, request: &PartialRequest) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
        return true;
    };
    let _ = stream.write_all(request.bytes.as_bytes());
    let deadline = Instant::now() + TERMINATION_TIMEOUT;
    let mut received = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        let Some(left) = deadline.checked_duration_since(Instant::now()) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(left.max(MIN_READ_TIMEOUT)));
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
