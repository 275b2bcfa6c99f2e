//! Parses the settings object that the platform gives to a proxy, compares it with the active settings, and computes
//! its digest.
//!
//! [`parse`] turns the text of a settings object into [`ParsedSettings`]. An invalid value is reported as a
//! [`SettingsError`] with its path. [`Change::between`] compares two parsed objects and matches their methods and
//! tenants by name. [`parse_load_report`] parses the load reports of backends.
//!
//! ```
//! let error = birchhub_settings::parse(r#"{"ceilings": {}}"#).unwrap_err();
//! assert_eq!(error.to_string(), "contract is missing");
//! ```

mod accounts;
mod change;
mod decision_keys;
mod digest;
mod error;
mod keys;
mod list_difference;
mod load_report;
mod method;
mod parse;
mod parsed;
mod reader;
mod restart;
mod sections;

pub use change::Change;
pub use digest::hash_key;
pub use error::{JsonPath, LoadReportError, SettingsError};
pub use list_difference::ListDifference;
pub use load_report::parse_load_report;
pub use parse::{parse, parse_value};
pub use parsed::ParsedSettings;
pub use restart::with_restart_keys_from;
