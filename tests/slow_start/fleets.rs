//! Fleets that several slow-start tests and sweeps use or modify.
use crate::scenario::FleetScenario;

/// 30 proxies and 20 backends at 70 % load, of which half of the backends restart.
pub(crate) const BASE: FleetScenario = FleetScenario::DEFAULT;
/// One proxy in twenty receives ten times as many RPCs as each of the others.
pub(crate) const SKEWED: FleetScenario = FleetScenario {
    skewed: true,
    ..BASE
};
/// Clients send more RPCs than all backends together can execute.
pub(crate) const OVERLOADED: FleetScenario = FleetScenario { load: 1.3, ..BASE };
/// An overloaded fleet whose backends start with little capacity and average their load over a long window.
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

/// Backends with a slow-start budget of hardly more than one RPC in a window.
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
