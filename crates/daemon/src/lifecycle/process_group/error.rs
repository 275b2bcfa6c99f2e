//! Errors of the shared folder of a process group.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the shared folder or a file in it could not be used.
#[derive(Debug, Error)]
pub(crate) enum ProcessGroupError {
    /// The environment variable with the parent folder is not set.
    #[error("TMPDIR is not set")]
    NoFolder,
    /// The folder or a file in it could not be opened, read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// The stored administrative state can't be parsed.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file with the state.
        path: PathBuf,
        /// The JSON error with its position.
        source: serde_json::Error,
    },
    /// Another process held the lock for too long.
    #[error("{}: birchhub.lock is held", folder.display())]
    LockTimeout {
        /// The shared folder.
        folder: PathBuf,
    },
}

impl ProcessGroupError {
    /// Returns a function that adds the path to an I/O error.
    pub(super) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::Io { path, source }
    }
}
