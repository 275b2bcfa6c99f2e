//! Errors in the simulator's input.

use birchhub_settings::{LoadReportError, SettingsError};
use thiserror::Error;

/// An error and the number of the input line that it was found in.
#[derive(Debug, Error)]
#[error("line {line}: {error}")]
pub(crate) struct InputError {
    /// Number of the line, counted from 1.
    pub(crate) line: u64,
    /// The error in the line.
    pub(crate) error: LineError,
}

/// An error in an input line. The messages are matched by `tests/fixtures/malformed.json`.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    /// The line ends before this field.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field is not a number, or exceeds the range of its type.
    #[error("{field} is not a number in range: {text}")]
    NotANumber {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        text: String,
    },
    /// A number exceeds the range that the protocol permits.
    #[error("{field} is out of range: {value}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The protocol does not define this name or code, or the settings do not define this method.
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
    /// A batch began before the previous one ended.
    #[error("BATCH before the last one's FLUSH")]
    NestedBatch,
    /// A message arrived outside a batch.
    #[error("BATCH expected, not {0}")]
    BatchExpected(String),
    /// The input ended within a batch.
    #[error("input ends before FLUSH")]
    UnfinishedBatch,
    /// The input ended before the line's end.
    #[error("the line is cut off")]
    Truncated,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
