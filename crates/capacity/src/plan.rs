//! The sizes that a measurement takes, in an order that its seed shuffles, so that a machine that becomes slower or faster
//! over time does not look like a slope.
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// The sizes that a measurement takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed of the order and of all random numbers.
    pub seed: u64,
    /// Whether the sizes are those of [`Plan::quick`].
    pub quick: bool,
    /// Time for which each rate is held, in seconds.
    #[serde(rename = "window")]
    pub window_seconds: f64,
    /// Numbers of listed backends.
    pub backends: Vec<u32>,
    /// Numbers of tenants.
    pub tenants: Vec<u32>,
    /// Numbers of methods.
    pub methods: Vec<u32>,
    /// RPCs per second through one proxy.
    pub rates: Vec<u32>,
    /// Changes of the endpoint list per second.
    pub changes: Vec<u32>,
    /// Numbers of real proxies.
    pub proxies: Vec<u32>,
    /// Numbers of simulated proxies.
    #[serde(rename = "hollow")]
    pub simulated_proxies: Vec<u32>,
    /// Number of backends in the endpoint list of the simulated proxies.
    #[serde(rename = "hollow_backends")]
    pub simulated_proxy_backends: u32,
    /// Number of list changes for each number of simulated proxies.
    #[serde(rename = "hollow_changes")]
    pub simulated_proxy_changes: u32,
    /// Time in which changed settings must be in force, in seconds.
    #[serde(rename = "in_force")]
    pub in_force_timeout_seconds: f64,
    /// RPCs per second through the proxy while the number of backends varies.
    #[serde(rename = "rate")]
    pub rpcs_per_second: u32,
}

impl Plan {
    /// Sizes up to the planned one. The measurement takes minutes.
    pub fn long(seed: u64) -> Self {
        let plan = Self {
            seed,
            quick: false,
            window_seconds: 4.0,
            backends: vec![10, 1_000, 3_000, 5_500, 8_700],
            tenants: vec![0, 13_500, 27_000, 54_000],
            methods: vec![1, 550, 1_100, 2_200],
            rates: vec![30, 60, 120, 235, 470],
            changes: vec![1, 5, 10, 20],
            proxies: vec![1, 2, 4, 8],
            simulated_proxies: vec![50, 200, 450, 850],
            simulated_proxy_backends: 1_000,
            simulated_proxy_changes: 20,
            in_force_timeout_seconds: 10.0,
            rpcs_per_second: 235,
        };
        plan.shuffled()
    }

    /// Small sizes for all series. The measurement takes seconds.
    pub fn quick(seed: u64) -> Self {
        let plan = Self {
            seed,
            quick: true,
            window_seconds: 0.3,
            backends: vec![10, 200],
            tenants: vec![0, 500],
            methods: vec![1, 50],
            rates: vec![50, 100],
            changes: vec![5, 20],
            proxies: vec![1, 2],
            simulated_proxies: vec![5, 20],
            simulated_proxy_backends: 50,
            simulated_proxy_changes: 4,
            in_force_timeout_seconds: 2.0,
            rpcs_per_second: 100,
        };
        plan.shuffled()
    }

    fn shuffled(mut self) -> Self {
        let mut rng = Pcg64::seed_from_u64(self.seed);
        for sizes in [
            &mut self.backends,
            &mut self.tenants,
            &mut self.methods,
            &mut self.rates,
            &mut self.changes,
            &mut self.proxies,
            &mut self.simulated_proxies,
        ] {
            sizes.shuffle(&mut rng);
        }
        self
    }

    /// The command that measures the plan.
    pub fn command(&self) -> String {
        let quick = if self.quick { " --quick" } else { "" };
        format!("birchhub scale run --seed {}{quick}", self.seed)
    }
}
