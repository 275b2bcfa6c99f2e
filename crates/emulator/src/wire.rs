//! A minimal HTTP/1.1 implementation that reads complete messages.
//!
//! An HTTP library would not suffice: the emulator needs the times at which bytes are received, and must truncate messages
//! and reset connections.
use crate::clock::Clock;
use std::io;
use std::mem::MaybeUninit;
use std::net::{IpAddr, Shutdown, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum size of a message's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a message's body: enough for an endpoint list of some ten thousand backends.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 32;

/// A received message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Time at which the first byte was received, in seconds of the clock.
    pub first_byte_at: f64,
    /// Time at which the last byte was received, in seconds of the clock.
    pub complete_at: f64,
    /// HTTP method of a request; empty for a response.
    pub http_method: String,
    /// Path and query of a request; empty for a response.
    pub path: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header. Names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The first segment of the path, which names the RPC's method.
    pub fn rpc_method(&self) -> &str {
        let path = self.path.split(['?', '#']).next().unwrap_or_default();
        path.trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default()
    }

    /// Whether the sender closes the connection after this message.
    pub fn is_last(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// The kind of message to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request.
    Request,
    /// A response.
    Response,
}

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection was closed between two messages.
    Closed,
    /// The connection ended within a message, or was reset.
    Broken,
    /// The received bytes are not a valid HTTP/1.1 message, or the message is too large.
    Malformed,
}

/// State of a connection between two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Open, and no bytes were received.
    Open,
    /// Closed or reset by the peer.
    Closed,
    /// The peer sent bytes although no message was expected.
    UnexpectedBytes,
}

/// An HTTP/1.1 connection to a peer, with a read buffer.
#[derive(Debug)]
pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Time at which the first byte of `buffer` was received, in seconds of the clock.
    first_byte_at: f64,
    /// Number of messages read so far.
    pub messages_read: usize,
}

/// A parsed head, and the sizes of the message's head and body.
struct ParsedHead {
    message: Message,
    head_bytes: usize,
    body_bytes: usize,
}

/// Parses the head of a message; `None` if it is incomplete.
fn parse_head(kind: MessageKind, bytes: &[u8]) -> Result<Option<ParsedHead>, ReadError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut message = Message::default();
    let (status, headers) = match kind {
        MessageKind::Request => {
            let mut head = httparse::Request::new(&mut slots);
            let status = head.parse(bytes).map_err(|_| ReadError::Malformed)?;
            message.http_method = head.method.unwrap_or_default().to_owned();
            message.path = head.path.unwrap_or_default().to_owned();
            (status, head.headers)
        }
        MessageKind::Response => {
            let mut head = httparse::Response::new(&mut slots);
            let status = head.parse(bytes).map_err(|_| ReadError::Malformed)?;
            message.status = head.code.unwrap_or_default();
            (status, head.headers)
        }
    };
    let httparse::Status::Complete(head_bytes) = status else {
        return Ok(None);
    };
    for header in headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        message
            .headers
            .push((header.name.to_ascii_lowercase(), value));
    }
    let body_bytes = message
        .header("content-length")
        .map_or(Ok(0), str::parse)
        .map_err(|_| ReadError::Malformed)?;
    Ok(Some(ParsedHead {
        message,
        head_bytes,
        body_bytes,
    }))
}

impl Peer {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Self {
        // Disables Nagle's algorithm, which would delay small messages.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            first_byte_at: 0.0,
            messages_read: 0,
        }
    }

    /// Connects to an address.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Reads more bytes into the buffer.
    async fn fill(&mut self, clock: &Clock) -> Result<(), ReadError> {
        let empty = self.buffer.is_empty();
        let read = self.stream.read_buf(&mut self.buffer).await;
        if empty {
            self.first_byte_at = clock.now();
        }
        match read {
            Ok(0) if empty => Err(ReadError::Closed),
            Ok(0) | Err(_) => Err(ReadError::Broken),
            Ok(_) => Ok(()),
        }
    }

    /// Reads a complete message.
    pub async fn read(&mut self, kind: MessageKind, clock: &Clock) -> Result<Message, ReadError> {
        let ParsedHead {
            mut message,
            head_bytes,
            body_bytes,
        } = loop {
            if let Some(parsed) = parse_head(kind, &self.buffer)? {
                break parsed;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed);
            }
            self.fill(clock).await?;
        };
        if body_bytes > MAX_BODY_BYTES {
            return Err(ReadError::Malformed);
        }
        message.first_byte_at = self.first_byte_at;
        while self.buffer.len() < head_bytes + body_bytes {
            self.fill(clock).await?;
        }
        message.complete_at = clock.now();
        message.body = self.buffer[head_bytes..head_bytes + body_bytes].to_vec();
        self.buffer.drain(..head_bytes + body_bytes);
        self.first_byte_at = message.complete_at;
        self.messages_read += 1;
        Ok(message)
    }

    /// Waits until the peer closes the connection. Bytes that arrive before that are buffered.
    pub async fn closed(&mut self) {
        loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                // The limit bounds the buffer. A peer that pipelines more than one message violates the protocol.
                Ok(_) if self.buffer.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES => return,
                Ok(_) => {}
            }
        }
    }

    /// The state of the connection between two messages.
    pub fn state(&mut self) -> ConnectionState {
        if !self.buffer.is_empty() {
            return ConnectionState::UnexpectedBytes;
        }
        // Asks the kernel, because the runtime may not have noticed yet that the peer closed the connection.
        match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => ConnectionState::Closed,
            Ok(_) => ConnectionState::UnexpectedBytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ConnectionState::Open,
            Err(_) => ConnectionState::Closed,
        }
    }

    /// Whether no bytes were read since the last message.
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Resets the connection, as the kernel does when a process crashes.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// Picks an address for each IP that nothing listens on, all of them different. The sockets that reserve them never
/// listen: a process that starts meanwhile holds copies of all sockets until its exec, and an address can't be bound while
/// a copy listens on it.
pub fn pick_addresses(ips: &[IpAddr]) -> io::Result<Vec<SocketAddr>> {
    let reserve = |ip: &IpAddr| {
        let address = SocketAddr::new(*ip, 0);
        let socket = new_socket(address)?;
        socket
            .bind(address)
            .map_err(|error| name_address(address, &error))?;
        Ok(socket)
    };
    let sockets: Vec<TcpSocket> = ips.iter().map(reserve).collect::<io::Result<_>>()?;
    sockets.iter().map(TcpSocket::local_addr).collect()
}

/// Stops listening, also on the copies of the socket that a starting process holds until its exec.
pub fn stop_listening(listener: TcpListener) {
    if let Err(error) = socket2::SockRef::from(&listener).shutdown(Shutdown::Both) {
        log::warn!("a listener was not shut down: {error}");
    }
}

/// Creates a socket with `SO_REUSEADDR`.
fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

/// Creates a listener with `SO_REUSEADDR`, so that it can bind its address right after the previous listener is closed.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    let listening = socket.bind(address).and_then(|()| socket.listen(backlog));
    listening.map_err(|error| name_address(address, &error))
}

/// Adds the address to an error.
fn name_address(address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{address}: {error}"))
}

/// Encodes a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
