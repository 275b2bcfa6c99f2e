//! The fallback of Join-Idle-Queue: a random ready backend while the idle queue is empty.
//!
//! What differs from a uniform choice: backends that are ejected, saturated or hang are skipped while
//! enough others are available (the panic threshold of Envoy); where crossing zones has a cost, some
//! choices stay local, as in zone-aware routing; and an RPC with a key goes to the few cells that are
//! likely to have the key cached.
use super::outlier_detection::is_available;
use super::rules::allowed_subset;
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::fleet::Fleet;
use crate::interface::Settings;
use crate::rpc_state::RpcState;
use std::rc::Rc;

/// Cost of crossing zones, in points of service, at which choices stay local if the own zone has its even
/// share of the backends. Below it the probability falls with the square of the cost.
const FULL_LOCALITY_COST_POINTS: f64 = 0.033;
/// Availability is ignored if fewer than one of this many allowed backends is available: some backends
/// must remain when all are slow.
const PANIC_THRESHOLD_DIVISOR: usize = 3;
/// Number of cells that the RPCs with a key go to. Each health check of a round goes to another cell.
pub(crate) const CELLS_PER_KEY: usize = 3;

/// The preference for the own zone.
#[derive(Default)]
pub(crate) struct Fallback {
    /// Probability of a local choice, divided by the fraction of the backends that are local.
    local_weight: f64,
}

/// The subsets that a backend is chosen from.
struct Candidates {
    all: Subset,
    local: Subset,
}

impl Candidates {
    /// Returns the available backends, or all allowed ones if too few are available.
    fn of(allowed: Subset, fleet: &Fleet) -> Self {
        let index = &fleet.index;
        let available = index.count(Subset::Available);
        let enough_available = available * PANIC_THRESHOLD_DIVISOR >= index.count(allowed);
        if enough_available && allowed == Subset::Ready {
            Self {
                all: Subset::Available,
                local: Subset::AvailableLocal,
            }
        } else {
            Self {
                all: allowed,
                local: Subset::Zone(index.own_zone),
            }
        }
    }
}

impl Fallback {
    /// Adopts the cost of crossing zones.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let relative_cost = (settings.cross_zone_cost / FULL_LOCALITY_COST_POINTS).min(1.0);
        self.local_weight = settings.zone_count as f64 * relative_cost.powi(2);
    }

    /// Returns a random backend: in a cell that the RPC prefers, else a local one with some
    /// probability, else any.
    pub(crate) fn pick(
        &self,
        rpc: &RpcState,
        fleet: &Fleet,
        now: f64,
        may_attempt: impl Fn(&Rc<Backend>) -> bool,
    ) -> Option<Rc<Backend>> {
        let allowed = allowed_subset(rpc);
        if allowed == Subset::Ready
            && let Some(backend) = pick_in_preferred_cell(rpc, fleet, now, &may_attempt)
        {
            return Some(backend);
        }
        let pick = |subset| fleet.index.pick_random(subset, &fleet.rng, &may_attempt);
        let candidates = Candidates::of(allowed, fleet);
        let local = if self.stays_local(&candidates, fleet) {
            pick(candidates.local)
        } else {
            None
        };
        local
            .or_else(|| pick(candidates.all))
            .or_else(|| pick(allowed))
    }

    /// Draws whether a choice stays in the own zone.
    fn stays_local(&self, candidates: &Candidates, fleet: &Fleet) -> bool {
        let local_count = fleet.index.count(candidates.local) as f64;
        let local_fraction = local_count / fleet.index.count(candidates.all) as f64;
        fleet.rng.uniform(0.0..1.0) < self.local_weight * local_fraction
    }
}

/// Returns an available backend in the first of the RPC's preferred cells that has one.
fn pick_in_preferred_cell(
    rpc: &RpcState,
    fleet: &Fleet,
    now: f64,
    may_attempt: impl Fn(&Rc<Backend>) -> bool,
) -> Option<Rc<Backend>> {
    let fits = |backend: &Rc<Backend>| may_attempt(backend) && is_available(backend, now);
    let mut cells = rpc.preferred_cells.iter();
    cells.find_map(|cell| fleet.index.pick_random(*cell, &fleet.rng, fits))
}
