//! The process group of a proxy: the processes that run while one replaces another.
//!
//! They communicate through files in one folder below `$TMPDIR` ([`folder`]). Each process has a slot, in which it
//! publishes whether it accepts clients ([`slots`]), and all share the administrative state ([`state_file`]). One of them
//! runs RPCs of methods that are ordered by key ([`ordering_lock`]), and one that starts gets the endpoint list of another
//! ([`endpoint_list_file`]).

mod endpoint_list_file;
mod error;
mod folder;
mod ordering_lock;
mod slots;
mod state_file;

pub(crate) use endpoint_list_file::EndpointListFile;
pub(crate) use error::ProcessGroupError;
pub(crate) use ordering_lock::{OrderingLock, PreviousHolder};

use crate::lifecycle::admin_state::AdminState;
use folder::{folder_name, request_ids_path};
use slots::{ProcessSlots, SLOT_COUNT};
use state_file::StateFile;
use std::path::{Path, PathBuf};

/// Maximum number of descriptors of a group: the slot files, the two lock files, and the state file or the endpoint list
/// while it is read or written, which does not wait for anything.
pub(crate) const MAX_DESCRIPTORS: usize = SLOT_COUNT + 3;

/// Counts of the other processes of this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Siblings {
    /// Number of sibling processes that run.
    pub alive: usize,
    /// Number of siblings that accept clients and are not shutting down.
    pub accepting: usize,
}

/// The membership of this process in the group of its proxy's processes.
pub(crate) struct ProcessGroup {
    slots: ProcessSlots,
    state_file: StateFile,
}

impl ProcessGroup {
    /// Opens the folder of the proxy with this name.
    pub(crate) fn open(proxy_name: &str) -> Result<Self, ProcessGroupError> {
        let parent = std::env::var_os("TMPDIR").ok_or(ProcessGroupError::NoFolder)?;
        Self::open_in(Path::new(&parent).join(folder_name(proxy_name)))
    }

    /// Opens this folder, or creates it if it does not exist, and requests an endpoint list from the siblings. The first
    /// call of [`Self::siblings`] takes a slot.
    pub(super) fn open_in(folder: PathBuf) -> Result<Self, ProcessGroupError> {
        std::fs::create_dir_all(&folder).map_err(ProcessGroupError::io(&folder))?;
        EndpointListFile::in_folder(&folder).request()?;
        Ok(Self {
            slots: ProcessSlots::open(&folder)?,
            state_file: StateFile::open(folder)?,
        })
    }

    /// Opens the lock of the process that runs ordered RPCs.
    pub(crate) fn ordering_lock(&self) -> Result<OrderingLock, ProcessGroupError> {
        OrderingLock::open(&self.state_file.folder)
    }

    /// The file with the endpoint list that a process hands over.
    pub(crate) fn endpoint_list_file(&self) -> EndpointListFile {
        EndpointListFile::in_folder(&self.state_file.folder)
    }

    /// The file with the `Request-Id`s of all processes.
    pub(crate) fn request_ids_path(&self) -> PathBuf {
        request_ids_path(&self.state_file.folder)
    }

    /// Publishes to the siblings whether this process accepts clients, once it holds a slot.
    pub(crate) fn publish_accepting(&mut self, accepting: bool) {
        self.slots.publish_accepting(accepting);
    }

    /// Counts the siblings, after taking a slot if this process has none.
    pub(crate) fn siblings(&mut self) -> Siblings {
        self.slots.siblings()
    }

    /// Reads the shared administrative state if it has changed since this process last read or wrote it.
    pub(crate) fn read_if_changed(&mut self) -> Result<Option<AdminState>, ProcessGroupError> {
        self.state_file.read_if_changed()
    }

    /// Applies a change to the shared administrative state, or to `own` if no valid state is stored. Stores and returns
    /// the new state.
    pub(crate) async fn update(
        &mut self,
        own: &AdminState,
        change: impl FnOnce(&mut AdminState),
    ) -> Result<AdminState, ProcessGroupError> {
        self.state_file.update(own, change).await
    }
}

#[cfg(test)]
mod tests;
