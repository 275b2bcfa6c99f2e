//! The fallback while the idle queue is empty: a random ready backend.
use super::{outlier_detection::is_available, rules::allowed_subset};
use crate::backend_index::Subset;
use crate::{backend::Backend, fleet::Fleet, interface::Settings, rpc_state::RpcState};
use std::rc::Rc;

const FULL_LOCAL_COST: f64 = 0.033; // points; at it a fair part of picks stays local, less by the square
const MIN_AVAILABLE: usize = 3; // below one in so many, health doesn't count: a slowdown must leave some
pub(crate) const CELLS_PER_KEY: usize = 3; // cells that a key is kept to: each first check goes to another

/// How far picks stay local.
#[derive(Default)]
pub(crate) struct Fallback {
    local_weight: f64, // part of picks that stay local, over the part of backends that are local
}

impl Fallback {
    /// Takes over what another zone costs.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let cost = (settings.cross_zone_cost / FULL_LOCAL_COST).min(1.0);
        self.local_weight = settings.zone_count as f64 * cost.powi(2);
    }

    /// A backend in a cell that the RPC prefers, else a local one by chance, else any.
    pub(crate) fn pick(
        &self,
        rpc: &RpcState,
        fleet: &Fleet,
        now: f64,
        may_attempt: impl Fn(&Rc<Backend>) -> bool,
    ) -> Option<Rc<Backend>> {
        let (index, rng, allowed) = (&fleet.index, &fleet.rng, allowed_subset(rpc));
        let cells: &[Subset] = if allowed == Subset::Ready {
            &rpc.preferred_cells
        } else {
            &[]
        };
        let fits = |b: &Rc<Backend>| may_attempt(b) && is_available(b, now);
        if let Some(backend) = cells
            .iter()
            .find_map(|cell| index.pick_random(*cell, rng, fits))
        {
            return Some(backend);
        }
        let enough = index.count(Subset::Available) * MIN_AVAILABLE >= index.count(allowed);
        let (all, local) = if enough && allowed == Subset::Ready {
            (Subset::Available, Subset::AvailableLocal)
        } else {
            (allowed, Subset::Zone(index.own_zone))
        };
        let local_part = index.count(local) as f64 / index.count(all) as f64;
        let stays_local = rng.uniform(0.0..1.0) < self.local_weight * local_part;
        let pick = |subset| index.pick_random(subset, rng, &may_attempt);
        Some(local)
            .filter(|_| stays_local)
            .and_then(pick)
            .or_else(|| pick(all))
            .or_else(|| pick(allowed))
    }
}
