//! The size for which the operators plan, and their targets at that size.

/// Number of proxies.
pub const PROXIES: f64 = 850.0;
/// Number of backends.
pub const BACKENDS: f64 = 8_700.0;
/// Number of zones.
pub const ZONES: f64 = 10.0;
/// RPCs per second of all clients, at the peak.
pub const RPCS_PER_SECOND: f64 = 200_000.0;
/// Number of methods.
pub const METHODS: f64 = 2_200.0;
/// Number of tenants.
pub const TENANTS: f64 = 54_000.0;
/// Changes of the configuration per day.
pub const CONFIGURATION_CHANGES_PER_DAY: f64 = 3_500.0;
/// Restarts and replacements of backends per day; each is several changes of the endpoint list.
pub const BACKEND_RESTARTS_PER_DAY: f64 = 2_700.0;
/// Machines that fail per day; each is at least one change of the endpoint list.
pub const BACKEND_FAILURES_PER_DAY: f64 = 15.0;

/// Target: time added to the 99th percentile of RPCs, in milliseconds.
pub const ADDED_LATENCY_MS: f64 = 1.2;
/// Target: time until a change is in force everywhere, in seconds.
pub const IN_FORCE_SECONDS: f64 = 8.0;
/// Target: part of a core that a proxy spends on control, in percent.
pub const CONTROL_PROCESSOR_PERCENT: f64 = 1.3;
/// Target: resident memory of a proxy, in MB.
pub const MEMORY_MB: f64 = 128.0;
/// Target: traffic of a proxy for control, in KB per second.
pub const CONTROL_TRAFFIC_KB_PER_SECOND: f64 = 10.0;
/// Machines reserved for control.
pub const CONTROL_MACHINES: f64 = 3.0;
