//! Finds the end of each message in the bytes that a client sends, and claims its `Request-Id`. hyper may have buffered
//! part of the next message, and doesn't report that the client has stopped in the middle of it.
use crate::downstream::head_scan::{BodyFraming, FramingCounts, HeadScanner, ScannedHead};
use crate::downstream::request_ids::{ActiveRequestIds, RequestIdClaim};
use std::collections::VecDeque;
use thiserror::Error;

/// The part of a message that the next byte belongs to.
enum MessagePart {
    /// The head.
    Head(HeadScanner),
    /// A body with a declared length.
    Body {
        /// Bytes that were not received yet.
        bytes_left: u64,
    },
    /// The line before a chunk's data.
    ChunkSize(ChunkSizeLine),
    /// A chunk's data.
    ChunkData {
        /// Bytes that were not received yet.
        bytes_left: u64,
    },
    /// The line ending after a chunk's data.
    ChunkEnd,
    /// The lines after the last chunk.
    Trailers {
        /// Whether the current line has a byte other than its line ending.
        is_line_nonempty: bool,
    },
    /// The end of the message can't be found. The message is rejected and its connection closed.
    Ambiguous,
}

impl Default for MessagePart {
    fn default() -> Self {
        Self::Head(HeadScanner::default())
    }
}

/// The line before a chunk's data, which holds its size.
#[derive(Default)]
struct ChunkSizeLine {
    size: u64,
    /// Whether the digits have ended and an extension or space follows.
    is_past_digits: bool,
}

impl ChunkSizeLine {
    /// Consumes the next byte, and returns the size once the line is complete.
    ///
    /// # Errors
    /// The size doesn't fit into 64 bits.
    fn push(&mut self, byte: u8) -> Result<Option<u64>, ChunkSizeOverflow> {
        match (byte as char).to_digit(16) {
            _ if byte == b'\n' => return Ok(Some(self.size)),
            Some(digit) if !self.is_past_digits => {
                let shifted = self.size.checked_mul(16).ok_or(ChunkSizeOverflow)?;
                self.size = shifted + u64::from(digit);
            }
            _ => self.is_past_digits = true,
        }
        Ok(None)
    }
}

/// The size of a chunk doesn't fit into 64 bits.
#[derive(Debug, Error)]
#[error("chunk size overflow")]
struct ChunkSizeOverflow;

/// What the proxy needs to know about a complete head besides what hyper reports.
pub(crate) struct ReceivedHead {
    /// How often it declares the framing of its body.
    pub framing_counts: FramingCounts,
    /// Its claim to its `Request-Id`; none if it has no valid one.
    pub request_id: Option<RequestIdClaim>,
}

/// Tracks where each message on a client's connection ends.
pub(super) struct MessageScanner {
    part: MessagePart,
    /// The ids of all open requests.
    request_ids: ActiveRequestIds,
    /// The claim of the message whose head is incomplete.
    request_id: Option<RequestIdClaim>,
    /// The complete heads that were not taken yet, the earliest first.
    heads: VecDeque<ReceivedHead>,
}

impl MessageScanner {
    /// Creates a scanner that claims the ids of messages in `request_ids`.
    pub(super) fn new(request_ids: ActiveRequestIds) -> Self {
        Self {
            part: MessagePart::default(),
            request_ids,
            request_id: None,
            heads: VecDeque::new(),
        }
    }

    /// Scans the next bytes of the connection. Returns the number of heads that ended and chunks that began.
    pub(super) fn feed(&mut self, mut bytes: &[u8]) -> usize {
        let mut parts = 0;
        while !bytes.is_empty() {
            let is_head = matches!(self.part, MessagePart::Head(_));
            if let Some(next) = self.advance(&mut bytes) {
                let is_chunk = matches!(next, MessagePart::ChunkData { .. });
                parts += usize::from(is_head || is_chunk);
                self.part = next;
            }
        }
        parts
    }

    /// Takes the earliest complete head that was not taken yet.
    pub(super) fn take_head(&mut self) -> Option<ReceivedHead> {
        self.heads.pop_front()
    }

    /// The number of complete heads that were not taken.
    pub(super) fn complete_heads(&self) -> usize {
        self.heads.len()
    }

    /// Releases the ids of all messages whose heads were not taken.
    pub(super) fn release_request_ids(&mut self) {
        self.request_id = None;
        self.heads.clear();
    }

    /// Whether the current message has begun and is incomplete.
    pub(super) fn is_inside_message(&self) -> bool {
        match &self.part {
            MessagePart::Head(scanner) => scanner.has_begun(),
            _ => true,
        }
    }

    /// Whether the next byte belongs to a body.
    pub(super) fn is_inside_body(&self) -> bool {
        !matches!(self.part, MessagePart::Head(_))
    }

    /// Consumes one byte or more. Returns the next part if the current one has ended.
    fn advance(&mut self, bytes: &mut &[u8]) -> Option<MessagePart> {
        match &mut self.part {
            MessagePart::Head(scanner) => {
                let head = scanner.feed(bytes);
                let new_id = scanner.find_request_id();
                if let Some(id) = new_id.filter(|_| self.request_id.is_none()) {
                    self.request_id = Some(self.request_ids.claim(id));
                }
                head.map(|head| self.begin_body(head))
            }
            MessagePart::Body { bytes_left } => {
                skip(bytes, bytes_left);
                (*bytes_left == 0).then(MessagePart::default)
            }
            MessagePart::ChunkSize(line) => match line.push(take_byte(bytes)) {
                Ok(None) => None,
                Ok(Some(0)) => Some(MessagePart::Trailers {
                    is_line_nonempty: false,
                }),
                Ok(Some(size)) => Some(MessagePart::ChunkData { bytes_left: size }),
                Err(ChunkSizeOverflow) => Some(MessagePart::Ambiguous),
            },
            MessagePart::ChunkData { bytes_left } => {
                skip(bytes, bytes_left);
                (*bytes_left == 0).then_some(MessagePart::ChunkEnd)
            }
            MessagePart::ChunkEnd => (take_byte(bytes) == b'\n')
                .then(|| MessagePart::ChunkSize(ChunkSizeLine::default())),
            MessagePart::Trailers { is_line_nonempty } => match take_byte(bytes) {
                b'\r' => None,
                b'\n' if !*is_line_nonempty => Some(MessagePart::default()),
                byte => {
                    *is_line_nonempty = byte != b'\n';
                    None
                }
            },
            MessagePart::Ambiguous => {
                *bytes = &[];
                None
            }
        }
    }

    /// Returns the part that follows a complete head.
    fn begin_body(&mut self, head: ScannedHead) -> MessagePart {
        self.heads.push_back(ReceivedHead {
            framing_counts: head.framing_counts,
            request_id: self.request_id.take(),
        });
        match head.body {
            BodyFraming::Length(0) => MessagePart::default(),
            BodyFraming::Length(length) => MessagePart::Body { bytes_left: length },
            BodyFraming::Chunked => MessagePart::ChunkSize(ChunkSizeLine::default()),
            BodyFraming::Ambiguous => MessagePart::Ambiguous,
        }
    }
}

/// Consumes one byte.
///
/// # Panics
/// `bytes` is empty.
fn take_byte(bytes: &mut &[u8]) -> u8 {
    let (first, rest) = bytes.split_first().expect("at least one byte");
    *bytes = rest;
    *first
}

/// Consumes up to `bytes_left` of the available bytes, and subtracts their number from it.
fn skip(bytes: &mut &[u8], bytes_left: &mut u64) {
    let length = bytes
        .len()
        .min(usize::try_from(*bytes_left).unwrap_or(usize::MAX));
    *bytes = &bytes[length..];
    *bytes_left -= length as u64;
}

#[cfg(test)]
mod tests;
