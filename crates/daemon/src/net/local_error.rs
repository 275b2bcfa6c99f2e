//! Errors of system calls that tell of this machine, and nothing of a peer.
use libc::{EMFILE, ENFILE, ENOBUFS, ENOMEM};
use std::io::{self, ErrorKind};

/// Errors that have no kind of their own in the standard library.
const SHORTAGES: [i32; 4] = [ENFILE, EMFILE, ENOMEM, ENOBUFS];

/// The system has no descriptor or no memory left for a socket.
pub(crate) fn is_resource_shortage(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| SHORTAGES.contains(&number))
}

/// A shortage, or a call that a signal interrupted: both are often over in a moment, and the call may be made again.
pub(crate) fn is_local(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
        || is_resource_shortage(error)
}
