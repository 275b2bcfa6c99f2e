//! The estimates for each role at the planned size, and the targets that they are compared with.
use super::formulas;
use super::{Basis, Estimate};
use crate::error::SeriesError;
use crate::planned_size;
use crate::report::Report;

/// All of one core, in percent.
const CORE_PERCENT: f64 = 100.0;

/// One row of the table of estimates.
struct TargetDefinition {
    /// The name by which candidates refer to the estimate.
    key: &'static str,
    /// The part of the system that bears the cost.
    role: &'static str,
    /// What is estimated; `{backends}` stands for the number of backends before simulated proxies.
    what: &'static str,
    unit: &'static str,
    /// The largest allowed value, in `unit`.
    target: Option<f64>,
    /// Computes the value, in `unit`, from fitted slopes.
    value: fn(&Report) -> Result<f64, SeriesError>,
    basis: Basis,
    /// The series measured with a wall clock on which the value depends.
    wall_clock_series: Option<&'static str>,
    /// The series and assumptions behind the value.
    derivation: &'static str,
    /// What carries the cost, or what would.
    mechanism: &'static str,
}

/// Estimates for one proxy.
const PROXY_TARGETS: &[TargetDefinition] = &[
    TargetDefinition {
        key: "settings",
        role: "proxy",
        what: "a changed setting in force at all proxies, restarted by tenths",
        unit: "s",
        target: Some(planned_size::IN_FORCE_SECONDS),
        value: formulas::settings_in_force_seconds,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "start.backends, start.tenants, start.methods, each with a core; ten batches and 1.5 s of ending are assumed",
        mechanism: "missing: settings in force without a restart",
    },
    TargetDefinition {
        key: "settings-processor",
        role: "proxy",
        what: "processor time of a proxy for a restart with each change of a day",
        unit: "% of a core",
        target: Some(planned_size::CONTROL_PROCESSOR_PERCENT),
        value: formulas::restart_processor_percent,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "start.backends, start.tenants, start.methods",
        mechanism: "missing: settings in force without a restart",
    },
    TargetDefinition {
        key: "latency",
        role: "proxy",
        what: "added to an RPC for 99 in 100, at the planned rate",
        unit: "ms",
        target: Some(planned_size::ADDED_LATENCY_MS),
        value: formulas::latency_at_planned_rate,
        basis: Basis::Measured,
        wall_clock_series: Some("latency.rate"),
        derivation: "latency.rate at 235, before 8,700",
        mechanism: "here: kept connections (daemon, backend.rs), and answers that bring the same few backends again",
    },
    TargetDefinition {
        key: "latency-probes",
        role: "proxy",
        what: "added to an RPC for 99 in 100, at the planned rate, where proxies probe",
        unit: "ms",
        target: Some(planned_size::ADDED_LATENCY_MS),
        value: formulas::latency_with_health_checks,
        basis: Basis::Measured,
        wall_clock_series: Some("latency.probes.backends"),
        derivation: "latency.probes.backends",
        mechanism: "missing: subsets, so that a pair meets before its connection is closed",
    },
    TargetDefinition {
        key: "memory",
        role: "proxy",
        what: "memory of a proxy, with all backends, tenants and methods",
        unit: "MB",
        target: Some(planned_size::MEMORY_MB),
        value: formulas::proxy_memory,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "memory.busy.backends, memory.tenants, memory.methods",
        mechanism: "here: an actor for each backend (daemon, upstream/endpoint.rs)",
    },
    TargetDefinition {
        key: "control",
        role: "proxy",
        what: "processor time of a proxy for control, ordinary day",
        unit: "% of a core",
        target: Some(planned_size::CONTROL_PROCESSOR_PERCENT),
        value: formulas::control_processor_on_ordinary_day,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "idle.backends, change.backends; 3 lines a restart are assumed",
        mechanism: "here: the decision actor's heartbeat (daemon, decision/heartbeat.rs) and the list's changes (src/balancer/endpoint_list.rs)",
    },
    TargetDefinition {
        key: "traffic",
        role: "proxy",
        what: "bytes of a proxy for control, ordinary day",
        unit: "KB a second",
        target: Some(planned_size::CONTROL_TRAFFIC_KB_PER_SECOND),
        value: formulas::control_traffic_on_ordinary_day,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "list.bytes; 0.3 KB for a call that tells nothing every 4 s are assumed",
        mechanism: "here: long calls that tell changes only (daemon, discovery/client.rs)",
    },
    TargetDefinition {
        key: "busy-control",
        role: "proxy",
        what: "processor time of a proxy for control, busiest minute",
        unit: "% of a core",
        target: Some(planned_size::CONTROL_PROCESSOR_PERCENT),
        value: formulas::control_processor_in_busiest_minute,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "idle.backends, change.backends; a tenth of the backends replaced in a minute is assumed",
        mechanism: "here: the list's changes (src/balancer/endpoint_list.rs); subsets told as such would be fewer",
    },
    TargetDefinition {
        key: "busy-traffic",
        role: "proxy",
        what: "bytes of a proxy for control, busiest minute",
        unit: "KB a second",
        target: Some(planned_size::CONTROL_TRAFFIC_KB_PER_SECOND),
        value: formulas::control_traffic_in_busiest_minute,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "list.bytes; a tenth of the backends replaced in a minute is assumed",
        mechanism: "missing: the list told as what this proxy needs",
    },
];

/// Estimates for the discovery service.
const DISCOVERY_TARGETS: &[TargetDefinition] = &[
    TargetDefinition {
        key: "in-force",
        role: "discovery and control machines",
        what: "a list change in force at the last of all proxies",
        unit: "s",
        target: Some(planned_size::IN_FORCE_SECONDS),
        value: formulas::list_change_in_force,
        basis: Basis::Measured,
        wall_clock_series: Some("list.in_force"),
        derivation: "list.in_force, all on one machine",
        mechanism: "here: long calls (daemon, discovery/client.rs)",
    },
    TargetDefinition {
        key: "service",
        role: "discovery and control machines",
        what: "processor time of the list service, ordinary day",
        unit: "% of a core",
        target: Some(planned_size::CONTROL_MACHINES * CORE_PERCENT),
        value: formulas::discovery_processor,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "list.processor; the stand-in, not the operators' own; a core of each machine is assumed",
        mechanism: "not ours: the operators' list service; the stand-in encodes an answer once for all",
    },
    TargetDefinition {
        key: "crowd",
        role: "discovery and control machines",
        what: "all proxies take the whole list of {backends} at once, until the last has it",
        unit: "s",
        target: Some(planned_size::IN_FORCE_SECONDS),
        value: formulas::snapshot_at_all_proxies,
        basis: Basis::Measured,
        wall_clock_series: Some("list.crowd"),
        derivation: "list.crowd, all on one machine, proxies included",
        mechanism: "here: half a second of jitter at the start (src/policy/discovery.rs)",
    },
];

/// Estimates of connections, RPCs and calls; they have no target.
const LOAD_ESTIMATES: &[TargetDefinition] = &[
    TargetDefinition {
        key: "connect",
        role: "backend",
        what: "connections opened at a backend by all proxies",
        unit: "a second",
        target: None,
        value: formulas::connections_at_a_backend,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "connect.proxies",
        mechanism: "here: kept connections (daemon, backend.rs); subsets would open fewer",
    },
    TargetDefinition {
        key: "connect-probes",
        role: "backend",
        what: "connections opened at a backend by all proxies, where they probe",
        unit: "a second",
        target: None,
        value: formulas::connections_at_a_backend_with_health_checks,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "connect.probes.proxies",
        mechanism: "missing: subsets",
    },
    TargetDefinition {
        key: "rpc-probes",
        role: "proxy",
        what: "processor time of a proxy for its RPCs at the peak, where proxies probe",
        unit: "% of a core",
        target: None,
        value: formulas::rpc_processor_with_health_checks,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "rpc.probes.backends at 235 RPCs a second",
        mechanism: "missing: subsets",
    },
    TargetDefinition {
        key: "connect-rpc",
        role: "proxy",
        what: "connections opened for an RPC at the planned rate",
        unit: "an RPC",
        target: None,
        value: formulas::connections_for_an_rpc,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "connect.rate at 235, before 8,700",
        mechanism: "here: kept connections (daemon, backend.rs); subsets would open fewer",
    },
    TargetDefinition {
        key: "rpc",
        role: "proxy",
        what: "processor time of a proxy for its RPCs at the peak",
        unit: "% of a core",
        target: None,
        value: formulas::rpc_processor,
        basis: Basis::Measured,
        wall_clock_series: None,
        derivation: "rpc.backends at 235 RPCs a second",
        mechanism: "here: one thread a proxy (daemon, main.rs)",
    },
    TargetDefinition {
        key: "client",
        role: "client side",
        what: "RPCs to a proxy at the peak; a connection for each that is under way",
        unit: "a second",
        target: None,
        value: formulas::rpcs_at_a_proxy,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "200,000 over 850, evenly dealt",
        mechanism: "not ours: the layer before the proxies deals clients out",
    },
    TargetDefinition {
        key: "backend",
        role: "backend",
        what: "RPCs to a backend at the peak",
        unit: "a second",
        target: None,
        value: formulas::rpcs_at_a_backend,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "200,000 over 8,700, evenly dealt",
        mechanism: "here: Join-Idle-Queue (src/policy/)",
    },
    TargetDefinition {
        key: "staff",
        role: "staff's machine",
        what: "calls for an order at all proxies, one to each",
        unit: "calls",
        target: None,
        value: formulas::proxies,
        basis: Basis::PartlyAssumed,
        wall_clock_series: None,
        derivation: "one call a proxy (daemon, management.rs); not measured",
        mechanism: "here for one proxy (daemon, management.rs); missing: an order to all by one call",
    },
];

/// Computes all estimates for the planned size from the fitted slopes of a report.
///
/// # Errors
/// Names the series that is missing or has too few points.
pub fn targets(report: &Report) -> Result<Vec<Estimate>, SeriesError> {
    [PROXY_TARGETS, DISCOVERY_TARGETS, LOAD_ESTIMATES]
        .into_iter()
        .flatten()
        .map(|definition| estimate(definition, report))
        .collect()
}

fn estimate(definition: &TargetDefinition, report: &Report) -> Result<Estimate, SeriesError> {
    let was_busy = match definition.wall_clock_series {
        Some(name) => report.get(name)?.load_average > report.cores as f64,
        None => false,
    };
    let backends = report.plan.simulated_proxy_backends.to_string();
    Ok(Estimate {
        key: definition.key,
        role: definition.role,
        what: definition.what.replace("{backends}", &backends),
        unit: definition.unit,
        target: definition.target,
        value: (definition.value)(report)?,
        basis: definition.basis,
        was_busy,
        derivation: definition.derivation,
        mechanism: definition.mechanism,
    })
}
