//! Tests of the load that several proxies together send to a restarted backend that always looks idle.
use crate::common::{Proxy, endpoint, settings};
use birchhub::balancer::Balancer;
use birchhub::interface::*;

/// Work of each RPC in seconds.
const WORK_SECONDS: f64 = 0.05;
/// The backend that restarts.
const RESTARTED_BACKEND: u32 = 7;
/// Number of rounds, of 0.01 s each.
const ROUNDS: u64 = 600;
/// Number of the round in which the backend restarts.
const BACKEND_RESTART_ROUND: u64 = 100;
/// Number of the round in which the proxies restart.
const PROXY_RESTART_ROUND: u64 = 106;

/// Returns the number of RPCs that a backend reports. The backend in slow start always looks idle and the warm
/// ones never do, so that the idle queue offers it for every RPC: the worst case.
fn reported_load(backend: u32) -> f64 {
    if backend == RESTARTED_BACKEND {
        0.0
    } else {
        3.0
    }
}

/// Returns the endpoint list's entry for the restarted backend.
fn restarted_endpoint(started_at: Option<f64>) -> Endpoint {
    Endpoint {
        started_at,
        ..endpoint(RESTARTED_BACKEND)
    }
}

/// Replaces the proxy by a new process with a cached endpoint list, and resets the attempts of the old process.
fn restart_proxy(proxy: &mut Proxy, seed: u64) {
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

/// Runs one round of a proxy, which accepts two RPCs if it is busy.
fn run_round(proxy: &mut Proxy, is_busy: bool) {
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

/// Runs all rounds, and returns the times at which the proxies sent attempts to the restarted backend.
fn times_of_attempts_at_restarted_backend(
    proxies: u64,
    seed: u64,
    proxies_restart: bool,
) -> Vec<f64> {
    let conf = Settings {
        proxy_count: proxies as usize,
        ..settings(&[Idempotency::Idempotent])
    };
    let listed: Vec<_> = (0..3).map(endpoint).collect();
    let create = |n| Proxy::new(conf.clone(), seed * 100 + n, &listed);
    let mut fleet: Vec<_> = (0..proxies).map(create).collect();
    for round in 0..ROUNDS {
        for (n, proxy) in (0..).zip(&mut fleet) {
            if round == BACKEND_RESTART_ROUND {
                let started = restarted_endpoint(Some(proxy.platform.now));
                proxy.update_endpoints(EndpointUpdateKind::Incremental, &[started]);
            }
            if proxies_restart && round == PROXY_RESTART_ROUND {
                restart_proxy(proxy, seed * 100 + 50 + n);
            }
            // With hundreds of proxies, each accepts few RPCs, in different rounds than the others.
            run_round(proxy, (round + n).is_multiple_of(busy_interval(proxies)));
        }
    }
    let rpcs = fleet.iter().flat_map(|proxy| proxy.platform.rpcs.values());
    rpcs.flat_map(|rpc| &rpc.attempts)
        .filter(|attempt| attempt.backend == RESTARTED_BACKEND)
        .map(|attempt| attempt.started_at)
        .collect()
}

/// Returns the number of rounds from one in which a proxy is busy to the next.
fn busy_interval(proxies: u64) -> u64 {
    (proxies / 4).max(1)
}

/// Returns the largest fraction of the slow-start budget that all proxies together use in any second.
fn peak_budget_use(proxies: u64, seed: u64, proxies_restart: bool) -> f64 {
    let sent = times_of_attempts_at_restarted_backend(proxies, seed, proxies_restart);
    // Number of cores that a warm backend keeps busy with its quarter of all RPCs, or one core if that is more.
    let warm_cores =
        (proxies as f64 * 200.0 / busy_interval(proxies) as f64 / 4.0 * WORK_SECONDS).max(1.0);
    let started_at = 1.0;
    let used_fraction = |at: f64| {
        let warm_fraction = (0.3 + 0.7 * (at - started_at) / 8.0).min(1.0);
        let within = sent.iter().filter(|s| **s >= at && **s < at + 1.0).count() as f64;
        within * WORK_SECONDS / (3.0 * warm_fraction * warm_cores)
    };
    assert!(
        sent.len() > 4,
        "{proxies} proxies, restarted {proxies_restart}: only {} RPCs reached the backend in slow start",
        sent.len()
    );
    sent.iter().map(|at| used_fraction(*at)).fold(0.0, f64::max)
}

/// The peak must not be more than a tenth higher where all proxies restart: their new processes do not know what
/// the old ones sent.
#[test]
fn proxies_together_stay_within_the_budget_of_a_backend_that_looks_idle() {
    for (proxies, seed) in [(1, 1), (2, 2), (4, 3), (6, 4), (240, 5)] {
        let peak = peak_budget_use(proxies, seed, false);
        let peak_with_restarts = peak_budget_use(proxies, seed, true);
        assert!(
            peak <= 1.0,
            "{proxies} proxies used {peak} times the slow-start budget"
        );
        assert!(
            peak_with_restarts <= peak * 1.1,
            "{proxies} proxies used {peak_with_restarts} times the slow-start budget after a restart, and {peak} \
             without one"
        );
    }
}
