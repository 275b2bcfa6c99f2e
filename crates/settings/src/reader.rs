//! Typed access to the values of a JSON document. Errors carry the path of the value.

use crate::error::{JsonPath, SettingsError};
use serde_json::Value;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Upper bound of durations, about 32 years. Longer durations have no different effect, but adding them to the time of
/// a clock could overflow.
const MAX_SECONDS: f64 = 1e9;

/// A JSON value and its path in the document. A key whose value is null counts as missing.
pub(crate) struct JsonReader<'a> {
    value: &'a Value,
    path: JsonPath,
}

impl<'a> JsonReader<'a> {
    /// Returns a reader of the root of a document.
    pub(crate) fn document(value: &'a Value) -> Self {
        Self::at(value, JsonPath::default())
    }

    /// Returns a reader of the value at this path of a document.
    pub(crate) fn at(value: &'a Value, path: JsonPath) -> Self {
        Self { value, path }
    }

    /// Returns the path of the value in its document.
    pub(crate) fn path(&self) -> &JsonPath {
        &self.path
    }

    /// Returns the value of a key; `None` if it is missing.
    pub(crate) fn optional(&self, key: &str) -> Option<Self> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(Self::at(value, self.path.key(key)))
    }

    /// Returns the value of a key, or an error if it is missing.
    pub(crate) fn required(&self, key: &str) -> Result<Self, SettingsError> {
        let missing = || SettingsError::Missing {
            path: self.path.key(key),
        };
        self.optional(key).ok_or_else(missing)
    }

    /// Returns the object of a key. A missing object is treated as an empty one.
    pub(crate) fn section(&self, key: &str) -> Self {
        let missing = || Self::at(&Value::Null, self.path.key(key));
        self.optional(key).unwrap_or_else(missing)
    }

    /// Returns the value as a finite number of 0 or more.
    pub(crate) fn number(&self) -> Result<f64, SettingsError> {
        let number = self.value.as_f64();
        number
            .filter(|number| number.is_finite() && *number >= 0.0)
            .ok_or_else(|| SettingsError::NotANumber {
                path: self.path.clone(),
                value: self.value.clone(),
            })
    }

    /// Returns the value, a duration in nanoseconds, in seconds. It is limited to [`MAX_SECONDS`].
    pub(crate) fn seconds(&self) -> Result<f64, SettingsError> {
        Ok((self.number()? / NANOSECONDS_PER_SECOND).min(MAX_SECONDS))
    }

    /// Returns the value, a timeout in nanoseconds, in seconds. The value 0 means no timeout and yields
    /// [`MAX_SECONDS`].
    pub(crate) fn timeout(&self) -> Result<f64, SettingsError> {
        let seconds = self.seconds()?;
        Ok(if seconds > 0.0 { seconds } else { MAX_SECONDS })
    }

    /// Returns the value as a boolean.
    pub(crate) fn boolean(&self) -> Result<bool, SettingsError> {
        self.value
            .as_bool()
            .ok_or_else(|| SettingsError::NotABoolean {
                path: self.path.clone(),
                value: self.value.clone(),
            })
    }

    /// Returns the value as a string.
    pub(crate) fn string(&self) -> Result<&'a str, SettingsError> {
        self.value
            .as_str()
            .ok_or_else(|| SettingsError::NotAString {
                path: self.path.clone(),
            })
    }

    /// Returns a reader for each item of a list.
    pub(crate) fn list(&self) -> Result<Vec<Self>, SettingsError> {
        let list = self
            .value
            .as_array()
            .ok_or_else(|| SettingsError::NotAList {
                path: self.path.clone(),
            })?;
        let item = |(index, value)| Self::at(value, self.path.index(index));
        Ok(list.iter().enumerate().map(item).collect())
    }

    /// Returns the value as a list of strings.
    pub(crate) fn strings(&self) -> Result<Vec<String>, SettingsError> {
        self.list()?
            .iter()
            .map(|item| item.string().map(str::to_owned))
            .collect()
    }

    /// Returns the error for a string that is none of the permitted values.
    pub(crate) fn unknown_choice(&self, value: &str) -> SettingsError {
        SettingsError::UnknownChoice {
            path: self.path.clone(),
            value: value.to_owned(),
        }
    }

    /// Returns the [`number`](Self::number) of a key, or the default if the key is missing.
    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |reader| reader.number())
    }

    /// Returns the [`seconds`](Self::seconds) of a key, or the default if the key is missing.
    pub(crate) fn seconds_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |reader| reader.seconds())
    }

    /// Returns the [`timeout`](Self::timeout) of a key, or the default if the key is missing.
    pub(crate) fn timeout_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |reader| reader.timeout())
    }

    /// Returns the boolean of a key; false if the key is missing.
    pub(crate) fn boolean_or_false(&self, key: &str) -> Result<bool, SettingsError> {
        self.optional(key)
            .map_or(Ok(false), |reader| reader.boolean())
    }

    /// Returns the string of a key, or the default if the key is missing.
    pub(crate) fn string_or(
        &self,
        key: &str,
        default: &'static str,
    ) -> Result<&'a str, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |reader| reader.string())
    }
}
