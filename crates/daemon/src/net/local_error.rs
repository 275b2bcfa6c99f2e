//! Classifies errors of system calls that are caused by the local host rather than by a peer.
use libc::{EMFILE, ENFILE, ENOBUFS, ENOMEM};
use std::io::{self, ErrorKind};

/// Error numbers that report a resource shortage; the standard library has no error kinds for them.
const SHORTAGE_ERRNOS: [i32; 4] = [ENFILE, EMFILE, ENOMEM, ENOBUFS];

/// Whether the system has no descriptor or no memory left for a socket.
pub(crate) fn is_resource_shortage(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| SHORTAGE_ERRNOS.contains(&number))
}

/// Whether a call failed because of a resource shortage, was interrupted by a signal or would block. These conditions
/// are often brief, so the call may be retried.
pub(crate) fn is_transient_local_error(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
        || is_resource_shortage(error)
}
