//! Locks on the `Request-Id`s of open requests, so that no two processes of a proxy take the same request while one
//! replaces the other.
//!
//! The lock of an id is that of one byte of a shared file, at an offset that is computed from the id. The file has no
//! content. The system releases the locks of a process that ends, however it ends.

use crate::lifecycle::process_group::ProcessGroupError;
use crate::lifecycle::process_group::folder::{open_file, request_id_lock_path};
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use std::fs::File;
use std::path::Path;

/// Parameters of the 64-bit FNV-1a hash. Processes of different versions must compute the same offsets.
const HASH_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0100_0000_01b3;

/// The lock file, as one process uses it.
pub(crate) struct RequestIdLocks(File);

impl RequestIdLocks {
    /// Opens the lock file.
    pub(super) fn open(folder: &Path) -> Result<Self, ProcessGroupError> {
        open_file(&request_id_lock_path(folder)).map(Self)
    }

    /// Locks an id; false if another process holds it. Where files can't be locked, each process takes ids as if it was
    /// alone.
    pub(crate) fn try_lock(&self, id: &[u8]) -> bool {
        let locked = self.set(libc::F_WRLCK, id);
        !matches!(locked, Err(Errno::EAGAIN | Errno::EACCES))
    }

    /// Releases the lock of an id.
    pub(crate) fn unlock(&self, id: &[u8]) {
        let _ = self.set(libc::F_UNLCK, id);
    }

    fn set(&self, lock_type: i32, id: &[u8]) -> Result<i32, Errno> {
        let lock = libc::flock {
            l_type: lock_type as libc::c_short,
            l_whence: libc::SEEK_SET as libc::c_short,
            l_start: offset(id),
            l_len: 1,
            l_pid: 0,
        };
        fcntl(&self.0, FcntlArg::F_OFD_SETLK(&lock))
    }
}

/// Returns the offset of the byte that stands for an id.
fn offset(id: &[u8]) -> i64 {
    let hash = id.iter().fold(HASH_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(HASH_PRIME)
    });
    // The upper bits of an offset must be zero: it is not negative, and the byte after it has an offset too.
    (hash >> 2) as i64
}
