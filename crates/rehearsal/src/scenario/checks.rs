//! Checks that several sections of a scenario share.
use super::InvalidValue;

/// Result of a check.
pub(super) type Checked = Result<(), InvalidValue>;

/// Checks that a value is from 0 to 1.
pub(super) fn fraction(key: &str, value: f64) -> Checked {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        Err(InvalidValue::new(key, "must be from 0 to 1"))
    }
}
