//! Opens a TCP connection, and retries if the local host has no socket for it.
use crate::net::local_error::is_transient_local_error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// How long local failures are retried.
const LOCAL_FAILURE_TIMEOUT: Duration = Duration::from_millis(50);
/// Backoff before the first retry; doubled with each further one.
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(1);

/// A connection could not be opened.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// It was not established in time.
    #[error("connect timed out")]
    TimedOut,
    /// The peer, or the network on the way to it, refused the connection.
    #[error("connect failed: {0}")]
    Peer(io::Error),
    /// The local host had no socket for the connection, even after retries.
    #[error("no local socket for a connection: {0}")]
    Local(io::Error),
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Handshake(hyper::Error),
}

/// Connects to this address. Local failures are often brief, so they are retried.
///
/// # Errors
/// The peer can't be reached, or the local host has no socket for longer than [`LOCAL_FAILURE_TIMEOUT`].
pub(super) async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let mut backoff = INITIAL_RETRY_BACKOFF;
    let retry_until = Instant::now() + LOCAL_FAILURE_TIMEOUT;
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) if !is_local_failure(&error) => return Err(ConnectError::Peer(error)),
            Err(error) if Instant::now() >= retry_until => return Err(ConnectError::Local(error)),
            Err(_) => sleep(backoff).await,
        }
        backoff *= 2;
    }
}

/// Whether a connect failed for a reason on the local host. `EADDRNOTAVAIL` means that all local ports are in use.
fn is_local_failure(error: &io::Error) -> bool {
    is_transient_local_error(error) || error.kind() == ErrorKind::AddrNotAvailable
}
