//! The names of the shared folder and its files.
//!
//! Processes of different versions share the folder: the names must not change.

use crate::lifecycle::process_group::ProcessGroupError;
use std::fs::File;
use std::path::{Path, PathBuf};

/// Prefix of the folder's name, followed by the proxy's name.
const FOLDER_PREFIX: &str = "birchhub-";
/// Prefix of the name of a slot file, followed by a dot and the slot's number.
const SLOT_FILE_PREFIX: &str = "birchhub.life";
/// File that is locked while the administrative state is changed.
const LOCK_FILE: &str = "birchhub.lock";
/// File that the process locks which runs RPCs of methods that are ordered by key.
const ORDERING_LOCK_FILE: &str = "birchhub.order";
/// File with the table of `Request-Id`s. The number is that of its format.
const REQUEST_IDS_FILE: &str = "birchhub.ids.1";
/// File with the administrative state.
const STATE_FILE: &str = "birchhub.standing";
/// File into which the next administrative state is written before it replaces [`STATE_FILE`].
const NEW_STATE_FILE: &str = "birchhub.standing.new";

/// File with the endpoint list that a process hands over. The number is that of its format.
const ENDPOINT_LIST_FILE: &str = "birchhub.endpoints.1";
/// File into which the list is written before it becomes [`ENDPOINT_LIST_FILE`].
const NEW_ENDPOINT_LIST_FILE: &str = "birchhub.endpoints.1.new";

/// Returns the name of the folder of a proxy.
///
/// Bytes other than ASCII letters, digits and hyphens are escaped, so that different proxies never share a folder.
/// Names without such bytes are unchanged: processes of older versions use the same folder.
pub(super) fn folder_name(proxy_name: &str) -> String {
    let mut folder = FOLDER_PREFIX.to_owned();
    for byte in proxy_name.bytes() {
        match byte {
            b'-' | b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' => folder.push(byte.into()),
            other => folder.push_str(&format!("%{other:02x}")),
        }
    }
    folder
}

/// Returns the path of the slot file with this number.
pub(super) fn slot_path(folder: &Path, number: usize) -> PathBuf {
    folder.join(format!("{SLOT_FILE_PREFIX}.{number}"))
}

/// Returns the path of the lock file of the administrative state.
pub(super) fn lock_path(folder: &Path) -> PathBuf {
    folder.join(LOCK_FILE)
}

/// Returns the path of the lock file of ordered RPCs.
pub(super) fn ordering_lock_path(folder: &Path) -> PathBuf {
    folder.join(ORDERING_LOCK_FILE)
}

/// Returns the path of the table of `Request-Id`s.
pub(super) fn request_ids_path(folder: &Path) -> PathBuf {
    folder.join(REQUEST_IDS_FILE)
}

/// Returns the path of [`ENDPOINT_LIST_FILE`].
pub(super) fn endpoint_list_path(folder: &Path) -> PathBuf {
    folder.join(ENDPOINT_LIST_FILE)
}

/// Returns the path of [`NEW_ENDPOINT_LIST_FILE`].
pub(super) fn new_endpoint_list_path(folder: &Path) -> PathBuf {
    folder.join(NEW_ENDPOINT_LIST_FILE)
}

/// Returns the path of the administrative state.
pub(super) fn state_path(folder: &Path) -> PathBuf {
    folder.join(STATE_FILE)
}

/// Returns the path of [`NEW_STATE_FILE`].
pub(super) fn new_state_path(folder: &Path) -> PathBuf {
    folder.join(NEW_STATE_FILE)
}

/// Opens a file for locking and writing, or creates it if it does not exist.
pub(super) fn open_file(path: &Path) -> Result<File, ProcessGroupError> {
    File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .map_err(ProcessGroupError::io(path))
}
