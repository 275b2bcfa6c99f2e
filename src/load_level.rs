//! Level of a load report.

/// The load of a backend by a report, compared with that of other backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadLevel {
    /// At or below the threshold at which a backend counts as idle.
    Low,
    /// Above it.
    High,
}
