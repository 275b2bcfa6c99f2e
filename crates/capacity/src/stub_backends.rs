//! Stub backends: a few listeners that stand for all backends of an endpoint list. Each request waits for a fixed service
//! time, and each response reports the time that was spent, which clients subtract from the latency.
use crate::error::MeasurementError;
use crate::service_thread::{ServiceThread, listen_on_loopback, serve_on_thread};
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{MessageKind, Peer, response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// The load report in each response.
const LOAD_REPORT: &str = "inflight=0,queue=0,util=0.1";
/// Listeners that share all backends: few file descriptors, and enough address pairs that ports don't run out.
const LISTENERS: usize = 32;
/// The name of the backends' thread.
const THREAD_NAME: &str = "backends";
/// The path of a health check.
const HEALTH_CHECK_PATH: &str = "/stats";
/// What stands in a response's body before the service time in microseconds.
const SERVICE_TIME_PREFIX: &str = "served ";
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Service time of a request; with it a proxy has several RPCs in flight.
pub const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time after which backends close an idle connection in measurements.
pub const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Counters {
    connections: AtomicU64,
    requests: AtomicU64,
    health_checks: AtomicU64,
}

/// Connections and requests that all backends have received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendCounts {
    /// Accepted connections.
    pub connections: u64,
    /// Requests other than health checks.
    pub requests: u64,
    /// Health checks.
    pub health_checks: u64,
}

impl BackendCounts {
    /// The difference to earlier counts.
    pub fn since(self, before: Self) -> Self {
        Self {
            connections: self.connections - before.connections,
            requests: self.requests - before.requests,
            health_checks: self.health_checks - before.health_checks,
        }
    }

    /// Connections per request.
    pub fn connections_per_request(self) -> f64 {
        self.connections as f64 / self.requests.max(1) as f64
    }

    /// Health checks per request.
    pub fn health_checks_per_request(self) -> f64 {
        self.health_checks as f64 / self.requests.max(1) as f64
    }
}

/// Stub backends on a thread, which ends when they are dropped.
pub struct StubBackends {
    counters: Arc<Counters>,
    endpoints: Vec<SocketAddr>,
    _thread: ServiceThread,
}

impl StubBackends {
    /// Starts the backends, which close a connection after `idle_timeout` without a request.
    ///
    /// # Errors
    /// Fails if the thread or the listeners can't be created.
    pub fn start(idle_timeout: Duration) -> Result<Self, MeasurementError> {
        let counters = Arc::new(Counters::default());
        let (stop, stopped) = oneshot::channel();
        let (opened_sender, opened) = mpsc::channel();
        let serve = {
            let counters = counters.clone();
            move |first: TcpListener| async move {
                match open_listeners(first) {
                    Ok((endpoints, listeners)) => {
                        let _ = opened_sender.send(Ok(endpoints));
                        for listener in listeners {
                            spawn_local(accept(counters.clone(), listener, idle_timeout));
                        }
                        let _ = stopped.await;
                    }
                    Err(source) => {
                        let owner = THREAD_NAME.to_owned();
                        let error = MeasurementError::Listener { owner, source };
                        let _ = opened_sender.send(Err(error));
                    }
                }
            }
        };
        let (_, thread) = serve_on_thread(THREAD_NAME, serve)?;
        let ended_early = |_| MeasurementError::ThreadEnded {
            name: THREAD_NAME.to_owned(),
        };
        let endpoints = opened.recv().map_err(ended_early)??;
        Ok(Self {
            counters,
            endpoints,
            _thread: ServiceThread::new(stop, thread),
        })
    }

    /// The addresses that share all backends.
    pub fn endpoints(&self) -> &[SocketAddr] {
        &self.endpoints
    }

    /// Connections and requests received so far.
    pub fn counts(&self) -> BackendCounts {
        BackendCounts {
            connections: self.counters.connections.load(Relaxed),
            requests: self.counters.requests.load(Relaxed),
            health_checks: self.counters.health_checks.load(Relaxed),
        }
    }
}

fn open_listeners(first: TcpListener) -> std::io::Result<(Vec<SocketAddr>, Vec<TcpListener>)> {
    let mut listeners = vec![first];
    while listeners.len() < LISTENERS {
        listeners.push(listen_on_loopback()?);
    }
    let endpoints = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<Vec<_>, _>>()?;
    Ok((endpoints, listeners))
}

async fn accept(counters: Arc<Counters>, listener: TcpListener, idle_timeout: Duration) {
    let clock = Clock::starting_in(Duration::ZERO);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                counters.connections.fetch_add(1, Relaxed);
                let peer = Peer::new(stream);
                spawn_local(serve_connection(
                    counters.clone(),
                    peer,
                    clock,
                    idle_timeout,
                ));
            }
            Err(error) => {
                log::warn!("stub backend: accepting a connection failed, retrying: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the service time in microseconds from the body of a response.
pub fn service_time_us(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body)
        .ok()?
        .strip_prefix(SERVICE_TIME_PREFIX)?
        .parse()
        .ok()
}

async fn serve_connection(
    counters: Arc<Counters>,
    mut peer: Peer,
    clock: Clock,
    idle_timeout: Duration,
) {
    while let Ok(Ok(request)) = timeout(idle_timeout, peer.read(MessageKind::Request, &clock)).await
    {
        let body = if request.path == HEALTH_CHECK_PATH {
            counters.health_checks.fetch_add(1, Relaxed);
            LOAD_REPORT.to_owned()
        } else {
            counters.requests.fetch_add(1, Relaxed);
            let start = Instant::now();
            sleep(SERVICE_TIME).await;
            format!("{SERVICE_TIME_PREFIX}{}", start.elapsed().as_micros())
        };
        let response = response(200, &[("Server-Load", LOAD_REPORT)], body.as_bytes());
        if peer.write(&response).await.is_err() || request.is_last() {
            return;
        }
    }
}
