//! The backends of a plan, and the names of backends and proxies.
use crate::scenario::Scenario;
use serde::Serialize;

/// A backend that runs from the start, or a successor that a deploy starts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedNode {
    /// Name of the backend.
    pub name: String,
    /// Index of its zone.
    pub zone: u32,
    /// Number of its rack within the zone.
    pub rack: u32,
    /// Index of its machine type in the scenario.
    pub machine: usize,
    /// Whether a deploy starts it.
    pub successor: bool,
}

/// Returns the name of a proxy.
pub fn proxy_name(proxy: u16) -> String {
    format!("proxy-{proxy}")
}

/// Distributes the backends over the zones, and within a zone over its racks, round-robin.
pub(super) fn initial_backends(scenario: &Scenario) -> Vec<PlannedNode> {
    let fleet = &scenario.fleet;
    let mut count_in_zone = vec![0; fleet.zones.len()];
    let machine_types = fleet
        .machines
        .iter()
        .enumerate()
        .flat_map(|(index, machine)| std::iter::repeat_n(index, machine.count));
    let backend = |(number, machine): (usize, usize)| {
        let zone = number % fleet.zones.len();
        let position = count_in_zone[zone];
        count_in_zone[zone] += 1;
        let rack = position % fleet.racks_per_zone;
        let position_in_rack = position / fleet.racks_per_zone;
        PlannedNode {
            name: format!("{}-{rack}-{position_in_rack}", fleet.zones[zone]),
            zone: zone as u32,
            rack: rack as u32,
            machine,
            successor: false,
        }
    };
    machine_types.enumerate().map(backend).collect()
}
