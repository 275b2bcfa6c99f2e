//! HTTP/1.1 messages, read and written plainly.
use std::collections::BTreeMap;
use std::io::BufRead;

pub(crate) const HEALTH: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

/// An HTTP message as it came in.
pub(crate) struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// How many came before it on its connection, where that is counted.
    pub before: usize,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub(crate) fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

#[expect(clippy::too_many_lines)]
pub(crate) fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let line = |from: &mut dyn BufRead| {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        Some(line.trim_end().to_owned())
    };
    let first = line(from)?;
    let mut headers = BTreeMap::new();
    loop {
        let next = line(from)?;
        let Some((name, value)) = next.split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let mut body = Vec::new();
    let mut take = |from: &mut dyn BufRead, length: usize| {
        let before = body.len();
        body.resize(before + length, 0);
        from.read_exact(&mut body[before..]).ok()
    };
    if headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding == "chunked")
    {
        loop {
            let size = line(from)?;
            match usize::from_str_radix(size.split(';').next()?, 16).ok()? {
                0 => break,
                some => take(from, some)?,
            }
            line(from)?;
        }
        while !line(from)?.is_empty() {}
    } else {
        take(
            from,
            headers
                .get("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0),
        )?;
    }
    Some(Message {
        first,
        headers,
        body,
        before: 0,
    })
}

pub(crate) fn reply(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
