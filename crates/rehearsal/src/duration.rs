//! Durations in scenarios, which carry their unit: `"250ms"`, `"4s"`, `"2m"`.
use serde::de::{Deserialize, Deserializer, Error};

/// A duration, in seconds; finite and not negative when read from text.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ScenarioDuration(pub f64);

/// A text that is not a duration with its unit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("\"{text}\" is not a time with its unit, such as \"250ms\", \"4s\" or \"2m\"")]
pub struct InvalidDuration {
    /// The text.
    pub text: String,
}

/// Units and their seconds. A unit stands before those that it ends with: `ms` before `s`.
const UNITS: [(&str, f64); 5] = [
    ("ms", 1e-3),
    ("us", 1e-6),
    ("min", 60.0),
    ("m", 60.0),
    ("s", 1.0),
];

impl std::str::FromStr for ScenarioDuration {
    type Err = InvalidDuration;

    fn from_str(text: &str) -> Result<Self, InvalidDuration> {
        let invalid = || InvalidDuration {
            text: text.to_owned(),
        };
        let (number, unit_seconds) = UNITS
            .iter()
            .find_map(|(name, seconds)| Some((text.trim().strip_suffix(name)?, seconds)))
            .ok_or_else(invalid)?;
        let number: f64 = number.trim().parse().map_err(|_| invalid())?;
        if number.is_finite() && number >= 0.0 {
            Ok(Self(number * unit_seconds))
        } else {
            Err(invalid())
        }
    }
}

impl<'de> Deserialize<'de> for ScenarioDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(D::Error::custom)
    }
}
