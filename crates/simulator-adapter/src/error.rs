//! What is wrong with an input line.

use thiserror::Error;

/// An error with the number of the line, counted from 1.
#[derive(Debug, Error)]
#[error("line {line}: {error}")]
pub(crate) struct WireError {
    /// Number of the input line.
    pub(crate) line: u64,
    /// What is wrong with it.
    pub(crate) error: LineError,
}

/// What is wrong with one line.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    /// A field, or all fields from it on, is not there.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field is no number, or none of the type that is wanted.
    #[error("{field} is not a number in range: {text}")]
    NotANumber {
        /// Name of the field.
        field: &'static str,
        /// What it holds.
        text: String,
    },
    /// A number is outside the range of its field.
    #[error("{field} is out of range: {value}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// What it holds.
        value: String,
    },
    /// A word or code that the wire does not have, or a name that the settings do not have.
    #[error("{field} is not known: {value}")]
    Unknown {
        /// Name of the field.
        field: &'static str,
        /// What it holds.
        value: String,
    },
    /// A flag that is neither 0 nor 1.
    #[error("{field} is not 0 or 1: {text}")]
    NotAFlag {
        /// Name of the field.
        field: &'static str,
        /// What it holds.
        text: String,
    },
    /// The settings of an instance can't be read.
    #[error("conf: {0}")]
    Settings(String),
    /// A load report can't be read.
    #[error("metrics {0}")]
    LoadReport(String),
    /// An update names a list that never came.
    #[error("bank has no list: {0}")]
    NoSuchBank(u64),
    /// Another message came before the last entry of a list.
    #[error("nodes-list has fewer entries than it says")]
    IncompleteList,
    /// A batch began within another.
    #[error("BATCH before the last one's FLUSH")]
    NestedBatch,
    /// A message came outside a batch.
    #[error("BATCH expected, not {0}")]
    BatchExpected(String),
    /// The input ended within a batch.
    #[error("input ends before FLUSH")]
    UnfinishedBatch,
    /// The line has no end.
    #[error("the line is cut off")]
    Truncated,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
