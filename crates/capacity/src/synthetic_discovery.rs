//! A discovery service with a synthetic endpoint list of any size: one thread, one address for all proxies, and each response
//! encoded once for all polls that ask for the same versions.
use crate::error::MeasurementError;
use crate::service_thread::{ServiceThread, serve_on_thread};
use crate::usage;
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{Message, MessageKind, Peer, response};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Longest time for which a poll may be held, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;
/// Backends of one cell.
const BACKENDS_PER_CELL: u32 = 8;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The path of the endpoint list.
pub(crate) const LIST_PATH: &str = "/registry/instances";

/// A response that was encoded for the polls from one version to another.
struct EncodedResponse {
    from: Option<u64>,
    to: u64,
    bytes: Arc<Vec<u8>>,
}

/// The endpoint list and its history of changes.
struct EndpointList {
    version: u64,
    /// Addresses that the endpoints share in turn.
    addresses: Vec<SocketAddr>,
    zones: u32,
    /// Whether each endpoint is draining.
    draining: Vec<bool>,
    /// The endpoint that changed with each version, starting with version 1.
    changed: Vec<u32>,
    /// The last response that was encoded.
    encoded: Option<EncodedResponse>,
}

impl EndpointList {
    fn endpoint_json(&self, number: u32) -> String {
        let address = self.addresses[number as usize % self.addresses.len()];
        let state = match self.draining[number as usize] {
            true => "Terminating",
            false => "Ready",
        };
        let zone = number % self.zones;
        let cell = number / BACKENDS_PER_CELL;
        format!(
            r#"{{"uid":"s-{number:08x}","endpoint":"{address}","az":"z{zone}","model":"m","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":0.0}}"#
        )
    }

    /// Returns the response with the changes since a version, or with a snapshot if there is none.
    fn response_since(&mut self, from: Option<u64>) -> Arc<Vec<u8>> {
        if let Some(encoded) = &self.encoded
            && encoded.from == from
            && encoded.to == self.version
        {
            return encoded.bytes.clone();
        }
        let mut numbers: Vec<u32> = match from {
            None => (0..self.draining.len() as u32).collect(),
            Some(from) => self.changed[from as usize..].to_vec(),
        };
        numbers.sort_unstable();
        numbers.dedup();
        let endpoints: Vec<_> = numbers
            .into_iter()
            .map(|number| self.endpoint_json(number))
            .collect();
        let body = format!(
            r#"{{"rev":{},"all":{},"targets":[{}]}}"#,
            self.version,
            from.is_none(),
            endpoints.join(",")
        );
        let headers = [("Content-Type", "application/json")];
        let bytes = Arc::new(response(200, &headers, body.as_bytes()));
        self.encoded = Some(EncodedResponse {
            from,
            to: self.version,
            bytes: bytes.clone(),
        });
        bytes
    }
}

#[derive(Default)]
struct UsageCounters {
    calls: AtomicU64,
    bytes: AtomicU64,
    connections: AtomicU64,
    processor_nanoseconds: AtomicU64,
}

/// What the service has used since it was started.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryUsage {
    /// Polls that had a response.
    pub calls: u64,
    /// Bytes of all responses.
    pub bytes: u64,
    /// Accepted connections.
    pub connections: u64,
    /// Processor time in seconds.
    pub processor_seconds: f64,
}

impl DiscoveryUsage {
    /// The difference to an earlier usage.
    pub fn since(self, before: Self) -> Self {
        Self {
            calls: self.calls - before.calls,
            bytes: self.bytes - before.bytes,
            connections: self.connections - before.connections,
            processor_seconds: self.processor_seconds - before.processor_seconds,
        }
    }
}

struct Shared {
    list: Mutex<EndpointList>,
    version: watch::Sender<u64>,
    usage: UsageCounters,
}

impl Shared {
    fn list(&self) -> MutexGuard<'_, EndpointList> {
        // The list is consistent after a panic too: each change is one store.
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_response(&self, bytes: usize) {
        self.usage.calls.fetch_add(1, Relaxed);
        self.usage.bytes.fetch_add(bytes as u64, Relaxed);
        let processor_nanoseconds = usage::thread_processor_seconds() * NANOSECONDS_PER_SECOND;
        self.usage
            .processor_nanoseconds
            .store(processor_nanoseconds as u64, Relaxed);
    }
}

/// The discovery service, which ends when it is dropped.
pub struct SyntheticDiscoveryService {
    shared: Arc<Shared>,
    address: SocketAddr,
    _thread: ServiceThread,
}

impl SyntheticDiscoveryService {
    /// Starts a service with a list of `backends` endpoints, which share `addresses` in turn and are spread over `zones` zones.
    ///
    /// # Errors
    /// Fails if the thread or the listener can't be created.
    pub fn start(
        backends: u32,
        addresses: &[SocketAddr],
        zones: u32,
    ) -> Result<Self, MeasurementError> {
        let list = EndpointList {
            version: 0,
            addresses: addresses.to_vec(),
            zones: zones.max(1),
            draining: vec![false; backends as usize],
            changed: Vec::new(),
            encoded: None,
        };
        let shared = Arc::new(Shared {
            list: Mutex::new(list),
            version: watch::channel(0).0,
            usage: UsageCounters::default(),
        });
        let (stop, stopped) = oneshot::channel();
        let serve = {
            let shared = shared.clone();
            move |listener: TcpListener| async move {
                let accepting = spawn_local(accept(shared, listener));
                let _ = stopped.await;
                accepting.abort();
            }
        };
        let (address, thread) = serve_on_thread("list", serve)?;
        Ok(Self {
            shared,
            address,
            _thread: ServiceThread::new(stop, thread),
        })
    }

    /// The address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes one endpoint from ready to draining or back. Returns the version with the change.
    pub fn change_endpoint(&self, number: u32) -> u64 {
        let mut list = self.shared.list();
        let index = number as usize % list.draining.len();
        list.draining[index] = !list.draining[index];
        list.changed.push(index as u32);
        list.version += 1;
        let version = list.version;
        drop(list);
        self.shared.version.send_replace(version);
        version
    }

    /// What the service has used so far.
    pub fn usage(&self) -> DiscoveryUsage {
        let usage = &self.shared.usage;
        let processor_nanoseconds = usage.processor_nanoseconds.load(Relaxed);
        DiscoveryUsage {
            calls: usage.calls.load(Relaxed),
            bytes: usage.bytes.load(Relaxed),
            connections: usage.connections.load(Relaxed),
            processor_seconds: processor_nanoseconds as f64 / NANOSECONDS_PER_SECOND,
        }
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let clock = Clock::starting_in(Duration::ZERO);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                shared.usage.connections.fetch_add(1, Relaxed);
                spawn_local(serve_connection(shared.clone(), Peer::new(stream), clock));
            }
            Err(error) => {
                log::warn!("discovery service: accepting a connection failed, retrying: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, mut peer: Peer, clock: Clock) {
    let mut versions = shared.version.subscribe();
    while let Ok(request) = peer.read(MessageKind::Request, &clock).await {
        let Some(poll) = Poll::parse(&request) else {
            let _ = peer.write(&response(404, &[], b"no such list\n")).await;
            return;
        };
        // A later version than the present one is from another service: the response is a snapshot.
        let from = poll.from.filter(|from| *from <= shared.list().version);
        if let Some(from) = from {
            let deadline = Instant::now() + poll.hold;
            while *versions.borrow_and_update() == from {
                select! {
                    _ = versions.changed() => {}
                    () = sleep_until(deadline) => break,
                    () = peer.closed() => return,
                }
            }
        }
        let bytes = shared.list().response_since(from);
        if peer.write(&bytes).await.is_err() {
            return;
        }
        shared.record_response(bytes.len());
    }
}

/// A request for the endpoint list.
struct Poll {
    /// The version that the proxy has; none if it needs a snapshot.
    from: Option<u64>,
    /// How long the response may wait for a change.
    hold: Duration,
}

impl Poll {
    fn parse(request: &Message) -> Option<Self> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if path != LIST_PATH {
            return None;
        }
        let hold_ms = query_number(query, "hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        Some(Self {
            from: query_number(query, "from"),
            hold: Duration::from_millis(hold_ms),
        })
    }
}

/// Reads the first value of a key in a query as a number.
fn query_number(query: &str, key: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == key)?;
    value.parse().ok()
}
