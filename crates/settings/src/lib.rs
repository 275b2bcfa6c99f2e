//! The settings object that the platform gives to a proxy: parsing, comparison with the active settings, and a digest.
//!
//! [`parse`] turns the text of a settings object into [`ParsedSettings`]. A value that cannot be used is reported as a
//! [`SettingsError`] with its path. [`Change::between`] compares two parsed objects by the names of their methods and
//! tenants. [`parse_load_report`] parses the load reports of backends.
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
