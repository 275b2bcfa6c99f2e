//! Reads from the bytes of a message's head how its body is framed. hyper goes by one declaration and drops another
//! unseen, and does not tell where a message ends.
use httparse::{EMPTY_HEADER, Request, Status};

/// Bytes of a head at most.
pub(super) const HEAD_LIMIT: usize = 16 << 10;
/// Fields of a head at most, as hyper has it.
const MAX_FIELDS: usize = 100;

/// How often a head declares the framing of its body.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Framings {
    /// `Content-Length` fields.
    pub lengths: usize,
    /// `Transfer-Encoding` fields.
    pub codings: usize,
}

impl Framings {
    /// There is only one way to read where the body ends.
    pub(crate) fn is_clear(self) -> bool {
        self.lengths + self.codings <= 1
    }
}

/// How a message's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BodyFraming {
    /// So many bytes, or none.
    Length(u64),
    /// By the chunked coding.
    Chunked,
    /// In two ways, or in one that is not understood: such a message is rejected, and its connection closed.
    Unclear,
}

/// A complete head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ScannedHead {
    /// What it declares.
    pub framings: Framings,
    /// What follows from that.
    pub body: BodyFraming,
}

/// Collects a message's head, in pieces of any size.
#[derive(Default)]
pub(super) struct HeadScan {
    head: Vec<u8>,
    /// Lines that are complete and not empty; the first is the request line.
    lines: usize,
    /// The line at hand has a byte besides its end.
    is_line_begun: bool,
}

impl HeadScan {
    /// Whether a byte of the message was seen.
    pub(super) fn is_begun(&self) -> bool {
        !self.head.is_empty()
    }

    /// Takes bytes up to the head's end, removes them from `bytes`, and returns the head once it is complete.
    pub(super) fn feed(&mut self, bytes: &mut &[u8]) -> Option<ScannedHead> {
        let end = bytes.iter().position(|byte| self.ends_with(*byte));
        let (head, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        *bytes = rest;
        // hyper rejects a longer one; only its end is looked for.
        let room = HEAD_LIMIT.saturating_sub(self.head.len());
        self.head.extend_from_slice(&head[..head.len().min(room)]);
        end.map(|_| parse(&self.head))
    }

    /// Whether this byte is the last of the head. Empty lines ahead of a message do not end it.
    fn ends_with(&mut self, byte: u8) -> bool {
        match byte {
            b'\r' => false,
            b'\n' => {
                let is_end = self.lines > 0 && !self.is_line_begun;
                self.lines += usize::from(self.is_line_begun);
                self.is_line_begun = false;
                is_end
            }
            _ => {
                self.is_line_begun = true;
                false
            }
        }
    }
}

fn parse(head: &[u8]) -> ScannedHead {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut request = Request::new(&mut fields);
    let is_readable = matches!(request.parse(head), Ok(Status::Complete(_)));
    let named = |name: &'static str| {
        let fields = request.headers.iter();
        fields.filter(move |field| field.name.eq_ignore_ascii_case(name))
    };
    let framings = Framings {
        lengths: named("content-length").count(),
        codings: named("transfer-encoding").count(),
    };
    let length = named("content-length").next().map(|field| field.value);
    let coding = named("transfer-encoding").next().map(|field| field.value);
    let body = match (length, coding) {
        _ if !is_readable || !framings.is_clear() => BodyFraming::Unclear,
        (None, None) => BodyFraming::Length(0),
        (_, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => BodyFraming::Chunked,
        (_, Some(_)) => BodyFraming::Unclear,
        (Some(length), None) => parse_length(length),
    };
    ScannedHead { framings, body }
}

fn parse_length(value: &[u8]) -> BodyFraming {
    let length = str::from_utf8(value).ok();
    let length = length.and_then(|length| length.parse().ok());
    length.map_or(BodyFraming::Unclear, BodyFraming::Length)
}

#[cfg(test)]
mod tests;
