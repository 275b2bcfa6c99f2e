//! Admission control: latency objectives, tenants' quotas, throttles and load shedding by priority weight.
mod common;
use birchhub::interface::*;
use common::{AttemptInFlight, FinalAnswer, Proxy, proxy_of, settings, with_two_priority_weights};

#[test]
fn rpcs_without_any_backend_are_rejected_within_the_latency_objective() {
    let mut proxy = proxy_of(0, settings(&[Idempotency::NonIdempotent]));
    let rpc = proxy.accept(0, 0.5);
    proxy.advance(0.1);
    assert_eq!(proxy.platform.rpcs[&rpc].answers, [FinalAnswer::Rejected]);
}

#[test]
fn an_rpc_that_cannot_meet_its_latency_objective_is_rejected_at_once() {
    let mut proxy = with_two_priority_weights(4);
    let mut rejected = 0;
    for _ in 0..400 {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.002);
        proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 8.0);
        proxy.advance(0.04);
        rejected += usize::from(proxy.platform.rpcs[&rpc].answers == [FinalAnswer::Rejected]);
    }
    // Some RPCs are still sent to random backends: without their responses the estimate of the wait would
    // never be updated.
    assert!(
        rejected > 100,
        "all attempts time out behind eight others, but only {rejected} of 400 were rejected"
    );
}

#[test]
fn stale_reports_of_low_load_do_not_keep_all_rpcs_admitted() {
    let rpcs = with_two_priority_weights(60).drive(110, 0.04, |_| 0.0, |_| None);
    let rejected = rpcs
        .iter()
        .filter(|r| r.answers == [FinalAnswer::Rejected])
        .count();
    assert!(
        rejected > 20,
        "every attempt times out, but only {rejected} of 110 were rejected"
    );
}

#[test]
fn client_retries_do_not_crowd_out_first_requests() {
    let tenants = vec![
        TenantSettings { quota: 20.0 },
        TenantSettings { quota: 20.0 },
    ];
    let conf = Settings {
        tenants,
        can_health_check: false,
        ..settings(&[Idempotency::NonIdempotent])
    };
    let mut proxy = proxy_of(4, conf);
    let mut served = [0, 0];
    for round in 0..1200 {
        // Tenant 0 stays within its quota with first requests; tenant 1 sends seven times as many client
        // retries.
        let is_client_retry = round % 8 != 0;
        let tenant = usize::from(is_client_retry);
        let rpc = proxy.accept_as(0, 0.5, Some(tenant), is_client_retry);
        served[tenant] += proxy.platform.rpcs[&rpc].attempts.len();
        proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(2.0));
        proxy.advance(0.00625);
    }
    assert!(
        served[0] > 140,
        "served per tenant: {served:?}; tenant 0 sent 150 first requests"
    );
}

#[test]
fn a_burst_does_not_put_a_small_tenant_over_its_quota() {
    let tenants = vec![TenantSettings { quota: 0.5 }, TenantSettings { quota: 4.0 }];
    let conf = Settings {
        tenants,
        can_health_check: false,
        ..settings(&[Idempotency::NonIdempotent])
    };
    let mut proxy = proxy_of(4, conf);
    let mut sent = 0;
    let mut accepted = 0;
    for round in 0..1440 {
        // Tenant 0 sends bursts of five RPCs, at three quarters of its quota on average. Tenant 1 sends three
        // times its quota.
        for tenant in [1, 0, 0, 0, 0, 0]
            .into_iter()
            .take(if round % 160 == 50 { 6 } else { 1 })
        {
            let rpc = proxy.accept_as(0, 0.5, Some(tenant), false);
            accepted += usize::from(tenant == 0);
            sent += proxy.platform.rpcs[&rpc].attempts.len() * usize::from(tenant == 0);
            proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(2.0));
        }
        proxy.advance(1.0 / 12.0);
    }
    assert!(
        sent >= accepted - 1,
        "{sent} of {accepted} RPCs of a tenant within its quota were sent"
    );
}

/// Each client keeps to one proxy, so some proxies receive far more RPCs than others. The quota applies to all
/// proxies together, and a tenant within it must not be rejected at its busiest proxy.
#[test]
fn a_busy_proxy_is_not_limited_to_an_even_share_of_the_quota() {
    let tenants = vec![
        TenantSettings { quota: 100.0 },
        TenantSettings { quota: 100.0 },
    ];
    let conf = Settings {
        tenants,
        proxy_count: 100,
        can_health_check: false,
        ..settings(&[Idempotency::Idempotent])
    };
    let mut proxy = proxy_of(40, conf);
    let mut rejected = 0;
    for n in 0..600 {
        let rpc = proxy.accept_as(0, 0.5, Some(n % 2), false);
        proxy.advance(0.02);
        proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(2.0));
        rejected += usize::from(proxy.platform.rpcs[&rpc].answers != [FinalAnswer::Succeeded]);
    }
    assert_eq!(
        rejected, 0,
        "both tenants send 25 times the proxy's even share of their quota"
    );
}

/// A method that is slow at every backend would occupy the capacity that other methods need. Most of its RPCs
/// are rejected at once, those of the other method are all served, and the slow method is admitted again soon
/// after the fault has ended.
#[test]
fn a_method_that_is_slow_everywhere_is_throttled_and_admitted_again() {
    let mut conf = settings(&[Idempotency::Idempotent, Idempotency::NonIdempotent]);
    conf.can_health_check = false;
    conf.max_retry_after = 1.0;
    let mut proxy = proxy_of(20, conf);
    let mut run_rounds = |rounds: usize, is_slow: bool| {
        let mut served = 0;
        let mut sent = 0;
        for _ in 0..rounds {
            let other = proxy.accept(0, 0.5);
            let slow = proxy.accept(1, 0.5);
            // An RPC that is not sent must be rejected at once, while its client still has time to retry.
            let record = &proxy.platform.rpcs[&slow];
            assert!(!record.attempts.is_empty() || record.answers == [FinalAnswer::Rejected]);
            sent += usize::from(!record.attempts.is_empty());
            proxy.advance(0.02);
            for attempt in proxy.attempts_in_flight() {
                if !is_slow || attempt.rpc % 2 == 0 {
                    proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(1.0));
                }
            }
            served += usize::from(proxy.platform.rpcs[&other].answers == [FinalAnswer::Succeeded]);
        }
        (served, sent)
    };
    assert_eq!(run_rounds(100, false), (100, 100));
    run_rounds(50, true);
    let (served, sent) = run_rounds(200, true);
    assert!(
        served == 200 && (1..50).contains(&sent),
        "of 200 RPCs each: {served} of the other method served, {sent} of the slow method sent"
    );
    run_rounds(300, false);
    assert_eq!(run_rounds(100, false), (100, 100), "the fault has ended");
    proxy.check_rules().expect("no rule is violated");
}

/// Of four equal tenants only the one whose RPCs are slow is throttled.
#[test]
fn a_tenant_that_is_slow_everywhere_is_throttled_without_affecting_others() {
    let mut conf = settings(&[Idempotency::NonIdempotent]);
    conf.can_health_check = false;
    conf.tenants = vec![TenantSettings { quota: 60.0 }; 4];
    let mut proxy = proxy_of(20, conf);
    let mut sent = [0; 4];
    for round in 0..1200 {
        let tenant = round % 4;
        let rpc = proxy.accept_as(0, 0.5, Some(tenant), false);
        sent[tenant] += usize::from(round >= 400 && !proxy.platform.rpcs[&rpc].attempts.is_empty());
        proxy.advance(0.01);
        let responds = |attempt: &AttemptInFlight| attempt.rpc % 4 != 3 || round < 200;
        for attempt in proxy.attempts_in_flight().into_iter().filter(responds) {
            proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(1.0));
        }
    }
    assert!(
        sent[3] < 60 && sent[..3].iter().all(|sent| *sent > 170),
        "sent of 200 each: {sent:?}"
    );
}

/// Every backend loses one response in five, and those attempts time out. This is no sign of overload, as the
/// other attempts are answered quickly: load shedding would only reject RPCs that can be served.
#[test]
fn lost_responses_do_not_count_as_load() {
    let mut conf = settings(&[Idempotency::NonIdempotent]);
    conf.can_health_check = false;
    conf.methods[0].late_weight_fraction = 0.3;
    let mut proxy = proxy_of(30, conf);
    let mut rejected = 0;
    for round in 0..1000 {
        let rpc = proxy.accept(0, 2.0);
        rejected += usize::from(proxy.platform.rpcs[&rpc].attempts.is_empty());
        proxy.advance(0.02);
        let responds = |attempt: &AttemptInFlight| attempt.rpc % 5 != 4 || round < 100;
        for attempt in proxy.attempts_in_flight().into_iter().filter(responds) {
            proxy.end_in_flight(attempt, AttemptOutcome::Succeeded, Some(4.0));
        }
    }
    assert!(rejected < 20, "{rejected} of 1000 rejected");
}

/// Where late responses have weight, an RPC that misses its latency objective runs on until its deadline and
/// delays the RPCs queued behind it. The fallback to a random backend then requires a larger multiple of the
/// expected wait.
#[test]
fn fallback_requires_more_time_where_late_responses_have_weight() {
    let rejected = |late_weight_fraction: f64| {
        let mut conf = settings(&[Idempotency::Idempotent]);
        conf.can_health_check = false;
        conf.methods[0].late_weight_fraction = late_weight_fraction;
        let mut proxy = proxy_of(10, conf);
        let rpcs = proxy.drive(300, 0.11, |_| 2.0, |_| Some(AttemptOutcome::Succeeded));
        rpcs.iter().filter(|rpc| rpc.attempts.is_empty()).count()
    };
    assert_eq!(rejected(0.0), 0, "0.11 s is within the objective of 0.2 s");
    assert!(rejected(0.2) > 50, "twice 0.11 s exceeds the objective");
}

/// Returns a proxy with three methods of different priority weights and without health checks.
fn with_three_priority_weights() -> Proxy {
    let mut conf = settings(&[
        Idempotency::Idempotent,
        Idempotency::Idempotent,
        Idempotency::Idempotent,
    ]);
    conf.can_health_check = false;
    conf.max_attempts = 1;
    for (method, weight) in conf.methods.iter_mut().zip([2.0, 5.0, 8.0]) {
        method.priority_weight = weight;
    }
    proxy_of(60, conf)
}

/// Runs rounds of 0.05 s, each with one RPC of every method. Attempts succeed in rounds for which `is_answered`
/// returns true, and are rejected in all others. Returns how many RPCs of each method were sent in the second
/// half of the rounds.
fn run_rounds(proxy: &mut Proxy, rounds: usize, is_answered: impl Fn(usize) -> bool) -> [usize; 3] {
    let mut sent = [0; 3];
    for round in 0..rounds {
        for method in [round, round + 1, round + 2].map(|n| n % 3) {
            let rpc = proxy.accept(method, 0.5);
            sent[method] +=
                usize::from(round >= rounds / 2 && !proxy.platform.rpcs[&rpc].attempts.is_empty());
        }
        proxy.advance(0.02);
        let outcome = if is_answered(round) {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::Rejected
        };
        for attempt in proxy.attempts_in_flight() {
            proxy.end_in_flight(attempt, outcome, None);
        }
        proxy.advance(0.03);
    }
    sent
}

/// Under overload, RPCs with a lower priority weight are shed before those with a higher one.
#[test]
fn load_is_shed_from_the_lowest_priority_weight_first() {
    let mut proxy = with_three_priority_weights();
    assert_eq!(
        run_rounds(&mut proxy, 40, |_| true),
        [20, 20, 20],
        "no overload"
    );
    let [low, middle, high] = run_rounds(&mut proxy, 800, |round| round % 7 > 0);
    assert!(
        high > 380 && middle < high && low < middle,
        "sent of 400 each: {low}, {middle}, {high}"
    );
    assert!(
        low > 20,
        "sent of 400 each: {low}, {middle}, {high}: the lowest priority weight is starved"
    );
    proxy.check_rules().expect("no rule is violated");
}

/// A proxy that rejected all RPCs would get no more responses and never learn that the fault has ended.
#[test]
fn a_method_that_is_shed_is_sampled_and_admitted_again_after_a_fault() {
    let mut proxy = with_three_priority_weights();
    let sampled = run_rounds(&mut proxy, 800, |_| false).iter().sum::<usize>();
    assert!(
        (10..240).contains(&sampled),
        "{sampled} sent of 1200 while all backends reject"
    );
    run_rounds(&mut proxy, 200, |_| true);
    assert_eq!(
        run_rounds(&mut proxy, 100, |_| true),
        [50, 50, 50],
        "the fault has ended"
    );
    proxy.check_rules().expect("no rule is violated");
}
