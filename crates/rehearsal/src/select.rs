//! Which nodes and proxies a trouble befalls: all that fit the selector, and of them some by chance.
use crate::plan::PlannedNode;
use crate::scenario::{ProxySelector, Scenario, Selector};
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::HashMap;

/// A fault of the selector: its key below the trouble, and what it is.
pub(crate) type Wrong = (&'static str, String);

fn zone(
    scenario: &Scenario,
    name: &Option<String>,
    key: &'static str,
) -> Result<Option<u32>, Wrong> {
    let Some(name) = name else { return Ok(None) };
    let zones = &scenario.fleet.zones;
    let place = zones.iter().position(|zone| zone == name);
    place.map(|n| Some(n as u32)).ok_or_else(|| {
        (
            key,
            format!(
                "there is no zone \"{name}\"; there are {}",
                zones.join(", ")
            ),
        )
    })
}

/// Keeps `count` or `share` of them by chance, in the order they had.
fn some<T: Copy>(
    mut from: Vec<T>,
    count: Option<usize>,
    share: Option<f64>,
    chance: &mut impl Rng,
) -> Vec<T> {
    let wanted = match (count, share) {
        (Some(count), _) => count,
        (None, Some(share)) => (share * from.len() as f64).round() as usize,
        (None, None) => return from,
    };
    let mut places: Vec<usize> = (0..from.len()).collect();
    places.shuffle(chance);
    places.truncate(wanted);
    places.sort_unstable();
    let mut place = 0;
    from.retain(|_| {
        place += 1;
        places.binary_search(&(place - 1)).is_ok()
    });
    from
}

/// The nodes; `before` holds those of the troubles above it.
#[expect(clippy::too_many_lines)]
pub(crate) fn nodes(
    selector: &Selector,
    scenario: &Scenario,
    all: &[PlannedNode],
    before: &HashMap<&str, Vec<u32>>,
    chance: &mut impl Rng,
) -> Result<Vec<u32>, Wrong> {
    let zone = zone(scenario, &selector.zone, "nodes.zone")?;
    let of = |name: &Option<String>, key| match name {
        None => Ok(None),
        Some(name) => {
            let missing = || {
                (
                    key,
                    format!("no trouble above this one is called \"{name}\""),
                )
            };
            before.get(name.as_str()).map(Some).ok_or_else(missing)
        }
    };
    let (among, without) = (
        of(&selector.among, "nodes.among")?,
        of(&selector.without, "nodes.without")?,
    );
    let machines = &scenario.fleet.machine;
    if let Some(name) = &selector.machine
        && machines.iter().all(|m| m.name != *name)
    {
        return Err(("nodes.machine", format!("there is no machine \"{name}\"")));
    }
    if let Some(named) = &selector.named
        && let Some(unknown) = named
            .iter()
            .find(|name| all.iter().all(|node| node.name != **name))
    {
        let names: Vec<_> = all.iter().take(12).map(|node| node.name.as_str()).collect();
        return Err((
            "nodes.named",
            format!(
                "there is no node \"{unknown}\"; there are {} ...",
                names.join(", ")
            ),
        ));
    }
    let fits = |node: &PlannedNode, number: u32| {
        zone.is_none_or(|zone| node.zone == zone)
            && selector.rack.is_none_or(|rack| node.rack == rack)
            && selector
                .machine
                .as_ref()
                .is_none_or(|name| machines[node.machine].name == *name)
            && selector
                .named
                .as_ref()
                .is_none_or(|names| names.contains(&node.name))
            && among.is_none_or(|nodes| nodes.contains(&number))
            && without.is_none_or(|nodes| !nodes.contains(&number))
    };
    let fitting = (0..)
        .zip(all)
        .filter(|(number, node)| fits(node, *number))
        .map(|(number, _)| number)
        .collect();
    let chosen = some(fitting, selector.count, selector.share, chance);
    if chosen.is_empty() {
        return Err(("nodes", "chooses no node at all".into()));
    }
    Ok(chosen)
}

pub(crate) fn proxies(
    selector: &ProxySelector,
    scenario: &Scenario,
    chance: &mut impl Rng,
) -> Result<Vec<u16>, Wrong> {
    let zone = zone(scenario, &selector.zone, "proxies.zone")?;
    let zones = scenario.fleet.zones.len();
    let fits = |proxy: &u16| {
        zone.is_none_or(|zone| usize::from(*proxy) % zones == zone as usize)
            && selector
                .named
                .as_ref()
                .is_none_or(|names| names.contains(&crate::plan::proxy_name(*proxy)))
    };
    let fitting = (0..scenario.proxies.count as u16).filter(fits).collect();
    let chosen = some(fitting, selector.count, selector.share, chance);
    if chosen.is_empty() {
        return Err(("proxies", "chooses no proxy at all".into()));
    }
    Ok(chosen)
}
