//! Fleets in which backends in slow start are sent the most load for their budget.
use crate::fleets::{SKEWED, SMALL_BUDGET};
use crate::scenario::FleetScenario;

/// A fleet, and the name of its row in the printed table.
pub(crate) struct NamedFleet {
    pub name: &'static str,
    pub fleet: FleetScenario,
}

/// Few proxies with large shares of the budget, fleets of which nearly all backends restart, overloaded fleets,
/// and backends with a small budget.
///
/// A name with `back` gives the fraction of the backends that restart, the time until they return and the number
/// of proxies. `small N` is a budget of hardly more than one RPC, and `32c` means 32 cores.
pub(crate) const EXTREMES: [NamedFleet; 18] = [
    NamedFleet {
        name: "2 of 32 cores",
        fleet: FleetScenario {
            proxies: 2,
            backends: 4,
            cores: 32,
            work: 0.01,
            skewed: false,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "4 of 32 cores",
        fleet: FleetScenario {
            proxies: 4,
            backends: 4,
            cores: 32,
            work: 0.01,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "1 of 4",
        fleet: FleetScenario {
            proxies: 1,
            backends: 4,
            cores: 4,
            skewed: false,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "0.8 back after 0.3 s, 4",
        fleet: FleetScenario {
            proxies: 4,
            backends: 10,
            restarted_backends: 0.8,
            downtime: 0.3,
            skewed: false,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "0.8 back after 0.3 s, 4 32c",
        fleet: FleetScenario {
            proxies: 4,
            backends: 10,
            cores: 32,
            work: 0.02,
            restarted_backends: 0.8,
            downtime: 0.3,
            skewed: false,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "0.9 back after 0.3 s, 20",
        fleet: FleetScenario {
            proxies: 20,
            backends: 10,
            cores: 16,
            work: 0.02,
            restarted_backends: 0.9,
            downtime: 0.3,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "0.9 back after 1 s, 20",
        fleet: FleetScenario {
            proxies: 20,
            backends: 20,
            cores: 16,
            work: 0.02,
            restarted_backends: 0.95,
            downtime: 1.0,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "1.0 back after 0.3 s, 20",
        fleet: FleetScenario {
            proxies: 20,
            backends: 10,
            cores: 16,
            work: 0.02,
            restarted_backends: 1.0,
            downtime: 0.3,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "0.9 back after 1 s, 300",
        fleet: FleetScenario {
            proxies: 300,
            backends: 20,
            restarted_backends: 0.9,
            downtime: 1.0,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "1.0 back after 1 s, 300",
        fleet: FleetScenario {
            proxies: 300,
            backends: 20,
            restarted_backends: 1.0,
            downtime: 1.0,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "0.05 back, overload 300",
        fleet: FleetScenario {
            proxies: 300,
            backends: 20,
            restarted_backends: 0.05,
            load: 2.0,
            downtime: 1.0,
            ..SKEWED
        },
    },
    NamedFleet {
        name: "0.05 back, overload 300 long",
        fleet: FleetScenario {
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
    },
    NamedFleet {
        name: "0.05 back, overload 30",
        fleet: FleetScenario {
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
    },
    NamedFleet {
        name: "0.5 back, small N 300",
        fleet: FleetScenario {
            proxies: 300,
            restarted_backends: 0.5,
            ..SMALL_BUDGET
        },
    },
    NamedFleet {
        name: "0.5 back, small N 30",
        fleet: FleetScenario {
            proxies: 30,
            restarted_backends: 0.5,
            ..SMALL_BUDGET
        },
    },
    NamedFleet {
        name: "1.0 back, small N 30",
        fleet: FleetScenario {
            proxies: 30,
            restarted_backends: 1.0,
            ..SMALL_BUDGET
        },
    },
    NamedFleet {
        name: "1.0 back, small N 300",
        fleet: FleetScenario {
            proxies: 300,
            restarted_backends: 1.0,
            ..SMALL_BUDGET
        },
    },
    NamedFleet {
        name: "1.0 back, small N 850",
        fleet: FleetScenario {
            proxies: 850,
            restarted_backends: 1.0,
            ..SMALL_BUDGET
        },
    },
];
