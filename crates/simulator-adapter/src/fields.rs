//! Reader of the tab-separated fields of one input line.

use crate::error::LineError;
use crate::protocol::{self, ABSENT, field};
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_settings as settings;
use std::str::FromStr;

/// The fields of a line that have not been read yet.
pub(crate) struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of a line, which must not include its line terminator.
    pub(crate) fn new(line: &'a str) -> Self {
        Self { rest: Some(line) }
    }

    /// Reads the next field as text.
    pub(crate) fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let rest = self.rest.ok_or(LineError::Missing(field))?;
        let (text, rest) = match rest.split_once('\t') {
            Some((text, rest)) => (text, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok(text)
    }

    /// Reads the next field as text; `None` if it holds the mark of an absent value.
    pub(crate) fn optional_text(
        &mut self,
        field: &'static str,
    ) -> Result<Option<&'a str>, LineError> {
        let text = self.text(field)?;
        Ok((text != ABSENT).then_some(text))
    }

    /// Reads the next field as a number.
    pub(crate) fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        let text = self.text(field)?;
        parse(field, text)
    }

    /// Reads the next field as a number; `None` if it holds the mark of an absent value.
    pub(crate) fn optional_number<T: FromStr>(
        &mut self,
        field: &'static str,
    ) -> Result<Option<T>, LineError> {
        let text = self.optional_text(field)?;
        text.map(|text| parse(field, text)).transpose()
    }

    /// Reads the next field as a number of at most `bits` bits.
    pub(crate) fn number_of_bits(
        &mut self,
        field: &'static str,
        bits: u32,
    ) -> Result<u64, LineError> {
        let number: u64 = self.number(field)?;
        if number >> bits == 0 {
            Ok(number)
        } else {
            let value = number.to_string();
            Err(LineError::OutOfRange { field, value })
        }
    }

    /// Reads the next field as a flag, which is 0 or 1.
    pub(crate) fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => Err(LineError::NotAFlag {
                field,
                text: other.to_owned(),
            }),
        }
    }

    /// Reads the rest of the line, tabs included.
    pub(crate) fn remainder(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest.take().ok_or(LineError::Missing(field))
    }

    /// Reads the next field as the code of an attempt's outcome.
    pub(crate) fn outcome(&mut self) -> Result<AttemptOutcome, LineError> {
        let code: u32 = self.number(field::OUTCOME)?;
        protocol::outcome(code).ok_or_else(|| LineError::Unknown {
            field: field::OUTCOME,
            value: code.to_string(),
        })
    }

    /// Reads the next field as a name that `lookup` resolves; `LineError::Unknown` if it returns `None`.
    pub(crate) fn name<T>(
        &mut self,
        field: &'static str,
        lookup: impl Fn(&str) -> Option<T>,
    ) -> Result<T, LineError> {
        let name = self.text(field)?;
        lookup(name).ok_or_else(|| LineError::Unknown {
            field,
            value: name.to_owned(),
        })
    }

    /// Reads the next field as a load report, unless it is absent or empty.
    pub(crate) fn load_report(&mut self) -> Result<Option<LoadReport>, LineError> {
        let text = self.optional_text(field::LOAD_REPORT)?;
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        settings::parse_load_report(text, ':')
            .map(Some)
            .map_err(LineError::LoadReport)
    }
}

fn parse<T: FromStr>(field: &'static str, text: &str) -> Result<T, LineError> {
    text.parse().map_err(|_| LineError::NotANumber {
        field,
        text: text.to_owned(),
    })
}
