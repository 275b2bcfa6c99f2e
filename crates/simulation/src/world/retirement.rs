//! Planned replacement of a backend.

/// The planned replacement of a backend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retirement {
    /// The machine whose backend ends once it is idle.
    pub(super) node: u32,
    /// When it ends at the latest, in seconds.
    pub(super) by: f64,
    /// The machine on which its successor starts.
    pub(super) successor: u32,
    /// Seconds from its end to the successor's start.
    pub(super) after: f64,
}
