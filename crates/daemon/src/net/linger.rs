//! Lingering close: closes a connection without losing the last response on it.
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Number of discarded bytes after which the connection is closed even if the peer is still sending.
const DISCARD_LIMIT_BYTES: usize = 4 << 20;
/// Size of the buffer for one read, in bytes.
const DISCARD_CHUNK_BYTES: usize = 16 << 10;

/// Shuts down the write half, discards the bytes that the peer still sends and closes the connection, after
/// `time_limit` at the latest. Closing a socket with unread bytes resets the connection, and the peer might lose the
/// last response.
pub(crate) async fn linger(mut stream: impl AsyncRead + AsyncWrite + Unpin, time_limit: Duration) {
    let discard = async {
        let mut chunk = vec![0; DISCARD_CHUNK_BYTES];
        let mut bytes_left = DISCARD_LIMIT_BYTES;
        stream.shutdown().await?;
        while bytes_left > 0 {
            let length = stream.read(&mut chunk).await?;
            if length == 0 {
                break;
            }
            bytes_left = bytes_left.saturating_sub(length);
        }
        std::io::Result::Ok(())
    };
    // Whether the peer closed the connection, it failed or the time limit was reached, the connection is closed now.
    let _ = timeout(time_limit, discard).await;
}
