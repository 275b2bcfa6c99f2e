//! A client's connection and the requests it sends.
use super::http::{Message, read_message};
use super::shared::PATIENCE;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client's connection.
pub(crate) struct Client(BufReader<TcpStream>);

impl Client {
    pub(crate) fn open(at: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(at).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(Self(BufReader::new(stream)))
    }
    /// Whether all of it could be sent.
    pub(crate) fn send(&mut self, bytes: &str) -> bool {
        self.0.get_mut().write_all(bytes.as_bytes()).is_ok()
    }
    /// The connection ends with a reset.
    pub(crate) fn resets_when_dropped(&self) {
        socket2::SockRef::from(self.0.get_ref())
            .set_linger(Some(Duration::ZERO))
            .expect("no linger");
    }
    /// A second handle of the socket, to write or read at the same time.
    pub(crate) fn stream(&self) -> TcpStream {
        self.0.get_ref().try_clone().expect("a second handle")
    }
    pub(crate) fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    pub(crate) fn call(&mut self, bytes: &str) -> Option<Message> {
        self.send(bytes);
        self.answer()
    }
    /// The status of the response; there has to be one.
    pub(crate) fn status_of(&mut self, bytes: &str) -> u16 {
        self.call(bytes).expect("a response").status()
    }
    /// The body of the response; there has to be one.
    pub(crate) fn text_of(&mut self, bytes: &str) -> String {
        self.call(bytes).expect("a response").text()
    }
    /// The peer has closed the connection, and sent nothing more. A read with a time limit that waits while a signal
    /// reaches this process, as SIGCHLD of another test's child may, ends with EINTR: it is begun again.
    pub(crate) fn is_closed(&mut self) -> bool {
        loop {
            match self.0.read(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() == ErrorKind::ConnectionReset,
                Ok(bytes) => return bytes == 0,
            }
        }
    }
}

/// An RPC with a deadline of 3 s; a `POST` has an idempotency key.
pub(crate) fn rpc(verb: &str, path: &str, id: &str, body: &str) -> String {
    let key = if verb == "POST" {
        "Idempotency-Key: k1\r\n"
    } else {
        ""
    };
    let length = body.len();
    format!(
        "{verb} {path} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nTenant: acme\r\n{key}\
         Request-Timeout-Ms: 3000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
