//! Options for running a rehearsal.
use std::path::PathBuf;

/// Options for running a rehearsal.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the proxies' own random numbers.
    pub seed: u64,
    /// Folder of the ledger, the report and the proxies' logs.
    pub out: PathBuf,
    /// The proxies' program.
    pub program: PathBuf,
    /// Whether progress lines are written to standard error.
    pub progress: bool,
}
