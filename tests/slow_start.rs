//! Slow start over a whole fleet (rule 4): what all proxies together send a backend that has just started, counted there.
mod common;
#[path = "slow_start/simulation.rs"]
mod simulation;
use birchhub::balancer::Balancer;
use birchhub::interface::*;
use common::{FinalAnswer, Proxy, endpoint, settings};
use simulation::{Fleet, Measured};
use std::collections::BTreeSet;

const DEFAULT_SEEDS: u64 = 3;
const FLEET_SIZES: [(usize, u32, usize); 6] = [
    (4, 8, 1),
    (4, 8, 4),
    (20, 20, 2),
    (30, 20, 8),
    (300, 60, 4),
    (850, 100, 4),
];

fn from_environment<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

const BASE: Fleet = Fleet::DEFAULT;
const SKEWED: Fleet = Fleet {
    skewed: true,
    ..BASE
};
const OVERLOADED: Fleet = Fleet { load: 1.3, ..BASE };
const LONG_WINDOW: Fleet = Fleet {
    initial_fraction: 0.12,
    window: 3.0,
    ..OVERLOADED
};
const RESTARTED: Fleet = Fleet {
    restarted_proxies: 0.5,
    ..BASE
};
const RESTARTED_WITHOUT_LIST: Fleet = Fleet {
    cached_list: false,
    ..RESTARTED
};

/// The conditions under which the sweep runs each size of fleet.
const CONDITIONS: [Fleet; 11] = [
    BASE,
    SKEWED,
    SKEWED.with_health_checks(true),
    BASE.with_health_checks(true),
    OVERLOADED.with_skewed_traffic(),
    LONG_WINDOW,
    LONG_WINDOW.with_skewed_traffic().with_health_checks(true),
    Fleet {
        initial_fraction: 0.12,
        window: 0.5,
        ..SKEWED
    },
    RESTARTED.with_skewed_traffic(),
    RESTARTED_WITHOUT_LIST.with_skewed_traffic(),
    RESTARTED_WITHOUT_LIST.with_health_checks(true),
];

/// The sweep of docs/acceptance.md: `cargo test --release --test slow_start -- --ignored --nocapture`.
#[test]
#[ignore = "minutes: the figures of docs/acceptance.md"]
fn sweep() {
    let seeds = from_environment("SEEDS").unwrap_or(DEFAULT_SEEDS);
    let only: Option<usize> = from_environment("PROXIES");
    println!(
        "proxies load skew checks restart mult*from win cores | excess/rootN over(2r+2) work used sent served"
    );
    for (proxies, backends, cores) in FLEET_SIZES {
        if only.is_some_and(|only| only != proxies) {
            continue;
        }
        for condition in CONDITIONS {
            let fleet = Fleet {
                proxies,
                backends,
                cores,
                ..condition
            };
            let worst = Measured::worst_of(fleet, seeds);
            println!(
                "{proxies:3} {} {:5} {:5} {} {:5} {}*{} {} {cores} | {}",
                fleet.load,
                fleet.skewed,
                fleet.health_checks,
                fleet.restarted_proxies,
                fleet.cached_list,
                fleet.overload_multiple,
                fleet.initial_fraction,
                fleet.window,
                row_of(&worst)
            );
        }
    }
}

fn row_of(worst: &Measured) -> String {
    format!(
        "{:6.2} {:7.1} {:6.2} {:5.2} {:7} {:.3}",
        worst.excess, worst.over, worst.work, worst.used, worst.sent, worst.served
    )
}

/// By RPCs counted at the backend: at most N + 2 root N + 2 in any window, from all proxies.
#[test]
fn a_whole_fleet_in_slow_start_is_not_overloaded() {
    let small = Fleet {
        restarted_backends: 1.0,
        ..SMALL_BUDGET
    };
    for (proxies, health_checks) in [
        (30, true),
        (300, false),
        (300, true),
        (850, false),
        (850, true),
    ] {
        let fleet = Fleet { proxies, ..small }.with_health_checks(health_checks);
        for seed in 0..2 {
            let measured = fleet.run(seed);
            assert!(
                measured.over <= 0.0 && measured.sent > 0,
                "{proxies} proxies, health checks {health_checks}, seed {seed}: {measured:?}"
            );
        }
    }
}

/// The shares of few proxies sum to N and not to N and its variance, however traffic is spread and whichever proxy
/// restarts; and the budget is used.
#[test]
fn the_shares_of_few_proxies_sum_to_the_budget() {
    for proxies in [1, 2, 3, 4, 7] {
        for (cores, skewed, restarted_proxies) in [
            (1, false, 0.0),
            (1, true, 0.5),
            (4, true, 0.0),
            (8, false, 0.5),
        ] {
            let fleet = Fleet {
                proxies,
                backends: 8,
                cores,
                skewed,
                restarted_proxies,
                load: 1.5,
                cached_list: false,
                ..BASE
            };
            let measured = fleet.run(1);
            assert!(measured.used <= 1.0, "{fleet:?}: {measured:?}");
            assert!(
                measured.sent > 60,
                "backends in slow start are idle before {fleet:?}: {measured:?}"
            );
        }
    }
}

/// A process that starts without a cached list knows no more of what was sent than one that has it.
#[test]
fn a_new_process_counts_what_its_predecessor_may_have_sent() {
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
        let started = proxy.platform.now - 0.5;
        proxy.balancer = Balancer::new(&proxy.platform.settings, 8);
        proxy.update_endpoints(
            kind,
            &[Endpoint {
                started_at: Some(started),
                ..endpoint(0)
            }],
        );
        let (from, mut first) = (proxy.platform.now, None);
        while first.is_none() && proxy.platform.now < from + 4.0 {
            proxy.accept(0, 0.5);
            first = proxy
                .attempts_in_flight()
                .first()
                .map(|_| proxy.platform.now - from);
            proxy.advance(0.01);
        }
        assert!(
            first.is_some_and(|after| (1.0..2.0).contains(&after)),
            "{kind:?}: the first RPC was sent after {first:?}"
        );
    }
}

/// While most of a fleet is removed, the backends that stay have not done its work: responses count for the fleet of
/// their time.
#[test]
fn the_throughput_of_a_fleet_is_not_taken_for_that_of_its_rest() {
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
            // Each backend does one in that time.
            let mut done = BTreeSet::new();
            for (rpc, n, backend) in proxy.attempts_in_flight() {
                if done.insert(backend) {
                    proxy.end_attempt(rpc, n, AttemptOutcome::Succeeded, Some(0.0));
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
    // Each of the thirty served 13 RPCs a second, two thirds of what a core does.
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
        "{sent} in the first window, of {n:.0}"
    );
}

/// A restarted backend stood idle until it was warm while the others were overloaded: the budget of a window leaves a
/// quarter of what it may be sent. One attempt of each of few proxies fits beside its own work at any time.
#[test]
fn a_backend_in_slow_start_is_used_by_few_proxies() {
    let served = |balancers: usize| {
        let conf = Settings {
            proxy_count: balancers,
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
    assert!(served(2) > 50, "{} of 60", served(2));
    assert!(
        served(200) < 10,
        "{} of 60: hundreds would overload it",
        served(200)
    );
}

const SMALL_BUDGET: Fleet = Fleet {
    backends: 20,
    cores: 1,
    work: 0.1,
    initial_fraction: 0.12,
    load: 1.5,
    downtime: 1.0,
    window: 0.5,
    ..SKEWED
};

/// Fleets that strain the budget most.
const EXTREMES: [(&str, Fleet); 18] = [
    (
        "2 of 32 cores",
        Fleet {
            proxies: 2,
            backends: 4,
            cores: 32,
            work: 0.01,
            skewed: false,
            ..SKEWED
        },
    ),
    (
        "4 of 32 cores",
        Fleet {
            proxies: 4,
            backends: 4,
            cores: 32,
            work: 0.01,
            ..SKEWED
        },
    ),
    (
        "1 of 4",
        Fleet {
            proxies: 1,
            backends: 4,
            cores: 4,
            skewed: false,
            ..SKEWED
        },
    ),
    (
        "0.8 back after 0.3 s, 4",
        Fleet {
            proxies: 4,
            backends: 10,
            restarted_backends: 0.8,
            downtime: 0.3,
            skewed: false,
            ..SKEWED
        },
    ),
    (
        "0.8 back after 0.3 s, 4 32c",
        Fleet {
            proxies: 4,
            backends: 10,
            cores: 32,
            work: 0.02,
            restarted_backends: 0.8,
            downtime: 0.3,
            skewed: false,
            ..SKEWED
        },
    ),
    (
        "0.9 back after 0.3 s, 20",
        Fleet {
            proxies: 20,
            backends: 10,
            cores: 16,
            work: 0.02,
            restarted_backends: 0.9,
            downtime: 0.3,
            ..SKEWED
        },
    ),
    (
        "0.9 back after 1 s, 20",
        Fleet {
            proxies: 20,
            backends: 20,
            cores: 16,
            work: 0.02,
            restarted_backends: 0.95,
            downtime: 1.0,
            ..SKEWED
        },
    ),
    (
        "1.0 back after 0.3 s, 20",
        Fleet {
            proxies: 20,
            backends: 10,
            cores: 16,
            work: 0.02,
            restarted_backends: 1.0,
            downtime: 0.3,
            ..SKEWED
        },
    ),
    (
        "0.9 back after 1 s, 300",
        Fleet {
            proxies: 300,
            backends: 20,
            restarted_backends: 0.9,
            downtime: 1.0,
            ..SKEWED
        },
    ),
    (
        "1.0 back after 1 s, 300",
        Fleet {
            proxies: 300,
            backends: 20,
            restarted_backends: 1.0,
            downtime: 1.0,
            ..SKEWED
        },
    ),
    (
        "0.05 back, overload 300",
        Fleet {
            proxies: 300,
            backends: 20,
            restarted_backends: 0.05,
            load: 2.0,
            downtime: 1.0,
            ..SKEWED
        },
    ),
    (
        "0.05 back, overload 300 long",
        Fleet {
            proxies: 300,
            backends: 20,
            cores: 1,
            work: 0.1,
            initial_fraction: 0.12,
            restarted_backends: 0.05,
            load: 2.0,
            downtime: 1.0,
            ..SKEWED
        },
    ),
    (
        "0.05 back, overload 30",
        Fleet {
            proxies: 30,
            backends: 20,
            cores: 1,
            work: 0.1,
            initial_fraction: 0.12,
            restarted_backends: 0.05,
            load: 2.0,
            downtime: 1.0,
            ..SKEWED
        },
    ),
    (
        "0.5 back, small N 300",
        Fleet {
            proxies: 300,
            restarted_backends: 0.5,
            ..SMALL_BUDGET
        },
    ),
    (
        "0.5 back, small N 30",
        Fleet {
            proxies: 30,
            restarted_backends: 0.5,
            ..SMALL_BUDGET
        },
    ),
    (
        "1.0 back, small N 30",
        Fleet {
            proxies: 30,
            restarted_backends: 1.0,
            ..SMALL_BUDGET
        },
    ),
    (
        "1.0 back, small N 300",
        Fleet {
            proxies: 300,
            restarted_backends: 1.0,
            ..SMALL_BUDGET
        },
    ),
    (
        "1.0 back, small N 850",
        Fleet {
            proxies: 850,
            restarted_backends: 1.0,
            ..SMALL_BUDGET
        },
    ),
];

#[test]
#[ignore = "a minute: the figures of docs/acceptance.md"]
fn extremes() {
    for (name, fleet) in EXTREMES {
        for health_checks in [false, true] {
            let fleet = fleet.with_health_checks(health_checks);
            let worst = Measured::worst_of(fleet, DEFAULT_SEEDS);
            println!("{name:30} {health_checks:5} | {}", row_of(&worst));
        }
    }
}
