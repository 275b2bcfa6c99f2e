//! Clients of one proxy or backend: RPCs at a random rate over reused connections, and their latencies.
use crate::error::MeasurementError;
use crate::stub_backends::service_time_us;
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{Message, MessageKind, Peer};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

/// Time for which a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;
/// Significant digits of a latency in the histogram.
const LATENCY_DIGITS: u8 = 3;
const OK: u16 = 200;

/// The outcome of the RPCs of a group of clients.
pub struct Outcome {
    /// Latency beyond the backend's service time in microseconds, of RPCs with status 200.
    pub added_latency_us: Histogram<u64>,
    /// RPCs sent.
    pub sent: u64,
    /// RPCs that had no response with status 200 in time.
    pub failed: u64,
}

impl Outcome {
    /// A percentile of the latency beyond the backend's service time, in milliseconds.
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        self.added_latency_us.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// A response, its connection and the time from the request to the response.
struct Exchange {
    peer: Peer,
    response: Message,
    latency: Duration,
}

struct Clients {
    address: SocketAddr,
    clock: Clock,
    idle_connections: RefCell<Vec<Peer>>,
    outcome: RefCell<Outcome>,
}

impl Clients {
    async fn send_rpc(&self, number: u64) {
        let idle_connection = self.idle_connections.borrow_mut().pop();
        let exchange = timeout(RESPONSE_TIMEOUT, self.exchange(idle_connection, number)).await;
        match exchange.ok().flatten() {
            Some(exchange) => self.record(exchange),
            None => self.outcome.borrow_mut().failed += 1,
        }
    }

    /// Sends one request and reads its response, on a new connection if there is no idle one.
    async fn exchange(&self, idle_connection: Option<Peer>, number: u64) -> Option<Exchange> {
        let timeout_ms = RESPONSE_TIMEOUT.as_millis();
        let request = format!(
            "GET /m0/{number} HTTP/1.1\r\nHost: api\r\nRequest-Id: {number:016x}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n\r\n"
        );
        let mut peer = match idle_connection {
            Some(peer) => peer,
            None => Peer::connect(self.address).await.ok()?,
        };
        // The time to connect to the proxy does not count: its clients reuse their connections.
        let start = Instant::now();
        peer.write(request.as_bytes()).await.ok()?;
        let response = peer.read(MessageKind::Response, &self.clock).await.ok()?;
        let latency = start.elapsed();
        Some(Exchange {
            peer,
            response,
            latency,
        })
    }

    fn record(&self, exchange: Exchange) {
        let Exchange {
            peer,
            response,
            latency,
        } = exchange;
        if !response.is_last() {
            self.idle_connections.borrow_mut().push(peer);
        }
        let mut outcome = self.outcome.borrow_mut();
        if response.status != OK {
            outcome.failed += 1;
            return;
        }
        let service_time_us = service_time_us(&response.body).unwrap_or_default();
        let added_us = (latency.as_micros() as u64).saturating_sub(service_time_us);
        outcome.added_latency_us.saturating_record(added_us);
    }
}

/// Sends RPCs to one address at random intervals and waits for the last response. Must be called on a `LocalSet`.
///
/// `rate` is the mean number of RPCs per second, `length_seconds` the time in which RPCs start.
///
/// # Errors
/// Fails if the rate is not positive.
pub async fn run(
    address: SocketAddr,
    rate: f64,
    length_seconds: f64,
    seed: u64,
) -> Result<Outcome, MeasurementError> {
    let added_latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)?;
    let interval = Exp::new(rate).map_err(|source| MeasurementError::RpcRate { rate, source })?;
    let clients = Rc::new(Clients {
        address,
        clock: Clock::starting_in(Duration::ZERO),
        idle_connections: RefCell::default(),
        outcome: RefCell::new(Outcome {
            added_latency_us,
            sent: 0,
            failed: 0,
        }),
    });
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = Instant::now();
    let mut next_seconds = 0.0;
    let mut in_flight = JoinSet::new();
    loop {
        next_seconds += interval.sample(&mut rng);
        if next_seconds >= length_seconds {
            break;
        }
        sleep_until(start + Duration::from_secs_f64(next_seconds)).await;
        let number = {
            let mut outcome = clients.outcome.borrow_mut();
            outcome.sent += 1;
            outcome.sent
        };
        let clients = clients.clone();
        in_flight.spawn_local(async move { clients.send_rpc(number).await });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
    let clients = Rc::into_inner(clients).ok_or(MeasurementError::RpcInFlight)?;
    Ok(clients.outcome.into_inner())
}

/// Runs a group of clients for each address at the same time.
///
/// # Errors
/// Fails if the rate is not positive or a task panicked.
pub async fn run_all(
    addresses: &[SocketAddr],
    rate: f64,
    length_seconds: f64,
    seed: u64,
) -> Result<Vec<Outcome>, MeasurementError> {
    let tasks: Vec<_> = addresses
        .iter()
        .zip(0..)
        .map(|(address, index)| {
            let seed = seed.wrapping_add(index);
            spawn_local(run(*address, rate, length_seconds, seed))
        })
        .collect();
    let mut outcomes = Vec::new();
    for task in tasks {
        let outcome = task.await.map_err(|source| MeasurementError::Task {
            task: "client",
            source,
        })?;
        outcomes.push(outcome?);
    }
    Ok(outcomes)
}
