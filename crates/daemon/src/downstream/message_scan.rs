//! Finds in the bytes that a client sends where each message ends. hyper reads ahead of the message that it is at: the
//! start of a further one may stand in its buffer, and nothing would tell that a client stopped in the middle of it.
use crate::downstream::head_scan::{BodyFraming, Framings, HeadScan, ScannedHead};
use std::collections::VecDeque;

/// What the next byte belongs to.
enum Part {
    Head(HeadScan),
    /// So many bytes of a body, or of a chunk's data, are still to come.
    Body(u64),
    ChunkSize(ChunkSize),
    ChunkData(u64),
    /// The line end behind a chunk's data.
    ChunkEnd,
    /// Behind the last chunk; whether the line at hand has a byte besides its end.
    Trailers {
        is_line_begun: bool,
    },
    /// Not to be told: the message is rejected, and its connection closed.
    Unclear,
}

impl Default for Part {
    fn default() -> Self {
        Self::Head(HeadScan::default())
    }
}

/// The line ahead of a chunk's data.
#[derive(Default)]
struct ChunkSize {
    size: u64,
    /// An extension, or space, follows the digits.
    are_digits_over: bool,
}

impl ChunkSize {
    /// Takes the next byte; the size once the line is complete, an error if it is none.
    fn push(&mut self, byte: u8) -> Result<Option<u64>, NoChunkSize> {
        match (byte as char).to_digit(16) {
            _ if byte == b'\n' => return Ok(Some(self.size)),
            Some(digit) if !self.are_digits_over => {
                let shifted = self.size.checked_mul(16).ok_or(NoChunkSize)?;
                self.size = shifted + u64::from(digit);
            }
            _ => self.are_digits_over = true,
        }
        Ok(None)
    }
}

/// A chunk's size is beyond all limits.
struct NoChunkSize;

/// Follows the messages on a client's connection.
#[derive(Default)]
pub(super) struct MessageScan {
    part: Part,
    /// Of the heads that are complete and were not asked for yet, the earliest first.
    framings: VecDeque<Framings>,
}

impl MessageScan {
    /// Takes the next bytes of the connection.
    pub(super) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            self.advance(&mut bytes);
        }
    }

    /// What the earliest complete head that was not asked for declares.
    pub(super) fn take_framings(&mut self) -> Option<Framings> {
        self.framings.pop_front()
    }

    /// Whether a message has begun whose end was not seen.
    pub(super) fn is_inside_message(&self) -> bool {
        match &self.part {
            Part::Head(head) => head.is_begun(),
            _ => true,
        }
    }

    /// Takes one byte or more.
    fn advance(&mut self, bytes: &mut &[u8]) {
        let next = match &mut self.part {
            Part::Head(scan) => {
                let head = scan.feed(bytes);
                head.map(|head| self.begin_body(head))
            }
            Part::Body(left) => {
                skip(bytes, left);
                (*left == 0).then(Part::default)
            }
            Part::ChunkSize(line) => match line.push(take_byte(bytes)) {
                Ok(None) => None,
                Ok(Some(0)) => Some(Part::Trailers {
                    is_line_begun: false,
                }),
                Ok(Some(size)) => Some(Part::ChunkData(size)),
                Err(NoChunkSize) => Some(Part::Unclear),
            },
            Part::ChunkData(left) => {
                skip(bytes, left);
                (*left == 0).then_some(Part::ChunkEnd)
            }
            Part::ChunkEnd => {
                (take_byte(bytes) == b'\n').then(|| Part::ChunkSize(ChunkSize::default()))
            }
            Part::Trailers { is_line_begun } => match take_byte(bytes) {
                b'\r' => None,
                b'\n' if !*is_line_begun => Some(Part::default()),
                byte => {
                    *is_line_begun = byte != b'\n';
                    None
                }
            },
            Part::Unclear => {
                *bytes = &[];
                None
            }
        };
        if let Some(next) = next {
            self.part = next;
        }
    }

    /// The part behind a complete head.
    fn begin_body(&mut self, head: ScannedHead) -> Part {
        self.framings.push_back(head.framings);
        match head.body {
            BodyFraming::Length(0) => Part::default(),
            BodyFraming::Length(length) => Part::Body(length),
            BodyFraming::Chunked => Part::ChunkSize(ChunkSize::default()),
            BodyFraming::Unclear => Part::Unclear,
        }
    }
}

fn take_byte(bytes: &mut &[u8]) -> u8 {
    let (first, rest) = bytes.split_first().expect("a byte to take");
    *bytes = rest;
    *first
}

/// Passes over as many of `left` bytes as there are.
fn skip(bytes: &mut &[u8], left: &mut u64) {
    let length = bytes
        .len()
        .min(usize::try_from(*left).unwrap_or(usize::MAX));
    *bytes = &bytes[length..];
    *left -= length as u64;
}

#[cfg(test)]
mod tests;
