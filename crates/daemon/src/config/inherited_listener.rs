//! The inherited listening socket: one for clients that the platform opens and passes to the process.

use crate::config::error::{ConfigError, InheritedListenerError};
use crate::config::keys::INHERITED_LISTENER_VARIABLE;
use socket2::{Socket, Type};
use std::ffi::OsStr;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// Takes ownership of the listening socket, if one was passed. Must be called only once, and before anything else opens
/// a descriptor, which could get the passed number if that is not open.
pub(crate) fn take() -> Result<Option<TcpListener>, ConfigError> {
    let Some(descriptor) = std::env::var_os(INHERITED_LISTENER_VARIABLE) else {
        return Ok(None);
    };
    let listener = open(&descriptor).map_err(|source| ConfigError::InheritedListener {
        source,
        descriptor: descriptor.display().to_string(),
    })?;
    Ok(Some(listener))
}

/// Checks that the descriptor is a listening TCP socket. Makes the socket non-blocking and close-on-exec.
fn open(descriptor: &OsStr) -> Result<TcpListener, InheritedListenerError> {
    let descriptor = parse_descriptor(descriptor).ok_or(InheritedListenerError::NotANumber)?;
    let target = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))
        .map_err(|_| InheritedListenerError::NotOpen)?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(InheritedListenerError::NotASocket);
    }
    // SAFETY: the check above shows that the descriptor is open. The process was started with it, so nothing else in
    // the process owns it.
    let socket = unsafe { Socket::from_raw_fd(descriptor) };
    if !is_tcp_listener(&socket) {
        return Err(InheritedListenerError::NotAListener);
    }
    socket.set_nonblocking(true)?;
    socket.set_cloexec(true)?;
    Ok(socket.into())
}

fn parse_descriptor(descriptor: &OsStr) -> Option<RawFd> {
    let number: u32 = descriptor.to_str()?.parse().ok()?;
    RawFd::try_from(number).ok()
}

fn is_tcp_listener(socket: &Socket) -> bool {
    let address = socket.local_addr();
    address.is_ok_and(|address| address.as_socket().is_some())
        && socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.is_listener().unwrap_or(false)
}
