//! Load reports of backends.

use crate::error::LoadReportError;
use birchhub::interface::LoadReport;

// Names of the fields: first that of the settings, then that of the protocol.
const IN_FLIGHT: [&str; 2] = ["concurrent", "inflight"];
const QUEUED: [&str; 2] = ["depth", "queue"];
const UTILISATION: [&str; 2] = ["load_share", "util"];

/// The field counts RPCs at a backend.
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
/// A pair without separator, or a known field whose value is not a number.
pub fn parse_load_report(text: &str, separator: char) -> Result<LoadReport, LoadReportError> {
    let mut report = LoadReport::default();
    for pair in text.trim().split(',') {
        let not_a_pair = || LoadReportError::NotAPair {
            separator,
            pair: pair.to_owned(),
        };
        let (name, value) = pair.split_once(separator).ok_or_else(not_a_pair)?;
        let field = match name.trim() {
            name if IN_FLIGHT.contains(&name) => &mut report.in_flight,
            name if QUEUED.contains(&name) => &mut report.queued,
            name if UTILISATION.contains(&name) => &mut report.utilisation,
            _ => continue,
        };
        let not_a_number = |_| LoadReportError::NotANumber {
            pair: pair.to_owned(),
        };
        let value: f64 = value.trim().parse().map_err(not_a_number)?;
        *field = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
    }
    Ok(report)
}
