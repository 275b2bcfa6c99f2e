//! Reads from and writes to a socket, and handles interrupted and short system calls.
//!
//! An interrupted call is repeated, and only `EWOULDBLOCK` means that the socket isn't ready. tokio's stream types also
//! take a short read or write as a sign that it isn't, and then wait for a readiness event that may never come.
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads available bytes, like [`AsyncRead::poll_read`].
pub(crate) fn poll_read(
    stream: &TcpStream,
    cx: &mut Context,
    buf: &mut ReadBuf,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buf) {
            Ok(_) => return Poll::Ready(Ok(())),
            Err(error) if is_transient(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes as many bytes as the socket accepts, like [`AsyncWrite::poll_write`].
pub(crate) fn poll_write(
    stream: &TcpStream,
    cx: &mut Context,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_write(bytes) {
            Err(error) if is_transient(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Whether a call is to be repeated once the stream is ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

/// A TCP connection that uses [`poll_read`] and [`poll_write`].
pub(crate) struct Socket(pub TcpStream);

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
