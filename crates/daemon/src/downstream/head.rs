//! Counts how often a message's head declares the framing of its body, in the bytes as they are received:
//! hyper goes by one declaration and drops the other unseen.

/// Length of the longest field name that is looked for.
const LONGEST_NAME: usize = "transfer-encoding".len();

/// How often a head declares the framing of its body.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Framings {
    /// `Content-Length` fields.
    pub lengths: u8,
    /// `Transfer-Encoding` fields.
    pub codings: u8,
}

impl Framings {
    /// There is only one way to read where the body ends.
    pub(crate) fn is_clear(self) -> bool {
        self.lengths + self.codings <= 1
    }
}

/// Scans a message's head, in pieces of any size.
#[derive(Default)]
pub(crate) struct HeadScan {
    /// Lines that are complete and not empty; the first is the request line.
    lines: usize,
    /// The start of the line at hand, in lower case.
    name: [u8; LONGEST_NAME],
    /// Bytes of the line at hand, counted up to its colon.
    line_length: usize,
    /// The line at hand has had its colon.
    is_named: bool,
    is_complete: bool,
    found: Framings,
}

impl HeadScan {
    /// Takes the next bytes of the message; those behind the head's end are passed over.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.is_complete {
                return;
            }
            match byte {
                b'\r' => {}
                b'\n' => self.end_line(),
                b':' if self.lines > 0 && !self.is_named => self.end_name(),
                _ => self.push(*byte),
            }
        }
    }

    /// The declarations found so far.
    pub(crate) fn found(&self) -> Framings {
        self.found
    }

    fn end_line(&mut self) {
        let is_empty = self.line_length == 0;
        // Empty lines before a message do not end its head.
        self.is_complete = self.lines > 0 && is_empty;
        self.lines += usize::from(!is_empty);
        self.line_length = 0;
        self.is_named = false;
    }

    fn end_name(&mut self) {
        let name = &self.name[..self.line_length.min(LONGEST_NAME)];
        match name {
            b"content-length" => self.found.lengths = self.found.lengths.saturating_add(1),
            b"transfer-encoding" => self.found.codings = self.found.codings.saturating_add(1),
            _ => {}
        }
        self.is_named = true;
        self.line_length += 1;
    }

    fn push(&mut self, byte: u8) {
        if let Some(slot) = self.name.get_mut(self.line_length) {
            *slot = byte.to_ascii_lowercase();
        }
        self.line_length += 1;
    }
}

#[cfg(test)]
mod tests;
