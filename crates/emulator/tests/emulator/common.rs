//! Helpers of the emulator's tests: a backend, a proxy's connection to it, and recorded events.
use birchhub_audit::{DeduplicationScope, Entry, Event, Idempotency};
use birchhub_backend_model::{BackendParameters, StartMode, WorkDistribution, work::Spread};
use birchhub_emulator::wire::{Message, MessageKind, Peer, ReadError};
use birchhub_emulator::{BackendSpec, Clock, EmulatedBackend, EventLog, Fleet, MethodCost};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// IP address of all listeners of the tests.
pub(crate) const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Runs a test on a single-threaded runtime, like that of the emulator in a rehearsal.
pub(crate) fn on_one_thread<F: Future<Output = ()>>(
    test: impl FnOnce(EventLog, Receiver<Entry>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (event_log, entries) = EventLog::new(Clock::starting_in(Duration::ZERO));
        timeout(TEST_TIMEOUT, test(event_log, entries))
            .await
            .expect("the test ends before its timeout");
    });
}

/// A stopped backend with one core and a queue for one RPC, whose methods cost `work` seconds.
pub(crate) fn backend(event_log: &EventLog, work: f64) -> Rc<EmulatedBackend> {
    let method = |name: &str, idempotency| MethodCost {
        name: name.into(),
        work: WorkDistribution {
            mean: work,
            spread: Spread::Constant,
        },
        idempotency,
    };
    let deduplicated = Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: 60.0,
    };
    let costs = vec![
        method("read", Idempotency::Idempotent),
        method("log", deduplicated),
    ];
    let fleet = Rc::new(Fleet::new(event_log.clone(), 1, costs));
    let model = BackendParameters {
        cores: 1,
        speed: 1.0,
        queue_capacity: 1,
        initial_capacity: 0.5,
        warm_up_seconds: 60.0,
        collapse_factor: 3.0,
        overload_window_seconds: 1.0,
        report_interval: 0.0,
        cancel_stops_execution: true,
        connections: 4,
        connection_work: 0.0,
    };
    let spec = BackendSpec {
        index: 0,
        name: "n0".into(),
        zone: 0,
        rack: 0,
        model,
        idle_timeout_seconds: 30.0,
    };
    EmulatedBackend::new(spec, fleet, &[LOCALHOST, LOCALHOST]).expect("addresses")
}

/// A started backend at its full capacity.
pub(crate) fn warm_backend(event_log: &EventLog, work: f64) -> Rc<EmulatedBackend> {
    let backend = backend(event_log, work);
    backend.start(StartMode::Warm).expect("a start");
    backend
}

/// Encodes a proxy's request with additional header lines.
pub(crate) fn request(
    http_method: &str,
    path: &str,
    request_id: u64,
    extra_headers: &str,
) -> Vec<u8> {
    format!(
        "{http_method} {path} HTTP/1.1\r\nHost: n\r\nRequest-Id: {request_id:016x}\r\n{extra_headers}\r\n"
    )
    .into_bytes()
}

/// A proxy's connection to a backend.
pub(crate) struct Connection {
    pub(crate) peer: Peer,
    clock: Clock,
}

impl Connection {
    /// Connects to the backend's address for this proxy.
    pub(crate) async fn open(backend: &EmulatedBackend, event_log: &EventLog, proxy: u16) -> Self {
        let peer = Peer::connect(backend.address(proxy).expect("an address"))
            .await
            .expect("a connection");
        Self {
            peer,
            clock: event_log.clock,
        }
    }

    /// Sends an RPC.
    pub(crate) async fn send(&mut self, request_id: u64) {
        self.peer
            .write(&request("GET", "/read/1", request_id, ""))
            .await
            .expect("a write");
    }

    /// Reads a response.
    pub(crate) async fn receive(&mut self) -> Result<Message, ReadError> {
        self.peer.read(MessageKind::Response, &self.clock).await
    }

    /// Sends an RPC and reads its response.
    pub(crate) async fn call(&mut self, request_id: u64) -> Result<Message, ReadError> {
        self.send(request_id).await;
        self.receive().await
    }
}

/// Drains the recorded events and returns those that match.
pub(crate) fn recorded_events(
    entries: &Receiver<Entry>,
    matches: impl Fn(&Event) -> bool,
) -> Vec<Event> {
    entries
        .try_iter()
        .map(|entry| entry.event)
        .filter(|event| matches(event))
        .collect()
}

/// Waits for a recorded event that matches and drops all others.
pub(crate) async fn await_event(
    entries: &Receiver<Entry>,
    matches: impl Fn(&Event) -> bool,
) -> Event {
    loop {
        if let Some(event) = recorded_events(entries, &matches).pop() {
            return event;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// Whether an attempt has ended.
pub(crate) fn is_attempt_end(event: &Event) -> bool {
    matches!(event, Event::AttemptEnded { .. })
}
