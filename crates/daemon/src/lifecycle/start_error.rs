//! Errors that prevent a process from starting.

use crate::config::error::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a process could not start. The text is the only line that is written to standard error.
#[derive(Debug, Error)]
pub(crate) enum StartError {
    /// The configuration or the inherited socket can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop could not be created.
    #[error("creating the event loop failed: {0}")]
    EventLoop(io::Error),
    /// The signal handlers could not be installed.
    #[error("subscribing to signals failed: {0}")]
    Signals(io::Error),
    /// An address could not be bound.
    #[error("{setting} cannot be bound: {address}: {source}")]
    Bind {
        /// Environment variable of the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// The inherited socket can't be registered with the event loop.
    #[error("LB_PASSED_SOCKET: {0}")]
    InheritedListener(io::Error),
}
