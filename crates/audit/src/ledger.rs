//! The ledger file: a first line that names the format, the header as one line of JSON, and then the entries as
//! length-prefixed postcard records. A file whose writer was stopped can be read up to its last complete record.
use crate::event::Entry;
use crate::header::Header;
use std::io::{self, BufRead, Read, Write};

/// First line of every ledger; the number grows when older readers can't read a new form.
const MAGIC: &str = "birchhub-ledger 1";

/// Largest length of a record, in bytes; a larger one is damage.
const MAX_RECORD_BYTES: usize = 4096;

/// Length of the prefix of a record, in bytes: a little-endian `u16`.
const LENGTH_PREFIX_BYTES: usize = size_of::<u16>();

/// Why a ledger can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The file is not a ledger, or one of another version.
    #[error("not a ledger of this version: the first line is not \"{MAGIC}\"")]
    Magic,
    /// The header can't be parsed or written.
    #[error("the header, line 2: {0}")]
    Header(#[from] serde_json::Error),
    /// A record is damaged.
    #[error("record {number} at byte {byte}: {damage}")]
    Record {
        /// Index of the record.
        number: usize,
        /// Position of its length prefix, in bytes from the end of the header.
        byte: usize,
        /// What is wrong with it.
        damage: RecordDamage,
    },
    /// The file can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// How a record is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordDamage {
    /// Its length prefix exceeds the length of any record.
    #[error("longer than any record")]
    TooLong,
    /// Its bytes are not those of an entry.
    #[error("not an entry that this version can decode")]
    Undecodable,
    /// Its time is infinite or not a number.
    #[error("the time is not finite")]
    TimeNotFinite,
}

/// Writes a ledger.
pub struct Writer<W: Write> {
    output: W,
}

impl<W: Write> Writer<W> {
    /// Writes the header.
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

/// A ledger that was read back.
#[derive(Debug)]
pub struct Ledger {
    /// The header.
    pub header: Header,
    /// The entries, in the order of time.
    pub entries: Vec<Entry>,
    /// Whether the last record is incomplete because the writer was stopped.
    pub truncated: bool,
}

/// Reads a ledger. A damaged record is an error, an incomplete one at the end is not.
pub fn read(mut input: impl BufRead) -> Result<Ledger, LedgerError> {
    let header = read_header(&mut input)?;
    let mut bytes = Vec::new();
    input.read_to_end(&mut bytes)?;
    let (mut entries, truncated) = decode_records(&bytes)?;
    // Several threads write: the order in the file is not quite that of time.
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

/// Decodes the records; the flag tells whether the last one is incomplete.
fn decode_records(bytes: &[u8]) -> Result<(Vec<Entry>, bool), LedgerError> {
    let mut entries = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let damaged = |damage| LedgerError::Record {
            number: entries.len(),
            byte: position,
            damage,
        };
        let body = position + LENGTH_PREFIX_BYTES;
        let Some(prefix) = bytes.get(position..body) else {
            return Ok((entries, true));
        };
        let length = u16::from_le_bytes([prefix[0], prefix[1]]) as usize;
        if length > MAX_RECORD_BYTES {
            return Err(damaged(RecordDamage::TooLong));
        }
        let Some(record) = bytes.get(body..body + length) else {
            return Ok((entries, true));
        };
        let entry = decode_entry(record).map_err(damaged)?;
        entries.push(entry);
        position = body + length;
    }
    Ok((entries, false))
}

fn decode_entry(record: &[u8]) -> Result<Entry, RecordDamage> {
    let entry: Entry = postcard::from_bytes(record).map_err(|_| RecordDamage::Undecodable)?;
    if !entry.at.is_finite() {
        return Err(RecordDamage::TimeNotFinite);
    }
    Ok(entry)
}
