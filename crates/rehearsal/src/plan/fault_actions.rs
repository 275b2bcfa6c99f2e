//! The actions of a scenario's faults.
use super::action::Action;
use super::fault_builder::FaultBuilder;
use super::topology::PlannedNode;
use super::{backend_faults, discovery_faults, proxy_faults, select};
use crate::scenario::{FaultKind, InvalidValue, Scenario};
use birchhub_audit::header;
use birchhub_backend_model::work::seeded_rng;

/// The actions of all faults, in the order of the faults, and the faults as the ledger describes them.
#[derive(Default)]
pub(super) struct PlannedFaults {
    pub actions: Vec<(f64, Action)>,
    pub faults: Vec<header::Fault>,
}

/// Generates the actions of all faults; adds the successors of deploys to `nodes`.
///
/// # Errors
/// Returns the first selector that names something unknown or matches nothing.
pub(super) fn generate(
    scenario: &Scenario,
    seed: u64,
    nodes: &mut Vec<PlannedNode>,
) -> Result<PlannedFaults, InvalidValue> {
    let initial = nodes.clone();
    let mut affected = select::AffectedBackends::new();
    let mut planned = PlannedFaults::default();
    for (index, fault) in scenario.faults.iter().enumerate() {
        let mut random = seeded_rng(seed, stream(&fault.name));
        let backends = match &fault.backends {
            Some(selector) => {
                select::backends(selector, scenario, &initial, &affected, &mut random)
            }
            None => Ok(Vec::new()),
        };
        let backends = backends.map_err(|invalid| invalid.in_fault(index))?;
        let proxies = match &fault.proxies {
            Some(selector) => select::proxies(selector, scenario, &mut random),
            None => Ok((0..scenario.proxies.count as u16).collect()),
        };
        let proxies = proxies.map_err(|invalid| invalid.in_fault(index))?;
        affected.insert(&fault.name, backends.clone());
        let duration = fault.duration.map_or(0.0, |duration| duration.0);
        let builder = FaultBuilder {
            scenario,
            fault,
            start: fault.start.0,
            duration,
            end: fault.start.0 + duration,
            backends,
            proxies,
            random,
            nodes: &mut *nodes,
            // The fault's index is in the upper half, a counter in the lower.
            last_number: (index as u64) << 32,
            actions: Vec::new(),
        };
        add(builder, index as u16, &mut planned);
    }
    Ok(planned)
}

/// Generates the actions of one fault.
fn add(mut builder: FaultBuilder, index: u16, planned: &mut PlannedFaults) {
    add_actions(&mut builder);
    builder.push(builder.start, Action::BeginFault { fault: index });
    builder.push(builder.end, Action::EndFault { fault: index });
    planned.actions.extend(builder.actions);
    let fault = builder.fault;
    planned.faults.push(header::Fault {
        name: fault.name.clone(),
        kind: format!("{:?}", fault.kind),
        from: builder.start,
        until: builder.end,
        backends: builder.backends,
        proxies: match fault.proxies {
            Some(_) => builder.proxies,
            None => Vec::new(),
        },
    });
}

fn add_actions(builder: &mut FaultBuilder) {
    match builder.fault.kind {
        FaultKind::Stall => backend_faults::stall(builder),
        FaultKind::Neighbour => backend_faults::noisy_neighbour(builder),
        FaultKind::SlowMethod => backend_faults::slow_method(builder),
        FaultKind::Crash => backend_faults::crash(builder),
        FaultKind::Deploy => backend_faults::deploy(builder),
        FaultKind::Reset
        | FaultKind::Spoilt
        | FaultKind::Mute
        | FaultKind::Error
        | FaultKind::Trickle
        | FaultKind::Partition => backend_faults::inject(builder),
        FaultKind::ListLate => discovery_faults::delay(builder),
        FaultKind::ListDown => discovery_faults::outage(builder),
        FaultKind::ListStale => discovery_faults::stale_list(builder),
        FaultKind::ProxyKill | FaultKind::ProxyRestart => proxy_faults::restart(builder),
        FaultKind::ProxyPause => proxy_faults::pause(builder),
    }
}

/// Returns the stream of random numbers of a fault: the FNV-1a hash of its name.
fn stream(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    name.bytes().fold(OFFSET_BASIS, fold)
}
