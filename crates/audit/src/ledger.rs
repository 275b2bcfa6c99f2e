//! Reads and writes ledger files.
//!
//! A file consists of a line with the format and its version, the header as one line of JSON, and the entries as
//! length-prefixed postcard records. A file whose writer was interrupted can be read up to its last complete record.
use crate::event::Entry;
use crate::header::Header;
use std::io::{self, BufRead, Read, Write};

/// First line of every ledger. The version is incremented when older readers cannot read a new format.
const MAGIC: &str = "birchhub-ledger 1";

/// Maximum length of a record, in bytes. A longer length prefix means that the file is corrupt.
const MAX_RECORD_BYTES: usize = 4096;

/// Size of the length prefix of a record, in bytes: a little-endian `u16`.
const LENGTH_PREFIX_BYTES: usize = size_of::<u16>();

/// Error while a ledger is read or written.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The file is not a ledger, or has another version of the format.
    #[error("not a ledger of this version: the first line is not \"{MAGIC}\"")]
    Magic,
    /// The header could not be parsed or serialized.
    #[error("header in line 2: {0}")]
    Header(#[from] serde_json::Error),
    /// A record is corrupt.
    #[error("record {index} at byte {offset}: {error}")]
    Record {
        /// Index of the record.
        index: usize,
        /// Offset of its length prefix, in bytes from the end of the header.
        offset: usize,
        /// Why it is invalid.
        error: RecordError,
    },
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why a record is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Its length prefix exceeds the maximum length of a record.
    #[error("length prefix exceeds {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// Its bytes cannot be decoded as an entry.
    #[error("bytes cannot be decoded as an entry of this version")]
    Undecodable,
    /// The time of the entry is infinite or not a number.
    #[error("time of the entry is not finite")]
    TimeNotFinite,
}

/// Writes a ledger.
pub struct Writer<W: Write> {
    output: W,
}

impl<W: Write> Writer<W> {
    /// Creates a writer and writes the header.
    pub fn new(mut output: W, header: &Header) -> Result<Self, LedgerError> {
        writeln!(output, "{MAGIC}")?;
        serde_json::to_writer(&mut output, header)?;
        writeln!(output)?;
        Ok(Self { output })
    }

    /// Writes an entry.
    pub fn write(&mut self, entry: &Entry) -> Result<(), LedgerError> {
        let record = postcard::to_stdvec(entry).map_err(io::Error::other)?;
        let length = record.len() as u16;
        self.output.write_all(&length.to_le_bytes())?;
        self.output.write_all(&record)?;
        Ok(())
    }

    /// Flushes the output.
    pub fn flush(&mut self) -> Result<(), LedgerError> {
        self.output.flush()?;
        Ok(())
    }
}

/// A ledger that was read from a file.
#[derive(Debug)]
pub struct Ledger {
    /// The header.
    pub header: Header,
    /// The entries, in chronological order.
    pub entries: Vec<Entry>,
    /// Whether the last record is incomplete because the writer was interrupted.
    pub truncated: bool,
}

/// Reads a ledger. A corrupt record is an error; an incomplete one at the end is skipped.
pub fn read(mut input: impl BufRead) -> Result<Ledger, LedgerError> {
    let header = read_header(&mut input)?;
    let mut bytes = Vec::new();
    input.read_to_end(&mut bytes)?;
    let (mut entries, truncated) = decode_records(&bytes)?;
    // Several threads write entries, so the order in the file is only roughly chronological.
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(Ledger {
        header,
        entries,
        truncated,
    })
}

fn read_header(input: &mut impl BufRead) -> Result<Header, LedgerError> {
    let mut line = String::new();
    input
        .by_ref()
        .take(MAGIC.len() as u64 + 1)
        .read_line(&mut line)
        .map_err(|_| LedgerError::Magic)?;
    if line.trim_end() != MAGIC {
        return Err(LedgerError::Magic);
    }
    line.clear();
    input.read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}

/// Decodes the records, and returns whether the last one is incomplete.
fn decode_records(bytes: &[u8]) -> Result<(Vec<Entry>, bool), LedgerError> {
    let mut entries = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let invalid = |error| LedgerError::Record {
            index: entries.len(),
            offset: position,
            error,
        };
        let body = position + LENGTH_PREFIX_BYTES;
        let Some(prefix) = bytes.get(position..body) else {
            return Ok((entries, true));
        };
        let length = u16::from_le_bytes([prefix[0], prefix[1]]) as usize;
        if length > MAX_RECORD_BYTES {
            return Err(invalid(RecordError::TooLong));
        }
        let Some(record) = bytes.get(body..body + length) else {
            return Ok((entries, true));
        };
        let entry = decode_entry(record).map_err(invalid)?;
        entries.push(entry);
        position = body + length;
    }
    Ok((entries, false))
}

fn decode_entry(record: &[u8]) -> Result<Entry, RecordError> {
    let entry: Entry = postcard::from_bytes(record).map_err(|_| RecordError::Undecodable)?;
    if !entry.at.is_finite() {
        return Err(RecordError::TimeNotFinite);
    }
    Ok(entry)
}
