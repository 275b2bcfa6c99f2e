//! The file with the administrative state that the processes of a proxy share.
//!
//! A process changes it under a file lock and replaces the whole file, so that readers need no lock.

use crate::lifecycle::admin_state::AdminState;
use crate::lifecycle::process_group::ProcessGroupError;
use crate::lifecycle::process_group::folder::{lock_path, new_state_path, open_file, state_path};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep};

/// Timeout of taking the lock. Its holder writes only a few bytes.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay between attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Identifies a version of the state file.
#[derive(Clone, Copy, PartialEq)]
struct FileVersion {
    modified: SystemTime,
    inode: u64,
}

/// The administrative state in the shared folder.
pub(super) struct StateFile {
    pub(super) folder: PathBuf,
    pub(super) lock: File,
    /// Version that this process read or wrote last.
    seen_version: Option<FileVersion>,
}

impl StateFile {
    /// Opens the lock file. The state itself may not exist yet.
    pub(super) fn open(folder: PathBuf) -> Result<Self, ProcessGroupError> {
        let lock = open_file(&lock_path(&folder))?;
        Ok(Self {
            folder,
            lock,
            seen_version: None,
        })
    }

    fn path(&self) -> PathBuf {
        state_path(&self.folder)
    }

    fn stored_version(&self) -> Option<FileVersion> {
        let metadata = std::fs::metadata(self.path()).ok()?;
        Some(FileVersion {
            modified: metadata.modified().ok()?,
            inode: metadata.ino(),
        })
    }

    /// Reads the state if it has changed since it was last read or written.
    pub(super) fn read_if_changed(&mut self) -> Result<Option<AdminState>, ProcessGroupError> {
        let version = self.stored_version();
        if version.is_none() || version == self.seen_version {
            return Ok(None);
        }
        let path = self.path();
        // A read that fails is repeated by the next call. A malformed file is reported once, as it stays malformed.
        let bytes = std::fs::read(&path).map_err(ProcessGroupError::io(&path))?;
        self.seen_version = version;
        serde_json::from_slice(&bytes)
            .map(Some)
            .map_err(|source| ProcessGroupError::Malformed { path, source })
    }

    /// Applies a change to the stored state, or to `own` if no valid state is stored. Stores and returns the new state.
    pub(super) async fn update(
        &mut self,
        own: &AdminState,
        change: impl FnOnce(&mut AdminState),
    ) -> Result<AdminState, ProcessGroupError> {
        self.take_lock().await?;
        let updated = self.update_locked(own, change);
        let _ = self.lock.unlock();
        updated
    }

    async fn take_lock(&self) -> Result<(), ProcessGroupError> {
        let deadline = Instant::now() + LOCK_TIMEOUT;
        while self.lock.try_lock().is_err() {
            if Instant::now() >= deadline {
                let folder = self.folder.clone();
                return Err(ProcessGroupError::LockTimeout { folder });
            }
            sleep(LOCK_RETRY_INTERVAL).await;
        }
        Ok(())
    }

    fn update_locked(
        &mut self,
        own: &AdminState,
        change: impl FnOnce(&mut AdminState),
    ) -> Result<AdminState, ProcessGroupError> {
        let path = self.path();
        let stored = match std::fs::read(&path) {
            Ok(bytes) => serde_json::from_slice::<AdminState>(&bytes).ok(),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            // The state may be valid although it can't be read now, so it must not be overwritten.
            Err(error) => return Err(ProcessGroupError::io(&path)(error)),
        };
        let mut state = stored.unwrap_or_else(|| own.clone());
        let before = state.clone();
        change(&mut state);
        if state != before || self.stored_version().is_none() {
            self.write(&state).map_err(ProcessGroupError::io(&path))?;
        }
        Ok(state)
    }

    /// Replaces the file by renaming a new one, so that readers always find a complete file.
    fn write(&mut self, state: &AdminState) -> io::Result<()> {
        let new_path = new_state_path(&self.folder);
        let mut file = File::create(&new_path)?;
        file.write_all(serde_json::to_string(state)?.as_bytes())?;
        std::fs::rename(new_path, self.path())?;
        self.seen_version = self.stored_version();
        Ok(())
    }
}
