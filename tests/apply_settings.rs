//! Changes of the settings at run time: new settings apply to RPCs that arrive later, and RPCs in flight keep
//! the state they were accepted with.
mod common;
use birchhub::interface::*;
use common::{FinalAnswer, Proxy, endpoint, settings};
use quickcheck::{Gen, QuickCheck};

/// Index of the idempotent method in [`conf`].
const IDEMPOTENT: usize = 0;

fn conf() -> Settings {
    let mut conf = settings(&[Idempotency::Idempotent, Idempotency::NonIdempotent]);
    conf.methods[1].priority_weight = 2.0;
    conf.tenants = vec![
        TenantSettings { quota: 30.0 },
        TenantSettings { quota: 5.0 },
    ];
    conf
}

fn fleet(conf: Settings) -> Proxy {
    Proxy::new(conf, 7, &(0..6).map(endpoint).collect::<Vec<_>>())
}

/// Carries the state of every method and tenant over to the same index.
fn carry_over_all(conf: &Settings) -> CarriedOver {
    let all = |n| (0..n).map(Some).collect();
    CarriedOver {
        methods: all(conf.methods.len()),
        tenants: all(conf.tenants.len()),
    }
}

fn apply_settings(proxy: &mut Proxy, conf: Settings, carried_over: &CarriedOver) {
    proxy.platform.settings = conf;
    let conf = proxy.platform.settings.clone();
    proxy
        .balancer
        .apply_settings(&conf, carried_over, &mut proxy.platform);
}

/// Returns `conf` with its methods and tenants in reverse order, and where their state moves to.
fn reversed(mut conf: Settings) -> (Settings, CarriedOver) {
    conf.methods.reverse();
    conf.tenants.reverse();
    let reversed = |n: usize| (0..n).rev().map(Some).collect();
    let carried_over = CarriedOver {
        methods: reversed(conf.methods.len()),
        tenants: reversed(conf.tenants.len()),
    };
    (conf, carried_over)
}

/// Property: two proxies with the same inputs make the same attempts, although the settings of one of them are
/// applied again at random times, partly with methods and tenants in reverse order. A step is its kind, a
/// selector for that kind, and a delay in units of 2 ms.
fn reapplied_settings_change_no_attempt(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut reference = fleet(conf());
    let mut reconfigured = fleet(conf());
    let mut is_reversed = false;
    for (kind, selector, delay) in steps {
        let method = usize::from(selector) % 2;
        let tenant = usize::from(selector / 2) % 2;
        match kind % 6 {
            0 | 1 => {
                reference.accept_as(method, 0.5, Some(tenant), selector > 200);
                let index = |n: usize| if is_reversed { 1 - n } else { n };
                reconfigured.accept_as(index(method), 0.5, Some(index(tenant)), selector > 200);
            }
            2 => {
                let conf = reconfigured.platform.settings.clone();
                let carried_over = carry_over_all(&conf);
                apply_settings(&mut reconfigured, conf, &carried_over);
            }
            3 => {
                let (conf, carried_over) = reversed(reconfigured.platform.settings.clone());
                apply_settings(&mut reconfigured, conf, &carried_over);
                is_reversed = !is_reversed;
            }
            4 => {
                let outcome = [
                    AttemptOutcome::Succeeded,
                    AttemptOutcome::Succeeded,
                    AttemptOutcome::Reset,
                    AttemptOutcome::Rejected,
                ][usize::from(selector) % 4];
                reference.end_all_attempts(outcome, Some(f64::from(selector % 3)));
                reconfigured.end_all_attempts(outcome, Some(f64::from(selector % 3)));
            }
            _ => {
                for proxy in [&mut reference, &mut reconfigured] {
                    proxy.complete_health_checks(AttemptOutcome::Succeeded, |b| f64::from(b % 3));
                    proxy.advance(f64::from(delay) / 500.0);
                }
            }
        }
        let rpcs = |proxy: &Proxy| format!("{:?}", proxy.platform.rpcs);
        if rpcs(&reference) != rpcs(&reconfigured) || reconfigured.check_rules().is_err() {
            return false;
        }
    }
    true
}

#[test]
fn reapplied_settings_change_no_decision() {
    let mut check = QuickCheck::new()
        .tests(150)
        .rng(Gen::from_size_and_seed(150, 21));
    check.quickcheck(reapplied_settings_change_no_attempt as fn(_) -> bool);
}

/// An RPC is retried by the idempotency of its method at the time it was accepted; only later RPCs use the new
/// value.
#[test]
fn an_rpc_keeps_the_idempotency_it_was_accepted_with() {
    let mut proxy = fleet(Settings {
        can_health_check: false,
        tenants: vec![],
        ..conf()
    });
    proxy.drive(60, 0.02, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
    let earlier = proxy.accept(IDEMPOTENT, 0.5);
    let mut changed = proxy.platform.settings.clone();
    changed.methods[IDEMPOTENT].idempotency = Idempotency::NonIdempotent;
    let carried_over = carry_over_all(&changed);
    apply_settings(&mut proxy, changed, &carried_over);
    let next = proxy.accept(IDEMPOTENT, 0.5);
    proxy.end_all_attempts(AttemptOutcome::Reset, None);
    let attempts = |rpc: u64| proxy.platform.rpcs[&rpc].attempts.len();
    assert_eq!((attempts(earlier), attempts(next)), (2, 1));
    assert_eq!(proxy.platform.rpcs[&next].answers, [FinalAnswer::Failed]);
    proxy.check_rules().expect("no rule is violated");
}

/// Applying settings must not reset the slow-start budget: attempts that were sent to a backend before still
/// count.
#[test]
fn used_slow_start_budget_is_kept_when_settings_change() {
    let sent_before_and_after = |carried_over: Option<CarriedOver>| {
        let mut conf = settings(&[Idempotency::NonIdempotent]);
        conf.can_health_check = false;
        conf.proxy_count = 1;
        let warming_up = Endpoint {
            started_at: Some(0.0),
            ..endpoint(0)
        };
        let mut proxy = Proxy::new(conf.clone(), 7, &[]);
        proxy.platform.now = 0.1;
        proxy.update_endpoints(EndpointUpdateKind::Snapshot, &[warming_up]);
        let burst = |proxy: &mut Proxy| (0..200).map(|_| proxy.accept(0, 0.5)).count();
        burst(&mut proxy);
        let before = proxy.attempts_in_flight().len();
        for _ in 0..20 {
            carried_over
                .iter()
                .for_each(|carried_over| apply_settings(&mut proxy, conf.clone(), carried_over));
            burst(&mut proxy);
        }
        (before, proxy.attempts_in_flight().len() - before)
    };
    let (before, after) = sent_before_and_after(Some(CarriedOver {
        methods: vec![Some(0)],
        tenants: vec![],
    }));
    assert!(
        before > 0 && after == 0,
        "{before} sent, then {after} more at the same time"
    );
    assert_eq!(sent_before_and_after(None), (before, after));
}

/// Accepts 100 RPCs of a tenant within 0.1 s, lets the rest of the second pass and returns how many of them
/// were sent.
fn served_in_a_second(proxy: &mut Proxy, tenant: usize) -> usize {
    let sent_rpcs = |proxy: &Proxy| {
        proxy
            .platform
            .rpcs
            .values()
            .filter(|rpc| !rpc.attempts.is_empty())
            .count()
    };
    let before = sent_rpcs(proxy);
    for _ in 0..100 {
        proxy.accept_as(0, 0.5, Some(tenant), false);
        proxy.advance(0.001);
    }
    proxy.end_all_attempts(AttemptOutcome::Succeeded, None);
    proxy.advance(0.9);
    sent_rpcs(proxy) - before
}

/// A changed quota applies at once, and earlier RPCs of the tenant still count towards it.
#[test]
fn a_changed_quota_binds_at_once() {
    let quotas = |all: &[f64]| Settings {
        tenants: all
            .iter()
            .map(|quota| TenantSettings { quota: *quota })
            .collect(),
        can_health_check: false,
        ..settings(&[Idempotency::Idempotent])
    };
    // The other tenant sends no RPCs, so this one may borrow from its quota.
    let mut proxy = fleet(quotas(&[10.0, 10.0]));
    let same = CarriedOver {
        methods: vec![Some(0)],
        tenants: vec![Some(0), Some(1)],
    };
    served_in_a_second(&mut proxy, 0);
    let usual = served_in_a_second(&mut proxy, 0);
    assert!(
        (5..40).contains(&usual),
        "{usual} of 100 a second served at a quota of 10"
    );
    apply_settings(&mut proxy, quotas(&[10.0, 10.0]), &same);
    let again = served_in_a_second(&mut proxy, 0);
    assert!(
        again <= usual + 5,
        "{again} served after the same settings, {usual} before"
    );
    apply_settings(&mut proxy, quotas(&[1000.0, 10.0]), &same);
    assert_eq!(served_in_a_second(&mut proxy, 0), 100);
    apply_settings(
        &mut proxy,
        quotas(&[10.0, 10.0]),
        &CarriedOver {
            tenants: vec![Some(1), Some(0)],
            ..same
        },
    );
    let moved = served_in_a_second(&mut proxy, 1);
    assert!(
        moved < 40,
        "{moved} served at a quota of 10 again, under another index"
    );
}
