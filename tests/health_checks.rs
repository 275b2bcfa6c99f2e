//! When health checks are sent, and what their answers change.
mod common;
use birchhub::interface::*;
use common::{load_report, proxy_of, settings, with_key_affinity};

#[test]
fn an_idle_report_is_used_once() {
    let mut proxy = proxy_of(5, settings(&[Idempotency::Idempotent]));
    proxy.complete_health_checks(AttemptOutcome::Succeeded, |b| f64::from(b != 3) * 9.0);
    proxy.advance(0.06);
    proxy.complete_health_checks(AttemptOutcome::Succeeded, |b| f64::from(b != 3) * 9.0);
    let known = load_report(0.0);
    proxy.balancer.on_health_check(
        3,
        AttemptOutcome::Succeeded,
        Some(known),
        &mut proxy.platform,
    );
    proxy.balancer.on_health_check(
        3,
        AttemptOutcome::Succeeded,
        Some(known),
        &mut proxy.platform,
    );
    let (first, second) = (proxy.accept(0, 0.5), proxy.accept(0, 0.5));
    assert_eq!(proxy.platform.rpcs[&first].attempts[0].backend, 3);
    assert!(
        proxy.platform.rpcs[&second].attempts.is_empty(),
        "the second waits for a report"
    );
}

#[test]
fn a_proxy_with_few_rpcs_sends_few_health_checks() {
    let mut proxy = proxy_of(
        9,
        Settings {
            health_check_cost: 0.0069,
            ..settings(&[Idempotency::Idempotent])
        },
    );
    proxy.drive(60, 1.0, |_| 4.0, |_| Some(AttemptOutcome::Succeeded));
    let health_checks = proxy.platform.health_checks_sent;
    assert!(
        health_checks <= 60 * 3 + 3,
        "{health_checks} health checks for 60 RPCs at a cost that allows 3 each"
    );
}

/// A health check that this proxy could not send says nothing of its backend.
#[test]
fn a_health_check_that_was_not_sent_ejects_no_backend() {
    let mut proxy = proxy_of(4, settings(&[Idempotency::Idempotent]));
    let mut sent = Vec::new();
    for round in 0..40 {
        proxy.accept(0, 0.5);
        proxy.complete_health_checks(AttemptOutcome::NotSent, |_| 0.0);
        proxy.advance(0.02);
        proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(f64::from(round % 2)));
        sent.push(proxy.platform.health_checks_sent);
    }
    assert!(
        sent[39] > sent[20] + 10,
        "soon no backend is left for a health check: {sent:?}"
    );
}

/// A backend takes few health checks at a time: one that rejects one is busy, not faulty.
#[test]
fn a_rejected_health_check_ejects_no_backend() {
    let mut proxy = with_key_affinity(1);
    for _ in 0..40 {
        proxy.accept_with_key(1);
        proxy.complete_health_checks(AttemptOutcome::Rejected, |_| 0.0);
        proxy.advance(0.1);
        proxy.end_all_attempts(AttemptOutcome::Succeeded, None);
    }
    let before = proxy.platform.health_checks_sent;
    proxy.accept_with_key(1);
    assert!(
        proxy.platform.health_checks_sent > before,
        "no backend of the key's cells is left for a health check"
    );
}

/// Load reports that come with responses are not asked for a second time: what a health check brings is no newer.
#[test]
fn no_health_check_is_sent_where_responses_report_the_queue() {
    let sent = |reports, reports_queue| {
        let conf = Settings {
            load_report_source: reports,
            reports_include_queue: reports_queue,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = proxy_of(10, conf);
        proxy.drive(20, 0.05, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
        proxy.platform.health_checks_sent
    };
    assert_eq!(sent(LoadReportSource::Responses, true), 0);
    assert!(
        sent(LoadReportSource::Responses, false) > 10,
        "a queue shows in the time that a health check takes"
    );
    assert!(
        sent(LoadReportSource::HealthChecks, true) > 10,
        "nothing else reports load"
    );
}

/// Where all backends report a light load, a health check finds no better one than a random pick does.
#[test]
fn few_health_checks_are_sent_where_all_backends_report_a_light_load() {
    let sent = |load: fn(u32) -> f64| {
        let mut proxy = proxy_of(12, settings(&[Idempotency::Idempotent]));
        proxy.drive(100, 0.05, load, |_| Some(AttemptOutcome::Succeeded));
        let before = proxy.platform.health_checks_sent;
        proxy.drive(100, 0.05, load, |_| Some(AttemptOutcome::Succeeded));
        proxy.platform.health_checks_sent - before
    };
    let (light, mixed) = (sent(|_| 0.0), sent(|backend| f64::from(backend % 3)));
    assert!(
        light < 8 && mixed > 15,
        "{light} health checks for 100 RPCs where all report 0, {mixed} where not"
    );
}

/// A utilisation ends at 1 however many RPCs are queued, so it says nothing; the first health check to return waited
/// least.
#[test]
fn the_first_health_check_to_return_gets_the_rpc_whatever_the_utilisation() {
    let mut proxy = with_key_affinity(3);
    let mut at_once = 0;
    for key in 0..40 {
        let rpc = proxy.accept_with_key(key);
        proxy.advance(0.01);
        let first = proxy.platform.pending_health_checks.remove(0);
        let busy = Some(LoadReport {
            utilisation: Some(1.0),
            ..LoadReport::default()
        });
        proxy
            .balancer
            .on_health_check(first, AttemptOutcome::Succeeded, busy, &mut proxy.platform);
        at_once += usize::from(
            proxy.platform.rpcs[&rpc]
                .attempts
                .first()
                .is_some_and(|s| s.backend == first),
        );
        proxy.advance(0.04);
        proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 1.0);
        proxy.end_all_attempts(AttemptOutcome::Succeeded, None);
        proxy.advance(0.1);
    }
    assert!(
        at_once >= 36,
        "only {at_once} of 40 went to the backend of the first health check to return"
    );
}
