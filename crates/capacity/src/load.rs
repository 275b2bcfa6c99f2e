//! Clients of one proxy: RPCs at a rate, by chance, on connections that are kept.
use crate::backends::served;
use crate::error::MeasurementError;
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{MessageKind, Peer};
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

const WAITS: Duration = Duration::from_secs(1); // for an answer
const LONGEST: u64 = 10_000_000; // us that the histogram tells apart

/// How the RPCs went.
pub struct Went {
    /// us beyond the backend's own work, of those answered with 200.
    pub added: Histogram<u64>,
    pub sent: u64,
    pub failed: u64,
}

impl Went {
    /// Time that so much of a hundred answers took at the most beyond the work, ms.
    pub fn percentile(&self, of_hundred: f64) -> f64 {
        self.added.value_at_percentile(of_hundred) as f64 / 1e3
    }
}

struct Clients {
    at: SocketAddr,
    clock: Clock,
    idle: RefCell<Vec<Peer>>,
    went: RefCell<Went>,
}

impl Clients {
    async fn rpc(&self, number: u64) {
        let request = format!(
            "GET /m0/{number} HTTP/1.1\r\nHost: api\r\nRequest-Id: {number:016x}\r\nRequest-Timeout-Ms: {}\r\n\r\n",
            WAITS.as_millis()
        );
        let kept = self.idle.borrow_mut().pop();
        let call = async {
            let mut peer = match kept {
                Some(peer) => peer,
                None => Peer::connect(self.at).await.ok()?,
            };
            // A connection to the proxy is no part of what is asked: its clients keep theirs.
            let begun = Instant::now();
            peer.write(request.as_bytes()).await.ok()?;
            let answer = peer.read(MessageKind::Response, &self.clock).await.ok()?;
            Some((peer, answer, begun.elapsed()))
        };
        let answered = timeout(WAITS, call).await.ok().flatten();
        let mut went = self.went.borrow_mut();
        match answered {
            Some((peer, answer, took)) => {
                if !answer.is_last() {
                    self.idle.borrow_mut().push(peer);
                }
                match answer.status {
                    200 => {
                        let work = served(&answer.body).unwrap_or_default();
                        went.added
                            .saturating_record((took.as_micros() as u64).saturating_sub(work));
                    }
                    _ => went.failed += 1,
                }
            }
            None => went.failed += 1,
        }
    }
}

/// Sends so many RPCs a second for so long, and waits for the last answer. To be called on a `LocalSet`.
pub async fn run(
    at: SocketAddr,
    rate: f64,
    length: f64,
    seed: u64,
) -> Result<Went, MeasurementError> {
    let added = Histogram::new_with_bounds(1, LONGEST, 3)?;
    let gap = Exp::new(rate).map_err(|source| MeasurementError::RpcRate { rate, source })?;
    let clients = Rc::new(Clients {
        at,
        clock: Clock::starting_in(Duration::ZERO),
        idle: RefCell::default(),
        went: RefCell::new(Went {
            added,
            sent: 0,
            failed: 0,
        }),
    });
    let (mut chance, begun, mut next) = (Pcg64::seed_from_u64(seed), Instant::now(), 0.0);
    let mut out = JoinSet::new();
    loop {
        next += gap.sample(&mut chance);
        if next >= length {
            break;
        }
        sleep_until(begun + Duration::from_secs_f64(next)).await;
        let number = {
            let mut went = clients.went.borrow_mut();
            went.sent += 1;
            went.sent
        };
        let clients = clients.clone();
        out.spawn_local(async move { clients.rpc(number).await });
        while out.try_join_next().is_some() {}
    }
    while out.join_next().await.is_some() {}
    let clients = Rc::into_inner(clients).ok_or(MeasurementError::RpcInFlight)?;
    Ok(clients.went.into_inner())
}

/// Several at once, each before a proxy of its own.
pub async fn run_all(
    at: &[SocketAddr],
    rate: f64,
    length: f64,
    seed: u64,
) -> Result<Vec<Went>, MeasurementError> {
    let tasks: Vec<_> = at
        .iter()
        .zip(0..)
        .map(|(at, n)| spawn_local(run(*at, rate, length, seed.wrapping_add(n))))
        .collect();
    let mut all = Vec::new();
    for task in tasks {
        let went = task.await.map_err(|source| MeasurementError::Task {
            task: "client",
            source,
        })?;
        all.push(went?);
    }
    Ok(all)
}
