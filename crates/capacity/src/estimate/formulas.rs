//! The formulas of the estimates: fitted slopes, the planned size and assumptions, combined into one value each.
use crate::error::SeriesError;
use crate::planned_size::{
    BACKEND_FAILURES_PER_DAY, BACKEND_RESTARTS_PER_DAY, BACKENDS, CONFIGURATION_CHANGES_PER_DAY,
    METHODS, PROXIES, RPCS_PER_SECOND, TENANTS, ZONES,
};
use crate::report::Report;

const SECONDS_PER_DAY: f64 = 86_400.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;
const SECONDS_PER_MINUTE: f64 = 60.0;
const KB_PER_MB: f64 = 1e3;
/// All of one core, in percent.
const CORE_PERCENT: f64 = 100.0;
/// Processor time per second that is one percent of a core, in milliseconds.
const PROCESSOR_MS_PER_PERCENT: f64 = 10.0;
/// Processor time per second that is one percent of a core, in microseconds.
const PROCESSOR_US_PER_PERCENT: f64 = 1e4;

/// Changes of the endpoint list by one restart of a backend: draining, removed or back, ready.
const LIST_CHANGES_PER_RESTART: f64 = 3.0;
/// Fraction of the backends that a deployment replaces in the busiest minute.
const REPLACED_IN_BUSIEST_MINUTE: f64 = 0.1;
/// Duration of a long poll without changes, in seconds; as `SERVICE.hold` in the daemon's `discovery/timing.rs`.
const LONG_POLL_SECONDS: f64 = 4.0;
/// Size of a long poll and its response without changes, in KB.
const EMPTY_POLL_KB: f64 = 0.3;
/// Mean time between the failed polls of a proxy, in seconds: half of the 2 s allowed, `POLL_PART` in `policy/discovery.rs`.
const FAILED_POLL_INTERVAL_SECONDS: f64 = 1.0;
/// Highest rate of polls by one proxy, per second; from `MIN_CALL_INTERVAL` in the daemon's `discovery/timing.rs`.
const MAX_POLLS_PER_SECOND: f64 = 50.0;
/// Batches in which all proxies are restarted, so that nine of ten serve meanwhile.
const RESTART_BATCHES: f64 = 10.0;
/// Duration of a graceful shutdown, in seconds: half a second and the longest deadline of 1 s.
const SHUTDOWN_SECONDS: f64 = 1.5;

/// A value in the unit of its estimate, or the series that is missing.
type Value = Result<f64, SeriesError>;

fn list_changes_per_second() -> f64 {
    let changes_by_restarts = BACKEND_RESTARTS_PER_DAY * LIST_CHANGES_PER_RESTART;
    (changes_by_restarts + BACKEND_FAILURES_PER_DAY) / SECONDS_PER_DAY
}

fn peak_list_changes_per_second() -> f64 {
    let replaced_backends = BACKENDS * REPLACED_IN_BUSIEST_MINUTE;
    replaced_backends * LIST_CHANGES_PER_RESTART / SECONDS_PER_MINUTE
}

fn rpcs_per_second_of_a_proxy() -> f64 {
    RPCS_PER_SECOND / PROXIES
}

/// Processor time for one change of the endpoint list at the planned number of backends, in milliseconds.
fn change_processor_ms(report: &Report) -> Value {
    report.at("change.backends", BACKENDS)
}

/// Traffic to one proxy for one change of the endpoint list.
fn change_kb(report: &Report) -> Value {
    report.slope("list.bytes")
}

/// Size of one endpoint in a snapshot of the list.
fn endpoint_kb(report: &Report) -> Value {
    report.slope("list.whole.bytes")
}

/// Processor time of a proxy of the planned size until it is ready, in seconds.
pub(super) fn start_processor_seconds(report: &Report) -> Value {
    let backends = report.at("start.backends", BACKENDS)?;
    let tenants = report.slope("start.tenants")? * TENANTS;
    let methods = report.slope("start.methods")? * METHODS;
    Ok(backends + tenants + methods)
}

/// Seconds until a changed setting is in force at all proxies, which are restarted in batches.
pub(super) fn settings_in_force_seconds(report: &Report) -> Value {
    let batch_seconds = SHUTDOWN_SECONDS + start_processor_seconds(report)?;
    Ok(RESTART_BATCHES * batch_seconds)
}

/// Percent of a core that a proxy spends on a restart for each change of the configuration.
pub(super) fn restart_processor_percent(report: &Report) -> Value {
    let start_seconds = start_processor_seconds(report)?;
    Ok(CORE_PERCENT * start_seconds * CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY)
}

/// Milliseconds added to the 99th percentile of RPCs at the planned rate.
pub(super) fn latency_at_planned_rate(report: &Report) -> Value {
    report.at("latency.rate", rpcs_per_second_of_a_proxy())
}

/// Milliseconds added to the 99th percentile of RPCs where proxies send health checks.
pub(super) fn latency_with_health_checks(report: &Report) -> Value {
    report.at("latency.probes.backends", BACKENDS)
}

/// Resident memory of a proxy with all backends, tenants and methods, in MB.
pub(super) fn proxy_memory(report: &Report) -> Value {
    let backends = report.at("memory.busy.backends", BACKENDS)?;
    let tenants = report.slope("memory.tenants")? * TENANTS;
    let methods = report.slope("memory.methods")? * METHODS;
    Ok(backends + tenants + methods)
}

/// Percent of a core that a proxy spends on control on an ordinary day.
pub(super) fn control_processor_on_ordinary_day(report: &Report) -> Value {
    let idle_percent = report.at("idle.backends", BACKENDS)?;
    let changes_ms = change_processor_ms(report)? * list_changes_per_second();
    Ok(idle_percent + changes_ms / PROCESSOR_MS_PER_PERCENT)
}

/// KB per second that a proxy receives for control on an ordinary day.
pub(super) fn control_traffic_on_ordinary_day(report: &Report) -> Value {
    let changes = change_kb(report)? * list_changes_per_second();
    let empty_polls = EMPTY_POLL_KB / LONG_POLL_SECONDS;
    Ok(changes + empty_polls)
}

/// Percent of a core that a proxy spends on control in the busiest minute.
pub(super) fn control_processor_in_busiest_minute(report: &Report) -> Value {
    let idle_percent = report.at("idle.backends", BACKENDS)?;
    Ok(idle_percent + change_processor_in_busiest_minute(report)?)
}

/// Percent of a core that a proxy spends on list changes in the busiest minute.
pub(super) fn change_processor_in_busiest_minute(report: &Report) -> Value {
    let updates_per_second = peak_list_changes_per_second().min(MAX_POLLS_PER_SECOND);
    let changes_ms = change_processor_ms(report)? * updates_per_second;
    Ok(changes_ms / PROCESSOR_MS_PER_PERCENT)
}

/// KB per second that a proxy receives for control in the busiest minute.
pub(super) fn control_traffic_in_busiest_minute(report: &Report) -> Value {
    Ok(change_kb(report)? * peak_list_changes_per_second())
}

/// Seconds until a change of the endpoint list is in force at the last proxy.
pub(super) fn list_change_in_force(report: &Report) -> Value {
    report.at("list.in_force", PROXIES)
}

/// Percent of a core that the discovery service spends on an ordinary day.
pub(super) fn discovery_processor(report: &Report) -> Value {
    let change_ms = report.at("list.processor", PROXIES)?;
    let percent = change_ms * list_changes_per_second() / PROCESSOR_MS_PER_PERCENT;
    Ok(percent.max(0.0))
}

/// Seconds until all proxies have a snapshot that they request at the same time.
pub(super) fn snapshot_at_all_proxies(report: &Report) -> Value {
    report.at("list.crowd", PROXIES)
}

/// Connections per second that all proxies open at one backend.
pub(super) fn connections_at_a_backend(report: &Report) -> Value {
    Ok(report.slope("connect.proxies")? * PROXIES)
}

/// Connections per second that all proxies open at one backend if they send health checks.
pub(super) fn connections_at_a_backend_with_health_checks(report: &Report) -> Value {
    Ok(report.slope("connect.probes.proxies")? * PROXIES)
}

/// Percent of a core that a proxy spends on its RPCs if it sends health checks.
pub(super) fn rpc_processor_with_health_checks(report: &Report) -> Value {
    let rpc_us = report.at("rpc.probes.backends", BACKENDS)?;
    Ok(rpc_us * rpcs_per_second_of_a_proxy() / PROCESSOR_US_PER_PERCENT)
}

/// Connections opened per RPC at the planned rate.
pub(super) fn connections_for_an_rpc(report: &Report) -> Value {
    report.at("connect.rate", rpcs_per_second_of_a_proxy())
}

/// Percent of a core that a proxy spends on its RPCs.
pub(super) fn rpc_processor(report: &Report) -> Value {
    let rpc_us = report.at("rpc.backends", BACKENDS)?;
    Ok(rpc_us * rpcs_per_second_of_a_proxy() / PROCESSOR_US_PER_PERCENT)
}

/// RPCs per second at one proxy.
pub(super) fn rpcs_at_a_proxy(_report: &Report) -> Value {
    Ok(rpcs_per_second_of_a_proxy())
}

/// RPCs per second at one backend.
pub(super) fn rpcs_at_a_backend(_report: &Report) -> Value {
    Ok(RPCS_PER_SECOND / BACKENDS)
}

/// Calls for one order to all proxies.
pub(super) fn proxies(_report: &Report) -> Value {
    Ok(PROXIES)
}

/// Changes of the endpoint list per second on an ordinary day.
pub(super) fn list_changes_on_ordinary_day(_report: &Report) -> Value {
    Ok(list_changes_per_second())
}

/// KB per second that the discovery service sends on an ordinary day.
pub(super) fn discovery_traffic_on_ordinary_day(report: &Report) -> Value {
    let change_to_all_kb = change_kb(report)? * PROXIES;
    Ok(change_to_all_kb * list_changes_per_second())
}

/// Changes of the endpoint list per second in the busiest minute.
pub(super) fn list_changes_in_busiest_minute(_report: &Report) -> Value {
    Ok(peak_list_changes_per_second())
}

/// MB that the discovery service sends if all proxies request a snapshot.
pub(super) fn snapshots_for_all_proxies_mb(report: &Report) -> Value {
    let snapshot_mb = report.at("list.whole.bytes", BACKENDS)? / KB_PER_MB;
    Ok(snapshot_mb * PROXIES)
}

/// Processor time for one snapshot at a proxy, in milliseconds.
pub(super) fn snapshot_processor_ms(report: &Report) -> Value {
    report.at("list.whole.processor", BACKENDS)
}

/// Processor time of a proxy with all backends, one method and no tenants until it is ready, in seconds.
pub(super) fn list_start_processor_seconds(report: &Report) -> Value {
    report.at("start.backends", BACKENDS)
}

fn backends_per_zone() -> f64 {
    BACKENDS / ZONES
}

/// MB that the discovery service sends if one zone is lost, and again when it is back.
pub(super) fn zone_change_traffic_mb(report: &Report) -> Value {
    let zone_kb = endpoint_kb(report)? * backends_per_zone();
    Ok(zone_kb * PROXIES / KB_PER_MB)
}

/// Connections of one proxy that are refused before the list reports the loss of a zone.
pub(super) fn refused_connections_after_zone_loss(_report: &Report) -> Value {
    Ok(backends_per_zone())
}

fn list_changes_per_hour() -> f64 {
    list_changes_per_second() * SECONDS_PER_HOUR
}

/// Changes of the endpoint list that a proxy misses in an hour.
pub(super) fn list_changes_in_an_hour(_report: &Report) -> Value {
    Ok(list_changes_per_hour())
}

/// MB that the discovery service sends to all proxies for the changes of an hour.
pub(super) fn list_changes_in_an_hour_traffic_mb(report: &Report) -> Value {
    let changes_kb = endpoint_kb(report)? * list_changes_per_hour();
    Ok(changes_kb * PROXIES / KB_PER_MB)
}

/// Failed polls per second of all proxies while the discovery service is down.
pub(super) fn failed_polls_per_second(_report: &Report) -> Value {
    Ok(PROXIES / FAILED_POLL_INTERVAL_SECONDS)
}

/// Seconds after an outage of the discovery service until the last proxy has its changes.
pub(super) fn recovery_after_discovery_outage_seconds(report: &Report) -> Value {
    Ok(FAILED_POLL_INTERVAL_SECONDS + list_change_in_force(report)?)
}
