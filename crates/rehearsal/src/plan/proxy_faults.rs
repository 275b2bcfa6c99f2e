//! The actions of faults of proxies' processes.
use super::action::Action;
use super::fault_builder::FaultBuilder;
use crate::scenario::FaultKind;
use rand::Rng;

/// Time until a proxy is started again if the scenario has none.
const DEFAULT_RESTART_DELAY_SECONDS: f64 = 0.3;
/// Duration of a pause if the scenario has none.
const DEFAULT_PAUSE_SECONDS: f64 = 0.1;
/// Interval of pauses if the scenario has none.
const DEFAULT_PAUSE_INTERVAL_SECONDS: f64 = 1.0;

/// Kills or terminates proxies one after the other, and starts each again.
pub(super) fn restart(builder: &mut FaultBuilder) {
    let fault = builder.fault;
    let interval = fault.interval.map_or(0.0, |interval| interval.0);
    let restart_delay = fault
        .restart_delay
        .map_or(DEFAULT_RESTART_DELAY_SECONDS, |delay| delay.0);
    for (index, proxy) in builder.proxies.clone().into_iter().enumerate() {
        let stop_at = builder.start + index as f64 * interval;
        builder.end = stop_at + restart_delay;
        let stop = match fault.kind {
            FaultKind::ProxyKill => Action::KillProxy { proxy },
            _ => Action::TerminateProxy { proxy },
        };
        builder.push(stop_at, stop);
        builder.push(builder.end, Action::StartProxy { proxy });
    }
}

/// Pauses proxies repeatedly, each with a random phase.
pub(super) fn pause(builder: &mut FaultBuilder) {
    let fault = builder.fault;
    let pause = fault.pause.map_or(DEFAULT_PAUSE_SECONDS, |pause| pause.0);
    let interval = fault
        .interval
        .map_or(DEFAULT_PAUSE_INTERVAL_SECONDS, |interval| interval.0);
    for proxy in builder.proxies.clone() {
        let mut from = builder.start + builder.random.random::<f64>() * interval;
        while from < builder.end {
            builder.push(from, Action::PauseProxy { proxy, on: true });
            builder.push(from + pause, Action::PauseProxy { proxy, on: false });
            from += interval.max(pause);
        }
    }
}
