//! State that all mechanisms share: the backends, averages over them and the random numbers.
use crate::backend_index::BackendIndex;
use crate::estimates::Estimates;
use crate::rng::Rng;

/// The backends that this proxy knows, averages over them and the random numbers.
#[derive(Default)]
pub(crate) struct Fleet {
    /// The backends.
    pub index: BackendIndex,
    /// Averages over the backends.
    pub estimates: Estimates,
    /// The generator of all random numbers.
    pub rng: Rng,
}
