//! The cost of particular situations at the planned size: a busy minute, a restart of all proxies, a lost zone.
use super::{Basis, ScenarioEstimate, formulas};
use crate::error::SeriesError;
use crate::report::Report;

/// One row of the table of situations.
struct ScenarioDefinition {
    when: &'static str,
    what: &'static str,
    unit: &'static str,
    /// Computes the value, in `unit`, from fitted slopes.
    value: fn(&Report) -> Result<f64, SeriesError>,
    basis: Basis,
    /// The series and assumptions behind the value.
    derivation: &'static str,
}

/// All situations except for a reload of the settings, which may have failed in the run.
const SCENARIOS: &[ScenarioDefinition] = &[
    ScenarioDefinition {
        when: "an ordinary day",
        what: "list lines that change",
        unit: "a second",
        value: formulas::list_changes_on_ordinary_day,
        basis: Basis::PartlyAssumed,
        derivation: "3 lines a restart are assumed",
    },
    ScenarioDefinition {
        when: "an ordinary day",
        what: "list service sends",
        unit: "KB a second",
        value: formulas::discovery_traffic_on_ordinary_day,
        basis: Basis::Measured,
        derivation: "list.bytes",
    },
    ScenarioDefinition {
        when: "the busiest minute",
        what: "list lines that change as a tenth of the backends is replaced in it",
        unit: "a second",
        value: formulas::list_changes_in_busiest_minute,
        basis: Basis::PartlyAssumed,
        derivation: "a tenth in a minute is assumed",
    },
    ScenarioDefinition {
        when: "the busiest minute",
        what: "a proxy's processor time for them",
        unit: "% of a core",
        value: formulas::change_processor_in_busiest_minute,
        basis: Basis::Measured,
        derivation: "change.backends, at that rate",
    },
    ScenarioDefinition {
        when: "the busiest minute",
        what: "bytes to a proxy",
        unit: "KB a second",
        value: formulas::control_traffic_in_busiest_minute,
        basis: Basis::Measured,
        derivation: "list.bytes, at that rate",
    },
    ScenarioDefinition {
        when: "all proxies restarted",
        what: "list service sends",
        unit: "MB",
        value: formulas::snapshots_for_all_proxies_mb,
        basis: Basis::Measured,
        derivation: "list.whole.bytes at 8,700, 850 times",
    },
    ScenarioDefinition {
        when: "all proxies restarted",
        what: "processor time of each proxy to take the list",
        unit: "ms",
        value: formulas::snapshot_processor_ms,
        basis: Basis::Measured,
        derivation: "list.whole.processor",
    },
    ScenarioDefinition {
        when: "all proxies restarted",
        what: "processor time of each to ready",
        unit: "s",
        value: formulas::list_start_processor_seconds,
        basis: Basis::Measured,
        derivation: "start.backends",
    },
    ScenarioDefinition {
        when: "a zone lost and back",
        what: "list service sends, each way",
        unit: "MB",
        value: formulas::zone_change_traffic_mb,
        basis: Basis::Measured,
        derivation: "list.whole.bytes by line, 870 lines, 850 times",
    },
    ScenarioDefinition {
        when: "a zone lost and back",
        what: "connections refused before the list tells it, each pair once",
        unit: "a proxy",
        value: formulas::refused_connections_after_zone_loss,
        basis: Basis::PartlyAssumed,
        derivation: "each proxy meets each backend of the zone once; not measured",
    },
    ScenarioDefinition {
        when: "regions apart for an hour",
        what: "lines that change meanwhile and are told at the end",
        unit: "lines",
        value: formulas::list_changes_in_an_hour,
        basis: Basis::PartlyAssumed,
        derivation: "an ordinary hour is assumed; not measured",
    },
    ScenarioDefinition {
        when: "regions apart for an hour",
        what: "list service sends at the end, where it knows the versions",
        unit: "MB",
        value: formulas::list_changes_in_an_hour_traffic_mb,
        basis: Basis::PartlyAssumed,
        derivation: "list.whole.bytes by line",
    },
    ScenarioDefinition {
        when: "control down for ten minutes",
        what: "calls that fail meanwhile",
        unit: "a second",
        value: formulas::failed_polls_per_second,
        basis: Basis::PartlyAssumed,
        derivation: "one a second of each proxy by its code",
    },
    ScenarioDefinition {
        when: "control down for ten minutes",
        what: "until the last is told again",
        unit: "s",
        value: formulas::recovery_after_discovery_outage_seconds,
        basis: Basis::PartlyAssumed,
        derivation: "one call a second; list.in_force",
    },
    ScenarioDefinition {
        when: "a route changed everywhere",
        what: "by a restart of all at once, each with a core of its own",
        unit: "s",
        value: formulas::start_processor_seconds,
        basis: Basis::Measured,
        derivation: "start.backends, start.tenants, start.methods; its RPCs of that time are lost",
    },
];

/// Computes the cost of each situation from the fitted slopes of a report.
///
/// # Errors
/// Names the series that is missing or has too few points.
pub fn scenarios(report: &Report) -> Result<Vec<ScenarioEstimate>, SeriesError> {
    let mut estimates = SCENARIOS
        .iter()
        .map(|definition| estimate(definition, report))
        .collect::<Result<Vec<_>, _>>()?;
    estimates.push(settings_reload(report));
    Ok(estimates)
}

fn estimate(
    definition: &ScenarioDefinition,
    report: &Report,
) -> Result<ScenarioEstimate, SeriesError> {
    Ok(ScenarioEstimate {
        when: definition.when,
        what: definition.what,
        unit: definition.unit,
        value: (definition.value)(report)?,
        basis: definition.basis,
        derivation: definition.derivation,
    })
}

/// The time of a reload by SIGHUP; infinite if no reload came into force during the run.
fn settings_reload(report: &Report) -> ScenarioEstimate {
    let reload_seconds = report.at("settings.reload", 1.0).ok();
    ScenarioEstimate {
        when: "a route changed everywhere",
        what: match reload_seconds {
            Some(_) => "by SIGHUP to all at once",
            None => "by SIGHUP to all at once: never came into force in this run",
        },
        unit: "s",
        value: reload_seconds.unwrap_or(f64::INFINITY),
        basis: Basis::Measured,
        derivation: match reload_seconds {
            Some(_) => "settings.reload at 1",
            None => "settings.reload",
        },
    }
}
