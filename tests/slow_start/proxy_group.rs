//! A group of proxies and a restarted backend that always looks idle: what they send it together.
use crate::common::{Proxy, endpoint, settings};
use birchhub::balancer::Balancer;
use birchhub::interface::*;

/// Work of each RPC in seconds.
const WORK_SECONDS: f64 = 0.05;
/// The backend that restarts.
const RESTARTED_BACKEND: u32 = 7;
/// Number of rounds, of 0.01 s each.
const ROUNDS: u64 = 600;
/// Round in which the backend restarts.
const BACKEND_RESTARTS: u64 = 100;
/// Round in which the proxies restart.
const PROXIES_RESTART: u64 = 106;

/// The backend in slow start always looks idle, the warm ones never: the worst case for the idle queue.
fn reported_load(backend: u32) -> f64 {
    if backend == RESTARTED_BACKEND {
        0.0
    } else {
        3.0
    }
}

fn restarted_endpoint(started_at: Option<f64>) -> Endpoint {
    Endpoint {
        started_at,
        ..endpoint(RESTARTED_BACKEND)
    }
}

/// Replaces the proxy by a new process with a cached list; the attempts of the old process are reset.
fn restart(proxy: &mut Proxy, seed: u64) {
    let started_at = proxy.platform.endpoints[&RESTARTED_BACKEND].started_at;
    proxy.balancer = Balancer::new(&proxy.platform.settings, seed);
    proxy.platform.timers.clear();
    for rpc in proxy.platform.rpcs.values_mut() {
        for attempt in &mut rpc.attempts {
            attempt.outcome = Some(AttemptOutcome::Reset);
        }
        rpc.client_disconnected = true;
    }
    let cached = [
        endpoint(0),
        endpoint(1),
        endpoint(2),
        restarted_endpoint(started_at),
    ];
    proxy.update_endpoints(EndpointUpdateKind::StaleSnapshot, &cached);
}

/// Plays a hundredth of a second of one proxy, with two RPCs if it is busy.
fn round(proxy: &mut Proxy, is_busy: bool) {
    proxy.complete_health_checks(AttemptOutcome::Succeeded, reported_load);
    for _ in 0..if is_busy { 2 } else { 0 } {
        proxy.accept(0, 0.5);
        proxy.advance(0.002);
        proxy.complete_health_checks(AttemptOutcome::Succeeded, reported_load);
    }
    for attempt in proxy.attempts_in_flight() {
        let record = &proxy.platform.rpcs[&attempt.rpc];
        let started_at = record.attempts[attempt.number].started_at;
        if proxy.platform.now - started_at >= WORK_SECONDS {
            let load = Some(reported_load(attempt.backend));
            proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, load);
        }
    }
    proxy.advance(0.006);
}

/// Returns the times at which the proxies of a fleet sent RPCs to a backend that restarts among warm ones.
fn sent_to_restarted_backend(proxies: u64, seed: u64, restarts: bool) -> Vec<f64> {
    let conf = Settings {
        proxy_count: proxies as usize,
        ..settings(&[Idempotency::Idempotent])
    };
    let listed: Vec<_> = (0..3).map(endpoint).collect();
    let make = |n| Proxy::new(conf.clone(), seed * 100 + n, &listed);
    let mut fleet: Vec<_> = (0..proxies).map(make).collect();
    for number in 0..ROUNDS {
        for (n, proxy) in (0..).zip(&mut fleet) {
            if number == BACKEND_RESTARTS {
                let started = restarted_endpoint(Some(proxy.platform.now));
                proxy.update_endpoints(EndpointUpdateKind::Incremental, &[started]);
            }
            if restarts && number == PROXIES_RESTART {
                restart(proxy, seed * 100 + 50 + n);
            }
            // With hundreds of proxies each sees few RPCs, at different times.
            round(proxy, (number + n).is_multiple_of(busy_every(proxies)));
        }
    }
    let rpcs = fleet.iter().flat_map(|proxy| proxy.platform.rpcs.values());
    rpcs.flat_map(|rpc| &rpc.attempts)
        .filter(|attempt| attempt.backend == RESTARTED_BACKEND)
        .map(|attempt| attempt.started_at)
        .collect()
}

/// Returns the number of rounds of which a proxy is busy in one.
fn busy_every(proxies: u64) -> u64 {
    (proxies / 4).max(1)
}

/// Returns the largest fraction of the slow-start budget that all proxies together use in any second.
fn peak_of_slow_start_budget(proxies: u64, seed: u64, restarts: bool) -> f64 {
    let sent = sent_to_restarted_backend(proxies, seed, restarts);
    // The throughput of a warm backend in cores: at least one, or its fraction of all responses.
    let warm = (proxies as f64 * 200.0 / busy_every(proxies) as f64 / 4.0 * WORK_SECONDS).max(1.0);
    let start = 1.0;
    let used = |at: f64| {
        let warmth = (0.3 + 0.7 * (at - start) / 8.0).min(1.0);
        let within = sent.iter().filter(|s| **s >= at && **s < at + 1.0).count() as f64;
        within * WORK_SECONDS / (3.0 * warmth * warm)
    };
    assert!(
        sent.len() > 4,
        "{proxies} proxies, restarted {restarts}: only {} RPCs reached the backend in slow start",
        sent.len()
    );
    sent.iter().map(|at| used(*at)).fold(0.0, f64::max)
}

#[test]
fn proxies_together_stay_within_the_budget_of_a_backend_that_looks_idle() {
    for (proxies, seed) in [(1, 1), (2, 2), (4, 3), (6, 4), (240, 5)] {
        let peak = peak_of_slow_start_budget(proxies, seed, false);
        let restarted = peak_of_slow_start_budget(proxies, seed, true);
        assert!(
            peak <= 1.0,
            "{proxies} proxies used {peak} of the slow-start budget"
        );
        assert!(
            restarted <= peak * 1.1,
            "{proxies} restarted proxies used {restarted}, not {peak}"
        );
    }
}
