//! Closing a connection without losing the last response on it.
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Bytes that a peer may go on sending before its connection is closed all the same.
const DISCARD_LIMIT: usize = 4 << 20;
/// Bytes discarded with one read.
const DISCARD_CHUNK: usize = 16 << 10;

/// Ends a connection such that a peer that still sends can read the last response, within `time_limit`: closed with
/// bytes unread it would be reset, and a reset overtakes the response.
pub(crate) async fn linger(mut stream: impl AsyncRead + AsyncWrite + Unpin, time_limit: Duration) {
    let discard = async {
        let mut chunk = vec![0; DISCARD_CHUNK];
        let mut allowed = DISCARD_LIMIT;
        stream.shutdown().await?;
        while allowed > 0 {
            let length = stream.read(&mut chunk).await?;
            if length == 0 {
                break;
            }
            allowed = allowed.saturating_sub(length);
        }
        std::io::Result::Ok(())
    };
    // Whether the peer closed, the time ran out or the connection broke: it is closed now.
    let _ = timeout(time_limit, discard).await;
}
