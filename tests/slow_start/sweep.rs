//! Sweeps over fleets that print the load of backends in slow start. They take long and check nothing, so they
//! are ignored by default and run by hand.
use crate::extremes::{EXTREMES, NamedFleet};
use crate::fleets::*;
use crate::measurement::SlowStartMeasurement;
use crate::scenario::FleetScenario;

/// Number of seeds that each fleet is run with. The environment variable `SEEDS` replaces it in [`sweep`].
const DEFAULT_SEEDS: u64 = 3;

/// Size of a simulated fleet.
struct FleetSize {
    proxies: usize,
    backends: u32,
    cores: usize,
}

/// The sizes that the sweep runs.
const FLEET_SIZES: [FleetSize; 6] = [
    FleetSize::new(4, 8, 1),
    FleetSize::new(4, 8, 4),
    FleetSize::new(20, 20, 2),
    FleetSize::new(30, 20, 8),
    FleetSize::new(300, 60, 4),
    FleetSize::new(850, 100, 4),
];

impl FleetSize {
    const fn new(proxies: usize, backends: u32, cores: usize) -> Self {
        Self {
            proxies,
            backends,
            cores,
        }
    }
}

/// The conditions under which the sweep runs each size of fleet.
const CONDITIONS: [FleetScenario; 11] = [
    BASE,
    SKEWED,
    SKEWED.with_health_checks(true),
    BASE.with_health_checks(true),
    OVERLOADED.with_skewed_traffic(),
    LONG_WINDOW,
    LONG_WINDOW.with_skewed_traffic().with_health_checks(true),
    FleetScenario {
        initial_fraction: 0.12,
        window: 0.5,
        ..SKEWED
    },
    RESTARTED.with_skewed_traffic(),
    RESTARTED_WITHOUT_LIST.with_skewed_traffic(),
    RESTARTED_WITHOUT_LIST.with_health_checks(true),
];

/// Returns the parsed value of an environment variable; `None` if it is unset or malformed.
fn from_environment<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

/// Prints the load of each fleet size under each condition, for docs/acceptance.md:
/// `cargo test --release --test slow_start -- --ignored --nocapture`. With the environment variable `PROXIES` it
/// runs only the sizes with that number of proxies.
#[test]
#[ignore = "takes minutes, prints the figures of docs/acceptance.md"]
fn sweep() {
    let seeds = from_environment("SEEDS").unwrap_or(DEFAULT_SEEDS);
    let only_proxies: Option<usize> = from_environment("PROXIES");
    println!(
        "proxies load skew checks restart mult*from win cores | excess/rootN over(2r+2) work used sent served"
    );
    for size in FLEET_SIZES {
        let FleetSize {
            proxies,
            backends,
            cores,
        } = size;
        if only_proxies.is_some_and(|only| only != proxies) {
            continue;
        }
        for condition in CONDITIONS {
            let fleet = FleetScenario {
                proxies,
                backends,
                cores,
                ..condition
            };
            let worst = SlowStartMeasurement::worst_of(fleet, seeds);
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
                format_columns(&worst)
            );
        }
    }
}

/// Formats a measurement as the columns right of the bar.
fn format_columns(worst: &SlowStartMeasurement) -> String {
    format!(
        "{:6.2} {:7.1} {:6.2} {:5.2} {:7} {:.3}",
        worst.excess_rpcs,
        worst.rpcs_over_limit,
        worst.excess_work,
        worst.used_fraction,
        worst.sent,
        worst.served_fraction
    )
}

/// Prints the load of the fleets in [`EXTREMES`], for docs/acceptance.md.
#[test]
#[ignore = "takes a minute, prints the figures of docs/acceptance.md"]
fn extremes() {
    for NamedFleet { name, fleet } in EXTREMES {
        for health_checks in [false, true] {
            let fleet = fleet.with_health_checks(health_checks);
            let worst = SlowStartMeasurement::worst_of(fleet, DEFAULT_SEEDS);
            println!("{name:30} {health_checks:5} | {}", format_columns(&worst));
        }
    }
}
