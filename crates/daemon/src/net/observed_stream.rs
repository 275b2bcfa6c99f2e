//! A stream that reports its reads and writes to an observer.
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Observes the reads and writes of an [`ObservedStream`].
pub(crate) trait IoObserver: Unpin {
    /// Maximum number of bytes of the next read.
    fn read_limit(&self) -> usize {
        usize::MAX
    }
    /// Called after these bytes were read.
    fn on_read(&self, _bytes: &[u8]) {}
    /// Called after the kernel has accepted this number of bytes to send.
    fn on_write(&self, _bytes: u64) {}
    /// Called after a flush: the kernel has accepted all bytes written so far.
    fn on_flush(&self) {}
}

/// Maximum number of bytes of one read outside of a body: about one message with its head. Each head that is found costs work,
/// and what lies unread holds nothing of this process.
const HEAD_READ_BYTES: usize = 2 << 10;
/// Maximum number of bytes of one read inside of a body.
const BODY_READ_BYTES: usize = 16 << 10;

/// Returns the maximum number of bytes of one read.
pub(crate) fn read_limit(is_inside_body: bool) -> usize {
    if is_inside_body {
        BODY_READ_BYTES
    } else {
        HEAD_READ_BYTES
    }
}

/// Numbers of bytes transferred on a connection so far.
#[derive(Default)]
pub(crate) struct TransferCounts {
    /// Whether the next bytes read belong to a body.
    pub is_inside_body: Cell<bool>,
    /// Bytes read.
    pub read: Cell<u64>,
    /// Bytes that the kernel has accepted to send.
    pub written: Cell<u64>,
}

impl IoObserver for Rc<TransferCounts> {
    fn read_limit(&self) -> usize {
        read_limit(self.is_inside_body.get())
    }

    fn on_read(&self, bytes: &[u8]) {
        self.read.update(|read| read + bytes.len() as u64);
    }

    fn on_write(&self, bytes: u64) {
        self.written.update(|written| written + bytes);
    }
}

/// A stream with its observer.
pub(crate) struct ObservedStream<O, S> {
    stream: S,
    observer: O,
}

impl<O, S> ObservedStream<O, S> {
    /// Creates a stream that reports the reads and writes of `stream` to `observer`.
    pub(crate) fn new(stream: S, observer: O) -> Self {
        Self { stream, observer }
    }

    /// Returns the stream without its observer.
    pub(crate) fn into_stream(self) -> S {
        self.stream
    }
}

impl<O: IoObserver, S: AsyncRead + Unpin> AsyncRead for ObservedStream<O, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        let limit = buf.remaining().min(self.observer.read_limit());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
        let result = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read = part.filled();
        let length = read.len();
        if length > 0 {
            self.observer.on_read(read);
        }
        buf.advance(length);
        result
    }
}

impl<O: IoObserver, S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<O, S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = result {
            self.observer.on_write(written as u64);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if result.is_ready() {
            self.observer.on_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
