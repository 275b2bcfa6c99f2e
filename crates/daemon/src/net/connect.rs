//! Opens a TCP connection, and retries if the local host has no socket for it.
use crate::net::local_error::is_transient_local_error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Number of retries after local failures. With their backoffs they take 51 ms.
const LOCAL_FAILURE_RETRIES: u32 = 14;
/// Backoff before the first retry; doubled with each further one up to [`MAX_RETRY_BACKOFF`].
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(1);
/// Upper bound of the backoff.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(4);

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
/// The peer can't be reached by `deadline`, or the local host has no socket at [`LOCAL_FAILURE_RETRIES`] retries or until
/// `deadline`.
pub(super) async fn connect(
    address: SocketAddr,
    deadline: Instant,
) -> Result<TcpStream, ConnectError> {
    retry_local_failures(deadline, || TcpStream::connect(address)).await
}

/// Opens a connection with `open`, and retries after local failures.
///
/// The retries are counted, not timed: a process that is suspended or waits for a processor must not lose them.
async fn retry_local_failures<T>(
    deadline: Instant,
    mut open: impl AsyncFnMut() -> io::Result<T>,
) -> Result<T, ConnectError> {
    let mut backoff = INITIAL_RETRY_BACKOFF;
    let mut retries = 0;
    loop {
        let result = timeout_at(deadline, open())
            .await
            .map_err(|_elapsed| ConnectError::TimedOut)?;
        let error = match result {
            Ok(connection) => return Ok(connection),
            Err(error) if is_local_failure(&error) => error,
            Err(error) => return Err(ConnectError::Peer(error)),
        };
        let is_last = retries == LOCAL_FAILURE_RETRIES;
        if !is_last {
            sleep_until(deadline.min(Instant::now() + backoff)).await;
        }
        if is_last || Instant::now() >= deadline {
            log::debug!(retries; "no local socket for a connection: {error}");
            return Err(ConnectError::Local(error));
        }
        backoff = MAX_RETRY_BACKOFF.min(backoff * 2);
        retries += 1;
    }
}

/// Whether a connect failed for a reason on the local host. `EADDRNOTAVAIL` means that all local ports are in use.
fn is_local_failure(error: &io::Error) -> bool {
    is_transient_local_error(error) || error.kind() == ErrorKind::AddrNotAvailable
}

#[cfg(test)]
mod tests;
