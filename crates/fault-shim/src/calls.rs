//! Replacements for functions of the C library. Each fails if a fault of the plan occurs, and otherwise calls the original
//! function.
//!
//! Every exported function has the contract of the C function with its name. It passes its arguments on unchanged, except
//! that a fault may reduce a length.
use crate::plan::{Call, Effect};
use crate::state::{draw_effect, draw_length};
use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, mode_t, size_t, sockaddr, socklen_t, ssize_t,
    timespec,
};
use std::ffi::CStr;
use std::sync::OnceLock;

/// Looks up the original function of the C library with this name and type. The caller upholds its contract.
macro_rules! original {
    ($name:literal as $type:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let find = || libc::dlsym(libc::RTLD_NEXT, CStr::as_ptr($name)) as usize;
        std::mem::transmute::<usize, $type>(*ADDRESS.get_or_init(find))
    }};
}

/// Sets `errno` of the calling thread and returns -1, the result of a failed call.
fn fail(error: c_int) -> c_int {
    // SAFETY: the pointer is valid for the calling thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Decides whether a call fails, and returns its error number.
fn draw_error(call: Call) -> Option<c_int> {
    match draw_effect(call) {
        Some(Effect::Error(error)) => Some(error),
        _ => None,
    }
}

/// Decides whether a call transfers its full length, a shorter length, or fails with the returned error number.
fn draw_call_length(call: Call, length: size_t) -> Result<size_t, c_int> {
    match draw_effect(call) {
        Some(Effect::Error(error)) => Err(error),
        Some(Effect::Short) if length > 1 => Ok(draw_length(length - 1)),
        _ => Ok(length),
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    match draw_error(Call::Accept) {
        Some(error) => fail(error),
        // SAFETY: the caller upholds the contract of the function.
        None => unsafe { original!(c"accept4" as Function)(socket, address, length, flags) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int;
    match draw_error(Call::Accept) {
        Some(error) => fail(error),
        // SAFETY: the caller upholds the contract of the function.
        None => unsafe { original!(c"accept" as Function)(socket, address, length) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    match draw_error(Call::Socket) {
        Some(error) => fail(error),
        // SAFETY: the caller upholds the contract of the function.
        None => unsafe { original!(c"socket" as Function)(domain, kind, protocol) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    match draw_error(Call::Connect) {
        Some(error) => fail(error),
        // SAFETY: the caller upholds the contract of the function.
        None => unsafe { original!(c"connect" as Function)(socket, address, length) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    match draw_error(Call::EpollWait) {
        Some(error) => fail(error),
        // SAFETY: the caller upholds the contract of the function.
        None => unsafe { original!(c"epoll_wait" as Function)(epoll, events, max_events, timeout) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    match draw_call_length(Call::Recv, length) {
        Err(error) => fail(error) as ssize_t,
        // SAFETY: the caller upholds the contract of the function; the length is at most the caller's.
        Ok(length) => unsafe { original!(c"recv" as Function)(socket, buffer, length, flags) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    match draw_call_length(Call::Send, length) {
        Err(error) => fail(error) as ssize_t,
        // SAFETY: the caller upholds the contract of the function; the length is at most the caller's.
        Ok(length) => unsafe { original!(c"send" as Function)(socket, buffer, length, flags) },
    }
}

/// Whether the descriptor refers to a regular file and is not a standard stream.
fn is_regular_file(descriptor: c_int) -> bool {
    if descriptor <= libc::STDERR_FILENO {
        return false;
    }
    let mut status = std::mem::MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the call writes to `status`, whose bytes are all initialised to zero.
    let status = unsafe {
        libc::fstat(descriptor, status.as_mut_ptr());
        status.assume_init()
    };
    status.st_mode & libc::S_IFMT == libc::S_IFREG
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    let length = if is_regular_file(descriptor) {
        draw_call_length(Call::Write, length)
    } else {
        Ok(length)
    };
    match length {
        Err(error) => fail(error) as ssize_t,
        // SAFETY: the caller upholds the contract of the function; the length is at most the caller's.
        Ok(length) => unsafe { original!(c"write" as Function)(descriptor, buffer, length) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
    let opens_for_writing = flags & libc::O_ACCMODE != libc::O_RDONLY;
    match draw_error(Call::Open).filter(|_| opens_for_writing) {
        Some(error) => fail(error),
        // SAFETY: the caller upholds the contract of the function; without O_CREAT the mode is ignored.
        None => unsafe { original!(c"open64" as Function)(path, flags, mode) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    match draw_error(Call::Rename) {
        Some(error) => fail(error),
        // SAFETY: the caller upholds the contract of the function.
        None => unsafe { original!(c"rename" as Function)(from, to) },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Function = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    // SAFETY: the caller upholds the contract of the function.
    let result = unsafe { original!(c"clock_gettime" as Function)(clock, time) };
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(Effect::Step(seconds)) = draw_effect(Call::Clock)
    {
        // SAFETY: the call above succeeded and has written to `time`.
        unsafe { (*time).tv_sec += seconds };
    }
    result
}
