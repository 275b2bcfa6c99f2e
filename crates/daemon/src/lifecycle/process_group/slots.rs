//! Slots in which the processes of a proxy publish that they run and whether they accept clients.
//!
//! Each process holds an exclusive lock on one slot file. The lock is released when the process ends, however it ends.
//! The file is not empty while the process accepts clients.

use crate::lifecycle::process_group::folder::{open_file, slot_path};
use crate::lifecycle::process_group::{ProcessGroupError, Siblings};
use std::fs::{File, TryLockError};
use std::path::Path;

/// Number of slots, and so the maximum number of processes at a time: an old one, a new one, and processes that hang.
pub(super) const SLOT_COUNT: usize = 4;

/// The slot files of a proxy, as one process uses them.
pub(super) struct ProcessSlots {
    files: Vec<File>,
    /// Number of the slot that this process holds.
    own: Option<usize>,
    /// Value that this process last wrote into its slot; `None` before the first write and after one that failed.
    published_accepting: Option<bool>,
}

impl ProcessSlots {
    /// Opens the slot files. No slot is taken yet.
    pub(super) fn open(folder: &Path) -> Result<Self, ProcessGroupError> {
        let files = (0..SLOT_COUNT)
            .map(|number| open_file(&slot_path(folder, number)))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            files,
            own: None,
            published_accepting: None,
        })
    }

    /// Publishes whether this process accepts clients, if it holds a slot. The first write replaces the value that an
    /// earlier holder of the slot published.
    pub(super) fn publish_accepting(&mut self, accepting: bool) {
        if self.published_accepting == Some(accepting) {
            return;
        }
        if let Some(slot) = self.own.map(|number| &self.files[number]) {
            // After a failed write the value is unknown, and the next call writes it again.
            let written = slot.set_len(u64::from(accepting)).is_ok();
            self.published_accepting = written.then_some(accepting);
        }
    }

    /// Counts the sibling processes, after taking a slot if this process has none.
    pub(super) fn siblings(&mut self) -> Siblings {
        self.take_slot();
        self.publish_accepting(self.published_accepting.unwrap_or(false));
        let held: Vec<&File> = self
            .files
            .iter()
            .enumerate()
            .filter(|(number, _)| Some(*number) != self.own)
            .map(|(_, slot)| slot)
            .filter(|slot| is_held(slot))
            .collect();
        Siblings {
            alive: held.len(),
            accepting: held.iter().filter(|slot| is_accepting(slot)).count(),
        }
    }

    /// Takes a slot if this process has none. A sibling locks a free slot briefly to check it. If that makes all free
    /// slots look taken, the next call takes one.
    fn take_slot(&mut self) {
        if self.own.is_none() {
            self.own = self.files.iter().position(|slot| slot.try_lock().is_ok());
        }
    }
}

/// Returns whether a running process holds this slot.
fn is_held(slot: &File) -> bool {
    match slot.try_lock_shared() {
        Ok(()) => slot.unlock().is_err(),
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
    }
}

/// Returns whether the process that holds this slot accepts clients.
fn is_accepting(slot: &File) -> bool {
    slot.metadata().is_ok_and(|metadata| metadata.len() > 0)
}
