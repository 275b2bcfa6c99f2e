//! The fields of one line: separated by tabs, taken in order, `-` for one that is absent.

use crate::error::LineError;
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_settings as settings;
use std::str::FromStr;

const ABSENT: &str = "-";

/// What is left of a line.
pub(crate) struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// The fields of a line without its end.
    pub(crate) fn new(line: &'a str) -> Self {
        Self { rest: Some(line) }
    }

    /// The next field as it stands.
    pub(crate) fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let rest = self.rest.ok_or(LineError::Missing(field))?;
        let (text, rest) = match rest.split_once('\t') {
            Some((text, rest)) => (text, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok(text)
    }

    /// The next field, if it is not absent.
    pub(crate) fn optional_text(
        &mut self,
        field: &'static str,
    ) -> Result<Option<&'a str>, LineError> {
        let text = self.text(field)?;
        Ok((text != ABSENT).then_some(text))
    }

    /// The next field as a number.
    pub(crate) fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        let text = self.text(field)?;
        parse(field, text)
    }

    /// The next field as a number, if it is not absent.
    pub(crate) fn optional_number<T: FromStr>(
        &mut self,
        field: &'static str,
    ) -> Result<Option<T>, LineError> {
        let text = self.optional_text(field)?;
        text.map(|text| parse(field, text)).transpose()
    }

    /// The next field as a number of at most so many bits.
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

    /// The next field as 0 or 1.
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

    /// All that is left, tabs too.
    pub(crate) fn remainder(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest.take().ok_or(LineError::Missing(field))
    }

    /// The next field as the code of an outcome.
    pub(crate) fn outcome(&mut self) -> Result<AttemptOutcome, LineError> {
        let field = "state-code";
        Ok(match self.number::<u32>(field)? {
            0 => AttemptOutcome::Succeeded,
            255 => AttemptOutcome::Failed,
            254 => AttemptOutcome::Rejected,
            253 => AttemptOutcome::TimedOut,
            252 => AttemptOutcome::ConnectFailed,
            251 => AttemptOutcome::Reset,
            250 => AttemptOutcome::Cancelled,
            249 => AttemptOutcome::NotSent,
            other => {
                let value = other.to_string();
                return Err(LineError::Unknown { field, value });
            }
        })
    }

    /// The next field as a load report, if it carries one.
    pub(crate) fn load_report(&mut self) -> Result<Option<LoadReport>, LineError> {
        let text = self.optional_text("metrics")?;
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        settings::parse_load_report(text, ':')
            .map(Some)
            .map_err(|error| LineError::LoadReport(error.to_string()))
    }
}

fn parse<T: FromStr>(field: &'static str, text: &str) -> Result<T, LineError> {
    text.parse().map_err(|_| LineError::NotANumber {
        field,
        text: text.to_owned(),
    })
}
