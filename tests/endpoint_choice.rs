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
    let outcome = |b: u32| {
        if b == 2 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        }
    };
    let rpcs =
        without_health_checks(4).drive(200, 0.01, |b| f64::from(b != 2), |b| Some(outcome(b)));
    let to_failing = rpcs.iter().filter(|r| r.attempts[0].backend == 2).count();
    assert!(
        (1..6).contains(&to_failing),
        "{to_failing} of 200 RPCs went to the backend that fails at once"
    );
}

/// Where health checks are too expensive, a random choice of the backend overloads some while others are idle.
/// A response shows that its backend has free capacity, so the backend enters the idle queue.
#[test]
fn a_response_puts_its_backend_into_the_idle_queue_where_health_checks_are_expensive() {
    let mut proxy = with_expensive_health_checks(60);
    let run_rpc = |proxy: &mut Proxy, outcome| {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.05);
        let sent = proxy.platform.rpcs[&rpc].attempts.clone();
        proxy.end_attempt(rpc, sent.len() - 1, outcome, None);
        sent.last().expect("an attempt").backend
    };
    let first = run_rpc(&mut proxy, AttemptOutcome::Succeeded);
    for _ in 0..20 {
        assert_eq!(
            run_rpc(&mut proxy, AttemptOutcome::Succeeded),
            first,
            "the backend that has just responded is idle"
        );
    }
    run_rpc(&mut proxy, AttemptOutcome::TimedOut);
    let others = (0..5)
        .filter(|_| run_rpc(&mut proxy, AttemptOutcome::TimedOut) != first)
        .count();
    assert!(
        others >= 4,
        "a timeout removes the backend from the idle queue, but only {others} of 5 RPCs went elsewhere"
    );
}

/// If every proxy used all backends it knows in turn, the proxies would collide at all of them. With the
/// quickest backend first, each proxy keeps to a few.
#[test]
fn the_quickest_backend_is_first_in_an_idle_queue_filled_by_responses() {
    let mut proxy = with_expensive_health_checks(12);
    let time = |backend: u32| 0.02 + 0.01 * f64::from(backend);
    // Six concurrent RPCs, so that six backends respond and enter the idle queue.
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
    let quickest = known.iter().min().expect("six backends");
    assert!(
        sent[20..].iter().all(|b| b == quickest),
        "{sent:?}: of {known:?} backend {quickest} is the quickest"
    );
}

/// Without health checks an entry of the idle queue must stay valid for longer than the time between two RPCs
/// of a proxy; otherwise all its attempts would go to random backends.
#[test]
fn a_low_load_report_in_a_response_stays_valid_without_health_checks() {
    let mut proxy = without_health_checks(60);
    let mut run_rpc = |reported_load: f64| {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.05);
        proxy.end_attempt(rpc, 0, AttemptOutcome::Succeeded, Some(reported_load));
        proxy.advance(1.0);
        proxy.platform.rpcs[&rpc].attempts[0].backend
    };
    for _ in 0..3 {
        run_rpc(4.0);
    }
    let lightly_loaded = run_rpc(1.0);
    assert_eq!(
        run_rpc(9.0),
        lightly_loaded,
        "the entry was invalid after one second"
    );
    assert_ne!(
        run_rpc(9.0),
        lightly_loaded,
        "a backend that reported nine RPCs is not idle"
    );
}

/// Half of the backends report that they are idle but respond slowly, the others report that they are busy but
/// respond quickly. Such reports (late, stale or false) are ignored, and responses fill the idle queue instead.
#[test]
fn load_reports_that_contradict_response_times_are_ignored() {
    let mut proxy = without_health_checks(10);
    let reports_falsely_idle = |backend: u32| backend < 5;
    let mut counted = Vec::new();
    // Rounds alternate between ten and five concurrent RPCs. Of ten, some must go to backends that report that
    // they are busy; only the rounds of five are counted.
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
            counted.extend((round >= 50 && round % 2 == 1).then_some(attempt.backend));
        }
        assert!(
            rpcs.iter()
                .all(|rpc| proxy.platform.rpcs[rpc].answers == [FinalAnswer::Succeeded])
        );
    }
    let to_slow = counted
        .iter()
        .filter(|backend| reports_falsely_idle(**backend))
        .count();
    assert!(
        to_slow < 30,
        "{to_slow} of 125 RPCs went to backends that report that they are idle and take five times as long"
    );
}

#[test]
fn fallback_prefers_the_own_zone_where_crossing_zones_is_expensive() {
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
            "{in_zone} of 300 RPCs stayed in the zone at a cross-zone cost of {cross_zone_cost}"
        );
    }
}

/// A backend that rejects an attempt has no capacity until one of its RPCs ends, so it must not be tried again
/// at once. Rejected attempts end immediately and so never count as in flight; without the pause they would
/// overload a backend in slow start.
#[test]
fn a_backend_that_rejected_an_attempt_counts_as_saturated_for_a_while() {
    let attempts = |age: Option<f64>| {
        let conf = Settings {
            can_health_check: false,
            max_attempts: 5,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = proxy_of(4, conf);
        proxy.drive(100, 0.05, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
        let now = proxy.platform.now;
        // Long RPCs occupy all backends, so that free capacity is used at once.
        (0..12).for_each(|_| _ = proxy.accept(0, 9.0));
        proxy.update_endpoints(
            EndpointUpdateKind::Incremental,
            &[Endpoint {
                started_at: age.map(|age| now - age),
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
        "{warm} attempts in a second at a warm backend with capacity for one more RPC every 0.05 s"
    );
    assert!(
        (2..45).contains(&slow_start),
        "{slow_start} attempts in a second at a backend in slow start"
    );
}

/// All proxies must send a key to the same few cells; spread over the whole fleet, it would rarely be cached
/// where it is needed.
#[test]
fn a_key_goes_to_the_same_cells_from_every_proxy() {
    let mut all_cells = BTreeSet::new();
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
        all_cells.extend(cells);
    }
    assert!(
        all_cells.len() >= 8,
        "of ten cells only {all_cells:?} receive keys"
    );
}

/// An RPC whose request body is still arriving puts no load on its backend.
#[test]
fn a_slow_upload_does_not_make_its_backend_look_busy() {
    let mut proxy = proxy_of(2, settings(&[Idempotency::Idempotent]));
    let upload = proxy.accept_streaming();
    proxy
        .platform
        .rpcs
        .get_mut(&upload)
        .expect("an accepted RPC")
        .is_streaming = true; // no timeout applies yet
    proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
    proxy.advance(0.05);
    let uploading_backend = proxy.platform.rpcs[&upload].attempts[0].backend;
    for _ in 0..20 {
        let rpc = proxy.accept(0, 0.5);
        proxy.complete_health_checks(AttemptOutcome::Succeeded, |backend| {
            if backend == uploading_backend {
                0.0
            } else {
                1.0
            }
        });
        proxy.advance(0.05);
        assert_eq!(
            proxy.platform.rpcs[&rpc].attempts[0].backend, uploading_backend,
            "the backend of the upload reports that it is idle"
        );
        for attempt in proxy
            .attempts_in_flight()
            .into_iter()
            .filter(|attempt| attempt.rpc != upload)
        {
            proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(0.0));
        }
    }
}

/// The time that a client takes to read a response does not count as response time of the backend.
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
        "responses start after 0.02 s, which is within the latency objective"
    );
}
