//! How often a message's head says how its body is framed, counted in the bytes as they come: hyper hands on one
//! framing and drops the other unseen.

const LONGEST: usize = "transfer-encoding".len();

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Framings {
    pub lengths: u8,
    pub codings: u8,
}

impl Framings {
    /// One way to read where the body ends.
    pub(crate) fn is_clear(self) -> bool {
        self.lengths + self.codings <= 1
    }
}

#[derive(Default)]
pub(crate) struct HeadScan {
    line: usize,
    name: [u8; LONGEST], // of the field at hand, in small letters
    length: usize,       // of the line at hand up to its colon
    named: bool,
    ended: bool,
    found: Framings,
}

impl HeadScan {
    /// Takes what comes next; bytes behind the head's end are passed over.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.ended => return,
                b'\r' => {}
                b'\n' => {
                    // Empty lines before a message are no end of it.
                    self.ended = self.line > 0 && self.length == 0;
                    self.line += usize::from(self.length > 0);
                    (self.length, self.named) = (0, false);
                }
                b':' if self.line > 0 && !self.named => {
                    match &self.name[..self.length.min(LONGEST)] {
                        b"content-length" => {
                            self.found.lengths = self.found.lengths.saturating_add(1)
                        }
                        b"transfer-encoding" => {
                            self.found.codings = self.found.codings.saturating_add(1)
                        }
                        _ => {}
                    }
                    (self.named, self.length) = (true, self.length + 1);
                }
                _ => {
                    if let Some(place) = self.name.get_mut(self.length) {
                        *place = byte.to_ascii_lowercase();
                    }
                    self.length += 1;
                }
            }
        }
    }

    pub(crate) fn found(&self) -> Framings {
        self.found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn framings_are_counted_in_any_pieces() {
        let head = b"\r\nPOST /content-length: HTTP/1.1\r\nCONTENT-Length: 4\r\nx: content-length: 5\r\n\
                     Transfer-encoding:chunked\r\ncontent-length:4\r\nContent-Length-X: 1\r\n\r\ncontent-length: 9\r\n";
        for size in 1..head.len() {
            let mut scan = HeadScan::default();
            head.chunks(size).for_each(|piece| scan.feed(piece));
            assert_eq!(
                scan.found(),
                Framings {
                    lengths: 2,
                    codings: 1
                },
                "pieces of {size}"
            );
        }
    }
}
