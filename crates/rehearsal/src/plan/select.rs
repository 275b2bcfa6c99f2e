//! Selection of the backends and proxies that a fault affects: those that match the selector, and of them some at random.
use super::topology::{PlannedNode, proxy_name};
use crate::scenario::{BackendSelector, InvalidValue, ProxySelector, Scenario};
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::HashMap;

/// Names listed in the error for an unknown backend.
const NAMES_IN_ERROR: usize = 12;

/// Backends affected by earlier faults, by the name of the fault.
pub(super) type AffectedBackends<'a> = HashMap<&'a str, Vec<u32>>;

/// Selects backends of `all`; `earlier` has those of the faults above this one.
///
/// # Errors
/// Returns the key below the fault that names something unknown, or `nodes` if nothing matches.
pub(super) fn backends(
    selector: &BackendSelector,
    scenario: &Scenario,
    all: &[PlannedNode],
    earlier: &AffectedBackends,
    random: &mut impl Rng,
) -> Result<Vec<u32>, InvalidValue> {
    let zone = zone_index(scenario, &selector.zone, "nodes.zone")?;
    let included = affected_by(earlier, &selector.affected_by, "nodes.among")?;
    let excluded = affected_by(earlier, &selector.not_affected_by, "nodes.without")?;
    check_machine(scenario, selector)?;
    check_names(all, selector)?;
    let machines = &scenario.fleet.machines;
    let matches = |node: &PlannedNode, number: u32| {
        zone.is_none_or(|zone| node.zone == zone)
            && selector.rack.is_none_or(|rack| node.rack == rack)
            && selector
                .machine
                .as_ref()
                .is_none_or(|name| machines[node.machine].name == *name)
            && selector
                .names
                .as_ref()
                .is_none_or(|names| names.contains(&node.name))
            && included.is_none_or(|nodes| nodes.contains(&number))
            && excluded.is_none_or(|nodes| !nodes.contains(&number))
    };
    let matching = (0..)
        .zip(all)
        .filter(|(number, node)| matches(node, *number))
        .map(|(number, _)| number)
        .collect();
    let chosen = choose(matching, selector.count, selector.share, random);
    if chosen.is_empty() {
        return Err(InvalidValue::new("nodes", "chooses no node at all"));
    }
    Ok(chosen)
}

/// Selects proxies.
///
/// # Errors
/// Returns the key below the fault that names an unknown zone, or `proxies` if nothing matches.
pub(super) fn proxies(
    selector: &ProxySelector,
    scenario: &Scenario,
    random: &mut impl Rng,
) -> Result<Vec<u16>, InvalidValue> {
    let zone = zone_index(scenario, &selector.zone, "proxies.zone")?;
    let zones = scenario.fleet.zones.len();
    let matches = |proxy: &u16| {
        zone.is_none_or(|zone| usize::from(*proxy) % zones == zone as usize)
            && selector
                .names
                .as_ref()
                .is_none_or(|names| names.contains(&proxy_name(*proxy)))
    };
    let matching = (0..scenario.proxies.count as u16).filter(matches).collect();
    let chosen = choose(matching, selector.count, selector.share, random);
    if chosen.is_empty() {
        return Err(InvalidValue::new("proxies", "chooses no proxy at all"));
    }
    Ok(chosen)
}

fn zone_index(
    scenario: &Scenario,
    name: &Option<String>,
    key: &str,
) -> Result<Option<u32>, InvalidValue> {
    let Some(name) = name else { return Ok(None) };
    let zones = &scenario.fleet.zones;
    match zones.iter().position(|zone| zone == name) {
        Some(index) => Ok(Some(index as u32)),
        None => Err(InvalidValue::new(
            key,
            format!(
                "there is no zone \"{name}\"; there are {}",
                zones.join(", ")
            ),
        )),
    }
}

fn affected_by<'a>(
    earlier: &'a AffectedBackends,
    name: &Option<String>,
    key: &str,
) -> Result<Option<&'a Vec<u32>>, InvalidValue> {
    let Some(name) = name else { return Ok(None) };
    match earlier.get(name.as_str()) {
        Some(affected) => Ok(Some(affected)),
        None => Err(InvalidValue::new(
            key,
            format!("no trouble above this one is called \"{name}\""),
        )),
    }
}

fn check_machine(scenario: &Scenario, selector: &BackendSelector) -> Result<(), InvalidValue> {
    let machines = &scenario.fleet.machines;
    match &selector.machine {
        Some(name) if machines.iter().all(|machine| machine.name != *name) => Err(
            InvalidValue::new("nodes.machine", format!("there is no machine \"{name}\"")),
        ),
        _ => Ok(()),
    }
}

fn check_names(all: &[PlannedNode], selector: &BackendSelector) -> Result<(), InvalidValue> {
    let mut names = selector.names.iter().flatten();
    let Some(unknown) = names.find(|name| all.iter().all(|node| node.name != **name)) else {
        return Ok(());
    };
    let known: Vec<_> = all
        .iter()
        .take(NAMES_IN_ERROR)
        .map(|node| node.name.as_str())
        .collect();
    Err(InvalidValue::new(
        "nodes.named",
        format!(
            "there is no node \"{unknown}\"; there are {} ...",
            known.join(", ")
        ),
    ))
}

/// Keeps `count` or `share` of the items at random, in their order.
fn choose<T: Copy>(
    items: Vec<T>,
    count: Option<usize>,
    share: Option<f64>,
    random: &mut impl Rng,
) -> Vec<T> {
    let wanted = match (count, share) {
        (Some(count), _) => count,
        (None, Some(share)) => (share * items.len() as f64).round() as usize,
        (None, None) => return items,
    };
    let mut positions: Vec<usize> = (0..items.len()).collect();
    positions.shuffle(random);
    positions.truncate(wanted);
    positions.sort_unstable();
    positions
        .into_iter()
        .map(|position| items[position])
        .collect()
}
