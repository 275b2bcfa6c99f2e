//! Which backend an RPC is sent to: the idle queue, the random pick of the fallback, and key affinity.
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

/// Where health checks are expensive, random picks fill some backends while others are idle. A response says that there
/// is capacity again.
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
            "its capacity there is free again"
        );
    }
    served_by(&mut proxy, AttemptOutcome::TimedOut);
    let others = (0..5)
        .filter(|_| served_by(&mut proxy, AttemptOutcome::TimedOut) != first)
        .count();
    assert!(
        others >= 4,
        "a failure takes the backend out of the idle queue, yet {others} of 5 went elsewhere"
    );
}

/// Proxies that each go round all known backends meet each other everywhere; with the quickest first, each has few to
/// itself.
#[test]
fn of_the_backends_that_responded_the_quickest_comes_first() {
    let mut proxy = with_expensive_health_checks(12);
    let time = |backend: u32| 0.02 + 0.01 * f64::from(backend);
    // Six together, so that as many backends are known.
    for _ in 0..6 {
        proxy.accept(0, 0.5);
    }
    proxy.advance(0.04);
    let known: Vec<_> = proxy
        .attempts_in_flight()
        .iter()
        .map(|(.., backend)| *backend)
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
        "{sent:?}, of {known:?} the first is the quickest"
    );
}

/// Without health checks an entry of the idle queue must outlast the time between a proxy's few RPCs, or all its attempts
/// go to random picks.
#[test]
fn a_light_load_report_in_a_response_holds_without_health_checks() {
    let mut proxy = without_health_checks(60);
    let mut served_by = |held: f64| {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.05);
        proxy.end_attempt(rpc, 0, AttemptOutcome::Succeeded, Some(held));
        proxy.advance(1.0);
        proxy.platform.rpcs[&rpc].attempts[0].backend
    };
    for _ in 0..3 {
        served_by(4.0);
    }
    let light = served_by(1.0);
    assert_eq!(
        served_by(9.0),
        light,
        "a second later it is still in the idle queue"
    );
    assert_ne!(
        served_by(9.0),
        light,
        "with nine RPCs it is not idle, whatever it responded"
    );
}

/// Half of the backends report that they are idle and are slow all the same, the others report that they are busy and
/// are quick: such reports, late, stale or untrue, are ignored, and responses fill the idle queue.
#[test]
fn load_reports_that_contradict_response_times_are_ignored() {
    let mut proxy = without_health_checks(10);
    let liar = |backend: u32| backend < 5;
    let mut later = Vec::new();
    // Ten RPCs arrive together, so that some go to backends that report to be busy; then five.
    for round in 0..100 {
        let rpcs: Vec<_> = (0..if round % 2 == 0 { 10 } else { 5 })
            .map(|_| proxy.accept(0, 0.5))
            .collect();
        let mut attempts = proxy.attempts_in_flight();
        attempts.sort_by_key(|(.., backend)| liar(*backend));
        let begun = proxy.platform.now;
        for (rpc, n, backend) in attempts {
            let takes = if liar(backend) { 0.15 } else { 0.03 };
            proxy.advance((begun + takes - proxy.platform.now).max(0.0));
            proxy.end_attempt(
                rpc,
                n,
                AttemptOutcome::Succeeded,
                Some(if liar(backend) { 0.0 } else { 3.0 }),
            );
            later.extend((round >= 50 && round % 2 == 1).then_some(backend));
        }
        assert!(
            rpcs.iter()
                .all(|rpc| proxy.platform.rpcs[rpc].answers == [FinalAnswer::Succeeded])
        );
    }
    let met = later.iter().filter(|backend| liar(**backend)).count();
    assert!(
        met < 30,
        "{met} of 125 RPCs went to those that report to be idle and take five times as long"
    );
}

#[test]
fn random_picks_stay_in_the_zone_where_crossing_zones_is_expensive() {
    for (cross_zone_cost, part) in [(0.04, 270..301), (0.0, 60..150)] {
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
            part.contains(&in_zone),
            "{in_zone} of 300 stayed in the zone at a cost of {cross_zone_cost}"
        );
    }
}

/// A backend that rejects an attempt has no capacity until something there ends. Prevents a full one from being tried all
/// the time, and one in slow start from being overloaded by attempts that it rejects, as these end at once.
#[test]
fn a_backend_that_rejected_an_attempt_counts_as_full_for_a_while() {
    let attempts = |started: Option<f64>| {
        let conf = Settings {
            can_health_check: false,
            max_attempts: 5,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = proxy_of(4, conf);
        proxy.drive(100, 0.05, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
        let now = proxy.platform.now;
        // So many are in flight that any free capacity is used.
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
            while let Some((rpc, n, _)) = proxy
                .attempts_in_flight()
                .into_iter()
                .find(|(.., backend)| *backend == 0)
            {
                proxy.end_attempt(rpc, n, AttemptOutcome::Rejected, None);
            }
            proxy.advance(0.002);
            for (rpc, n, _) in proxy.attempts_in_flight().into_iter().take(1) {
                proxy.end_attempt(rpc, n, AttemptOutcome::Succeeded, Some(1.0));
            }
        }
        let sent = proxy.platform.rpcs.values().flat_map(|r| &r.attempts);
        sent.filter(|s| s.backend == 0 && s.started_at >= now)
            .count()
    };
    let (warm, slow_start) = (attempts(None), attempts(Some(0.5)));
    assert!(
        (10..80).contains(&warm),
        "{warm} attempts in a second, with capacity that comes free every 0.05 s"
    );
    assert!(
        (2..45).contains(&slow_start),
        "{slow_start} attempts at one in slow start"
    );
}

/// Prevents keys that go round the whole fleet, so that no cell has one cached.
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

/// A request whose body is still on its way is no work for its backend.
#[test]
fn a_slow_upload_does_not_make_its_backend_look_busy() {
    let mut proxy = proxy_of(2, settings(&[Idempotency::Idempotent]));
    let long = proxy.accept_streaming();
    proxy
        .platform
        .rpcs
        .get_mut(&long)
        .expect("taken")
        .is_streaming = true; // no time-out runs yet
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
        for (id, n, _) in proxy
            .attempts_in_flight()
            .into_iter()
            .filter(|(id, ..)| *id != long)
        {
            proxy.end_attempt(id, n, AttemptOutcome::Succeeded, Some(0.0));
        }
    }
}

/// The time that a client takes to read an answer is none of the backend's.
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
            .expect("taken")
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
