//! When health checks are sent, and the effect of their outcomes.
mod common;
use birchhub::interface::*;
use common::{load_report, proxy_of, settings, with_key_affinity};

#[test]
fn a_report_of_low_load_is_used_for_one_rpc() {
    let mut proxy = proxy_of(5, settings(&[Idempotency::Idempotent]));
    proxy.complete_health_checks(AttemptOutcome::Succeeded, |b| f64::from(b != 3) * 9.0);
    proxy.advance(0.06);
    proxy.complete_health_checks(AttemptOutcome::Succeeded, |b| f64::from(b != 3) * 9.0);
    let idle = load_report(0.0);
    proxy.balancer.on_health_check(
        3,
        AttemptOutcome::Succeeded,
        Some(idle),
        &mut proxy.platform,
    );
    proxy.balancer.on_health_check(
        3,
        AttemptOutcome::Succeeded,
        Some(idle),
        &mut proxy.platform,
    );
    // Both reports describe the same idle backend, which the first RPC makes busy.
    let first = proxy.accept(0, 0.5);
    let second = proxy.accept(0, 0.5);
    assert_eq!(proxy.platform.rpcs[&first].attempts[0].backend, 3);
    assert!(
        proxy.platform.rpcs[&second].attempts.is_empty(),
        "the second RPC must wait for another report"
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
        "{health_checks} health checks for 60 RPCs, at a cost that allows 3 for each RPC"
    );
}

/// A health check that this proxy failed to send says nothing about the backend.
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
        "backends were ejected, as too few health checks are sent: {sent:?}"
    );
}

/// A backend accepts only a few health checks at a time: one that rejects a health check is busy, not faulty.
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
        "all backends of the key's cells are ejected"
    );
}

/// Where responses carry load reports that include the queue, a health check would provide nothing newer.
#[test]
fn no_health_check_is_sent_where_responses_report_the_queue() {
    let sent = |load_report_source, reports_include_queue| {
        let conf = Settings {
            load_report_source,
            reports_include_queue,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = proxy_of(10, conf);
        proxy.drive(20, 0.05, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
        proxy.platform.health_checks_sent
    };
    assert_eq!(sent(LoadReportSource::Responses, true), 0);
    assert!(
        sent(LoadReportSource::Responses, false) > 10,
        "the duration of a health check shows the length of the queue"
    );
    assert!(
        sent(LoadReportSource::HealthChecks, true) > 10,
        "only health checks report load"
    );
}

/// Where all backends report low load, a health check finds no better backend than a random choice does.
#[test]
fn few_health_checks_are_sent_where_all_backends_report_low_load() {
    let sent = |load: fn(u32) -> f64| {
        let mut proxy = proxy_of(12, settings(&[Idempotency::Idempotent]));
        proxy.drive(100, 0.05, load, |_| Some(AttemptOutcome::Succeeded));
        let before = proxy.platform.health_checks_sent;
        proxy.drive(100, 0.05, load, |_| Some(AttemptOutcome::Succeeded));
        proxy.platform.health_checks_sent - before
    };
    let all_low = sent(|_| 0.0);
    let mixed = sent(|backend| f64::from(backend % 3));
    assert!(
        all_low < 8 && mixed > 15,
        "health checks for 100 RPCs: {all_low} where all backends report a load of 0, {mixed} where loads differ"
    );
}

/// The utilisation of a saturated backend is 1 however many RPCs are queued, so it can not tell two of them
/// apart. The first health check to return has waited in the shortest queue.
#[test]
fn the_first_health_check_to_return_gets_the_rpc_whatever_the_utilisation() {
    let mut proxy = with_key_affinity(3);
    let mut to_first = 0;
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
        to_first += usize::from(
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
        to_first >= 36,
        "only {to_first} of 40 went to the backend of the first health check to return"
    );
}
