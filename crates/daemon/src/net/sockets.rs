//! The budget of sockets, and a connection that this proxy opens. A connection belongs to whoever holds the
//! `Conn`: dropping it closes the socket and gives its place in the budget back.
use crate::lifecycle::admin::CALLS_MOST;
use crate::lifecycle::siblings::SLOTS_HELD;
use crate::net::body::RequestBody;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};

const READ_MOST: usize = 64 << 10; // bytes read ahead on a connection, and so of an answer's head
const LINGER_MOST: usize = 4 << 20; // bytes of what a refused peer may go on sending
const AHEAD_MOST: usize = 16 << 10; // bytes read ahead of a client that has an RPC under way: no honest one sends any
const LEFT_EVERY: Duration = Duration::from_millis(50); // between looks for an end behind more than that
// Descriptors for standard streams, listeners, epoll, discovery, late clients, the calls at the second address and
// what is shared with other processes.
const RESERVE: usize = 40 + CALLS_MOST + SLOTS_HELD;

/// One of the two parts of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SocketClass {
    Clients,
    Backends,
}

/// Something idle that can be closed to make room.
pub(crate) trait Evictable {
    /// Closes it, if it is still idle.
    fn evict(&self) -> bool;
}

#[derive(Default)]
struct ClassBudget {
    open: Cell<usize>,
    most: Cell<usize>,
    spent: Cell<bool>, // told in the log; until a place is given back it is not told again
    spare: RefCell<BTreeMap<(u8, u64), Weak<dyn Evictable>>>, // by rank, then by offer: the longest idle first
    next: Cell<u64>,
}

/// All sockets of clients and backends, counted.
pub(crate) struct SocketBudget {
    sockets: usize,
    clients: ClassBudget,
    backends: ClassBudget,
}

/// A place in the budget; given back when dropped.
pub(crate) struct SocketPermit {
    budget: Rc<SocketBudget>,
    part: SocketClass,
}

/// Descriptors that the machine allows this process, if it tells.
fn allowed() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl SocketBudget {
    /// What is told, or fewer where the machine allows no more. Guards against clients that take the last descriptor,
    /// which the list service's connection needs.
    pub(crate) fn new(told: usize) -> Rc<Self> {
        let sockets = told.min(allowed().unwrap_or(told));
        if sockets < told {
            log::warn!("limits.sockets is {told}, but the machine allows {sockets} descriptors");
        }
        let budget = Self {
            sockets,
            clients: ClassBudget::default(),
            backends: ClassBudget::default(),
        };
        budget.divide(1);
        Rc::new(budget)
    }

    /// So many processes share it evenly; what is idle beyond this one's part is given up.
    pub(crate) fn divide(&self, processes: usize) {
        let all = (self.sockets / processes).saturating_sub(RESERVE).max(8);
        self.clients.most.set(all / 2);
        self.backends.most.set(all - all / 2);
        for part in [SocketClass::Clients, SocketClass::Backends] {
            for _ in 0..self.excess(part) {
                self.evict_oldest(part);
            }
        }
    }

    /// Gives up what has been idle for the longest; false if nothing is.
    pub(crate) fn evict_oldest(&self, part: SocketClass) -> bool {
        loop {
            let oldest = self.shelf(part).spare.borrow_mut().pop_first();
            match oldest.map(|(_, spare)| spare.upgrade().is_some_and(|spare| spare.evict())) {
                None => return false,
                Some(true) => return true, // A client's is closed by its own task a moment later.
                Some(false) => {}
            }
        }
    }

    fn shelf(&self, part: SocketClass) -> &ClassBudget {
        match part {
            SocketClass::Clients => &self.clients,
            SocketClass::Backends => &self.backends,
        }
    }

    /// A place for one more socket; where none is left the longest idle one is given up for it.
    pub(crate) fn acquire(self: &Rc<Self>, part: SocketClass) -> Option<SocketPermit> {
        let shelf = self.shelf(part);
        if shelf.open.get() >= shelf.most.get() && !self.evict_oldest(part) {
            if !shelf.spent.replace(true) {
                log::warn!(
                    "no socket left for {part:?}: {} are open, none idle",
                    shelf.open.get()
                );
            }
            return None;
        }
        Some(self.acquire_beyond_limit(part))
    }

    /// A place beyond the part, out of the reserve.
    pub(crate) fn acquire_beyond_limit(self: &Rc<Self>, part: SocketClass) -> SocketPermit {
        self.shelf(part).open.update(|open| open + 1);
        SocketPermit {
            budget: self.clone(),
            part,
        }
    }

    /// Notes something that may be given up for a new socket, for as long as the offer is kept; the lowest rank
    /// goes first. Costs the same however many are offered: guards against a proxy that walks all idle sockets
    /// with every answer.
    pub(crate) fn register_evictable<S: Evictable + 'static>(
        self: &Rc<Self>,
        part: SocketClass,
        rank: u8,
        spare: &Rc<S>,
    ) -> EvictionCandidate {
        let (shelf, spare) = (self.shelf(part), Rc::<S>::downgrade(spare));
        let place = (rank, shelf.next.replace(shelf.next.get() + 1));
        shelf.spare.borrow_mut().insert(place, spare);
        EvictionCandidate {
            budget: self.clone(),
            part,
            place,
        }
    }

    pub(crate) fn open_sockets(&self, part: SocketClass) -> usize {
        self.shelf(part).open.get()
    }

    /// Sockets beyond the part, out of the reserve.
    pub(crate) fn excess(&self, part: SocketClass) -> usize {
        self.open_sockets(part)
            .saturating_sub(self.shelf(part).most.get())
    }
}

/// Something idle stands to be given up; withdrawn when this is dropped.
pub(crate) struct EvictionCandidate {
    budget: Rc<SocketBudget>,
    part: SocketClass,
    place: (u8, u64),
}

impl Drop for EvictionCandidate {
    fn drop(&mut self) {
        self.budget
            .shelf(self.part)
            .spare
            .borrow_mut()
            .remove(&self.place);
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        let shelf = self.budget.shelf(self.part);
        shelf.open.update(|open| open - 1);
        shelf
            .spent
            .set(shelf.spent.get() && shelf.open.get() >= shelf.most.get());
    }
}

/// Who is told what moves on a stream.
pub(crate) trait IoObserver: Unpin {
    fn read(&self, _bytes: &[u8]) {}
    /// So many bytes were taken over by the machine to send.
    fn wrote(&self, _bytes: u64) {}
    /// All that was to be sent by now has been taken over.
    fn flushed(&self) {}
}

impl IoObserver for Rc<Cell<u64>> {
    fn wrote(&self, bytes: u64) {
        self.update(|written| written + bytes);
    }
}

pub(crate) struct ObservedStream<W, S = TcpStream> {
    pub stream: S,
    pub by: W,
}

impl<W: IoObserver, S: AsyncRead + Unpin> AsyncRead for ObservedStream<W, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.by.read(&buf.filled()[before..]);
        }
        done
    }
}

impl<W: IoObserver, S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<W, S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = done {
            self.by.wrote(bytes as u64);
        }
        done
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_flush(cx);
        if done.is_ready() {
            self.by.flushed();
        }
        done
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A client's stream, with what was read of it ahead of its time. Its end is seen behind bytes that nobody has asked
/// for yet, which hides it from who reads them one message at a time.
pub(crate) struct InboundStream {
    reads: ReadAhead,
    writes: OwnedWriteHalf,
}

struct Reads {
    half: OwnedReadHalf,
    ahead: BytesMut,
    reader: Option<Waker>, // of who waits for bytes
}

/// The reading half, with what was read ahead.
#[derive(Clone)]
pub(crate) struct ReadAhead(Rc<RefCell<Reads>>);

/// Tells whether a client is still there. It keeps nothing open.
#[derive(Clone)]
pub(crate) struct ClientLiveness(Weak<RefCell<Reads>>);

impl ClientLiveness {
    /// Whether the client's connection has ended, by what the machine knows at this moment. Guards against an end that
    /// came while this process stood still, of which its event loop has not heard yet.
    pub(crate) async fn is_disconnected(&self) -> bool {
        let Some(reads) = self.0.upgrade() else {
            return true;
        };
        let look = reads.borrow_mut().look();
        if let Poll::Ready(over) = look {
            return over;
        }
        drop(reads);
        // The event loop is asked what stands behind bytes for which there is no room.
        yield_now().await;
        self.0.upgrade().is_none_or(|reads| {
            reads
                .borrow()
                .closed(&mut Context::from_waker(Waker::noop()))
        })
    }
}

impl InboundStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let (half, writes) = stream.into_split();
        let (ahead, reader) = Default::default();
        Self {
            reads: ReadAhead(Rc::new(RefCell::new(Reads {
                half,
                ahead,
                reader,
            }))),
            writes,
        }
    }

    pub(crate) fn ahead(&self) -> ReadAhead {
        self.reads.clone()
    }
}

impl Reads {
    fn closed(&self, cx: &mut Context) -> bool {
        let ready = pin!(self.half.ready(Interest::READABLE)).poll(cx);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Reads ahead as far as that may go; true at the stream's end, false where there is no more room.
    fn poll_left(&mut self, cx: &mut Context) -> Poll<bool> {
        let mut piece = [0; 1 << 10];
        while self.ahead.len() < AHEAD_MOST {
            let mut piece = ReadBuf::new(&mut piece);
            match ready!(Pin::new(&mut self.half).poll_read(cx, &mut piece)) {
                Ok(()) if !piece.filled().is_empty() => {
                    self.ahead.extend_from_slice(piece.filled())
                }
                _ => return Poll::Ready(true),
            }
        }
        Poll::Ready(false)
    }

    /// The same by the socket itself, false while there is nothing to read, and pending where there is no more room.
    /// As a rule it costs one call of the system that reads nothing.
    fn look(&mut self) -> Poll<bool> {
        let mut piece = [0; 1 << 10];
        while self.ahead.len() < AHEAD_MOST {
            let read = (&*SockRef::from(self.half.as_ref())).read(&mut piece);
            match read {
                Ok(0) => return Poll::Ready(true),
                Ok(some) => {
                    self.ahead.extend_from_slice(&piece[..some]);
                    // The event loop may tell of them no more.
                    self.reader.take().into_iter().for_each(Waker::wake);
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) => return Poll::Ready(fault.kind() != ErrorKind::WouldBlock),
            }
        }
        Poll::Pending
    }
}

impl ReadAhead {
    pub(crate) fn liveness(&self) -> ClientLiveness {
        ClientLiveness(Rc::downgrade(&self.0))
    }

    /// Reads ahead what the machine holds at this moment.
    pub(crate) fn look(&self) {
        let _ = self.0.borrow_mut().look();
    }

    /// Ends when the peer has ended or reset the connection, whatever stands unread before that.
    pub(crate) async fn left(&self) {
        while !poll_fn(|cx| self.0.borrow_mut().poll_left(cx)).await {
            // No more room: what the machine knows of an end behind bytes that still stand in the socket.
            if poll_fn(|cx| Poll::Ready(self.0.borrow().closed(cx))).await {
                return;
            }
            sleep(LEFT_EVERY).await;
        }
    }
}

impl AsyncRead for InboundStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        let Reads {
            half,
            ahead,
            reader,
        } = &mut *self.reads.0.borrow_mut();
        if ahead.is_empty() {
            let read = Pin::new(half).poll_read(cx, buf);
            *reader = read.is_pending().then(|| cx.waker().clone());
            return read;
        }
        let some = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead.split_to(some));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InboundStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.writes).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.writes).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.writes).poll_shutdown(cx)
    }
}

/// Ends a connection such that a peer that still sends can read what it was told: closed with bytes unread it
/// would be reset, and a reset overtakes the answer.
pub(crate) async fn linger(mut stream: impl AsyncRead + AsyncWrite + Unpin, longest: Duration) {
    let mut left = LINGER_MOST;
    let drain = async {
        let mut bytes = vec![0; 16 << 10];
        stream.shutdown().await?;
        while left > 0 {
            match stream.read(&mut bytes).await? {
                0 => break,
                some => left = left.saturating_sub(some),
            }
        }
        std::io::Result::Ok(())
    };
    let _ = timeout(longest, drain).await;
}

/// How an exchange went wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionError {
    /// Provably no byte was written.
    NotSent,
    /// The connection broke or ended after that, with no answer begun: it may have run.
    Closed,
    /// The answer can't be read, does not end as it should, or is larger than the protocol allows: it has run.
    MalformedResponse,
}

pub(crate) struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// All of it, or the first part of a longer one.
    pub body: Bytes,
    /// The rest is still to come, by `Conn::next`.
    pub is_partial: bool,
    /// The length of all of it, if it was told.
    pub length: Option<u64>,
}

type Exchanges = http1::Connection<TokioIo<ObservedStream<Rc<Cell<u64>>>>, RequestBody>;

/// What moves a connection's bytes; none once that has ended, and the socket with it.
struct Driver(Option<Pin<Box<Exchanges>>>);

impl Driver {
    /// Moves bytes; true once the connection is of no more use.
    fn poll_ended(&mut self, cx: &mut Context) -> bool {
        if self
            .0
            .as_mut()
            .is_some_and(|connection| connection.as_mut().poll(cx).is_ready())
        {
            self.0 = None;
        }
        self.0.is_none()
    }
}

/// A connection opened by this proxy. Its owner drives it; there is no task behind it that could keep the
/// socket open or send something again.
pub(crate) struct Connection {
    sender: SendRequest<RequestBody>,
    driver: Driver,
    rest: Option<Incoming>, // of an answer that is longer than was wanted at once
    written: Rc<Cell<u64>>,
    host: HeaderValue, // where it goes to
    pub last_used: Instant,
    _place: Option<SocketPermit>,
}

impl Connection {
    /// `place` is none where the reserve holds one for it.
    pub(crate) async fn open(
        to: SocketAddr,
        place: Option<SocketPermit>,
        until: Instant,
    ) -> Option<Self> {
        let host = HeaderValue::from_str(&to.to_string()).ok()?;
        let stream = timeout_at(until, TcpStream::connect(to)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let written = Rc::<Cell<u64>>::default();
        let io = TokioIo::new(ObservedStream {
            stream,
            by: written.clone(),
        });
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_MOST)
            .handshake(io)
            .await
            .ok()?;
        let driver = Driver(Some(Box::pin(driver)));
        Some(Self {
            sender,
            driver,
            rest: None,
            written,
            host,
            last_used: Instant::now(),
            _place: place,
        })
    }

    /// Moves bytes; true once the connection is of no more use.
    pub(crate) fn poll_closed(&mut self, cx: &mut Context) -> bool {
        self.driver.poll_ended(cx)
    }

    /// Whether it is still open, by what has come so far.
    pub(crate) async fn is_open(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(!self.poll_closed(cx))).await
    }

    /// Whether another exchange may begin now.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.is_open().await && self.sender.is_ready()
    }

    /// Bytes written so far.
    pub(crate) fn bytes_written(&self) -> Rc<Cell<u64>> {
        self.written.clone()
    }

    /// Sends one message and reads the answer: all of it, which may hold `most` bytes, or where the answer is ok
    /// and may go on, so much of it at least. `sent` is set as soon as a byte may be on its way.
    #[expect(clippy::too_many_lines)]
    pub(crate) async fn exchange(
        &mut self,
        mut message: Request<RequestBody>,
        most: usize,
        may_go_on: bool,
        sent: &Cell<bool>,
    ) -> Result<Reply, ConnectionError> {
        message.headers_mut().insert(HOST, self.host.clone());
        let before = self.written.get();
        let Self {
            sender,
            driver,
            written,
            ..
        } = self;
        let mut answer = pin!(sender.try_send_request(message));
        let answer = poll_fn(|cx| {
            driver.poll_ended(cx);
            sent.set(sent.get() || written.get() != before);
            answer.as_mut().poll(cx)
        });
        let answer = answer.await.map_err(|e| match e.error().is_parse() {
            true => ConnectionError::MalformedResponse,
            false if sent.get() => ConnectionError::Closed,
            false => ConnectionError::NotSent,
        });
        let (head, body) = answer?.into_parts();
        // Framed in two ways, of which one is wrong.
        if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH)
        {
            return Err(ConnectionError::MalformedResponse);
        }
        let length = body.size_hint().exact();
        self.rest = Some(body);
        let (status, headers) = (head.status, head.headers);
        let may_go_on = may_go_on && status == StatusCode::OK;
        // One that says so is passed on from its first byte: of a long answer that is the one whose time counts.
        let mut is_partial = may_go_on && length.is_some_and(|bytes| bytes > most as u64);
        let room = if is_partial {
            0
        } else {
            length.unwrap_or(0).min(most as u64)
        };
        let mut kept = BytesMut::with_capacity(room as usize);
        while !is_partial && let Some(bytes) = self.next_chunk().await? {
            kept.extend_from_slice(&bytes);
            is_partial = kept.len() > most;
            if is_partial && !may_go_on {
                return Err(ConnectionError::MalformedResponse);
            }
        }
        Ok(Reply {
            status,
            headers,
            body: kept.freeze(),
            is_partial,
            length,
        })
    }

    /// What comes next of an answer; nothing at its end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        let Self { rest, driver, .. } = self;
        loop {
            let Some(body) = rest else { return Ok(None) };
            let frame = poll_fn(|cx| {
                driver.poll_ended(cx);
                Pin::new(&mut *body).poll_frame(cx)
            });
            match frame.await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => return Ok(Some(bytes)),
                    Err(_) => continue, // trailers
                },
                Some(Err(_)) => return Err(ConnectionError::MalformedResponse),
                None => {
                    *rest = None;
                    self.last_used = Instant::now();
                }
            }
        }
    }
}
