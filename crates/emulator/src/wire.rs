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
    pub whole: f64,
    /// Of a request.
    pub verb: String,
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
pub enum Kind {
    Request,
    Response,
}

/// How reading ended without a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Closed between messages.
    Closed,
    /// Broken in the middle of one, or by a reset.
    Broken,
    /// What came is no HTTP/1.1 message, or too large.
    Garbled,
}

/// What stands behind the last message on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    Open,
    Ended,
    /// Bytes that no message accounts for.
    Bytes,
}

/// A connection, and what was read ahead on it.
#[derive(Debug)]
pub struct Peer {
    stream: TcpStream,
    ahead: Vec<u8>,
    /// When the first byte of `ahead` came.
    since: f64,
    /// Messages read so far.
    pub messages: usize,
}

/// Reads a head; `None` while it is not whole. The length of the head and of the body go with it.
fn parse(kind: Kind, bytes: &[u8]) -> Result<Option<(Message, usize, usize)>, Stop> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut message = Message::default();
    let (status, headers) = match kind {
        Kind::Request => {
            let mut head = httparse::Request::new(&mut slots);
            let status = head.parse(bytes).map_err(|_| Stop::Garbled)?;
            message.verb = head.method.unwrap_or_default().to_owned();
            message.path = head.path.unwrap_or_default().to_owned();
            (status, head.headers)
        }
        Kind::Response => {
            let mut head = httparse::Response::new(&mut slots);
            let status = head.parse(bytes).map_err(|_| Stop::Garbled)?;
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
        .map_err(|_| Stop::Garbled)?;
    Ok(Some((message, length, body)))
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        // Small messages must not wait for each other.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
            since: 0.0,
            messages: 0,
        }
    }

    pub async fn connect(at: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(at).await?))
    }

    /// Reads more; `Closed` at the end of the stream.
    async fn fill(&mut self, clock: &Clock) -> Result<(), Stop> {
        let empty = self.ahead.is_empty();
        let read = self.stream.read_buf(&mut self.ahead).await;
        if empty {
            self.since = clock.now();
        }
        match read {
            Ok(0) if empty => Err(Stop::Closed),
            Ok(0) | Err(_) => Err(Stop::Broken),
            Ok(_) => Ok(()),
        }
    }

    /// Reads a message whole.
    pub async fn read(&mut self, kind: Kind, clock: &Clock) -> Result<Message, Stop> {
        let (mut message, head, body) = loop {
            if let Some(parsed) = parse(kind, &self.ahead)? {
                break parsed;
            }
            if self.ahead.len() > HEAD_MOST {
                return Err(Stop::Garbled);
            }
            self.fill(clock).await?;
        };
        if body > BODY_MOST {
            return Err(Stop::Garbled);
        }
        message.first_byte_at = self.since;
        while self.ahead.len() < head + body {
            self.fill(clock).await?;
        }
        message.whole = clock.now();
        message.body = self.ahead[head..head + body].to_vec();
        self.ahead.drain(..head + body);
        self.since = message.whole;
        self.messages += 1;
        Ok(message)
    }

    /// Waits until the other side ends the connection; what it sends meanwhile is kept.
    pub async fn ended(&mut self) {
        loop {
            match self.stream.read_buf(&mut self.ahead).await {
                Ok(0) | Err(_) => return,
                // More than one message ahead is no peer of ours.
                Ok(_) if self.ahead.len() > HEAD_MOST + BODY_MOST => return,
                Ok(_) => {}
            }
        }
    }

    /// What stands behind the last message, as far as it has come.
    pub fn rest(&mut self) -> Rest {
        if !self.ahead.is_empty() {
            return Rest::Bytes;
        }
        // Asks the system itself: the runtime's word may be older than an end that has come.
        match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Rest::Ended,
            Ok(_) => Rest::Bytes,
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => Rest::Open,
            Err(_) => Rest::Ended,
        }
    }

    /// No byte of a message has come since the last one.
    pub fn is_blank(&self) -> bool {
        self.ahead.is_empty()
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
