//! Errors that prevent a soak from running.
use birchhub_rehearsal::RehearsalError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Error that prevents a plan from running. None of them is a failure of the proxies.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A plan's file can't be parsed.
    #[error("invalid plan: {0}")]
    Parse(#[from] toml::de::Error),
    /// The scenario made from the plan is invalid.
    #[error("the plan does not give a valid scenario: {0}")]
    Scenario(String),
    /// The fault shim does not exist at this path.
    #[error("there is no fault shim at {}; build birchhub-fault-shim or give its path", .0.display())]
    MissingShim(PathBuf),
    /// The rehearsal did not run to its end.
    #[error(transparent)]
    Rehearsal(#[from] RehearsalError),
}

impl SoakError {
    /// Adds the path of the file to an error of the operating system.
    pub(crate) fn io(path: &Path) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::Io { path, source }
    }
}
