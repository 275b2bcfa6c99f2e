//! Errors of settings objects and load reports, and the paths of the values that caused them.

use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// The path of a value in a JSON document, such as `methods[1].idempotency`. It is empty for the document itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JsonPath(String);

impl JsonPath {
    /// Returns the path of a key in the object at this path.
    pub(crate) fn key(&self, key: &str) -> Self {
        if self.0.is_empty() {
            Self(key.to_owned())
        } else {
            Self(format!("{self}.{key}"))
        }
    }

    /// Returns the path of an item in the list at this path.
    pub(crate) fn index(&self, index: usize) -> Self {
        Self(format!("{self}[{index}]"))
    }
}

impl fmt::Display for JsonPath {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Why a settings object is invalid.
///
/// The operators' documentation quotes the messages. Each starts with the path of the value, so that a caller can
/// prepend the path of the settings object.
#[derive(Clone, Debug, Error, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is not valid JSON.
    #[error("is not JSON: {message}")]
    InvalidJson {
        /// The parser's error.
        message: String,
    },
    /// An account is not valid JSON, or contains a number that is out of range.
    #[error("{path} is not JSON: {message}")]
    InvalidAccountJson {
        /// Path of the account.
        path: JsonPath,
        /// The parser's error.
        message: String,
    },
    /// A value that has no default is missing or null.
    #[error("{path} is missing")]
    Missing {
        /// Path of the value.
        path: JsonPath,
    },
    /// A value is not a finite number of 0 or more.
    #[error("{path} is not a number of 0 or more: {value}")]
    NotANumber {
        /// Path of the value.
        path: JsonPath,
        /// The value.
        value: Value,
    },
    /// A value is not a boolean.
    #[error("{path} is not true or false: {value}")]
    NotABoolean {
        /// Path of the value.
        path: JsonPath,
        /// The value.
        value: Value,
    },
    /// A value is not a string.
    #[error("{path} is not a string")]
    NotAString {
        /// Path of the value.
        path: JsonPath,
    },
    /// A value is not a list.
    #[error("{path} is not a list")]
    NotAList {
        /// Path of the value.
        path: JsonPath,
    },
    /// A string is none of the permitted values.
    #[error("{path} is not known: {value}")]
    UnknownChoice {
        /// Path of the value.
        path: JsonPath,
        /// The value.
        value: String,
    },
    /// The target availability is 0 nines, by which the objective cannot divide losses.
    #[error("{path} is 0: it must be greater than 0, because losses are divided by it")]
    ZeroTargetNines {
        /// Path of the value.
        path: JsonPath,
    },
}

/// Why a load report is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum LoadReportError {
    /// A field of the report is not a name and a value with the separator in between.
    #[error("is not name{separator}value: {pair}")]
    NotAPair {
        /// Separator between name and value.
        separator: char,
        /// Text of the field.
        pair: String,
    },
    /// The value of a known field is not a number.
    #[error("is not a number: {pair}")]
    NotANumber {
        /// Text of the field: its name, the separator and its value.
        pair: String,
    },
}
