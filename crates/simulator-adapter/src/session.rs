//! A session with the simulator: reads batches of messages and writes the reply to a batch when it ends.

use crate::endpoints::ListEntry;
use crate::error::{InputError, LineError};
use crate::fields::Fields;
use crate::protocol::{LIST_NUMBER_BITS, command, field, message};
use crate::simulated_proxies::SimulatedProxies;
use std::fmt::Write as _;
use std::io::{BufRead, Write};

/// Handles messages until the end of the input.
///
/// # Errors
/// The input is malformed, or reading or writing failed.
pub(crate) fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), InputError> {
    let mut session = Session::default();
    let mut buffer = Vec::new();
    let mut line = 0;
    loop {
        line += 1;
        let at_line = |error| InputError { line, error };
        let Some(text) = read_line(&mut input, &mut buffer).map_err(at_line)? else {
            return session.end().map_err(at_line);
        };
        session.handle_line(text, &mut output).map_err(at_line)?;
    }
}

/// Reads the next line without its line end; `None` at the end of the input.
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

/// An endpoint list that has not been received completely.
struct PartialList {
    number: u64,
    missing_entries: usize,
    entries: Vec<ListEntry>,
}

/// The state of a session.
#[derive(Default)]
struct Session {
    proxies: SimulatedProxies,
    /// Serial number of the open batch; `None` between batches.
    open_batch: Option<u64>,
    partial_list: Option<PartialList>,
}

impl Session {
    /// Checks at the end of the input that no batch is open.
    fn end(&self) -> Result<(), LineError> {
        match self.open_batch {
            None => Ok(()),
            Some(_) => Err(LineError::UnfinishedBatch),
        }
    }

    fn handle_line(&mut self, text: &str, output: &mut impl Write) -> Result<(), LineError> {
        if let Some(list) = self.partial_list.take() {
            return self.add_entry(list, text);
        }
        let mut fields = Fields::new(text);
        let name = fields.text(field::MESSAGE_NAME)?;
        match (name, self.open_batch) {
            (message::BATCH_START, None) => self.open_batch(&mut fields),
            (message::BATCH_START, Some(_)) => Err(LineError::NestedBatch),
            (_, None) if text.is_empty() => Ok(()),
            (_, None) => Err(LineError::BatchExpected(name.to_owned())),
            (message::BATCH_END, Some(serial)) => self.answer_batch(serial, output),
            (message::ENDPOINT_LIST, Some(_)) => self.open_list(&mut fields),
            (_, Some(_)) => self.proxies.handle(name, &mut fields),
        }
    }

    fn open_batch(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        self.proxies.clock = fields.number(field::CLOCK)?;
        self.open_batch = Some(fields.number(field::BATCH_SERIAL)?);
        Ok(())
    }

    fn answer_batch(&mut self, serial: u64, output: &mut impl Write) -> Result<(), LineError> {
        self.open_batch = None;
        let answer = &mut self.proxies.output;
        writeln!(answer, "{}\t{serial}", command::BATCH_ANSWERED).expect("writing to a string");
        output.write_all(answer.as_bytes())?;
        output.flush()?;
        answer.clear();
        Ok(())
    }

    fn open_list(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let number = fields.number_of_bits(field::LIST_NUMBER, LIST_NUMBER_BITS)?;
        let missing_entries = fields.number(field::LIST_LENGTH)?;
        self.store_list(PartialList {
            number,
            missing_entries,
            entries: Vec::new(),
        });
        Ok(())
    }

    fn add_entry(&mut self, mut list: PartialList, text: &str) -> Result<(), LineError> {
        list.entries.push(ListEntry::parse(text)?);
        list.missing_entries -= 1;
        self.store_list(list);
        Ok(())
    }

    /// Stores a list for the proxies if it is complete; otherwise keeps it until its next entry.
    fn store_list(&mut self, list: PartialList) {
        if list.missing_entries == 0 {
            self.proxies.lists.insert(list.number, list.entries);
        } else {
            self.partial_list = Some(list);
        }
    }
}
