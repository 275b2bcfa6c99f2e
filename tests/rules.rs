//! The decisions against the model of the rules, on generated inputs.
mod common;
use birchhub::interface::*;
use common::{Proxy, endpoint, settings};
use quickcheck::{Arbitrary, Gen};

const IDEMPOTENCY: [Idempotency; 5] = [
    Idempotency::Idempotent,
    Idempotency::NonIdempotent,
    Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: 0.3,
    },
    Idempotency::Deduplicated {
        scope: DeduplicationScope::Zone,
        window: 0.15,
    },
    Idempotency::Deduplicated {
        scope: DeduplicationScope::Cell,
        window: 0.08,
    },
];
const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// One generated step: one of sixteen kinds of input, a selector for that kind, and a size of 16 bits.
type Step = (u8, u8, u16);

const BACKENDS: u32 = 8;

fn accept_rpc(proxy: &mut Proxy, which: usize, size: f64) {
    // With few keys most RPCs have others of their key ahead of them; some RPCs have no key.
    let key = Some(which as u64 / 5 % 4).filter(|key| *key > 0);
    proxy.accept_rpc(IncomingRpc {
        method: which % IDEMPOTENCY.len(),
        deadline: 0.001 + size * 0.6,
        key,
        ..IncomingRpc::default()
    });
}

fn end_an_attempt(proxy: &mut Proxy, which: usize, size: f64) {
    let in_flight = proxy.attempts_in_flight();
    if let Some(attempt) = in_flight.get(which % in_flight.len().max(1)) {
        let outcome = OUTCOMES[(size * 8.99) as usize];
        let load = (size * 40.0).round() % 4.0;
        proxy.end_in_flight(*attempt, outcome, Some(load));
    }
}

fn change_an_endpoint(proxy: &mut Proxy, which: usize, size: f64) {
    let readiness =
        [Readiness::Ready, Readiness::Draining, Readiness::Removed][(size * 2.99) as usize];
    let changed = Endpoint {
        readiness,
        started_at: Some(proxy.platform.now).filter(|_| which.is_multiple_of(2)),
        ..endpoint(which as u32 % BACKENDS)
    };
    proxy.update_endpoints(EndpointUpdateKind::Incremental, &[changed]);
}

fn replace_the_list(proxy: &mut Proxy, which: usize, size: f64) {
    let is_listed = |backend: &u32| which >> backend & 1 == 1;
    let listed: Vec<_> = (0..BACKENDS).filter(is_listed).map(endpoint).collect();
    let kind = if size < 0.8 {
        EndpointUpdateKind::Snapshot
    } else {
        EndpointUpdateKind::StaleSnapshot
    };
    proxy.update_endpoints(kind, &listed);
}

/// The client of an RPC disconnects, or the RPC's response starts.
fn disconnect_or_start_response(proxy: &mut Proxy, which: usize, size: f64) {
    let rpc = (which % proxy.handles.len().max(1)) as u64;
    let Some(record) = proxy.platform.rpcs.get_mut(&rpc) else {
        return;
    };
    if !record.answers.is_empty() {
        return;
    }
    if size < 0.7 {
        proxy.disconnect_client(rpc);
    } else if record.attempts_in_flight() == 1 {
        record.is_streaming = true;
        let attempt = record.attempts.len() - 1;
        proxy.handles[&rpc].on_response_started(attempt, PacedBy::Backend, &mut proxy.platform);
    }
}

fn step(proxy: &mut Proxy, (kind, which, size): Step) {
    let which = usize::from(which);
    let size = f64::from(size) / f64::from(u16::MAX);
    match kind % 16 {
        0..=4 => accept_rpc(proxy, which, size),
        5..=8 => end_an_attempt(proxy, which, size),
        9 => proxy.complete_health_checks(OUTCOMES[which % 9], |b| f64::from(b % 3) * size.round()),
        10 => change_an_endpoint(proxy, which, size),
        11 => replace_the_list(proxy, which, size),
        12 => proxy.balancer.on_discovery_failure(&mut proxy.platform),
        13 => disconnect_or_start_response(proxy, which, size),
        _ => proxy.advance(size * size * 0.4),
    }
}

fn generated_settings(seed: u64) -> Settings {
    let mut generated = Settings {
        can_hedge: seed.is_multiple_of(3),
        can_cancel: seed.is_multiple_of(2),
        can_health_check: !seed.is_multiple_of(5),
        max_retry_after: (seed % 4) as f64,
        key_cooldown: 0.05,
        ..settings(&IDEMPOTENCY)
    };
    // Methods of each idempotency are ordered by key, and share the keys.
    for (n, method) in generated.methods.iter_mut().enumerate() {
        method.ordered_by_key = (seed as usize + n).is_multiple_of(3);
    }
    generated
}

#[test]
fn every_action_is_allowed_by_the_rule_model() {
    for seed in 0..400 {
        let mut random = Gen::from_size_and_seed(120, seed);
        let steps = Vec::<Step>::arbitrary(&mut random);
        let listed: Vec<_> = (0..(seed % 7) as u32).map(endpoint).collect();
        let mut proxy = Proxy::new(generated_settings(seed), seed, &listed);
        // Responses first, to fill the retry budget.
        for _ in 0..listed.len() * 25 {
            proxy.accept(0, 0.5);
            proxy.advance(0.001);
            proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
            proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(0.0));
        }
        for generated in &steps {
            step(&mut proxy, *generated);
            let checked = proxy.check_rules();
            assert_eq!(checked, Ok(()), "seed {seed}: {steps:?}");
        }
        proxy.advance(1.0);
        let checked = proxy.check_rules();
        assert_eq!(checked, Ok(()), "seed {seed}, at the end: {steps:?}");
    }
}

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
    proxy.balancer = birchhub::balancer::Balancer::new(&proxy.platform.settings, seed);
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
        ..settings(&IDEMPOTENCY[..1])
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
fn all_proxies_together_keep_the_slow_start_budget() {
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
