//! Scans the head of a message for the framing of its body and for its `Request-Id`. hyper is not enough: it follows one of
//! several framing declarations and silently drops the others, it doesn't report where a message ends, and it reports a
//! head only when that is complete.
use httparse::{EMPTY_HEADER, Request, Status};
use hyper::header::HeaderValue;

/// Maximum size of a head, in bytes.
pub(super) const HEAD_LIMIT: usize = 16 << 10;
/// Maximum number of header fields, the same as in hyper.
const MAX_FIELDS: usize = 100;
/// The start of the line that holds the `Request-Id`, in any case.
const REQUEST_ID_FIELD: &[u8] = b"request-id:";

/// How often a head declares the framing of its body, counted by header field.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FramingCounts {
    /// `Content-Length` fields.
    pub content_lengths: usize,
    /// `Transfer-Encoding` fields.
    pub transfer_encodings: usize,
}

impl FramingCounts {
    /// Whether the framing is declared at most once, so that the end of the body is unambiguous.
    pub(crate) fn is_unambiguous(self) -> bool {
        self.content_lengths + self.transfer_encodings <= 1
    }
}

/// The framing of a message's body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BodyFraming {
    /// A body of this number of bytes.
    Length(u64),
    /// The chunked transfer coding.
    Chunked,
    /// Declared more than once, in an unsupported way or in a malformed head. The message is rejected and its
    /// connection is closed.
    Ambiguous,
}

/// The framing that a complete head declares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ScannedHead {
    /// The number of declarations.
    pub framing_counts: FramingCounts,
    /// The framing that follows from them.
    pub body: BodyFraming,
}

/// Collects the head of a message, which may be received in pieces of any size.
#[derive(Default)]
pub(super) struct HeadScanner {
    head: Vec<u8>,
    /// Number of complete non-empty lines. The first one is the request line.
    complete_lines: usize,
    /// Whether the current line has a byte other than its line ending.
    is_line_nonempty: bool,
    /// Start of the first line that was not searched for the `Request-Id`.
    unsearched_from: usize,
}

impl HeadScanner {
    /// Whether any byte of the message was received.
    pub(super) fn has_begun(&self) -> bool {
        !self.head.is_empty()
    }

    /// Consumes bytes up to the end of the head, and returns its framing once it is complete.
    pub(super) fn feed(&mut self, bytes: &mut &[u8]) -> Option<ScannedHead> {
        let end = bytes.iter().position(|byte| self.ends_with(*byte));
        let (head, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        *bytes = rest;
        // hyper rejects a longer head, so the bytes beyond the limit are not stored.
        let capacity_left = HEAD_LIMIT.saturating_sub(self.head.len());
        self.head
            .extend_from_slice(&head[..head.len().min(capacity_left)]);
        end.map(|_| parse(&self.head))
    }

    /// Returns the `Request-Id` in the lines that were completed since the last call. The line that ends with the head's
    /// last byte is empty, so none is missed.
    pub(super) fn find_request_id(&mut self) -> Option<HeaderValue> {
        let unsearched = &self.head[self.unsearched_from..];
        let complete = unsearched.iter().rposition(|byte| *byte == b'\n')?;
        let mut lines = unsearched[..complete].split(|byte| *byte == b'\n');
        let id = lines.find_map(request_id_in);
        self.unsearched_from += complete + 1;
        id
    }

    /// Whether this byte is the last one of the head. Empty lines before the request line don't end it.
    fn ends_with(&mut self, byte: u8) -> bool {
        match byte {
            b'\r' => false,
            b'\n' => {
                let is_end = self.complete_lines > 0 && !self.is_line_nonempty;
                self.complete_lines += usize::from(self.is_line_nonempty);
                self.is_line_nonempty = false;
                is_end
            }
            _ => {
                self.is_line_nonempty = true;
                false
            }
        }
    }
}

/// Returns the `Request-Id` in a line of a head; none if the line holds another field or an invalid value.
fn request_id_in(line: &[u8]) -> Option<HeaderValue> {
    let (name, value) = line.split_at_checked(REQUEST_ID_FIELD.len())?;
    if !name.eq_ignore_ascii_case(REQUEST_ID_FIELD) {
        return None;
    }
    HeaderValue::from_bytes(value.trim_ascii()).ok()
}

/// Parses a complete head.
fn parse(head: &[u8]) -> ScannedHead {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut request = Request::new(&mut fields);
    let is_well_formed = matches!(request.parse(head), Ok(Status::Complete(_)));
    let fields_named = |name: &'static str| {
        let fields = request.headers.iter();
        fields.filter(move |field| field.name.eq_ignore_ascii_case(name))
    };
    let framing_counts = FramingCounts {
        content_lengths: fields_named("content-length").count(),
        transfer_encodings: fields_named("transfer-encoding").count(),
    };
    let length = fields_named("content-length")
        .next()
        .map(|field| field.value);
    let coding = fields_named("transfer-encoding")
        .next()
        .map(|field| field.value);
    let body = match (length, coding) {
        _ if !is_well_formed || !framing_counts.is_unambiguous() => BodyFraming::Ambiguous,
        (None, None) => BodyFraming::Length(0),
        (_, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => BodyFraming::Chunked,
        (_, Some(_)) => BodyFraming::Ambiguous,
        (Some(length), None) => parse_length(length),
    };
    ScannedHead {
        framing_counts,
        body,
    }
}

/// Parses the value of `Content-Length`.
fn parse_length(value: &[u8]) -> BodyFraming {
    let length = str::from_utf8(value).ok();
    let length = length.and_then(|length| length.parse().ok());
    length.map_or(BodyFraming::Ambiguous, BodyFraming::Length)
}

#[cfg(test)]
mod tests;
