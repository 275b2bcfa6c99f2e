//! The actions of faults of backends, their machines and their sockets.
use super::action::{Action, BackendFault};
use super::fault_builder::FaultBuilder;
use crate::scenario::FaultKind;
use rand::Rng;

/// Time from the announcement of a drain until the backend rejects new work, if the scenario has none.
const DEFAULT_DRAIN_NOTICE_SECONDS: f64 = 1.0;
/// Time from the announcement of a drain until the backend ends at the latest, if the scenario has none.
const DEFAULT_DRAIN_TIMEOUT_SECONDS: f64 = 5.0;
/// Time from a backend's end until its successor starts, if the scenario has none.
const DEFAULT_SUCCESSOR_DELAY_SECONDS: f64 = 0.5;
/// Interval of a deploy's batches if the scenario has none.
const DEFAULT_BATCH_INTERVAL_SECONDS: f64 = 1.0;
/// Fraction of the capacity that a noisy neighbour takes if the scenario has none.
const DEFAULT_CAPACITY_TAKEN: f64 = 0.5;
/// Duration of a slow response if the scenario has none.
const DEFAULT_RESPONSE_SECONDS: f64 = 1.0;
/// Shortest interval of a stall without a pause of its own.
const MIN_STALL_INTERVAL_SECONDS: f64 = 1.0;

/// Stalls backends, throughout or repeatedly.
pub(super) fn stall(builder: &mut FaultBuilder) {
    let duration = builder.duration;
    let (pause, interval) = match (builder.fault.pause, builder.fault.interval) {
        (Some(pause), Some(interval)) => (pause.0, interval.0),
        _ => (duration, duration.max(MIN_STALL_INTERVAL_SECONDS)),
    };
    for node in builder.backends.clone() {
        // A random phase for each backend, so that repeated stalls are not synchronized.
        let phase = match pause < duration {
            true => builder.random.random::<f64>() * interval,
            false => 0.0,
        };
        let mut from = builder.start + phase;
        while from < builder.end {
            let until = (from + pause).min(builder.end);
            let number = builder.next_number();
            let stall = |on| Action::Stall { node, number, on };
            builder.push(from, stall(true));
            builder.push(until, stall(false));
            from += interval;
        }
    }
}

/// Reduces the speed of machines.
pub(super) fn noisy_neighbour(builder: &mut FaultBuilder) {
    let taken = builder
        .fault
        .capacity_taken
        .unwrap_or(DEFAULT_CAPACITY_TAKEN);
    let remaining = 1.0 - taken;
    for node in builder.backends.clone() {
        let scale = |factor| Action::ScaleSpeed { node, factor };
        builder.push(builder.start, scale(remaining));
        builder.push(builder.end, scale(1.0 / remaining));
    }
}

/// Multiplies the work of a method.
pub(super) fn slow_method(builder: &mut FaultBuilder) {
    let name = builder.fault.method.as_ref();
    let mut methods = builder.scenario.methods.iter();
    let method = methods
        .position(|method| Some(&method.name) == name)
        .unwrap_or(0);
    let factor = builder.fault.factor.unwrap_or(1.0);
    let slow = |factor| Action::SlowMethod { method, factor };
    builder.push(builder.start, slow(factor));
    builder.push(builder.end, slow(1.0 / factor));
}

/// Crashes backends and restarts them at the end.
pub(super) fn crash(builder: &mut FaultBuilder) {
    for node in builder.backends.clone() {
        builder.push(builder.start, Action::Crash { node });
        builder.push(builder.end, Action::Restart { node });
    }
}

/// Drains backends in batches and replaces each by a successor.
pub(super) fn deploy(builder: &mut FaultBuilder) {
    let fault = builder.fault;
    let seconds_or = |value: Option<crate::duration::ScenarioDuration>, default: f64| {
        value.map_or(default, |duration| duration.0)
    };
    let interval = seconds_or(fault.interval, DEFAULT_BATCH_INTERVAL_SECONDS);
    let notice = seconds_or(fault.drain_notice, DEFAULT_DRAIN_NOTICE_SECONDS);
    let timeout = seconds_or(fault.drain_timeout, DEFAULT_DRAIN_TIMEOUT_SECONDS).max(notice);
    let after = seconds_or(fault.restart_delay, DEFAULT_SUCCESSOR_DELAY_SECONDS);
    let backends = builder.backends.clone();
    let batches = backends.chunks(fault.batch_size.unwrap_or(1));
    for (index, batch) in batches.enumerate() {
        let announced = builder.start + index as f64 * interval;
        builder.end = announced + timeout + after;
        for node in batch.iter().copied() {
            let retire = Action::Retire {
                node,
                by: announced + timeout,
                successor: add_successor(builder, node),
                after,
            };
            builder.push(announced, Action::AnnounceDrain { node });
            builder.push(announced + notice, Action::Drain { node });
            builder.push(announced + notice, retire);
        }
    }
}

/// Adds the successor of a backend to the plan, and returns its index.
fn add_successor(builder: &mut FaultBuilder, node: u32) -> u32 {
    let mut successor = builder.nodes[node as usize].clone();
    successor.name.push_str(".new");
    successor.successor = true;
    builder.nodes.push(successor);
    builder.nodes.len() as u32 - 1
}

/// Injects faults at the sockets of backends.
pub(super) fn inject(builder: &mut FaultBuilder) {
    for fault in socket_faults(builder) {
        for node in builder.backends.clone() {
            let number = builder.next_number();
            let inject = |on| Action::InjectFault {
                node,
                number,
                fault: fault.clone(),
                on,
            };
            builder.push(builder.start, inject(true));
            builder.push(builder.end, inject(false));
        }
    }
}

/// Returns the faults at each backend's sockets that a scenario's fault consists of.
fn socket_faults(builder: &FaultBuilder) -> Vec<BackendFault> {
    let fault = builder.fault;
    let share = fault.share.unwrap_or(1.0);
    match fault.kind {
        FaultKind::Reset => vec![BackendFault::ConnectionReset { share }],
        FaultKind::Mute => vec![BackendFault::NoResponse { share }],
        FaultKind::Error => vec![BackendFault::ErrorResponse { share }],
        FaultKind::Trickle => vec![BackendFault::SlowResponse {
            share,
            extra_seconds: fault
                .response_duration
                .map_or(DEFAULT_RESPONSE_SECONDS, |duration| duration.0),
        }],
        // Half of the share is truncated. The second fault applies to the rest, so its own share is larger.
        FaultKind::Spoilt => vec![
            BackendFault::TruncatedResponse { share: share / 2.0 },
            BackendFault::MalformedResponse {
                share: (share / 2.0) / (1.0 - share / 2.0),
            },
        ],
        FaultKind::Partition => match fault.proxies {
            None => vec![BackendFault::Partition { proxy: None }],
            Some(_) => {
                let proxies = builder.proxies.iter().copied();
                let partition = |proxy| BackendFault::Partition { proxy: Some(proxy) };
                proxies.map(partition).collect()
            }
        },
        _ => Vec::new(),
    }
}
