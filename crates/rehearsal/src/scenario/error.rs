//! Errors of scenario files: what is wrong, with file, line and key.
use std::fmt;
use toml::de::{DeTable, DeValue};

/// An error in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ScenarioError {
    /// Name of the file.
    pub file: String,
    /// Line of the error, from 1; 0 if it belongs to no line.
    pub line: usize,
    /// Path of the key, such as `trouble[1].nodes.zone`; empty if the file is no TOML.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(formatter, "{}: ", self.file)?,
            line => write!(formatter, "{}:{line}: ", self.file)?,
        }
        match self.key.as_str() {
            "" | "." => write!(formatter, "{}", self.message),
            key => write!(formatter, "{key}: {}", self.message),
        }
    }
}

/// A value that the type of its key permits and the scenario does not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {message}")]
pub(crate) struct InvalidValue {
    /// Path of the key.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl InvalidValue {
    pub(crate) fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            message: message.into(),
        }
    }

    /// Prefixes the key with that of the fault that it belongs to.
    pub(crate) fn in_fault(self, index: usize) -> Self {
        Self {
            key: format!("trouble[{index}].{}", self.key),
            ..self
        }
    }

    /// Adds the file and the line of the key.
    pub(crate) fn located(self, file: &str, text: &str) -> ScenarioError {
        ScenarioError {
            file: file.to_owned(),
            line: line_of_key(text, &self.key).unwrap_or(0),
            key: self.key,
            message: self.message,
        }
    }
}

/// Returns the line of a byte offset, from 1.
pub(super) fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// Returns the line of a key such as `trouble[1].nodes.zone`, or of the innermost table around it that exists.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let root = DeTable::parse(text).ok()?;
    let mut table: &DeTable = root.get_ref();
    let mut offset = None;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let Some((found, mut value)) = table.iter().find(|(key, _)| key.get_ref().as_ref() == name)
        else {
            break;
        };
        offset = Some(found.span().start);
        if let (Some(index), DeValue::Array(items)) = (index, value.get_ref()) {
            let Some(item) = items.get(index) else { break };
            offset = Some(item.span().start);
            value = item;
        }
        match value.get_ref() {
            DeValue::Table(next) => table = next,
            _ => break,
        }
    }
    offset.map(|offset| line_at(text, offset))
}
