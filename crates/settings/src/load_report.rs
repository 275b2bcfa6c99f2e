//! Parsing of the load reports of backends.

use crate::error::LoadReportError;
use birchhub::interface::LoadReport;

/// Separator between the fields of a report.
const FIELD_SEPARATOR: char = ',';
/// Field with the number of RPCs in flight: its name in the settings, and its name in the protocol.
const IN_FLIGHT: [&str; 2] = ["concurrent", "inflight"];
/// Field with the number of queued RPCs: its name in the settings, and its name in the protocol.
const QUEUED: [&str; 2] = ["depth", "queue"];
/// Field with the utilisation: its name in the settings, and its name in the protocol.
const UTILISATION: [&str; 2] = ["load_share", "util"];

/// Whether the field with this name is a number of RPCs, in flight or queued.
pub(crate) fn is_rpc_count(field: &str) -> bool {
    IN_FLIGHT.contains(&field) || QUEUED.contains(&field)
}

/// Parses a load report: fields separated by commas, each a name and a value with `separator` in between.
///
/// Fields have their names in the settings or those in the protocol. Unknown fields are ignored. A negative or infinite
/// value, or NaN, counts as missing.
///
/// # Errors
///
/// A field lacks the separator, or the value of a known field is not a number.
pub fn parse_load_report(text: &str, separator: char) -> Result<LoadReport, LoadReportError> {
    let mut report = LoadReport::default();
    for pair in text.trim().split(FIELD_SEPARATOR) {
        let not_a_pair = || LoadReportError::NotAPair {
            separator,
            pair: pair.to_owned(),
        };
        let (name, value) = pair.split_once(separator).ok_or_else(not_a_pair)?;
        let Some(field) = field_by_name(&mut report, name.trim()) else {
            continue;
        };
        let not_a_number = |_| LoadReportError::NotANumber {
            pair: pair.to_owned(),
        };
        let value: f64 = value.trim().parse().map_err(not_a_number)?;
        *field = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
    }
    Ok(report)
}

/// Returns the field with this name; `None` if the name is unknown.
fn field_by_name<'a>(report: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
    if IN_FLIGHT.contains(&name) {
        Some(&mut report.in_flight)
    } else if QUEUED.contains(&name) {
        Some(&mut report.queued)
    } else if UTILISATION.contains(&name) {
        Some(&mut report.utilisation)
    } else {
        None
    }
}
