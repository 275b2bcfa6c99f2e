//! HTTP/1.1 messages on one connection, read whole. Small on purpose: stand-ins need the moments at which bytes
//! come and go, and ends that a well-behaved library would not make.
use crate::clock::Clock;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const HEAD_MOST: usize = 16 << 10; // bytes
const BODY_MOST: usize = 8 << 20; // bytes: lists of some ten thousand nodes
const HEADERS_MOST: usize = 32;

/// A message as it came in.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// When its first byte came, and its last, s.
    pub first_byte_at: f64,
    pub complete_at: f64,
    /// Of a request.
    pub http_method: String,
    pub path: String,
    /// Of a response.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Its value, by the name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// First part of the path: the method's name.
    pub fn class(&self) -> &str {
        let path = self.path.split(['?', '#']).next().unwrap_or_default();
        path.trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default()
    }

    /// The other side closes the connection after it.
    pub fn is_last(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Request,
    Response,
}

/// How reading ended without a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Closed between messages.
    Closed,
    /// Broken in the middle of one, or by a reset.
    Broken,
    /// What came is no HTTP/1.1 message, or too large.
    Malformed,
}

/// What stands behind the last message on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    Open,
    Closed,
    /// Bytes that no message accounts for.
    UnexpectedBytes,
}

/// One side of an HTTP/1.1 connection with its read buffer.
#[derive(Debug)]
pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte of `buffer` came.
    first_byte_at: f64,
    /// Messages read so far.
    pub messages: usize,
}

/// Reads a head; `None` while it is not whole. The length of the head and of the body go with it.
fn parse(kind: MessageKind, bytes: &[u8]) -> Result<Option<(Message, usize, usize)>, ReadError> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MOST];
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
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    for header in headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        message
            .headers
            .push((header.name.to_ascii_lowercase(), value));
    }
    let body = message
        .header("content-length")
        .map_or(Ok(0), str::parse)
        .map_err(|_| ReadError::Malformed)?;
    Ok(Some((message, length, body)))
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        // Small messages must not wait for each other.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            first_byte_at: 0.0,
            messages: 0,
        }
    }

    pub async fn connect(at: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(at).await?))
    }

    /// Reads more; `Closed` at the end of the stream.
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

    /// Reads a message whole.
    pub async fn read(&mut self, kind: MessageKind, clock: &Clock) -> Result<Message, ReadError> {
        let (mut message, head, body) = loop {
            if let Some(parsed) = parse(kind, &self.buffer)? {
                break parsed;
            }
            if self.buffer.len() > HEAD_MOST {
                return Err(ReadError::Malformed);
            }
            self.fill(clock).await?;
        };
        if body > BODY_MOST {
            return Err(ReadError::Malformed);
        }
        message.first_byte_at = self.first_byte_at;
        while self.buffer.len() < head + body {
            self.fill(clock).await?;
        }
        message.complete_at = clock.now();
        message.body = self.buffer[head..head + body].to_vec();
        self.buffer.drain(..head + body);
        self.first_byte_at = message.complete_at;
        self.messages += 1;
        Ok(message)
    }

    /// Waits until the peer closes the connection. Bytes received meanwhile are buffered.
    pub async fn closed(&mut self) {
        loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                // A peer that sends more than one message ahead violates the protocol.
                Ok(_) if self.buffer.len() > HEAD_MOST + BODY_MOST => return,
                Ok(_) => {}
            }
        }
    }

    /// What stands behind the last message, as far as it has come.
    pub fn state(&mut self) -> ConnectionState {
        if !self.buffer.is_empty() {
            return ConnectionState::UnexpectedBytes;
        }
        // Asks the system itself: the runtime's word may be older than an end that has come.
        match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => ConnectionState::Closed,
            Ok(_) => ConnectionState::UnexpectedBytes,
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => ConnectionState::Open,
            Err(_) => ConnectionState::Closed,
        }
    }

    /// Whether no byte was received since the last message.
    pub fn has_no_buffered_bytes(&self) -> bool {
        self.buffer.is_empty()
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends it with a reset, as a process that dies does.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// A listener that takes its address over at once after the one before has ended.
pub fn listen(at: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    let listening = socket.bind(at).and_then(|()| socket.listen(backlog));
    listening.map_err(|fault| io::Error::new(fault.kind(), format!("{at}: {fault}")))
}

/// A response, encoded.
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
