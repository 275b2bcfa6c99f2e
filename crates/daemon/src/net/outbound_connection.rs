//! An HTTP/1.1 connection that this proxy opens, to a backend or to the discovery service.
//!
//! The owner of an [`OutboundConnection`] drives it. There is no background task that could keep the socket open or send
//! a request again. Dropping the connection closes the socket and returns its permit to the budget.
use crate::event_loop::Peer;
use crate::net::body::RequestBody;
use crate::net::connect::{ConnectError, connect};
use crate::net::observed_stream::{ObservedStream, TransferCounts};
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
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Maximum number of bytes that hyper buffers for a connection, which limits the head of a response.
const READ_BUFFER_LIMIT: usize = 64 << 10;

/// The failure of an exchange on a connection.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(crate) enum ConnectionError {
    /// The connection ended before a byte of the request was written.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// The connection ended after a byte of the request was written, before a response: the request may have run.
    #[error("connection closed before the response")]
    Closed,
    /// The response is malformed, truncated or longer than the protocol permits: the request has run.
    #[error("malformed response")]
    MalformedResponse,
}

/// The head of a response whose body is still to be read.
pub(crate) struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The declared length of the body; none for a body in chunks, or one that ends with the connection.
    pub length: Option<u64>,
}

/// How much of a response's body is buffered.
#[derive(Clone, Copy)]
pub(crate) enum BodyBuffering {
    /// All of it. A longer body is an error.
    Complete {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// None of it.
    Nothing,
    /// Its first part, until the part exceeds the limit or the deadline expires.
    FirstPart {
        /// Maximum length, in bytes.
        limit: usize,
        /// When the part ends at the latest.
        deadline: Instant,
    },
}

/// A response with its complete body, or with the first part of a longer one.
pub(crate) struct ReceivedResponse {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The complete body, or its first part.
    pub body: Bytes,
    /// Whether the rest of the body is still to be read with [`OutboundConnection::next_chunk`].
    pub is_partial: bool,
    /// The declared length of the complete body.
    pub length: Option<u64>,
}

/// The buffered part of a body.
struct BufferedBody {
    bytes: Bytes,
    is_partial: bool,
}

type OutboundStream = ObservedStream<Rc<TransferCounts>, Socket>;
type Http1Connection = http1::Connection<TokioIo<OutboundStream>, RequestBody>;

/// Performs the I/O of a connection. Empty once the connection has ended, which closes the socket.
struct Driver(Option<Pin<Box<Http1Connection>>>);

impl Driver {
    /// Performs pending I/O; true once the connection has ended.
    fn poll_ended(&mut self, cx: &mut Context) -> bool {
        if let Some(connection) = &mut self.0
            && connection.as_mut().poll(cx).is_ready()
        {
            self.0 = None;
        }
        self.0.is_none()
    }
}

/// A connection that this proxy opened, for one exchange at a time.
pub(crate) struct OutboundConnection {
    sender: SendRequest<RequestBody>,
    driver: Driver,
    /// The rest of a response that is not buffered.
    remaining: Option<Incoming>,
    counts: Rc<TransferCounts>,
    /// Number of bytes that were read up to the end of the last response.
    bytes_read_at_last_use: u64,
    host: HeaderValue,
    peer: Rc<Peer>,
    /// When the last response ended, or else when the connection was opened.
    pub last_used: Instant,
    /// None if the descriptor is one of the reserved ones.
    _permit: Option<SocketPermit>,
}

impl OutboundConnection {
    /// Opens a connection to this address. `permit` is none if the descriptor is one of the reserved ones. What the peer
    /// sends is charged to `peer`.
    ///
    /// # Errors
    /// The connection is not established by `deadline`, or fails.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: Option<SocketPermit>,
        deadline: Instant,
        peer: Rc<Peer>,
    ) -> Result<Self, ConnectError> {
        let host =
            HeaderValue::from_str(&address.to_string()).expect("an address is a header value");
        let stream = connect(address, deadline).await?;
        stream.set_nodelay(true).map_err(ConnectError::Peer)?;
        let counts = Rc::<TransferCounts>::default();
        let io = TokioIo::new(ObservedStream::new(
            Socket::new(stream, peer.clone()),
            counts.clone(),
        ));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_LIMIT)
            .handshake(io)
            .await
            .map_err(ConnectError::Handshake)?;
        Ok(Self {
            sender,
            driver: Driver(Some(Box::pin(connection))),
            remaining: None,
            counts,
            bytes_read_at_last_use: 0,
            host,
            peer,
            last_used: Instant::now(),
            _permit: permit,
        })
    }

    /// Performs pending I/O; true once the connection has ended.
    pub(crate) fn poll_closed(&mut self, cx: &mut Context) -> bool {
        self.driver.poll_ended(cx)
    }

    /// Whether the connection is open, as far as the event loop knows.
    pub(crate) async fn is_open(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(!self.poll_closed(cx))).await
    }

    /// Whether the connection is open and ready for another exchange.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.is_open().await && self.sender.is_ready()
    }

    /// Returns the counts of bytes transferred on this connection.
    pub(crate) fn transfer_counts(&self) -> Rc<TransferCounts> {
        self.counts.clone()
    }

    /// Whether the peer has sent bytes since the end of the last response, although no request was sent to it.
    pub(crate) fn has_unsolicited_bytes(&self) -> bool {
        self.counts.read.get() != self.bytes_read_at_last_use
    }

    /// Sends a request and waits for the head of its response. `is_sent` is set as soon as a byte of the request may have
    /// been sent.
    ///
    /// # Errors
    /// The connection ended, or the head is malformed.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
        is_sent: &Cell<bool>,
    ) -> Result<ResponseHead, ConnectionError> {
        let (head, body) = self.send_request(request, is_sent).await?.into_parts();
        if has_ambiguous_framing(&head.headers) {
            return Err(ConnectionError::MalformedResponse);
        }
        let length = body.size_hint().exact();
        self.remaining = Some(body);
        Ok(ResponseHead {
            status: head.status,
            headers: head.headers,
            length,
        })
    }

    async fn send_request(
        &mut self,
        mut request: Request<RequestBody>,
        is_sent: &Cell<bool>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        request.headers_mut().insert(HOST, self.host.clone());
        let written_before = self.counts.written.get();
        let Self {
            sender,
            driver,
            counts,
            peer,
            ..
        } = self;
        counts.is_inside_body.set(false);
        let mut charged = counts.read.get();
        let mut response = pin!(sender.try_send_request(request));
        let response = poll_fn(|cx| {
            driver.poll_ended(cx);
            let read = counts.read.get();
            peer.charge_head(read - charged);
            charged = read;
            is_sent.set(is_sent.get() || counts.written.get() != written_before);
            response.as_mut().poll(cx)
        });
        let response = response.await;
        counts.is_inside_body.set(true);
        response.map_err(|failure| {
            if failure.error().is_parse() {
                ConnectionError::MalformedResponse
            } else if is_sent.get() {
                ConnectionError::Closed
            } else {
                ConnectionError::NotSent
            }
        })
    }

    /// Reads the body of the response with this head, or its first part.
    ///
    /// # Errors
    /// The body is malformed, truncated or longer than the limit for a complete body.
    pub(crate) async fn receive(
        &mut self,
        head: ResponseHead,
        buffering: BodyBuffering,
    ) -> Result<ReceivedResponse, ConnectionError> {
        let buffered = match buffering {
            BodyBuffering::Complete { limit } => self.buffer_complete(head.length, limit).await?,
            BodyBuffering::Nothing => BufferedBody {
                bytes: Bytes::new(),
                is_partial: true,
            },
            BodyBuffering::FirstPart { limit, deadline } => {
                self.buffer_first_part(limit, deadline).await?
            }
        };
        Ok(ReceivedResponse {
            status: head.status,
            headers: head.headers,
            body: buffered.bytes,
            is_partial: buffered.is_partial,
            length: head.length,
        })
    }

    /// Buffers a body of at most `limit` bytes until it ends.
    async fn buffer_complete(
        &mut self,
        length: Option<u64>,
        limit: usize,
    ) -> Result<BufferedBody, ConnectionError> {
        let capacity = length.unwrap_or(0).min(limit as u64) as usize;
        let mut bytes = BytesMut::with_capacity(capacity);
        while let Some(chunk) = self.next_chunk().await? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() > limit {
                return Err(ConnectionError::MalformedResponse);
            }
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            is_partial: false,
        })
    }

    /// Buffers a body until it ends, exceeds the limit or the deadline expires.
    async fn buffer_first_part(
        &mut self,
        limit: usize,
        deadline: Instant,
    ) -> Result<BufferedBody, ConnectionError> {
        let mut bytes = BytesMut::new();
        let mut is_partial = false;
        while !is_partial {
            match timeout_at(deadline, self.next_chunk()).await {
                Ok(Ok(Some(chunk))) => bytes.extend_from_slice(&chunk),
                Ok(Ok(None)) => break,
                Ok(Err(error)) => return Err(error),
                Err(_deadline_expired) => is_partial = true,
            }
            is_partial |= bytes.len() > limit;
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            is_partial,
        })
    }

    /// Reads the next bytes of a response's body; none at its end.
    ///
    /// # Errors
    /// The body is malformed or truncated.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        let Self {
            remaining,
            driver,
            peer,
            ..
        } = self;
        loop {
            // Before the frame is taken: this future may be dropped while it waits.
            peer.admit_frame().await;
            let Some(body) = remaining else {
                return Ok(None);
            };
            let frame = poll_fn(|cx| {
                driver.poll_ended(cx);
                Pin::new(&mut *body).poll_frame(cx)
            });
            match frame.await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(_)) => return Err(ConnectionError::MalformedResponse),
                None => {
                    *remaining = None;
                    self.last_used = Instant::now();
                    self.bytes_read_at_last_use = self.counts.read.get();
                }
            }
        }
    }
}

/// Whether a response declares the framing of its body both by a length and by a transfer coding: its end is ambiguous.
fn has_ambiguous_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH)
}
