//! Times in scenarios carry their unit: `"250ms"`, `"4s"`, `"2m"`.
use serde::de::{Deserialize, Deserializer, Error};

/// A length of time, s.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ScenarioDuration(pub f64);

const UNITS: [(&str, f64); 5] = [
    ("ms", 1e-3),
    ("us", 1e-6),
    ("min", 60.0),
    ("m", 60.0),
    ("s", 1.0),
];

impl std::str::FromStr for ScenarioDuration {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || {
            format!("\"{text}\" is not a time with its unit, such as \"250ms\", \"4s\" or \"2m\"")
        };
        let (number, unit) = UNITS
            .iter()
            .find_map(|(name, unit)| text.trim().strip_suffix(name).map(|number| (number, unit)))
            .ok_or_else(wrong)?;
        let number: f64 = number.trim().parse().map_err(|_| wrong())?;
        if number.is_finite() && number >= 0.0 {
            Ok(Self(number * unit))
        } else {
            Err(wrong())
        }
    }
}

impl<'de> Deserialize<'de> for ScenarioDuration {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}
