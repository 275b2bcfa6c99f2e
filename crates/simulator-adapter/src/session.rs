//! The conversation with the simulator: batches of messages, each answered as a whole at its end.

use crate::endpoints::ListEntry;
use crate::error::{LineError, WireError};
use crate::fields::Fields;
use crate::process::Process;
use std::fmt::Write as _;
use std::io::{BufRead, Write};

/// Bits of a list's number.
const LIST_BITS: u32 = 4;

/// Reads messages until the end of the input.
pub(crate) fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut session = Session::default();
    let mut buffer = Vec::new();
    let mut line = 0;
    loop {
        line += 1;
        let at_line = |error| WireError { line, error };
        let Some(text) = read_line(&mut input, &mut buffer).map_err(at_line)? else {
            return session.end().map_err(at_line);
        };
        session.handle_line(text, &mut output).map_err(at_line)?;
    }
}

/// The next line without its end; `None` at the end of the input.
fn read_line<'a>(
    input: &mut impl BufRead,
    buffer: &'a mut Vec<u8>,
) -> Result<Option<&'a str>, LineError> {
    buffer.clear();
    if input.read_until(b'\n', buffer)? == 0 {
        return Ok(None);
    }
    let line = buffer.strip_suffix(b"\n").ok_or(LineError::Truncated)?;
    let text = std::str::from_utf8(line).map_err(|_| LineError::NotUtf8)?;
    Ok(Some(text))
}

/// A list of which some entries are still to come.
struct PartialList {
    number: u64,
    missing: usize,
    entries: Vec<ListEntry>,
}

/// Where the conversation stands.
#[derive(Default)]
struct Session {
    process: Process,
    /// Serial number of the batch that is open.
    batch: Option<u64>,
    partial_list: Option<PartialList>,
}

impl Session {
    /// The input has ended.
    fn end(&self) -> Result<(), LineError> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(LineError::UnfinishedBatch),
        }
    }

    fn handle_line(&mut self, text: &str, output: &mut impl Write) -> Result<(), LineError> {
        if let Some(list) = self.partial_list.take() {
            return self.add_entry(list, text);
        }
        let mut fields = Fields::new(text);
        let message = fields.text("the message name")?;
        match (message, self.batch) {
            ("BATCH", None) => self.open_batch(&mut fields),
            ("BATCH", Some(_)) => Err(LineError::NestedBatch),
            (_, None) if text.is_empty() => Ok(()),
            (_, None) => Err(LineError::BatchExpected(message.to_owned())),
            ("FLUSH", Some(serial)) => self.answer_batch(serial, output),
            ("TABLE", Some(_)) => self.open_list(&mut fields),
            (_, Some(_)) => self.process.handle(message, &mut fields),
        }
    }

    fn open_batch(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        self.process.clock = fields.number("at-time-ns")?;
        self.batch = Some(fields.number("serial")?);
        Ok(())
    }

    fn answer_batch(&mut self, serial: u64, output: &mut impl Write) -> Result<(), LineError> {
        self.batch = None;
        let answer = &mut self.process.output;
        writeln!(answer, "YIELD\t{serial}").expect("writing to a string");
        output.write_all(answer.as_bytes())?;
        output.flush()?;
        answer.clear();
        Ok(())
    }

    fn open_list(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let number = fields.number_of_bits("bank", LIST_BITS)?;
        let missing = fields.number("nodes-list")?;
        self.keep_list(PartialList {
            number,
            missing,
            entries: Vec::new(),
        });
        Ok(())
    }

    fn add_entry(&mut self, mut list: PartialList, text: &str) -> Result<(), LineError> {
        list.entries.push(ListEntry::parse(text)?);
        list.missing -= 1;
        self.keep_list(list);
        Ok(())
    }

    /// Puts a list in force once it is complete.
    fn keep_list(&mut self, list: PartialList) {
        if list.missing == 0 {
            self.process.lists.insert(list.number, list.entries);
        } else {
            self.partial_list = Some(list);
        }
    }
}
