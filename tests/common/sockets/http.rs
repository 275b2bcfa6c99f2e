//! Reads and writes HTTP/1.1 messages.
use std::collections::BTreeMap;
use std::io::BufRead;

/// The request of the readiness check.
pub(crate) const HEALTH: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

/// A received HTTP message.
pub(crate) struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// The header fields by their name in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// The number of messages that preceded it on its connection; counted by backends only.
    pub messages_before: usize,
}

impl Message {
    /// Returns the value of a header field; empty if the field is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of a response; 0 if it has none.
    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    Some(line.trim_end().to_owned())
}

fn read_headers(from: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(from)?;
        let Some((name, value)) = line.split_once(':') else {
            return Some(headers);
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
}

/// Appends this number of bytes to the body.
fn read_bytes(from: &mut impl BufRead, length: usize, body: &mut Vec<u8>) -> Option<()> {
    let before = body.len();
    body.resize(before + length, 0);
    from.read_exact(&mut body[before..]).ok()
}

fn read_chunks(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = read_line(from)?;
        match usize::from_str_radix(size.split(';').next()?, 16).ok()? {
            0 => break,
            length => read_bytes(from, length, &mut body)?,
        }
        read_line(from)?;
    }
    while !read_line(from)?.is_empty() {}
    Some(body)
}

/// Reads the next message on a connection. Returns `None` if the connection ends before it is complete.
pub(crate) fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let start_line = read_line(from)?;
    let headers = read_headers(from)?;
    let coding = headers.get("transfer-encoding");
    let body = if coding.is_some_and(|coding| coding == "chunked") {
        read_chunks(from)?
    } else {
        let length = headers.get("content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = Vec::new();
        read_bytes(from, length, &mut body)?;
        body
    };
    Some(Message {
        start_line,
        headers,
        body,
        messages_before: 0,
    })
}

/// Encodes a response with this status line and body.
pub(crate) fn reply(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
