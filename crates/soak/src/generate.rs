//! Generation of a plan from a seed.
use crate::plan::{Fault, FaultKind, SoakPlan};
use birchhub_backend_model::work::seeded_rng;
use birchhub_emulator::relay::NetworkFault;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::ops::Range;

/// Random stream for plans, distinct from the other streams of a seed.
const STREAM: u64 = 0x50A4;
/// Random stream for faults by busy clients and series of signals.
const BUSY_STREAM: u64 = 0x50A7;
/// Mean interval between floods.
const SECONDS_PER_FLOOD: f64 = 5.0;
/// Number of connections of a flood.
const FLOODING_CONNECTIONS: Range<usize> = 6..40;
/// Fraction of the plans that have a crowd.
const CROWD_PROBABILITY: f64 = 0.4;
/// Number of connections of a crowd.
const CROWD_CONNECTIONS: Range<usize> = 200..500;
/// Number of backends per proxy.
const BACKENDS_PER_PROXY: f64 = 0.75;
/// Minimum number of backends.
const MIN_BACKENDS: usize = 8;
/// Rate of requests per proxy, in requests per second.
const REQUESTS_PER_SECOND_AND_PROXY: f64 = 12.0;
/// Fraction of requests that clients cancel.
const CANCELLED_FRACTION: f64 = 0.04;
/// Fraction of requests that are sent slowly.
const SLOW_FRACTION: f64 = 0.02;
/// Duration without faults at the start and at the end of a plan.
const QUIET_SECONDS: f64 = 1.0;
/// Duration of a fault.
const FAULT_SECONDS: Range<f64> = 0.5..5.0;
/// Mean interval between the starts of faults. Two to three faults overlap on average.
const SECONDS_PER_FAULT: f64 = 1.2;
/// Size of a step of the wall clock, forward or backward: one hour.
const CLOCK_STEP_SECONDS: i64 = 3600;
/// Number of clients of a fault that connect and send nothing.
const SILENT_CLIENTS: usize = 60;

/// Faults of system calls. Linux documents each of them for its call.
const SYSTEM_CALL_FAULTS: [&str; 12] = [
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

/// Faults of the network between proxies and backends.
const NETWORK_FAULTS: [NetworkFault; 7] = [
    NetworkFault::Delay(20),
    NetworkFault::DropOutbound,
    NetworkFault::DropInbound,
    NetworkFault::Reset,
    NetworkFault::HalfClose,
    NetworkFault::Split,
    NetworkFault::Coalesce,
];

impl SoakPlan {
    /// Generates the plan of a seed for a number of proxies. Clients send requests for `seconds` seconds.
    pub fn generate(seed: u64, seconds: f64, proxies: usize) -> Self {
        let mut rng = seeded_rng(seed, STREAM);
        let backends = (proxies as f64 * BACKENDS_PER_PROXY) as usize;
        let backends = backends.max(MIN_BACKENDS);
        let count = (seconds / SECONDS_PER_FAULT).ceil() as usize;
        let mut faults: Vec<_> = (0..count)
            .map(|number| generate_fault(number, seconds, proxies, backends, &mut rng))
            .collect();
        faults.extend(generate_busy_clients(seed, seconds, proxies));
        faults.sort_by(|a, b| a.start_seconds.total_cmp(&b.start_seconds));
        Self {
            seed,
            seconds,
            proxies,
            backends,
            requests_per_second: REQUESTS_PER_SECOND_AND_PROXY * proxies as f64,
            cancelled_fraction: CANCELLED_FRACTION,
            slow_fraction: SLOW_FRACTION,
            faults,
        }
    }
}

/// Generates the faults by clients that keep a proxy busy, a crowd in some plans, and series of signals. They have a stream of
/// their own, so that a seed has the same other faults as before there were these.
fn generate_busy_clients(seed: u64, seconds: f64, proxies: usize) -> Vec<Fault> {
    let mut rng = seeded_rng(seed, BUSY_STREAM);
    let floods = (seconds / SECONDS_PER_FLOOD).ceil() as usize;
    let mut kinds: Vec<_> = (0..floods)
        .map(|_| FaultKind::FloodingClients {
            count: rng.random_range(FLOODING_CONNECTIONS),
        })
        .collect();
    if rng.random_bool(CROWD_PROBABILITY) {
        kinds.push(FaultKind::Crowd {
            count: rng.random_range(CROWD_CONNECTIONS),
        });
    }
    kinds.push(FaultKind::SignalSeries {
        count: rng.random_range(1..=(proxies / 4).max(1)),
    });
    let faults = kinds.into_iter().enumerate();
    faults
        .map(|(number, kind)| schedule_fault(number, kind, seconds, &mut rng))
        .collect()
}

fn generate_fault(
    number: usize,
    seconds: f64,
    proxies: usize,
    backends: usize,
    rng: &mut impl Rng,
) -> Fault {
    let kind = generate_kind(proxies, backends, rng);
    schedule_fault(number, kind, seconds, rng)
}

/// Generates the time of a fault.
fn schedule_fault(number: usize, kind: FaultKind, seconds: f64, rng: &mut impl Rng) -> Fault {
    let duration = rng.random_range(FAULT_SECONDS);
    let latest_start = (seconds - QUIET_SECONDS - duration).max(QUIET_SECONDS);
    let start = rng.random_range(QUIET_SECONDS..=latest_start);
    Fault {
        name: format!("{}-{number}", name_prefix(&kind)),
        start_seconds: round_to_ms(start),
        duration_seconds: round_to_ms(duration),
        kind,
    }
}

/// Rounds to milliseconds, so that the plan's file is readable.
fn round_to_ms(seconds: f64) -> f64 {
    (seconds * 1e3).round() / 1e3
}

/// Generates the kind of a fault and its parameters.
fn generate_kind(proxies: usize, backends: usize, rng: &mut impl Rng) -> FaultKind {
    let few_backends = rng.random_range(1..=(backends / 4).max(1));
    let few_proxies = rng.random_range(1..=(proxies / 4).max(1));
    let fraction = round_to_ms(rng.random_range(0.1..0.6));
    let count = few_backends;
    match rng.random_range(0..24) {
        0 => FaultKind::BackendStall { count },
        1 => FaultKind::BackendCrash { count },
        2 => FaultKind::Deploy { count },
        3 => FaultKind::ResetResponses { count, fraction },
        4 => FaultKind::MalformedResponses { count, fraction },
        5 => FaultKind::NoResponses { count, fraction },
        6 => FaultKind::ErrorResponses { count, fraction },
        7 => FaultKind::Partition { count },
        8..=10 => FaultKind::Network {
            count,
            fault: *NETWORK_FAULTS.choose(rng).expect("the list is not empty"),
        },
        11 => FaultKind::DiscoveryDown,
        12 => FaultKind::DiscoveryLate {
            delay_seconds: round_to_ms(rng.random_range(0.2..2.0)),
        },
        13 => FaultKind::ProxyKill { count: few_proxies },
        14 => FaultKind::ProxyRestart { count: few_proxies },
        15 => FaultKind::ProxyPause { count: few_proxies },
        16 => FaultKind::ProxyReload { count: few_proxies },
        17..=19 => generate_system_calls(few_proxies, rng),
        20 => generate_clock_step(few_proxies, rng),
        21 => FaultKind::SilentClients {
            count: SILENT_CLIENTS,
        },
        _ => FaultKind::StalledClients {
            count: rng.random_range(10..40),
        },
    }
}

/// The prefix of a fault's name, from its kind.
fn name_prefix(kind: &FaultKind) -> &'static str {
    match kind {
        FaultKind::BackendStall { .. } => "stall",
        FaultKind::BackendCrash { .. } => "crash",
        FaultKind::Deploy { .. } => "deploy",
        FaultKind::ResetResponses { .. } => "reset-answers",
        FaultKind::MalformedResponses { .. } => "spoilt-answers",
        FaultKind::NoResponses { .. } => "no-answers",
        FaultKind::ErrorResponses { .. } => "errors",
        FaultKind::Partition { .. } => "partition",
        FaultKind::Network { .. } => "network",
        FaultKind::DiscoveryDown => "discovery-down",
        FaultKind::DiscoveryLate { .. } => "discovery-late",
        FaultKind::ProxyKill { .. } => "kill",
        FaultKind::ProxyRestart { .. } => "restart",
        FaultKind::ProxyPause { .. } => "pause",
        FaultKind::ProxyReload { .. } => "reload",
        FaultKind::SystemCalls { .. } => "system-calls",
        FaultKind::ClockStep { .. } => "clock",
        FaultKind::StalledClients { .. } => "stopped-clients",
        FaultKind::FloodingClients { .. } => "flood",
        FaultKind::Crowd { .. } => "crowd",
        FaultKind::SignalSeries { .. } => "signals",
        FaultKind::SilentClients { .. } => "silent-clients",
    }
}

fn generate_clock_step(count: usize, rng: &mut impl Rng) -> FaultKind {
    let is_forward: bool = rng.random();
    let seconds = if is_forward {
        CLOCK_STEP_SECONDS
    } else {
        -CLOCK_STEP_SECONDS
    };
    FaultKind::ClockStep { count, seconds }
}

fn generate_system_calls(count: usize, rng: &mut impl Rng) -> FaultKind {
    let kinds = rng.random_range(1..=3);
    let chosen = SYSTEM_CALL_FAULTS.choose_multiple(rng, kinds);
    let faults = chosen.map(|fault| (*fault).to_owned()).collect();
    FaultKind::SystemCalls { count, faults }
}
