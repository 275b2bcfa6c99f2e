//! The clients' listening socket, where the platform opens it and passes it to the process.

use crate::config::error::{ConfigError, InheritedListenerProblem};
use socket2::{Socket, Type};
use std::ffi::OsStr;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// Names the descriptor.
const VARIABLE: &str = "LB_PASSED_SOCKET";

/// Takes over the listening socket, if one was passed. Must be called once, and before anything else opens a descriptor:
/// the number could be that one's otherwise.
pub(crate) fn take() -> Result<Option<TcpListener>, ConfigError> {
    let Some(descriptor) = std::env::var_os(VARIABLE) else {
        return Ok(None);
    };
    match listener(&descriptor) {
        Ok(listener) => Ok(Some(listener)),
        Err(problem) => Err(ConfigError::InheritedListener {
            problem,
            descriptor: descriptor.display().to_string(),
        }),
    }
}

fn listener(descriptor: &OsStr) -> Result<TcpListener, InheritedListenerProblem> {
    let descriptor = number(descriptor).ok_or(InheritedListenerProblem::NotANumber)?;
    let target = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))
        .map_err(|_| InheritedListenerProblem::NotOpen)?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(InheritedListenerProblem::NotASocket);
    }
    // SAFETY: it is open, as was just seen, and this process was started with it: nothing else here owns it.
    let socket = unsafe { Socket::from_raw_fd(descriptor) };
    if !is_tcp_listener(&socket) {
        return Err(InheritedListenerProblem::NotAListener);
    }
    socket.set_nonblocking(true)?;
    socket.set_cloexec(true)?;
    Ok(socket.into())
}

fn number(descriptor: &OsStr) -> Option<RawFd> {
    let number: u32 = descriptor.to_str()?.parse().ok()?;
    RawFd::try_from(number).ok()
}

fn is_tcp_listener(socket: &Socket) -> bool {
    let address = socket.local_addr();
    address.is_ok_and(|address| address.as_socket().is_some())
        && socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.is_listener().unwrap_or(false)
}
