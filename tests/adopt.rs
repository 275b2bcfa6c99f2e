//! Settings that change while the module runs: what is new binds what comes then, and what goes on loses nothing.
mod common;
use birchhub::interface::*;
use common::{Proxy, entry, settings};
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
    Proxy::new(conf, 7, &(0..6).map(entry).collect::<Vec<_>>())
}

fn as_they_were(conf: &Settings) -> CarriedOver {
    let all = |n| (0..n).map(Some).collect();
    CarriedOver {
        methods: all(conf.methods.len()),
        tenants: all(conf.tenants.len()),
    }
}

fn adopt(proxy: &mut Proxy, conf: Settings, kept: &CarriedOver) {
    proxy.world.settings = conf;
    let conf = proxy.world.settings.clone();
    proxy.balancer.apply_settings(&conf, kept, &mut proxy.world);
}

/// With the methods and tenants of `conf` the other way round.
fn turned(mut conf: Settings) -> (Settings, CarriedOver) {
    conf.methods.reverse();
    conf.tenants.reverse();
    let back = |n: usize| (0..n).rev().map(Some).collect();
    let kept = CarriedOver {
        methods: back(conf.methods.len()),
        tenants: back(conf.tenants.len()),
    };
    (conf, kept)
}

/// Two of a kind, of which one is handed the same settings over and over, and the same in another order: they do
/// the same to the last pick.
fn twins_do_the_same(moves: Vec<(u8, u8, u8)>) -> bool {
    let (mut one, mut other) = (fleet(conf()), fleet(conf()));
    let mut is_turned = false;
    for (what, which, gap) in moves {
        let (method, tenant) = (usize::from(which) % 2, usize::from(which / 2) % 2);
        match what % 6 {
            0 | 1 => {
                one.take_as(method, 0.5, Some(tenant), which > 200);
                let place = |n: usize| if is_turned { 1 - n } else { n };
                other.take_as(place(method), 0.5, Some(place(tenant)), which > 200);
            }
            2 => {
                let conf = other.world.settings.clone();
                let kept = as_they_were(&conf);
                adopt(&mut other, conf, &kept);
            }
            3 => {
                let (conf, kept) = turned(other.world.settings.clone());
                adopt(&mut other, conf, &kept);
                is_turned = !is_turned;
            }
            4 => {
                let how = [
                    AttemptOutcome::Succeeded,
                    AttemptOutcome::Succeeded,
                    AttemptOutcome::Reset,
                    AttemptOutcome::Rejected,
                ][usize::from(which) % 4];
                one.end_all(how, Some(f64::from(which % 3)));
                other.end_all(how, Some(f64::from(which % 3)));
            }
            _ => {
                for proxy in [&mut one, &mut other] {
                    proxy.answer_probes(AttemptOutcome::Succeeded, |b| f64::from(b % 3));
                    proxy.pass(f64::from(gap) / 500.0);
                }
            }
        }
        let rpcs = |proxy: &Proxy| format!("{:?}", proxy.world.rpcs);
        if rpcs(&one) != rpcs(&other) || other.check().is_err() {
            return false;
        }
    }
    true
}

#[test]
fn what_stays_goes_on_as_if_nothing_had_come() {
    let mut check = QuickCheck::new()
        .tests(150)
        .rng(Gen::from_size_and_seed(150, 21));
    check.quickcheck(twins_do_the_same as fn(_) -> bool);
}

/// An RPC keeps the effect under which it was taken; the next one has the new.
#[test]
fn an_rpc_keeps_the_effect_it_was_taken_under() {
    let mut proxy = fleet(Settings {
        can_health_check: false,
        tenants: vec![],
        ..conf()
    });
    proxy.drive(60, 0.02, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
    let taken = proxy.take(IDEMPOTENT, 0.5);
    let mut other = proxy.world.settings.clone();
    other.methods[IDEMPOTENT].idempotency = Idempotency::NonIdempotent;
    let kept = as_they_were(&other);
    adopt(&mut proxy, other, &kept);
    let next = proxy.take(IDEMPOTENT, 0.5);
    proxy.end_all(AttemptOutcome::Reset, None);
    let sent = |rpc: u64| proxy.world.rpcs[&rpc].sent.len();
    assert_eq!((sent(taken), sent(next)), (2, 1));
    assert_eq!(proxy.world.rpcs[&next].answers, ["aborted"]);
    proxy.check().expect("no rule broken");
}

/// What a cold backend was sent counts on, also where the new settings would allow more from here on.
#[test]
fn what_a_cold_backend_was_sent_is_not_forgotten() {
    let sent_then = |kept: Option<CarriedOver>| {
        let mut conf = settings(&[Idempotency::NonIdempotent]);
        (conf.can_health_check, conf.proxy_count) = (false, 1);
        let cold = Endpoint {
            started_at: Some(0.0),
            ..entry(0)
        };
        let mut proxy = Proxy::new(conf.clone(), 7, &[]);
        proxy.world.now = 0.1;
        proxy.list(EndpointUpdateKind::Snapshot, &[cold]);
        let burst = |proxy: &mut Proxy| (0..200).map(|_| proxy.take(0, 0.5)).count();
        burst(&mut proxy);
        let before = proxy.out().len();
        for _ in 0..20 {
            kept.iter()
                .for_each(|kept| adopt(&mut proxy, conf.clone(), kept));
            burst(&mut proxy);
        }
        (before, proxy.out().len() - before)
    };
    let (spent, more) = sent_then(Some(CarriedOver {
        methods: vec![Some(0)],
        tenants: vec![],
    }));
    assert!(
        spent > 0 && more == 0,
        "{spent} sent, then {more} more in the same moment"
    );
    assert_eq!(sent_then(None), (spent, more));
}

/// Of 100 RPCs that a tenant brings in a tenth of a second, those that are served; the rest of a second passes.
fn served(proxy: &mut Proxy, tenant: usize) -> usize {
    let sent = |proxy: &Proxy| {
        proxy
            .world
            .rpcs
            .values()
            .filter(|rpc| !rpc.sent.is_empty())
            .count()
    };
    let before = sent(proxy);
    for _ in 0..100 {
        proxy.take_as(0, 0.5, Some(tenant), false);
        proxy.pass(0.001);
    }
    proxy.end_all(AttemptOutcome::Succeeded, None);
    proxy.pass(0.9);
    sent(proxy) - before
}

/// A quota that changes binds at once, and what was used of it before counts.
#[test]
fn a_quota_binds_from_its_change_on() {
    let quotas = |all: &[f64]| Settings {
        tenants: all
            .iter()
            .map(|quota| TenantSettings { quota: *quota })
            .collect(),
        can_health_check: false,
        ..settings(&[Idempotency::Idempotent])
    };
    // The other sends nothing, and its part may be used too.
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
    adopt(&mut proxy, quotas(&[10.0, 10.0]), &same);
    let again = served(&mut proxy, 0);
    assert!(
        again <= usual + 5,
        "{again} served after the same settings, {usual} before"
    );
    adopt(&mut proxy, quotas(&[1000.0, 10.0]), &same);
    assert_eq!(served(&mut proxy, 0), 100);
    adopt(
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
        "{moved} served at a quota of 10 again, under another number"
    );
}
