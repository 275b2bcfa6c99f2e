//! The folder in `$TMPDIR` that all processes of one proxy share while one replaces another: which of them run, which
//! accept clients, and the administrative state.
//!
//! - `birchhub.life.N`: a slot. A running process holds the lock of one; its file is not empty while the process
//!   accepts clients. The lock ends with the process, however that ends.
//! - `birchhub.lock`: held while the administrative state is changed.
//! - `birchhub.standing`: the administrative state, as JSON.

use crate::lifecycle::admin_state::AdminState;
use std::fs::{File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// Processes that can run at a time: one replaces one, and one may hang.
const SLOTS: usize = 4;
/// Descriptors that a group holds: its slots, the lock, and a file that is read or written.
pub(crate) const MAX_DESCRIPTORS: usize = SLOTS + 2;
/// For the lock: its holder writes a few bytes.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
/// Between attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The slots' files, each with its number behind a dot.
const SLOT_FILE: &str = "birchhub.life";
/// The lock of the administrative state.
const LOCK_FILE: &str = "birchhub.lock";
/// The administrative state.
const STATE_FILE: &str = "birchhub.standing";
/// The next administrative state until it is complete.
const NEW_STATE_FILE: &str = "birchhub.standing.new";

/// Why the folder could not be used.
#[derive(Debug, Error)]
pub(crate) enum ProcessGroupError {
    /// The platform named no folder.
    #[error("TMPDIR is not set")]
    NoFolder,
    /// The folder or a file in it could not be opened, read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The stored state is damaged.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file of the state.
        path: PathBuf,
        /// Where its JSON is wrong.
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
    fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::Io { path, source }
    }
}

/// Distinguishes one content of the state's file from the next.
#[derive(Clone, Copy, PartialEq)]
struct FileVersion {
    modified: SystemTime,
    inode: u64,
}

/// Other processes of this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Siblings {
    /// Those that run.
    pub alive: usize,
    /// Those of them that accept clients and are not shutting down.
    pub accepting: usize,
}

/// This process among the processes of its proxy.
pub(crate) struct ProcessGroup {
    folder: PathBuf,
    slots: Vec<File>,
    own_slot: Option<usize>,
    lock: File,
    /// Of what was read or written last.
    seen_version: Option<FileVersion>,
    /// What the siblings find in the own slot; unknown before it was written.
    published_accepting: Option<bool>,
}

fn open_file(path: &Path) -> Result<File, ProcessGroupError> {
    File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .map_err(ProcessGroupError::io(path))
}

/// A folder name for each proxy's name. Two names that differ only in characters that a file name can't have get two
/// folders, or the state of one proxy would hold for the other. Usual names stay as they are: processes of older
/// versions use the same folder.
fn folder_name(proxy_name: &str) -> String {
    let mut folder = "birchhub-".to_owned();
    for byte in proxy_name.bytes() {
        match byte {
            b'-' | b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' => folder.push(byte.into()),
            other => folder.push_str(&format!("%{other:02x}")),
        }
    }
    folder
}

/// Whether a running process holds this slot.
fn is_held(slot: &File) -> bool {
    match slot.try_lock_shared() {
        Ok(()) => slot.unlock().is_err(),
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
    }
}

/// Whether the process that holds this slot accepts clients.
fn is_accepting(slot: &File) -> bool {
    slot.metadata().is_ok_and(|metadata| metadata.len() > 0)
}

impl ProcessGroup {
    /// Opens the folder of the proxy of this name.
    pub(crate) fn open(proxy_name: &str) -> Result<Self, ProcessGroupError> {
        let parent = std::env::var_os("TMPDIR").ok_or(ProcessGroupError::NoFolder)?;
        Self::open_in(Path::new(&parent).join(folder_name(proxy_name)))
    }

    /// Opens this folder. The own slot is taken with the first look at the siblings.
    pub(super) fn open_in(folder: PathBuf) -> Result<Self, ProcessGroupError> {
        std::fs::create_dir_all(&folder).map_err(ProcessGroupError::io(&folder))?;
        let slots = (0..SLOTS)
            .map(|number| open_file(&folder.join(format!("{SLOT_FILE}.{number}"))))
            .collect::<Result<_, _>>()?;
        let lock = open_file(&folder.join(LOCK_FILE))?;
        Ok(Self {
            folder,
            slots,
            own_slot: None,
            lock,
            seen_version: None,
            published_accepting: None,
        })
    }

    /// Lets the siblings know whether this process accepts clients, once it has a slot. What an earlier holder of the
    /// slot published is overwritten.
    pub(crate) fn publish_accepting(&mut self, accepting: bool) {
        if self.published_accepting == Some(accepting) {
            return;
        }
        if let Some(slot) = self.own_slot.map(|number| &self.slots[number]) {
            // Where it can't be written it stays unknown, and is tried again.
            let written = slot.set_len(u64::from(accepting)).is_ok();
            self.published_accepting = written.then_some(accepting);
        }
    }

    /// Counts the siblings as they are now.
    pub(crate) fn siblings(&mut self) -> Siblings {
        self.take_slot();
        self.publish_accepting(self.published_accepting.unwrap_or(false));
        let held: Vec<&File> = self
            .slots
            .iter()
            .enumerate()
            .filter(|(number, _)| Some(*number) != self.own_slot)
            .map(|(_, slot)| slot)
            .filter(|slot| is_held(slot))
            .collect();
        Siblings {
            alive: held.len(),
            accepting: held.iter().filter(|slot| is_accepting(slot)).count(),
        }
    }

    /// Takes a slot if this process has none. A sibling that checks a free slot at this moment holds its lock: then the
    /// next look takes one.
    fn take_slot(&mut self) {
        if self.own_slot.is_none() {
            self.own_slot = self.slots.iter().position(|slot| slot.try_lock().is_ok());
        }
    }

    fn state_path(&self) -> PathBuf {
        self.folder.join(STATE_FILE)
    }

    fn stored_version(&self) -> Option<FileVersion> {
        let metadata = std::fs::metadata(self.state_path()).ok()?;
        Some(FileVersion {
            modified: metadata.modified().ok()?,
            inode: metadata.ino(),
        })
    }

    /// The stored state, if it is another one than was read or written last.
    pub(crate) fn read_if_changed(&mut self) -> Result<Option<AdminState>, ProcessGroupError> {
        let version = self.stored_version();
        if version.is_none() || version == self.seen_version {
            return Ok(None);
        }
        let path = self.state_path();
        // Where it can't be read now it is read with the next look; a damaged one is the same as long as it stays.
        let bytes = std::fs::read(&path).map_err(ProcessGroupError::io(&path))?;
        self.seen_version = version;
        serde_json::from_slice(&bytes)
            .map(Some)
            .map_err(|source| ProcessGroupError::Malformed { path, source })
    }

    /// Changes the stored state, or `own` where there is none that can be read, and returns the state after that.
    pub(crate) async fn update(
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
        let path = self.state_path();
        let stored = match std::fs::read(&path) {
            Ok(bytes) => serde_json::from_slice::<AdminState>(&bytes).ok(),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            // What a sibling stored must not be written over unread.
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

    /// Replaces the file of the state, so that a reader finds a complete one at each moment.
    fn write(&mut self, state: &AdminState) -> io::Result<()> {
        let new_file = self.folder.join(NEW_STATE_FILE);
        let mut file = File::create(&new_file)?;
        file.write_all(serde_json::to_string(state)?.as_bytes())?;
        std::fs::rename(new_file, self.state_path())?;
        self.seen_version = self.stored_version();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
