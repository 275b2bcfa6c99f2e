//! Reads from and writes to a socket, and handles interrupted and short system calls.
//!
//! An interrupted call is repeated, and only `EWOULDBLOCK` means that the socket isn't ready. tokio's stream types also
//! take a short read or write as a sign that it isn't, and then wait for a readiness event that may never come.
use crate::event_loop::{Admission, Peer};
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of one read, so that what a peer has sent at once is handled in several turns.
const READ_BYTES: usize = 16 << 10;

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

/// Reads available bytes once the peer's share of the event loop admits it, like [`poll_read`].
pub(crate) fn poll_admitted_read(
    stream: &TcpStream,
    admission: &mut Admission,
    cx: &mut Context,
    buf: &mut ReadBuf,
) -> Poll<io::Result<()>> {
    ready!(stream.poll_read_ready(cx))?;
    ready!(admission.poll_read(cx));
    let filled_before = buf.filled().len();
    let result = poll_read(stream, cx, buf);
    if result.is_pending() {
        admission.refund_read();
    } else {
        let length = buf.filled().len() - filled_before;
        admission.peer().charge_read(length);
    }
    result
}

/// A TCP connection that uses [`poll_admitted_read`] and [`poll_write`].
pub(crate) struct Socket {
    stream: TcpStream,
    admission: Admission,
}

impl Socket {
    /// Wraps a connection. Its reads are charged to `peer`.
    pub(crate) fn new(stream: TcpStream, peer: Rc<Peer>) -> Self {
        Self {
            stream,
            admission: Admission::new(peer),
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let Self { stream, admission } = self.get_mut();
        if buf.remaining() <= READ_BYTES {
            return poll_admitted_read(stream, admission, cx, buf);
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(READ_BYTES));
        let result = poll_admitted_read(stream, admission, cx, &mut part);
        let length = part.filled().len();
        buf.advance(length);
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.stream, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
