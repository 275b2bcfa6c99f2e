//! Draws a plan from a seed.
use crate::fault::{Fault, FaultKind, SoakPlan};
use birchhub_backend_model::work::generator;
use birchhub_emulator::relay::Disturbance;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Keeps the draws of plans apart from all else that is drawn from a seed.
const STREAM: u64 = 0x50A4;
/// Backends for each proxy, and at the least.
const BACKENDS_PER_PROXY: f64 = 0.75;
const LEAST_BACKENDS: usize = 8;
/// Requests a second that come to each proxy.
const RATE_PER_PROXY: f64 = 12.0;
/// Before the first fault, and after the last, s.
const QUIET: f64 = 1.0;
/// Shortest and longest fault, s.
const LENGTH: (f64, f64) = (0.5, 5.0);
/// Seconds for each fault: with their length, two to three overlap.
const SECONDS_PER_FAULT: f64 = 1.2;
/// An hour, s: so far a wall clock may step.
const HOUR: i64 = 3600;

/// Faults of system calls that are drawn: each lets calls fail as Linux documents it.
const CALLS: [&str; 12] = [
    "recv=EINTR@0.2",
    "recv=short@0.3",
    "send=EINTR@0.2",
    "send=short@0.3",
    "accept=EMFILE@0.2",
    "accept=ECONNABORTED@0.2",
    "accept=EINTR@0.2",
    "socket=ENOBUFS@0.2",
    "connect=EINTR@0.2",
    "connect=ETIMEDOUT@0.1",
    "connect=EHOSTUNREACH@0.1",
    "epoll_wait=EINTR@0.2",
];

const DISTURBANCES: [Disturbance; 7] = [
    Disturbance::Delay(20),
    Disturbance::SilenceOutward,
    Disturbance::SilenceInward,
    Disturbance::Reset,
    Disturbance::HalfClose,
    Disturbance::Split,
    Disturbance::Join,
];

impl SoakPlan {
    /// The plan of a seed: `seconds` long, with so many proxies.
    pub fn draw(seed: u64, seconds: f64, proxies: usize) -> Self {
        let mut chance = generator(seed, STREAM);
        let backends = (proxies as f64 * BACKENDS_PER_PROXY) as usize;
        let backends = backends.max(LEAST_BACKENDS);
        let count = (seconds / SECONDS_PER_FAULT).ceil() as usize;
        let mut faults: Vec<_> = (0..count)
            .map(|number| draw_fault(number, seconds, proxies, backends, &mut chance))
            .collect();
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Self {
            seed,
            seconds,
            proxies,
            backends,
            rate: RATE_PER_PROXY * proxies as f64,
            leaving: 0.04,
            slow: 0.02,
            faults,
        }
    }
}

fn draw_fault(
    number: usize,
    seconds: f64,
    proxies: usize,
    backends: usize,
    chance: &mut impl Rng,
) -> Fault {
    let (kind, word) = draw_kind(proxies, backends, chance);
    let lasts = chance.random_range(LENGTH.0..LENGTH.1);
    let latest = (seconds - QUIET - lasts).max(QUIET);
    let at = chance.random_range(QUIET..=latest);
    Fault {
        name: format!("{word}-{number}"),
        at: round(at),
        lasts: round(lasts),
        kind,
    }
}

/// Milliseconds are enough, and easier to read.
fn round(seconds: f64) -> f64 {
    (seconds * 1e3).round() / 1e3
}

/// A kind of fault and the word that names it.
fn draw_kind(proxies: usize, backends: usize, chance: &mut impl Rng) -> (FaultKind, &'static str) {
    let few_backends = chance.random_range(1..=(backends / 4).max(1));
    let few_proxies = chance.random_range(1..=(proxies / 4).max(1));
    let share = round(chance.random_range(0.1..0.6));
    let count = few_backends;
    match chance.random_range(0..24) {
        0 => (FaultKind::BackendStall { count }, "stall"),
        1 => (FaultKind::BackendCrash { count }, "crash"),
        2 => (FaultKind::Deploy { count }, "deploy"),
        3 => (FaultKind::ResetAnswers { count, share }, "reset-answers"),
        4 => (FaultKind::SpoiltAnswers { count, share }, "spoilt-answers"),
        5 => (FaultKind::NoAnswers { count, share }, "no-answers"),
        6 => (FaultKind::Errors { count, share }, "errors"),
        7 => (FaultKind::Partition { count }, "partition"),
        8..=10 => {
            let disturbance = *DISTURBANCES
                .choose(chance)
                .expect("a list that is not empty");
            (FaultKind::Network { count, disturbance }, "network")
        }
        11 => (FaultKind::DiscoveryDown, "discovery-down"),
        12 => {
            let by = round(chance.random_range(0.2..2.0));
            (FaultKind::DiscoveryLate { by }, "discovery-late")
        }
        13 => (FaultKind::ProxyKill { count: few_proxies }, "kill"),
        14 => (FaultKind::ProxyRestart { count: few_proxies }, "restart"),
        15 => (FaultKind::ProxyPause { count: few_proxies }, "pause"),
        16 => (FaultKind::Reload { count: few_proxies }, "reload"),
        17..=19 => (draw_system_calls(few_proxies, chance), "system-calls"),
        20 => {
            let seconds = if chance.random() { HOUR } else { -HOUR };
            let count = few_proxies;
            (FaultKind::ClockStep { count, seconds }, "clock")
        }
        21 => (FaultKind::SilentClients { count: 60 }, "silent-clients"),
        _ => {
            let count = chance.random_range(10..40);
            (FaultKind::StoppedClients { count }, "stopped-clients")
        }
    }
}

fn draw_system_calls(count: usize, chance: &mut impl Rng) -> FaultKind {
    let kinds = chance.random_range(1..=3);
    let chosen = CALLS.choose_multiple(chance, kinds);
    let faults = chosen.map(|fault| (*fault).to_owned()).collect();
    FaultKind::SystemCalls { count, faults }
}
