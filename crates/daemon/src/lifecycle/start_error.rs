//! Why a process could not start.

use crate::config::error::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a process could not start: the one line that it leaves on standard error.
#[derive(Debug, Error)]
pub(crate) enum StartError {
    /// The configuration can't be read, or the inherited socket is none for clients.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop could not be set up.
    #[error("no event loop: {0}")]
    EventLoop(io::Error),
    /// The signals could not be subscribed to.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// An address could not be bound.
    #[error("{setting} cannot be bound: {address}: {source}")]
    Bind {
        /// The setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The inherited socket can't be used by the event loop.
    #[error("LB_PASSED_SOCKET: {0}")]
    InheritedListener(io::Error),
}
