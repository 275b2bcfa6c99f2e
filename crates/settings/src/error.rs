//! Errors of settings and load reports, and the path of the value they are about.

use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// The place of a value in a JSON document, as in `methods[1].idempotency`; empty for the document itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JsonPath(String);

impl JsonPath {
    /// The path of the value of `key` in the object at this path.
    pub(crate) fn key(&self, key: &str) -> Self {
        if self.0.is_empty() {
            Self(key.to_owned())
        } else {
            Self(format!("{self}.{key}"))
        }
    }

    /// The path of an item of the list at this path.
    pub(crate) fn index(&self, index: usize) -> Self {
        Self(format!("{self}[{index}]"))
    }
}

impl fmt::Display for JsonPath {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Why a settings object cannot be used.
///
/// The texts are quoted in the operators' pages and start with the path of the value, so that a caller can put the
/// place of the whole object in front.
#[derive(Clone, Debug, Error, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text of the object is not JSON.
    #[error("is not JSON: {message}")]
    InvalidJson {
        /// What the JSON parser reported.
        message: String,
    },
    /// The text of one account is not JSON that can be represented.
    #[error("{path} is not JSON: {message}")]
    InvalidAccountJson {
        /// The account.
        path: JsonPath,
        /// What the JSON parser reported.
        message: String,
    },
    /// A value that has no default is missing or null.
    #[error("{path} is missing")]
    Missing {
        /// The value.
        path: JsonPath,
    },
    /// A value is not a finite number of 0 or more.
    #[error("{path} is not a number of 0 or more: {value}")]
    NotANumber {
        /// The value's place.
        path: JsonPath,
        /// The value itself.
        value: Value,
    },
    /// A value is not a boolean.
    #[error("{path} is not true or false: {value}")]
    NotABoolean {
        /// The value's place.
        path: JsonPath,
        /// The value itself.
        value: Value,
    },
    /// A value is not a string.
    #[error("{path} is not a text")]
    NotAString {
        /// The value's place.
        path: JsonPath,
    },
    /// A value is not a list.
    #[error("{path} is not a list")]
    NotAList {
        /// The value's place.
        path: JsonPath,
    },
    /// A string is none of the known choices.
    #[error("{path} is not known: {value}")]
    UnknownChoice {
        /// The value's place.
        path: JsonPath,
        /// The value itself.
        value: String,
    },
    /// The availability that is aimed at is 0 nines, by which losses cannot be divided.
    #[error("{path} is 0: what is lost could not be set against it")]
    ZeroTargetNines {
        /// The value's place.
        path: JsonPath,
    },
}

/// Why a load report cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum LoadReportError {
    /// A part of the report has no separator.
    #[error("is not name{separator}value: {pair}")]
    NotAPair {
        /// The character between name and value.
        separator: char,
        /// The part.
        pair: String,
    },
    /// The value of a known field is not a number.
    #[error("is not a number: {pair}")]
    NotANumber {
        /// The name and the value.
        pair: String,
    },
}
