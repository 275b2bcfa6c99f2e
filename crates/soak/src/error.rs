//! Errors that prevent a soak from running.
use birchhub_rehearsal::RehearsalError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a plan could not be run. None of these is a fault of the proxies.
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
    #[error("the plan: {0}")]
    Parse(#[from] toml::de::Error),
    /// The plan makes no valid scenario.
    #[error("the plan: {0}")]
    Scenario(String),
    /// The library that makes system calls fail is not there.
    #[error("there is no {}: build birchhub-fault-shim, or name it", .0.display())]
    MissingShim(PathBuf),
    /// The rehearsal could not be run to its end.
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
