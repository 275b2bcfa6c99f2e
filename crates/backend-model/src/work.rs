//! What an RPC costs: drawn from the seed and the RPC's id alone, so that it costs the same wherever it runs.
use rand::SeedableRng;
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// How work is spread around its mean.
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

/// Work of a method, s of a standard core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    pub mean: f64,
    pub spread: Spread,
}

/// A generator of its own for each pair: neighbours share nothing.
pub fn generator(seed: u64, id: u64) -> Pcg64Mcg {
    // SplitMix64's finaliser (Steele, Lea, Flood 2014): ids in sequence would otherwise start alike.
    let mut z = seed ^ id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    Pcg64Mcg::seed_from_u64(z ^ (z >> 31))
}

impl Work {
    /// Work of the RPC with this id, s of a standard core.
    pub fn draw(&self, seed: u64, id: u64) -> f64 {
        let mut chance = generator(seed, id);
        let factor = match self.spread {
            Spread::Constant => 1.0,
            Spread::Exponential => Exp1.sample(&mut chance),
            Spread::HeavyTail => {
                // cv² = exp(σ²) − 1 = 4; the mean is 1 with µ = −σ²/2.
                let variance = 5f64.ln();
                LogNormal::new(-variance / 2.0, variance.sqrt())
                    .map_or(1.0, |d| d.sample(&mut chance))
            }
        };
        self.mean * factor
    }
}
