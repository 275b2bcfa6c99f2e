//! An HTTP/1.1 connection that this proxy opens, to a backend or to discovery.
//!
//! It belongs to whoever holds the [`Connection`]: dropping it closes the socket and gives its permit back. Its
//! owner drives it; no task stands behind it that could keep the socket open or send something again.
use crate::net::body::RequestBody;
use crate::net::local_error::is_local;
use crate::net::observed_stream::ObservedStream;
use crate::net::socket::Socket;
use crate::net::socket_budget::SocketPermit;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// Bytes that hyper buffers of a connection, and so of a response's head, at most.
const READ_BUFFER_LIMIT: usize = 64 << 10;

/// For this machine to have a socket for a connection.
const SOCKET_WAIT: Duration = Duration::from_millis(50);
/// Before the second try to get one; then twice as long each time.
const FIRST_CONNECT_RETRY_DELAY: Duration = Duration::from_millis(1);

/// How an exchange failed.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(crate) enum ConnectionError {
    /// Provably no byte was written.
    #[error("no byte of the request was sent")]
    NotSent,
    /// The connection was reset or closed after that, before a response: the request may have run.
    #[error("the connection ended before a response")]
    Closed,
    /// The response is malformed, truncated or larger than the protocol allows: the request has run.
    #[error("the response is malformed")]
    MalformedResponse,
}

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// It did not come up in time.
    #[error("no connection in time")]
    TimedOut,
    /// The peer, or the path to it, refused it.
    #[error("no connection: {0}")]
    Peer(io::Error),
    /// This machine had no socket for it, for longer than a moment.
    #[error("no socket: {0}")]
    Local(io::Error),
    /// The HTTP connection could not be set up on it.
    #[error("no HTTP connection: {0}")]
    Handshake(hyper::Error),
}

/// Connects; a failure of this machine alone is often over in a moment, so that it is tried again.
async fn connect(to: SocketAddr) -> Result<TcpStream, ConnectError> {
    let mut delay = FIRST_CONNECT_RETRY_DELAY;
    let give_up_at = Instant::now() + SOCKET_WAIT;
    loop {
        // Without an address the ports of this machine are used up.
        let is_shortage =
            |error: &io::Error| is_local(error) || error.kind() == ErrorKind::AddrNotAvailable;
        match TcpStream::connect(to).await {
            Ok(stream) => return Ok(stream),
            Err(error) if !is_shortage(&error) => return Err(ConnectError::Peer(error)),
            Err(error) if Instant::now() >= give_up_at => return Err(ConnectError::Local(error)),
            Err(_) => sleep(delay).await,
        }
        delay *= 2;
    }
}

/// A response, with its complete body or the start of it.
pub(crate) struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its header fields.
    pub headers: HeaderMap,
    /// All of its body, or the first part of a longer one.
    pub body: Bytes,
    /// The rest of the body is still to be read, by [`Connection::next_chunk`].
    pub is_partial: bool,
    /// The length of all of the body, if it was declared.
    pub length: Option<u64>,
}

/// What of a body was buffered.
struct BufferedBody {
    bytes: Bytes,
    is_partial: bool,
}

type BackendStream = ObservedStream<Rc<Cell<u64>>, Socket>;
type Http1Connection = http1::Connection<TokioIo<BackendStream>, RequestBody>;

/// Moves the bytes of a connection; empty once that is closed, and the socket with it.
struct Driver(Option<Pin<Box<Http1Connection>>>);

impl Driver {
    /// Moves bytes; true once the connection is of no more use.
    fn poll_ended(&mut self, cx: &mut Context) -> bool {
        if let Some(connection) = &mut self.0
            && connection.as_mut().poll(cx).is_ready()
        {
            self.0 = None;
        }
        self.0.is_none()
    }
}

/// A connection opened by this proxy, for one exchange at a time.
pub(crate) struct Connection {
    sender: SendRequest<RequestBody>,
    driver: Driver,
    /// Of a response that is longer than was buffered.
    remaining: Option<Incoming>,
    written: Rc<Cell<u64>>,
    host: HeaderValue,
    /// When the last response ended, or the connection was opened.
    pub last_used: Instant,
    /// None where the reserve holds a descriptor for it.
    _permit: Option<SocketPermit>,
}

impl Connection {
    /// Connects by `until`; `permit` is none where the reserve holds a descriptor for it.
    pub(crate) async fn open(
        to: SocketAddr,
        permit: Option<SocketPermit>,
        until: Instant,
    ) -> Result<Self, ConnectError> {
        let host = HeaderValue::from_str(&to.to_string()).expect("an address is a header value");
        let stream = timeout_at(until, connect(to))
            .await
            .unwrap_or(Err(ConnectError::TimedOut))?;
        stream.set_nodelay(true).map_err(ConnectError::Peer)?;
        let written = Rc::<Cell<u64>>::default();
        let io = TokioIo::new(ObservedStream::new(Socket(stream), written.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_LIMIT)
            .handshake(io)
            .await
            .map_err(ConnectError::Handshake)?;
        Ok(Self {
            sender,
            driver: Driver(Some(Box::pin(connection))),
            remaining: None,
            written,
            host,
            last_used: Instant::now(),
            _permit: permit,
        })
    }

    /// Moves bytes; true once the connection is of no more use.
    pub(crate) fn poll_closed(&mut self, cx: &mut Context) -> bool {
        self.driver.poll_ended(cx)
    }

    /// Whether it is still open, by what the event loop knows now.
    pub(crate) async fn is_open(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(!self.poll_closed(cx))).await
    }

    /// Whether another exchange may begin now.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.is_open().await && self.sender.is_ready()
    }

    /// The counter of the bytes written so far.
    pub(crate) fn bytes_written(&self) -> Rc<Cell<u64>> {
        self.written.clone()
    }

    /// Sends one request and reads its response: all of it, which may hold `body_limit` bytes, or where the response
    /// is ok and `may_stream` is set, at least that much of a longer one. `sent` is set as soon as a byte may be on
    /// its way.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<RequestBody>,
        body_limit: usize,
        may_stream: bool,
        sent: &Cell<bool>,
    ) -> Result<Reply, ConnectionError> {
        let (head, body) = self.send(request, sent).await?.into_parts();
        if is_framed_twice(&head.headers) {
            return Err(ConnectionError::MalformedResponse);
        }
        let length = body.size_hint().exact();
        self.remaining = Some(body);
        let may_stream = may_stream && head.status == StatusCode::OK;
        let buffered = self.buffer_body(length, body_limit, may_stream).await?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: buffered.bytes,
            is_partial: buffered.is_partial,
            length,
        })
    }

    /// Sends one request and waits for the head of its response.
    async fn send(
        &mut self,
        mut request: Request<RequestBody>,
        sent: &Cell<bool>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        request.headers_mut().insert(HOST, self.host.clone());
        let written_before = self.written.get();
        let Self {
            sender,
            driver,
            written,
            ..
        } = self;
        let mut response = pin!(sender.try_send_request(request));
        let response = poll_fn(|cx| {
            driver.poll_ended(cx);
            sent.set(sent.get() || written.get() != written_before);
            response.as_mut().poll(cx)
        });
        response.await.map_err(|failure| {
            if failure.error().is_parse() {
                ConnectionError::MalformedResponse
            } else if sent.get() {
                ConnectionError::Closed
            } else {
                ConnectionError::NotSent
            }
        })
    }

    /// Buffers a response's body up to its end, or up to the limit where the rest may be streamed.
    async fn buffer_body(
        &mut self,
        length: Option<u64>,
        limit: usize,
        may_stream: bool,
    ) -> Result<BufferedBody, ConnectionError> {
        // A body that is declared longer is streamed from its first byte: its time counts up to that.
        if may_stream && length.is_some_and(|length| length > limit as u64) {
            return Ok(BufferedBody {
                bytes: Bytes::new(),
                is_partial: true,
            });
        }
        let capacity = length.unwrap_or(0).min(limit as u64) as usize;
        let mut bytes = BytesMut::with_capacity(capacity);
        let mut is_partial = false;
        while !is_partial && let Some(chunk) = self.next_chunk().await? {
            bytes.extend_from_slice(&chunk);
            is_partial = bytes.len() > limit;
            if is_partial && !may_stream {
                return Err(ConnectionError::MalformedResponse);
            }
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            is_partial,
        })
    }

    /// The next bytes of a response's body; none at its end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        let Self {
            remaining, driver, ..
        } = self;
        loop {
            let Some(body) = remaining else {
                return Ok(None);
            };
            let frame = poll_fn(|cx| {
                driver.poll_ended(cx);
                Pin::new(&mut *body).poll_frame(cx)
            });
            match frame.await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => return Ok(Some(bytes)),
                    Err(_trailers) => continue,
                },
                Some(Err(_)) => return Err(ConnectionError::MalformedResponse),
                None => {
                    *remaining = None;
                    self.last_used = Instant::now();
                }
            }
        }
    }
}

/// Whether a response's head declares its framing in two ways, of which one is wrong.
fn is_framed_twice(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH)
}
