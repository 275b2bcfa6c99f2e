//! Load reports of backends.

use crate::error::LoadReportError;
use birchhub::interface::LoadReport;

/// Separator between the fields of a report.
const FIELD_SEPARATOR: char = ',';
/// Names of the number of RPCs in flight, in the settings and in the protocol.
const IN_FLIGHT: [&str; 2] = ["concurrent", "inflight"];
/// Names of the number of queued RPCs, in the settings and in the protocol.
const QUEUED: [&str; 2] = ["depth", "queue"];
/// Names of the utilisation, in the settings and in the protocol.
const UTILISATION: [&str; 2] = ["load_share", "util"];

/// Whether a field with this name counts RPCs at a backend.
pub(crate) fn counts_rpcs(field: &str) -> bool {
    IN_FLIGHT.contains(&field) || QUEUED.contains(&field)
}

/// Parses a load report: pairs of name and value with `separator` in between, and commas between the pairs.
///
/// Fields have the names of the settings or those of the protocol. Unknown fields are ignored, and so are values that
/// are negative or not finite.
///
/// # Errors
///
/// A pair lacks the separator, or the value of a known field is not a number.
pub fn parse_load_report(text: &str, separator: char) -> Result<LoadReport, LoadReportError> {
    let mut report = LoadReport::default();
    for pair in text.trim().split(FIELD_SEPARATOR) {
        let not_a_pair = || LoadReportError::NotAPair {
            separator,
            pair: pair.to_owned(),
        };
        let (name, value) = pair.split_once(separator).ok_or_else(not_a_pair)?;
        let Some(field) = field_of(&mut report, name.trim()) else {
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

/// Returns the field of a report that has this name.
fn field_of<'a>(report: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
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
