//! Random work of RPCs. The work depends only on the seed and the id of the RPC, so it is the same at every backend.
use rand::SeedableRng;
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Shape of the distribution of work around its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Always the mean.
    Constant,
    /// Exponential: coefficient of variation 1.
    #[default]
    Exponential,
    /// Log-normal with coefficient of variation 2: a heavy tail.
    HeavyTail,
}

/// Distribution of the work of a method's RPCs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkDistribution {
    /// Mean, in seconds of a standard core.
    pub mean: f64,
    /// Shape around the mean.
    pub spread: Spread,
}

/// Returns a random number generator for a seed and an id. The generators of consecutive ids are uncorrelated.
pub fn seeded_rng(seed: u64, id: u64) -> Pcg64Mcg {
    // The finalizer of SplitMix64 (Steele, Lea, Flood 2014): seeds from consecutive ids would otherwise be correlated.
    let mut z = seed ^ id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    Pcg64Mcg::seed_from_u64(z ^ (z >> 31))
}

impl WorkDistribution {
    /// Returns the work of the RPC with an id, in seconds of a standard core.
    pub fn sample(&self, seed: u64, id: u64) -> f64 {
        let mut rng = seeded_rng(seed, id);
        let factor = match self.spread {
            Spread::Constant => 1.0,
            Spread::Exponential => Exp1.sample(&mut rng),
            Spread::HeavyTail => {
                // cv² = exp(σ²) − 1 = 4; the mean is 1 with µ = −σ²/2.
                let variance = 5f64.ln();
                LogNormal::new(-variance / 2.0, variance.sqrt())
                    .map_or(1.0, |distribution| distribution.sample(&mut rng))
            }
        };
        self.mean * factor
    }
}
