//! Tests of the load that all proxies of a fleet together send to backends in slow start.
use crate::fleets::{BASE, SMALL_BUDGET};
use crate::scenario::FleetScenario;

/// In any window, all proxies together send a backend at most N + 2 sqrt(N) + 2 RPCs, where N is its slow-start
/// budget. The load is random, as hundreds of proxies each send an RPC with a probability.
#[test]
fn all_proxies_together_stay_within_the_slow_start_budget() {
    let small = FleetScenario {
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
        let fleet = FleetScenario { proxies, ..small }.with_health_checks(health_checks);
        for seed in 0..2 {
            let measured = fleet.run(seed);
            assert!(
                measured.rpcs_over_limit <= 0.0 && measured.sent > 0,
                "{proxies} proxies, health checks {health_checks}, seed {seed}: {measured:?}"
            );
        }
    }
}

/// With few proxies the shares sum to at most N, without a random excess, whatever the distribution of traffic
/// and whichever proxies restart. Backends in slow start must still be used.
#[test]
fn shares_of_few_proxies_sum_to_no_more_than_the_budget() {
    for proxies in [1, 2, 3, 4, 7] {
        for (cores, skewed, restarted_proxies) in [
            (1, false, 0.0),
            (1, true, 0.5),
            (4, true, 0.0),
            (8, false, 0.5),
        ] {
            let fleet = FleetScenario {
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
            assert!(measured.used_fraction <= 1.0, "{fleet:?}: {measured:?}");
            assert!(
                measured.sent > 60,
                "backends in slow start are hardly used by {fleet:?}: {measured:?}"
            );
        }
    }
}
