//! The file that keeps a rehearsal: a magic line, the head as one line of JSON, then one record after another (postcard: a
//! few bytes each), so that a run that was stopped can be read up to where it came.
use crate::event::Entry;
use crate::head::Head;
use std::io::{BufRead, Read, Write};

/// First line of every ledger; the number grows when older readers could not understand it.
const MAGIC: &str = "birchhub-ledger 1";
const RECORD_MOST: usize = 4096; // bytes: longer ones are damage, not events

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("not a ledger of this version: the first line is not \"{MAGIC}\"")]
    Magic,
    #[error("the head, line 2: {0}")]
    Head(#[from] serde_json::Error),
    #[error("record {number} at byte {byte}: {why}")]
    Record {
        number: usize,
        byte: usize,
        why: &'static str,
    },
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Writes a ledger.
pub struct Writer<W: Write> {
    to: W,
}

impl<W: Write> Writer<W> {
    pub fn new(mut to: W, head: &Head) -> Result<Self, Fault> {
        writeln!(to, "{MAGIC}")?;
        serde_json::to_writer(&mut to, head)?;
        writeln!(to)?;
        Ok(Self { to })
    }

    pub fn write(&mut self, entry: &Entry) -> Result<(), Fault> {
        let record = postcard::to_stdvec(entry).map_err(std::io::Error::other)?;
        self.to.write_all(&(record.len() as u16).to_le_bytes())?;
        Ok(self.to.write_all(&record)?)
    }

    pub fn flush(&mut self) -> Result<(), Fault> {
        Ok(self.to.flush()?)
    }
}

/// A ledger read back, in the order of time.
#[derive(Debug)]
pub struct Ledger {
    pub head: Head,
    pub entries: Vec<Entry>,
    /// The last record was cut off: the writer was stopped.
    pub cut: bool,
}

/// Reads it whole. Damage in the middle is an error that names the record; a record cut off at the end is not.
pub fn read(mut from: impl BufRead) -> Result<Ledger, Fault> {
    let mut line = String::new();
    from.by_ref()
        .take(MAGIC.len() as u64 + 1)
        .read_line(&mut line)
        .map_err(|_| Fault::Magic)?;
    if line.trim_end() != MAGIC {
        return Err(Fault::Magic);
    }
    line.clear();
    from.read_line(&mut line)?;
    let head = serde_json::from_str(&line)?;
    let mut bytes = Vec::new();
    from.read_to_end(&mut bytes)?;
    let (mut entries, mut place, mut cut) = (Vec::new(), 0, false);
    while place < bytes.len() {
        let fault = |why| Fault::Record {
            number: entries.len(),
            byte: place,
            why,
        };
        let Some(length) = bytes.get(place..place + 2) else {
            cut = true;
            break;
        };
        let length = u16::from_le_bytes([length[0], length[1]]) as usize;
        if length > RECORD_MOST {
            return Err(fault("longer than any record"));
        }
        let Some(record) = bytes.get(place + 2..place + 2 + length) else {
            cut = true;
            break;
        };
        let entry: Entry = postcard::from_bytes(record).map_err(|_| fault("makes no sense"))?;
        if !entry.at.is_finite() {
            return Err(fault("has no time"));
        }
        entries.push(entry);
        place += 2 + length;
    }
    // Several threads wrote: the order of the file is not quite that of time.
    entries.sort_by(|a: &Entry, b| a.at.total_cmp(&b.at));
    Ok(Ledger { head, entries, cut })
}
