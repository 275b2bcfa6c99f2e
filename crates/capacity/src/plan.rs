//! What a run measures, drawn from its seed: the sizes, in an order by chance, so that what changes on the machine with time
//! does not look like a slope.
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    pub quick: bool,
    /// s that each rate is held.
    pub window: f64,
    pub backends: Vec<u32>,
    pub tenants: Vec<u32>,
    pub methods: Vec<u32>,
    /// RPCs a second.
    pub rates: Vec<u32>,
    /// List changes a second.
    pub changes: Vec<u32>,
    /// Real proxies before one fleet.
    pub proxies: Vec<u32>,
    pub hollow: Vec<u32>,
    /// Backends before hollow proxies, and changes told to them one by one.
    pub hollow_backends: u32,
    pub hollow_changes: u32,
    /// s that a change of settings is waited for.
    pub in_force: f64,
    /// RPCs a second of a proxy, where backends vary.
    pub rate: u32,
}

impl Plan {
    /// The sizes up to the planned one: minutes.
    pub fn long(seed: u64) -> Self {
        let plan = Self {
            seed,
            quick: false,
            window: 4.0,
            backends: vec![10, 1_000, 3_000, 5_500, 8_700],
            tenants: vec![0, 13_500, 27_000, 54_000],
            methods: vec![1, 550, 1_100, 2_200],
            rates: vec![30, 60, 120, 235, 470],
            changes: vec![1, 5, 10, 20],
            proxies: vec![1, 2, 4, 8],
            hollow: vec![50, 200, 450, 850],
            hollow_backends: 1_000,
            hollow_changes: 20,
            in_force: 10.0,
            rate: 235,
        };
        plan.shuffled()
    }

    /// All kinds of points at small sizes: seconds.
    pub fn quick(seed: u64) -> Self {
        let plan = Self {
            seed,
            quick: true,
            window: 0.3,
            backends: vec![10, 200],
            tenants: vec![0, 500],
            methods: vec![1, 50],
            rates: vec![50, 100],
            changes: vec![5, 20],
            proxies: vec![1, 2],
            hollow: vec![5, 20],
            hollow_backends: 50,
            hollow_changes: 4,
            in_force: 2.0,
            rate: 100,
        };
        plan.shuffled()
    }

    fn shuffled(mut self) -> Self {
        let mut chance = Pcg64::seed_from_u64(self.seed);
        for sizes in [
            &mut self.backends,
            &mut self.tenants,
            &mut self.methods,
            &mut self.rates,
            &mut self.changes,
            &mut self.proxies,
            &mut self.hollow,
        ] {
            sizes.shuffle(&mut chance);
        }
        self
    }

    pub fn most_backends(&self) -> u32 {
        self.backends.iter().copied().max().unwrap_or(1)
    }

    pub fn command(&self) -> String {
        let quick = if self.quick { " --quick" } else { "" };
        format!("birchhub scale run --seed {}{quick}", self.seed)
    }
}
