//! A client's stream with read-ahead, which detects a disconnect while an RPC is in flight.
//!
//! An HTTP/1.1 server reads one message at a time. It doesn't see a disconnect that follows bytes of the next message.
//! [`ReadAhead`] buffers those bytes and finds the end of the stream.
use crate::event_loop::{Admission, Peer};
use crate::net::socket;
use bytes::BytesMut;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io::{ErrorKind, Read};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// Number of buffered bytes at which reading ahead stops. Ordinary clients send nothing while their RPC is in flight.
const READ_AHEAD_LIMIT: usize = 16 << 10;
/// Size of the buffer for one read, in bytes. The buffer is on the stack.
const READ_AHEAD_CHUNK: usize = 1 << 10;
/// Interval between checks for a disconnect that follows more than [`READ_AHEAD_LIMIT`] bytes.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A client's stream with read-ahead.
pub(crate) struct InboundStream {
    read_ahead: ReadAhead,
    write_half: OwnedWriteHalf,
}

/// The read half and the read-ahead buffer, shared by an [`InboundStream`] and its [`ReadAhead`].
struct ReadState {
    read_half: OwnedReadHalf,
    buffered: BytesMut,
    /// Wakes the task that waits for bytes of the stream.
    reader: Option<Waker>,
    /// When that task last found neither buffered bytes nor any in the socket.
    drained_at: Instant,
    admission: Admission,
    /// Whether the buffered bytes are handed over without admission, since the connection is about to be closed.
    skips_admission: bool,
}

/// Why reading ahead stopped.
enum ReadAheadOutcome {
    /// The client has closed or reset the connection.
    Ended,
    /// No more bytes are available now.
    NoneAvailable,
    /// The buffer is full; the socket may hold more bytes.
    BufferFull,
}

/// Reads ahead on an [`InboundStream`] and detects its end.
#[derive(Clone)]
pub(crate) struct ReadAhead(Rc<RefCell<ReadState>>);

/// Reports whether a client is connected, without keeping its connection open.
#[derive(Clone)]
pub(crate) struct ClientLiveness(Weak<RefCell<ReadState>>);

impl ClientLiveness {
    /// Returns when all bytes that the client had sent were read, as far as the event loop knew: the latest time at which
    /// none was left. The present time if the connection is closed.
    pub(crate) fn drained_at(&self) -> Instant {
        let state = self.0.upgrade();
        state.map_or_else(Instant::now, |state| state.borrow().drained_at)
    }

    /// Whether the client has disconnected, as far as the kernel knows now. The event loop may not have been notified
    /// yet, for example after this process was suspended.
    pub(crate) async fn is_disconnected(&self) -> bool {
        let Some(state) = self.0.upgrade() else {
            return true;
        };
        let outcome = state.borrow_mut().read_available();
        match outcome {
            ReadAheadOutcome::Ended => return true,
            ReadAheadOutcome::NoneAvailable => return false,
            ReadAheadOutcome::BufferFull => drop(state),
        }
        // Lets the event loop detect a disconnect that follows the bytes that don't fit into the buffer.
        yield_now().await;
        self.0.upgrade().is_none_or(|state| {
            let mut cx = Context::from_waker(Waker::noop());
            state.borrow().is_read_closed(&mut cx)
        })
    }
}

impl InboundStream {
    /// Wraps a connection that a client opened. What it sends is charged to `peer`.
    pub(crate) fn new(stream: TcpStream, peer: Rc<Peer>) -> Self {
        let (read_half, write_half) = stream.into_split();
        let state = ReadState {
            read_half,
            buffered: BytesMut::new(),
            reader: None,
            drained_at: Instant::now(),
            admission: Admission::new(peer),
            skips_admission: false,
        };
        Self {
            read_ahead: ReadAhead(Rc::new(RefCell::new(state))),
            write_half,
        }
    }

    /// Returns a handle to read ahead on this stream.
    pub(crate) fn read_ahead(&self) -> ReadAhead {
        self.read_ahead.clone()
    }
}

impl ReadState {
    /// Whether the event loop was notified that the stream has ended.
    fn is_read_closed(&self, cx: &mut Context) -> bool {
        let ready = pin!(self.read_half.ready(Interest::READABLE)).poll(cx);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn poll_read_socket(
        &mut self,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        let stream: &TcpStream = self.read_half.as_ref();
        if stream.poll_read_ready(cx).is_pending() {
            return self.wait_for_bytes(cx);
        }
        let result = socket::poll_admitted_read(stream, &mut self.admission, cx, buf);
        if result.is_pending() && !self.admission.is_waiting() {
            return self.wait_for_bytes(cx);
        }
        self.reader = None;
        result
    }

    /// Records that the socket holds no bytes.
    fn wait_for_bytes(&mut self, cx: &mut Context) -> Poll<std::io::Result<()>> {
        self.reader = Some(cx.waker().clone());
        self.drained_at = Instant::now();
        Poll::Pending
    }

    fn poll_read_buffered(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<()> {
        if !std::mem::take(&mut self.skips_admission) {
            ready!(self.admission.poll_read(cx));
        }
        let length = self.buffered.len().min(buf.remaining());
        buf.put_slice(&self.buffered.split_to(length));
        self.admission.peer().charge_read(length);
        Poll::Ready(())
    }

    /// Reads ahead until the stream ends or the buffer is full.
    fn poll_read_ahead(&mut self, cx: &mut Context) -> Poll<ReadAheadOutcome> {
        let mut chunk = [0; READ_AHEAD_CHUNK];
        while self.buffered.len() < READ_AHEAD_LIMIT {
            let mut chunk = ReadBuf::new(&mut chunk);
            let result = ready!(socket::poll_read(self.read_half.as_ref(), cx, &mut chunk));
            if result.is_err() || chunk.filled().is_empty() {
                return Poll::Ready(ReadAheadOutcome::Ended);
            }
            self.buffered.extend_from_slice(chunk.filled());
        }
        Poll::Ready(ReadAheadOutcome::BufferFull)
    }

    /// Reads the bytes that the kernel has received, bypassing the event loop. This is usually a single system call
    /// that reads nothing.
    fn read_available(&mut self) -> ReadAheadOutcome {
        let mut chunk = [0; READ_AHEAD_CHUNK];
        while self.buffered.len() < READ_AHEAD_LIMIT {
            let result = (&*SockRef::from(self.read_half.as_ref())).read(&mut chunk);
            match result {
                Ok(0) => return ReadAheadOutcome::Ended,
                Ok(length) => {
                    self.buffered.extend_from_slice(&chunk[..length]);
                    // The event loop may not report these bytes again.
                    self.reader.take().into_iter().for_each(Waker::wake);
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock => return ReadAheadOutcome::NoneAvailable,
                    _ => return ReadAheadOutcome::Ended,
                },
            }
        }
        ReadAheadOutcome::BufferFull
    }
}

impl ReadAhead {
    /// Returns a handle that reports whether the client is connected.
    pub(crate) fn liveness(&self) -> ClientLiveness {
        ClientLiveness(Rc::downgrade(&self.0))
    }

    /// Reads ahead the bytes that the kernel has received. They are handed over without waiting for the client's share of
    /// the event loop.
    pub(crate) fn read_available(&self) {
        let mut state = self.0.borrow_mut();
        let _ = state.read_available();
        state.skips_admission = !state.buffered.is_empty();
    }

    /// Takes the bytes that were read ahead and not handed over.
    pub(crate) fn take_buffered(&self) -> BytesMut {
        self.0.borrow_mut().buffered.split()
    }

    /// Waits until the client has closed or reset the connection, even if unread bytes precede that.
    pub(crate) async fn disconnected(&self) {
        loop {
            let outcome = poll_fn(|cx| self.0.borrow_mut().poll_read_ahead(cx)).await;
            if matches!(outcome, ReadAheadOutcome::Ended) || self.is_read_closed().await {
                return;
            }
            sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// Whether the event loop was notified that the stream has ended, even if the socket still holds unread bytes.
    async fn is_read_closed(&self) -> bool {
        poll_fn(|cx| Poll::Ready(self.0.borrow().is_read_closed(cx))).await
    }
}

impl AsyncRead for InboundStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        let state = &mut *self.read_ahead.0.borrow_mut();
        if state.buffered.is_empty() {
            state.poll_read_socket(cx, buf)
        } else {
            state.poll_read_buffered(cx, buf).map(Ok)
        }
    }
}

impl AsyncWrite for InboundStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        socket::poll_write(self.write_half.as_ref(), cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.write_half).poll_shutdown(cx)
    }
}
