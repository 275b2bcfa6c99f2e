//! The plain model of the rules beside the module, on generated inputs.
mod common;
use birchhub::interface::*;
use common::{Proxy, endpoint, settings};
use quickcheck::{Arbitrary, Gen};

const EFFECTS: [Idempotency; 5] = [
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

#[expect(clippy::too_many_lines)]
fn step(proxy: &mut Proxy, (what, which, size): (u8, u8, u16)) {
    let which = usize::from(which);
    let size = f64::from(size) / f64::from(u16::MAX);
    match what % 16 {
        0..=4 => {
            let (method, deadline) = (which % EFFECTS.len(), 0.001 + size * 0.6);
            // A few keys, so that most have others of theirs before them, and some RPCs without.
            let key = Some(which as u64 / 5 % 4).filter(|key| *key > 0);
            proxy.accept_rpc(IncomingRpc {
                method,
                deadline,
                key,
                ..IncomingRpc::default()
            });
        }
        5..=8 => {
            let out = proxy.attempts_in_flight();
            if let Some((rpc, n, _)) = out.get(which % out.len().max(1)).copied() {
                let how = OUTCOMES[(size * 8.99) as usize];
                proxy.end_attempt(rpc, n, how, Some((size * 40.0).round() % 4.0));
            }
        }
        9 => proxy.complete_health_checks(OUTCOMES[which % 9], |b| f64::from(b % 3) * size.round()),
        10 => {
            let readiness =
                [Readiness::Ready, Readiness::Draining, Readiness::Removed][(size * 2.99) as usize];
            let started = Some(proxy.platform.now).filter(|_| which.is_multiple_of(2));
            let changed = Endpoint {
                readiness,
                started_at: started,
                ..endpoint(which as u32 % 8)
            };
            proxy.update_endpoints(EndpointUpdateKind::Incremental, &[changed]);
        }
        11 => {
            let listed: Vec<_> = (0..8)
                .filter(|b| which >> b & 1 == 1)
                .map(endpoint)
                .collect();
            proxy.update_endpoints(
                if size < 0.8 {
                    EndpointUpdateKind::Snapshot
                } else {
                    EndpointUpdateKind::StaleSnapshot
                },
                &listed,
            );
        }
        12 => proxy.balancer.list_failed(&mut proxy.platform),
        13 => {
            let rpc = (which % proxy.handles.len().max(1)) as u64;
            let Some(record) = proxy.platform.rpcs.get_mut(&rpc) else {
                return;
            };
            if record.answers.is_empty() && size < 0.7 {
                record.client_disconnected = true;
                proxy.handles[&rpc].on_client_disconnected(&mut proxy.platform);
            } else if record.answers.is_empty() && record.attempts_in_flight() == 1 {
                record.is_streaming = true;
                proxy.handles[&rpc].on_response_started(
                    record.attempts.len() - 1,
                    PacedBy::Backend,
                    &mut proxy.platform,
                );
            }
        }
        _ => proxy.advance(size * size * 0.4),
    }
}

#[test]
fn every_action_is_one_the_plain_model_allows() {
    for seed in 0..400 {
        let mut random = Gen::from_size_and_seed(120, seed);
        let steps = Vec::<(u8, u8, u16)>::arbitrary(&mut random);
        let mut conf = Settings {
            can_hedge: seed % 3 == 0,
            can_cancel: seed % 2 == 0,
            can_health_check: seed % 5 != 0,
            max_retry_after: (seed % 4) as f64,
            key_cooldown: 0.05,
            ..settings(&EFFECTS)
        };
        // Methods of each effect keep their order, in one key space with one another.
        (0..EFFECTS.len())
            .for_each(|n| conf.methods[n].ordered_by_key = (seed as usize + n).is_multiple_of(3));
        let listed: Vec<_> = (0..(seed % 7) as u32).map(endpoint).collect();
        let mut proxy = Proxy::new(conf, seed, &listed);
        // Answers first, so that backends have the credit without which no further pick is made.
        for _ in 0..listed.len() * 25 {
            proxy.accept(0, 0.5);
            proxy.advance(0.001);
            proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
            proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(0.0));
        }
        for step_taken in &steps {
            step(&mut proxy, *step_taken);
            proxy
                .check_rules()
                .unwrap_or_else(|broken| panic!("seed {seed}: {broken}\n{steps:?}"));
        }
        proxy.advance(1.0);
        proxy
            .check_rules()
            .unwrap_or_else(|broken| panic!("seed {seed}, at the end: {broken}\n{steps:?}"));
    }
}

/// All proxies of a fleet before one freshly started backend among warm ones that answer steadily.
#[expect(clippy::too_many_lines)]
fn cold_peak(proxies: u64, seed: u64, restart: bool) -> f64 {
    const WORK: f64 = 0.05;
    let every = (proxies / 4).max(1);
    let conf = Settings {
        proxy_count: proxies as usize,
        ..settings(&EFFECTS[..1])
    };
    let listed: Vec<_> = (0..3).map(endpoint).collect();
    let make = |n| Proxy::new(conf.clone(), seed * 100 + n, &listed);
    let mut fleet: Vec<_> = (0..proxies).map(make).collect();
    for round in 0..600 {
        for (n, proxy) in fleet.iter_mut().enumerate() {
            if round == 100 {
                let fresh = Endpoint {
                    started_at: Some(proxy.platform.now),
                    ..endpoint(7)
                };
                proxy.update_endpoints(EndpointUpdateKind::Incremental, &[fresh]);
            }
            if restart && round == 106 {
                let started = proxy.platform.endpoints[&7].started_at;
                proxy.balancer = birchhub::policy::Balancer::new(&conf, seed * 100 + 50 + n as u64);
                proxy.platform.timers.clear();
                for rpc in proxy.platform.rpcs.values_mut() {
                    rpc.attempts
                        .iter_mut()
                        .for_each(|s| s.outcome = Some(AttemptOutcome::Reset));
                    rpc.client_disconnected = true;
                }
                proxy.update_endpoints(
                    EndpointUpdateKind::StaleSnapshot,
                    &[
                        endpoint(0),
                        endpoint(1),
                        endpoint(2),
                        Endpoint {
                            started_at: started,
                            ..endpoint(7)
                        },
                    ],
                );
            }
            // The cold backend always looks idle, the warm ones never: the worst case for the list.
            proxy.complete_health_checks(
                AttemptOutcome::Succeeded,
                |b| if b == 7 { 0.0 } else { 3.0 },
            );
            // Hundreds of proxies see few RPCs each, at times of their own.
            for _ in 0..if (round + n as u64).is_multiple_of(every) {
                2
            } else {
                0
            } {
                proxy.accept(0, 0.5);
                proxy.advance(0.002);
                proxy.complete_health_checks(AttemptOutcome::Succeeded, |b| {
                    if b == 7 { 0.0 } else { 3.0 }
                });
            }
            let due: Vec<_> = proxy.attempts_in_flight();
            for (rpc, n, backend) in due {
                if proxy.platform.now - proxy.platform.rpcs[&rpc].attempts[n].started_at >= WORK {
                    proxy.end_attempt(
                        rpc,
                        n,
                        AttemptOutcome::Succeeded,
                        Some(if backend == 7 { 0.0 } else { 3.0 }),
                    );
                }
            }
            proxy.advance(0.006);
        }
    }
    let sent = fleet
        .iter()
        .flat_map(|p| p.platform.rpcs.values())
        .flat_map(|r| &r.attempts);
    let sends: Vec<f64> = sent
        .filter(|s| s.backend == 7)
        .map(|s| s.started_at)
        .collect();
    // What a warm backend is seen to do: at least one core's work, and its part of all that is answered.
    let warm = (proxies as f64 * 200.0 / every as f64 / 4.0 * WORK).max(1.0);
    let start = 1.0;
    let load = |at: f64| {
        let share = (0.3 + 0.7 * (at - start) / 8.0).min(1.0);
        let within = sends.iter().filter(|s| **s >= at && **s < at + 1.0).count() as f64;
        within * WORK / (3.0 * share * warm)
    };
    assert!(
        sends.len() > 4,
        "{proxies} proxies, restarted {restart}: only {} RPCs reached the cold backend",
        sends.len()
    );
    sends.iter().map(|at| load(*at)).fold(0.0, f64::max)
}

#[test]
fn all_proxies_together_keep_the_cold_budget() {
    for (proxies, seed) in [(1, 1), (2, 2), (4, 3), (6, 4), (240, 5)] {
        let (peak, restarted) = (
            cold_peak(proxies, seed, false),
            cold_peak(proxies, seed, true),
        );
        assert!(
            peak <= 1.0,
            "{proxies} proxies used {peak} of the cold budget"
        );
        assert!(
            restarted <= peak * 1.1,
            "{proxies} restarted proxies used {restarted}, not {peak}"
        );
    }
}
