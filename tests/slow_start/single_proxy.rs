//! Tests of how a single proxy uses its share of the slow-start budget.
use crate::common::{FinalAnswer, Proxy, endpoint, settings};
use birchhub::balancer::Balancer;
use birchhub::interface::*;
use std::collections::BTreeSet;

/// A new process does not know what its predecessor sent, with or without a cached endpoint list. It must assume
/// that the budget of the current window is used up, and send its first RPC after that window.
#[test]
fn new_process_assumes_that_its_predecessor_used_the_budget() {
    for kind in [
        EndpointUpdateKind::StaleSnapshot,
        EndpointUpdateKind::Snapshot,
    ] {
        let conf = Settings {
            can_health_check: false,
            proxy_count: 2,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = Proxy::new(conf, 7, &[]);
        proxy.advance(1.0);
        let started_at = proxy.platform.now - 0.5;
        proxy.balancer = Balancer::new(&proxy.platform.settings, 8);
        proxy.update_endpoints(
            kind,
            &[Endpoint {
                started_at: Some(started_at),
                ..endpoint(0)
            }],
        );
        let begin = proxy.platform.now;
        let mut first_sent_after = None;
        while first_sent_after.is_none() && proxy.platform.now < begin + 4.0 {
            proxy.accept(0, 0.5);
            first_sent_after = proxy
                .attempts_in_flight()
                .first()
                .map(|_| proxy.platform.now - begin);
            proxy.advance(0.01);
        }
        assert!(
            first_sent_after.is_some_and(|after| (1.0..2.0).contains(&after)),
            "{kind:?}: the first RPC was sent after {first_sent_after:?} s, with a window of 1 s"
        );
    }
}

/// Responses of backends that were removed must not count as completed by the remaining ones: the estimated
/// throughput of a backend, and with it the slow-start budget, would be too high.
#[test]
fn completions_before_a_removal_do_not_raise_the_share_of_the_remaining_backends() {
    let conf = Settings {
        can_health_check: false,
        ..settings(&[Idempotency::Idempotent])
    };
    let listed: Vec<_> = (0..30).map(endpoint).collect();
    let mut proxy = Proxy::new(conf, 7, &listed);
    let drive = |proxy: &mut Proxy, rounds| {
        for _ in 0..rounds {
            for _ in 0..20 {
                proxy.accept(0, 0.5);
            }
            proxy.advance(0.05);
            // Each backend completes one RPC in that time.
            let mut done = BTreeSet::new();
            for attempt in proxy.attempts_in_flight() {
                if done.insert(attempt.backend) {
                    proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(0.0));
                }
            }
        }
    };
    drive(&mut proxy, 120);
    let now = proxy.platform.now;
    proxy.update_endpoints(
        EndpointUpdateKind::Snapshot,
        &[
            endpoint(0),
            Endpoint {
                started_at: Some(now),
                ..endpoint(30)
            },
        ],
    );
    drive(&mut proxy, 20);
    // The budget of a backend of one core: each of the thirty backends completed 13 RPCs per second, which is two
    // thirds of the 20 that a core can.
    let n: f64 = 3.0 * (0.3 + 0.7 / 8.0) / 0.05;
    let sent = proxy
        .platform
        .rpcs
        .values()
        .flat_map(|r| &r.attempts)
        .filter(|s| s.backend == 30 && s.started_at < now + 1.0)
        .count();
    assert!(
        sent > 2 && sent as f64 <= n + 2.0 * n.sqrt() + 2.0,
        "{sent} RPCs sent in the first window, with a budget of {n:.0}"
    );
}

/// Where proxies are few, each may have one attempt in flight at a backend in slow start, as otherwise the backend
/// would stay idle until it is warm. One attempt from each of hundreds of proxies would overload it.
#[test]
fn few_proxies_use_a_backend_in_slow_start_one_rpc_at_a_time() {
    let served = |proxies: usize| {
        let conf = Settings {
            proxy_count: proxies,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = Proxy::new(conf, 7, &[endpoint(0)]);
        let mut served = 0;
        for n in 0..120 {
            if n == 60 {
                let now = proxy.platform.now;
                proxy.update_endpoints(
                    EndpointUpdateKind::Snapshot,
                    &[Endpoint {
                        started_at: Some(now),
                        ..endpoint(0)
                    }],
                );
            }
            let rpc = proxy.accept(0, 0.5);
            proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
            assert!(
                proxy.attempts_in_flight().len() <= 1,
                "more than one at a time"
            );
            proxy.advance(0.02);
            proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
            proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(0.0));
            served += usize::from(
                n >= 60 && proxy.platform.rpcs[&rpc].answers == [FinalAnswer::Succeeded],
            );
            proxy.advance(0.005);
        }
        served
    };
    assert!(
        served(2) > 50,
        "{} of 60 RPCs served by one of 2 proxies",
        served(2)
    );
    assert!(
        served(200) < 10,
        "{} of 60 RPCs served by one of 200 proxies, which together overload the backend",
        served(200)
    );
}
