//! Level of a reported load.

/// Reported load of a backend relative to the mean of all backends; see `policy::load_reports`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadLevel {
    /// At or below the threshold for idle backends.
    Low,
    /// Above the threshold for idle backends.
    High,
}
