//! Choice of the backend: the idle queue, the fallback to a random backend, and key affinity.
mod common;
use birchhub::interface::*;
use common::{
    FinalAnswer, Proxy, endpoint, proxy_of, settings, with_expensive_health_checks,
    with_key_affinity, without_health_checks,
};
use std::collections::BTreeSet;

#[test]
fn a_quick_failure_does_not_look_idle() {
    let bad = |b: u32| {
        if b == 2 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        }
    };
    let rpcs = without_health_checks(4).drive(200, 0.01, |b| f64::from(b != 2), |b| Some(bad(b)));
    let to_bad = rpcs.iter().filter(|r| r.attempts[0].backend == 2).count();
    assert!(
        (1..6).contains(&to_bad),
        "{to_bad} of 200 went to the one that fails at once"
    );
}

/// Where health checks are expensive, random choices fill some backends while others are idle. A response
/// shows that its backend has capacity again.
#[test]
fn a_response_puts_its_backend_into_the_idle_queue_where_health_checks_are_expensive() {
    let mut proxy = with_expensive_health_checks(60);
    let served_by = |proxy: &mut Proxy, outcome| {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.05);
        let sent = proxy.platform.rpcs[&rpc].attempts.clone();
        proxy.end_attempt(rpc, sent.len() - 1, outcome, None);
        sent.last().expect("an attempt").backend
    };
    let first = served_by(&mut proxy, AttemptOutcome::Succeeded);
    for _ in 0..20 {
        assert_eq!(
            served_by(&mut proxy, AttemptOutcome::Succeeded),
            first,
            "its place there is free again"
        );
    }
    served_by(&mut proxy, AttemptOutcome::TimedOut);
    let others = (0..5)
        .filter(|_| served_by(&mut proxy, AttemptOutcome::TimedOut) != first)
        .count();
    assert!(
        others >= 4,
        "a failure takes the backend out of the idle queue, but only {others} of 5 went elsewhere"
    );
}

/// Proxies that each use all known backends in turn collide at each of them. With the quickest first, each
/// proxy keeps to few backends.
#[test]
fn the_quickest_backend_is_first_in_an_idle_queue_filled_by_responses() {
    let mut proxy = with_expensive_health_checks(12);
    let time = |backend: u32| 0.02 + 0.01 * f64::from(backend);
    // Six RPCs at once, so that six backends are known.
    for _ in 0..6 {
        proxy.accept(0, 0.5);
    }
    proxy.advance(0.04);
    let known: Vec<_> = proxy
        .attempts_in_flight()
        .iter()
        .map(|attempt| attempt.backend)
        .collect();
    proxy.end_all_attempts(AttemptOutcome::Succeeded, None);
    let mut sent = Vec::new();
    for _ in 0..40 {
        let rpc = proxy.accept(0, 0.5);
        let backend = proxy.platform.rpcs[&rpc].attempts[0].backend;
        proxy.advance(time(backend));
        proxy.end_attempt(rpc, 0, AttemptOutcome::Succeeded, None);
        sent.push(backend);
    }
    let best = known.iter().min().expect("some");
    assert!(
        sent[20..].iter().all(|b| b == best),
        "{sent:?}: of {known:?} the first is the quickest"
    );
}

/// Without health checks an entry of the idle queue must outlast the time between two RPCs of a proxy;
/// otherwise all its attempts would go to random backends.
#[test]
fn a_low_load_report_in_a_response_stays_valid_without_health_checks() {
    let mut proxy = without_health_checks(60);
    let mut served_by = |reported_load: f64| {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.05);
        proxy.end_attempt(rpc, 0, AttemptOutcome::Succeeded, Some(reported_load));
        proxy.advance(1.0);
        proxy.platform.rpcs[&rpc].attempts[0].backend
    };
    for _ in 0..3 {
        served_by(4.0);
    }
    let lightly_loaded = served_by(1.0);
    assert_eq!(
        served_by(9.0),
        lightly_loaded,
        "a second later it is still in the idle queue"
    );
    assert_ne!(
        served_by(9.0),
        lightly_loaded,
        "with nine RPCs it is not idle"
    );
}

/// Half of the backends report that they are idle but are slow, the others report that they are busy but
/// are quick. Such reports (late, stale or untrue) are ignored, and responses fill the idle queue.
#[test]
fn load_reports_that_contradict_response_times_are_ignored() {
    let mut proxy = without_health_checks(10);
    let reports_falsely_idle = |backend: u32| backend < 5;
    let mut later = Vec::new();
    // Ten RPCs arrive at once, so that some go to backends that report that they are busy; then five.
    for round in 0..100 {
        let rpcs: Vec<_> = (0..if round % 2 == 0 { 10 } else { 5 })
            .map(|_| proxy.accept(0, 0.5))
            .collect();
        let mut attempts = proxy.attempts_in_flight();
        attempts.sort_by_key(|attempt| reports_falsely_idle(attempt.backend));
        let started_at = proxy.platform.now;
        for attempt in attempts {
            let (duration, load) = if reports_falsely_idle(attempt.backend) {
                (0.15, 0.0)
            } else {
                (0.03, 3.0)
            };
            proxy.advance((started_at + duration - proxy.platform.now).max(0.0));
            proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(load));
            later.extend((round >= 50 && round % 2 == 1).then_some(attempt.backend));
        }
        assert!(
            rpcs.iter()
                .all(|rpc| proxy.platform.rpcs[rpc].answers == [FinalAnswer::Succeeded])
        );
    }
    let to_slow = later
        .iter()
        .filter(|backend| reports_falsely_idle(**backend))
        .count();
    assert!(
        to_slow < 30,
        "{to_slow} of 125 RPCs went to backends that report that they are idle and take five times as long"
    );
}

#[test]
fn fallback_stays_in_the_own_zone_where_crossing_zones_is_expensive() {
    for (cross_zone_cost, expected) in [(0.04, 270..301), (0.0, 60..150)] {
        let conf = Settings {
            cross_zone_cost,
            zone_count: 3,
            can_health_check: false,
            ..settings(&[Idempotency::NonIdempotent])
        };
        let rpcs =
            proxy_of(12, conf).drive(300, 0.02, |_| 2.0, |_| Some(AttemptOutcome::Succeeded));
        let in_zone = rpcs
            .iter()
            .filter(|r| endpoint(r.attempts[0].backend).zone == 0)
            .count();
        assert!(
            expected.contains(&in_zone),
            "{in_zone} of 300 stayed in the zone at a cost of {cross_zone_cost}"
        );
    }
}

/// A backend that rejects an attempt has no capacity until an RPC there ends. It must not be tried all the
/// time, and one in slow start must not be overloaded by attempts that it rejects, as these end at once.
#[test]
fn a_backend_that_rejected_an_attempt_counts_as_saturated_for_a_while() {
    let attempts = |started: Option<f64>| {
        let conf = Settings {
            can_health_check: false,
            max_attempts: 5,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = proxy_of(4, conf);
        proxy.drive(100, 0.05, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
        let now = proxy.platform.now;
        // Enough RPCs are in flight to use any free capacity.
        (0..12).for_each(|_| _ = proxy.accept(0, 9.0));
        proxy.update_endpoints(
            EndpointUpdateKind::Incremental,
            &[Endpoint {
                started_at: started.map(|age| now - age),
                ..endpoint(0)
            }],
        );
        for _ in 0..500 {
            proxy.accept(0, 0.5);
            while let Some(attempt) = proxy
                .attempts_in_flight()
                .into_iter()
                .find(|attempt| attempt.backend == 0)
            {
                proxy.end_in_flight(attempt, AttemptOutcome::Rejected, None);
            }
            proxy.advance(0.002);
            for attempt in proxy.attempts_in_flight().into_iter().take(1) {
                proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(1.0));
            }
        }
        let sent = proxy.platform.rpcs.values().flat_map(|r| &r.attempts);
        sent.filter(|s| s.backend == 0 && s.started_at >= now)
            .count()
    };
    let warm = attempts(None);
    let slow_start = attempts(Some(0.5));
    assert!(
        (10..80).contains(&warm),
        "{warm} attempts in a second at a backend with one free place every 0.05 s"
    );
    assert!(
        (2..45).contains(&slow_start),
        "{slow_start} attempts at one in slow start"
    );
}

/// A key must not be spread over the whole fleet, as no cell would have it cached.
#[test]
fn a_key_goes_to_the_same_cells_from_every_proxy() {
    let mut spread = BTreeSet::new();
    for key in 0..30 {
        let mut cells = BTreeSet::new();
        for seed in 0..6 {
            let mut proxy = with_key_affinity(seed);
            let rpc = proxy.accept_with_key(key);
            proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
            cells.extend(
                proxy.platform.rpcs[&rpc]
                    .attempts
                    .iter()
                    .map(|sent| sent.backend / 4),
            );
        }
        assert!(
            (1..=3).contains(&cells.len()),
            "key {key} went to cells {cells:?}"
        );
        spread.extend(cells);
    }
    assert!(spread.len() >= 8, "of ten cells only {spread:?} have keys");
}

/// A request whose body is still arriving is no work for its backend.
#[test]
fn a_slow_upload_does_not_make_its_backend_look_busy() {
    let mut proxy = proxy_of(2, settings(&[Idempotency::Idempotent]));
    let long = proxy.accept_streaming();
    proxy
        .platform
        .rpcs
        .get_mut(&long)
        .expect("an accepted RPC")
        .is_streaming = true; // no timeout applies yet
    proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
    proxy.advance(0.05);
    let slow = proxy.platform.rpcs[&long].attempts[0].backend;
    for _ in 0..20 {
        let rpc = proxy.accept(0, 0.5);
        proxy.complete_health_checks(AttemptOutcome::Succeeded, |backend| {
            if backend == slow { 0.0 } else { 1.0 }
        });
        proxy.advance(0.05);
        assert_eq!(
            proxy.platform.rpcs[&rpc].attempts[0].backend, slow,
            "it is the idle one"
        );
        for attempt in proxy
            .attempts_in_flight()
            .into_iter()
            .filter(|attempt| attempt.rpc != long)
        {
            proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(0.0));
        }
    }
}

/// The time that a client takes to read a response does not count for the backend.
#[test]
fn a_slow_download_does_not_make_its_backend_look_slow() {
    let mut proxy = proxy_of(
        2,
        Settings {
            can_health_check: false,
            ..settings(&[Idempotency::Idempotent])
        },
    );
    for _ in 0..20 {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.02);
        proxy
            .platform
            .rpcs
            .get_mut(&rpc)
            .expect("an accepted RPC")
            .is_streaming = true;
        proxy.handles[&rpc].on_response_started(0, PacedBy::Client, &mut proxy.platform);
        proxy.advance(2.0);
        proxy.end_attempt(rpc, 0, AttemptOutcome::Succeeded, Some(1.0));
    }
    let rpc = proxy.accept(0, 0.5);
    assert_eq!(
        proxy.platform.rpcs[&rpc].attempts.len(),
        1,
        "0.02 s to its first byte fit"
    );
}
