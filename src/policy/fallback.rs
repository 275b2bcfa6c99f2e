//! The fallback of Join-Idle-Queue: a random ready backend while the idle queue is empty.
//!
//! The choice is not uniform. Backends that are ejected, saturated or hanging are skipped while
//! enough others are available, as with Envoy's panic threshold. If traffic between zones has a
//! cost, local backends are preferred with a probability, as in zone-aware routing. An RPC with a
//! key is sent to the few cells that are likely to have data for the key cached.
use super::outlier_detection::is_available;
use super::rules::allowed_subset;
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::fleet::Fleet;
use crate::interface::Settings;
use crate::rpc_state::RpcState;
use std::rc::Rc;

/// Cost of crossing zones, in points of the service score, from which all choices are local if the
/// own zone has an even share of the backends. Below it the probability falls with the square of
/// the cost.
const FULL_LOCALITY_COST_POINTS: f64 = 0.033;
/// Divisor of the panic threshold: availability is ignored if fewer than one in this many allowed
/// backends is available, because some backends must remain when all are slow.
const PANIC_THRESHOLD_DIVISOR: usize = 3;
/// Number of cells to which the RPCs with a key are sent. Each health check of a round goes to
/// another of them.
pub(crate) const CELLS_PER_KEY: usize = 3;

/// Random choice of a backend, with a preference for the own zone.
#[derive(Default)]
pub(crate) struct Fallback {
    /// Probability of a local choice, divided by the fraction of local backends.
    local_weight: f64,
}

/// Subsets from which a backend is chosen.
struct Candidates {
    /// All candidates.
    all: Subset,
    /// Candidates in the own zone.
    local: Subset,
}

impl Candidates {
    /// Returns the available backends, or all allowed ones if too few are available or if not all
    /// ready backends are allowed.
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
    /// Applies the cost of crossing zones.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let relative_cost = (settings.cross_zone_cost / FULL_LOCALITY_COST_POINTS).min(1.0);
        self.local_weight = settings.zone_count as f64 * relative_cost.powi(2);
    }

    /// Returns a random backend: one in a preferred cell of the RPC, otherwise with some
    /// probability a local one, otherwise any.
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

    /// Decides at random whether a choice is restricted to the own zone.
    fn stays_local(&self, candidates: &Candidates, fleet: &Fleet) -> bool {
        let local_count = fleet.index.count(candidates.local) as f64;
        let local_fraction = local_count / fleet.index.count(candidates.all) as f64;
        fleet.rng.uniform(0.0..1.0) < self.local_weight * local_fraction
    }
}

/// Returns a random available backend from the first of the RPC's preferred cells that has one.
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
