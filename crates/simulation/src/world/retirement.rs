//! The planned replacement of a backend by a successor.

/// A planned replacement of a backend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retirement {
    /// The machine whose backend ends once it is idle.
    pub(super) node: u32,
    /// When the backend ends even if it is not idle, in seconds of the simulation.
    pub(super) deadline: f64,
    /// The machine on which its successor starts.
    pub(super) successor: u32,
    /// Delay in seconds from the end of the backend to the start of its successor.
    pub(super) successor_delay: f64,
}
