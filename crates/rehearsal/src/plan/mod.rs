//! The plan of a rehearsal, generated from a scenario and a seed: every arrival of an RPC, and every action of every fault.
//! The same scenario and seed always give the same plan. Each purpose has its own stream of random numbers, so that adding a
//! fault does not change the traffic.
mod action;
mod arrivals;
mod backend_faults;
mod discovery_faults;
mod fault_actions;
mod fault_builder;
mod proxy_faults;
mod select;
mod topology;

pub use action::{Action, BackendFault};
pub use arrivals::Arrival;
pub use topology::{PlannedNode, proxy_name};

use crate::scenario::{Scenario, ScenarioError};
use birchhub_audit::header;
use serde::Serialize;
use sha2::{Digest, Sha256};

/// Bytes of the digest that make up the hash of a plan.
const HASH_BYTES: usize = 8;

/// What happens in a rehearsal.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Seed from which the plan was generated.
    pub seed: u64,
    /// Time during which RPCs arrive, in seconds.
    pub length: f64,
    /// The backends: the initial ones, then the successors that deploys start.
    pub nodes: Vec<PlannedNode>,
    /// The RPCs, in the order of their arrival.
    pub arrivals: Vec<Arrival>,
    /// The actions with their times in seconds, in the order of time.
    pub actions: Vec<(f64, Action)>,
    /// The faults as the ledger describes them.
    #[serde(skip)]
    pub faults: Vec<header::Fault>,
}

impl Plan {
    /// Generates the plan. `file` and `text` locate errors.
    ///
    /// # Errors
    /// Returns the first selector that names something unknown or matches nothing.
    pub fn generate(
        scenario: &Scenario,
        seed: u64,
        file: &str,
        text: &str,
    ) -> Result<Self, ScenarioError> {
        let mut nodes = topology::initial_backends(scenario);
        let arrivals = arrivals::generate(scenario, seed);
        let planned = fault_actions::generate(scenario, seed, &mut nodes)
            .map_err(|invalid| invalid.located(file, text))?;
        let mut actions = planned.actions;
        actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(Self {
            seed,
            length: scenario.duration.0,
            nodes,
            arrivals,
            actions,
            faults: planned.faults,
        })
    }

    /// Returns the first bytes of a digest of the plan, in hexadecimal.
    pub fn hash(&self) -> String {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        Sha256::digest(&bytes)
            .iter()
            .take(HASH_BYTES)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Returns the number of backends that run from the start.
    pub fn first_nodes(&self) -> usize {
        self.nodes.iter().filter(|node| !node.successor).count()
    }
}
