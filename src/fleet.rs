//! State shared by all mechanisms: the backends, averages over them and the random number
//! generator.
use crate::backend_index::BackendIndex;
use crate::estimates::Estimates;
use crate::rng::Rng;

/// The backends that this proxy knows, averages over them and the random number generator.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Index of the backends.
    pub index: BackendIndex,
    /// Averages over the backends.
    pub estimates: Estimates,
    /// Source of all random numbers.
    pub rng: Rng,
}
