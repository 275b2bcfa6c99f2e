//! Errors of the input.

use birchhub_settings::{LoadReportError, SettingsError};
use thiserror::Error;

/// An error in one input line.
#[derive(Debug, Error)]
#[error("line {line}: {error}")]
pub(crate) struct InputError {
    /// Number of the line, counted from 1.
    pub(crate) line: u64,
    /// What is wrong with it.
    pub(crate) error: LineError,
}

/// What is wrong with one line.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    /// A field is missing, and with it all that follow.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field is not a number, or out of the range of its type.
    #[error("{field} is not a number in range: {text}")]
    NotANumber {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        text: String,
    },
    /// A number is outside the range of its field.
    #[error("{field} is out of range: {value}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A name or code is unknown to the protocol, or a name to the settings.
    #[error("{field} is not known: {value}")]
    Unknown {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A flag is neither 0 nor 1.
    #[error("{field} is not 0 or 1: {text}")]
    NotAFlag {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        text: String,
    },
    /// The settings of a proxy are invalid.
    #[error("conf: {0}")]
    Settings(SettingsError),
    /// A load report is malformed.
    #[error("metrics {0}")]
    LoadReport(LoadReportError),
    /// An endpoint update refers to a list that was not sent.
    #[error("bank has no list: {0}")]
    NoSuchList(u64),
    /// Another message arrived before the last entry of a list.
    #[error("nodes-list has fewer entries than it says")]
    IncompleteList,
    /// A batch began within another.
    #[error("BATCH before the last one's FLUSH")]
    NestedBatch,
    /// A message arrived outside a batch.
    #[error("BATCH expected, not {0}")]
    BatchExpected(String),
    /// The input ended within a batch.
    #[error("input ends before FLUSH")]
    UnfinishedBatch,
    /// The input ended within the line.
    #[error("the line is cut off")]
    Truncated,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
