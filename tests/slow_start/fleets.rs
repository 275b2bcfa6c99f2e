//! Fleets that several tests of slow start begin with.
use crate::scenario::FleetScenario;

/// A fleet of moderate size and load.
pub(crate) const BASE: FleetScenario = FleetScenario::DEFAULT;
/// One proxy in twenty gets ten times the load of the others.
pub(crate) const SKEWED: FleetScenario = FleetScenario {
    skewed: true,
    ..BASE
};
/// Clients ask for more than all backends can do.
pub(crate) const OVERLOADED: FleetScenario = FleetScenario { load: 1.3, ..BASE };
/// Little capacity at the start, and a long window.
pub(crate) const LONG_WINDOW: FleetScenario = FleetScenario {
    initial_fraction: 0.12,
    window: 3.0,
    ..OVERLOADED
};
/// Half of the proxies restart during the slow start.
pub(crate) const RESTARTED: FleetScenario = FleetScenario {
    restarted_proxies: 0.5,
    ..BASE
};
/// Half of the proxies restart, without a cached endpoint list.
pub(crate) const RESTARTED_WITHOUT_LIST: FleetScenario = FleetScenario {
    cached_list: false,
    ..RESTARTED
};

/// Backends that may be sent hardly more than one RPC in a window.
pub(crate) const SMALL_BUDGET: FleetScenario = FleetScenario {
    backends: 20,
    cores: 1,
    work: 0.1,
    initial_fraction: 0.12,
    load: 1.5,
    downtime: 1.0,
    window: 0.5,
    ..SKEWED
};
