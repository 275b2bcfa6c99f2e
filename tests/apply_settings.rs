//! Changes of the settings at run time: new settings apply to RPCs that arrive later, and RPCs in flight keep
//! their state.
mod common;
use birchhub::interface::*;
use common::{FinalAnswer, Proxy, endpoint, settings};
use quickcheck::{Gen, QuickCheck};

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

fn all_kept(conf: &Settings) -> CarriedOver {
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

/// The methods and tenants of `conf` in reverse order.
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

/// Two equal proxies make the same attempts although the same settings are applied to one of them again and
/// again, also in another order.
fn reapplied_settings_change_no_attempt(moves: Vec<(u8, u8, u8)>) -> bool {
    let mut one = fleet(conf());
    let mut other = fleet(conf());
    let mut is_reversed = false;
    for (what, which, gap) in moves {
        let method = usize::from(which) % 2;
        let tenant = usize::from(which / 2) % 2;
        match what % 6 {
            0 | 1 => {
                one.accept_as(method, 0.5, Some(tenant), which > 200);
                let place = |n: usize| if is_reversed { 1 - n } else { n };
                other.accept_as(place(method), 0.5, Some(place(tenant)), which > 200);
            }
            2 => {
                let conf = other.platform.settings.clone();
                let carried_over = all_kept(&conf);
                apply_settings(&mut other, conf, &carried_over);
            }
            3 => {
                let (conf, carried_over) = reversed(other.platform.settings.clone());
                apply_settings(&mut other, conf, &carried_over);
                is_reversed = !is_reversed;
            }
            4 => {
                let outcome = [
                    AttemptOutcome::Succeeded,
                    AttemptOutcome::Succeeded,
                    AttemptOutcome::Reset,
                    AttemptOutcome::Rejected,
                ][usize::from(which) % 4];
                one.end_all_attempts(outcome, Some(f64::from(which % 3)));
                other.end_all_attempts(outcome, Some(f64::from(which % 3)));
            }
            _ => {
                for proxy in [&mut one, &mut other] {
                    proxy.complete_health_checks(AttemptOutcome::Succeeded, |b| f64::from(b % 3));
                    proxy.advance(f64::from(gap) / 500.0);
                }
            }
        }
        let rpcs = |proxy: &Proxy| format!("{:?}", proxy.platform.rpcs);
        if rpcs(&one) != rpcs(&other) || other.check_rules().is_err() {
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

/// An RPC keeps the idempotency with which it was accepted; the next RPC has the new one.
#[test]
fn an_rpc_keeps_the_idempotency_it_was_accepted_with() {
    let mut proxy = fleet(Settings {
        can_health_check: false,
        tenants: vec![],
        ..conf()
    });
    proxy.drive(60, 0.02, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
    let earlier = proxy.accept(IDEMPOTENT, 0.5);
    let mut other = proxy.platform.settings.clone();
    other.methods[IDEMPOTENT].idempotency = Idempotency::NonIdempotent;
    let carried_over = all_kept(&other);
    apply_settings(&mut proxy, other, &carried_over);
    let next = proxy.accept(IDEMPOTENT, 0.5);
    proxy.end_all_attempts(AttemptOutcome::Reset, None);
    let attempts = |rpc: u64| proxy.platform.rpcs[&rpc].attempts.len();
    assert_eq!((attempts(earlier), attempts(next)), (2, 1));
    assert_eq!(proxy.platform.rpcs[&next].answers, [FinalAnswer::Failed]);
    proxy.check_rules().expect("no rule broken");
}

/// Attempts that a backend in slow start was sent still count after new settings.
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
    let (spent, more) = sent_before_and_after(Some(CarriedOver {
        methods: vec![Some(0)],
        tenants: vec![],
    }));
    assert!(
        spent > 0 && more == 0,
        "{spent} sent, then {more} more at the same time"
    );
    assert_eq!(sent_before_and_after(None), (spent, more));
}

/// Returns how many of 100 RPCs are sent that a tenant issues in a tenth of a second; the rest of the second
/// passes.
fn served(proxy: &mut Proxy, tenant: usize) -> usize {
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

/// A changed quota applies at once, and earlier use of it counts.
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
    // The other tenant sends nothing, so its quota may be borrowed.
    let mut proxy = fleet(quotas(&[10.0, 10.0]));
    let same = CarriedOver {
        methods: vec![Some(0)],
        tenants: vec![Some(0), Some(1)],
    };
    served(&mut proxy, 0);
    let usual = served(&mut proxy, 0);
    assert!(
        (5..40).contains(&usual),
        "{usual} of 100 a second served at a quota of 10"
    );
    apply_settings(&mut proxy, quotas(&[10.0, 10.0]), &same);
    let again = served(&mut proxy, 0);
    assert!(
        again <= usual + 5,
        "{again} served after the same settings, {usual} before"
    );
    apply_settings(&mut proxy, quotas(&[1000.0, 10.0]), &same);
    assert_eq!(served(&mut proxy, 0), 100);
    apply_settings(
        &mut proxy,
        quotas(&[10.0, 10.0]),
        &CarriedOver {
            tenants: vec![Some(1), Some(0)],
            ..same
        },
    );
    let moved = served(&mut proxy, 1);
    assert!(
        moved < 40,
        "{moved} served at a quota of 10 again, under another index"
    );
}
