//! The lock of the process that runs RPCs of methods that are ordered by key.
//!
//! RPCs with one key run one at a time, also while one process of a proxy replaces another. So only the process that
//! holds this lock runs such RPCs. The lock is released when the process ends, however it ends. The file is not empty while
//! the process has not left ordered RPCs to another one, so that the next holder learns whether some may still be running.

use crate::lifecycle::process_group::ProcessGroupError;
use crate::lifecycle::process_group::folder::{open_file, ordering_lock_path};
use std::fs::{File, TryLockError};
use std::path::Path;

/// How the previous holder of the lock released it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PreviousHolder {
    /// There was none, or it had finished its ordered RPCs.
    Finished,
    /// It ended, and attempts of its ordered RPCs may still be running.
    Ended,
}

/// The lock file, as one process uses it.
pub(crate) struct OrderingLock(File);

impl OrderingLock {
    /// Opens the lock file. The lock is not taken yet.
    pub(super) fn open(folder: &Path) -> Result<Self, ProcessGroupError> {
        open_file(&ordering_lock_path(folder)).map(Self)
    }

    /// Takes the lock; none if another process holds it. Where files can't be locked, each process runs ordered RPCs as if
    /// it was alone.
    pub(crate) fn try_take(&self) -> Option<PreviousHolder> {
        match self.0.try_lock() {
            Ok(()) => Some(self.mark_used()),
            Err(TryLockError::WouldBlock) => None,
            Err(TryLockError::Error(error)) => {
                log::warn!("ordering lock unavailable, running ordered RPCs without it: {error}");
                Some(PreviousHolder::Finished)
            }
        }
    }

    /// Makes the file not empty, and returns how the previous holder left it.
    fn mark_used(&self) -> PreviousHolder {
        let is_empty = self.0.metadata().is_ok_and(|metadata| metadata.len() == 0);
        if !is_empty {
            return PreviousHolder::Ended;
        }
        if let Err(error) = self.0.set_len(1) {
            log::warn!("ordering lock not marked as used: {error}");
        }
        PreviousHolder::Finished
    }

    /// Releases the lock after the last ordered RPC of this process has finished.
    pub(crate) fn release(&self) {
        if let Err(error) = self.0.set_len(0).and_then(|()| self.0.unlock()) {
            log::warn!("ordering lock not released: {error}");
        }
    }
}
