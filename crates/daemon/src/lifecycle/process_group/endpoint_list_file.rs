//! The file with the endpoint list that a running process hands over to one that starts.
//!
//! A process that starts removes the file, which requests a list. A running sibling that has one then writes it.

use crate::lifecycle::process_group::ProcessGroupError;
use crate::lifecycle::process_group::folder::{endpoint_list_path, new_endpoint_list_path};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// The paths of the file.
pub(crate) struct EndpointListFile {
    path: PathBuf,
    new_path: PathBuf,
}

impl EndpointListFile {
    /// Returns the file in this folder, which may not exist.
    pub(super) fn in_folder(folder: &Path) -> Self {
        Self {
            path: endpoint_list_path(folder),
            new_path: new_endpoint_list_path(folder),
        }
    }

    /// Requests a list from the siblings. They see the request once this process has taken its slot, so a list that is read
    /// after this call is never one of an earlier replacement.
    pub(super) fn request(&self) -> Result<(), ProcessGroupError> {
        match std::fs::remove_file(&self.path) {
            Err(error) if error.kind() != ErrorKind::NotFound => {
                Err(ProcessGroupError::io(&self.path)(error))
            }
            _ => Ok(()),
        }
    }

    /// Returns whether a list was requested and is not written yet.
    pub(crate) fn is_requested(&self) -> bool {
        !self.path.exists()
    }

    /// Writes a list. The file is renamed, so that it is complete as soon as it exists.
    pub(crate) fn write(&self, list: &str) -> Result<(), ProcessGroupError> {
        std::fs::write(&self.new_path, list).map_err(ProcessGroupError::io(&self.new_path))?;
        std::fs::rename(&self.new_path, &self.path).map_err(ProcessGroupError::io(&self.path))
    }

    /// Reads the list that a sibling has written, if there is one.
    pub(crate) fn read(&self) -> Option<String> {
        std::fs::read_to_string(&self.path).ok()
    }
}
