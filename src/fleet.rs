//! What all mechanisms share.
use crate::backend_index::BackendIndex;
use crate::estimates::Estimates;
use crate::rng::Rng;

/// The backends, averages over them, and random numbers.
#[derive(Default)]
pub(crate) struct Fleet {
    /// The backends this proxy knows.
    pub index: BackendIndex,
    /// Averages over them.
    pub estimates: Estimates,
    /// The generator of all random numbers.
    pub rng: Rng,
}
