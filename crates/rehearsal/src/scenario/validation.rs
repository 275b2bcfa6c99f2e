//! Validation of a scenario beyond what the types of its keys ensure. Checks run in a fixed order, and the first error is
//! reported.
use super::checks::{Checked, fraction};
use super::fault_validation::validate_fault;
use super::{InvalidValue, Method, MethodKind, Scenario};
use std::collections::HashSet;

/// Most proxies that fit on the loopback addresses of one machine.
const MAX_PROXIES: usize = 200;
/// Most methods, and most tenants.
const MAX_METHODS: usize = 200;

/// Validates all sections.
pub(super) fn validate(scenario: &Scenario) -> Checked {
    validate_numbers(scenario)?;
    validate_sizes(scenario)?;
    validate_machines(scenario)?;
    if scenario.discovery.max_concurrent_calls == Some(0) {
        return Err(InvalidValue::new("list.calls", "must be 1 or more"));
    }
    unique("method", scenario.methods.iter().map(|method| &method.name))?;
    unique("tenant", scenario.tenants.iter().map(|tenant| &tenant.name))?;
    unique("trouble", scenario.faults.iter().map(|fault| &fault.name))?;
    for (index, method) in scenario.methods.iter().enumerate() {
        validate_method(index, method)?;
    }
    validate_phases(scenario)?;
    for (index, fault) in scenario.faults.iter().enumerate() {
        validate_fault(scenario, fault).map_err(|invalid| invalid.in_fault(index))?;
    }
    validate_targets(scenario)
}

fn validate_numbers(scenario: &Scenario) -> Checked {
    let rules = &scenario.rules;
    let clients = &scenario.clients;
    positive("length", scenario.duration.0)?;
    positive("traffic.rate", scenario.traffic.rate_per_second)?;
    positive("proxies.count", scenario.proxies.count as f64)?;
    positive("fleet.racks", scenario.fleet.racks_per_zone as f64)?;
    positive("rules.fall-window", rules.overload_window.0)?;
    positive("rules.fall-multiple", rules.collapse_factor)?;
    positive("rules.most-picks", rules.max_attempts as f64)?;
    positive("rules.cold-from", rules.initial_capacity)?;
    fraction("rules.cold-from", rules.initial_capacity)?;
    fraction("clients.leave", clients.cancelling_fraction)?;
    fraction("clients.try-patience", clients.attempt_timeout_fraction)?;
    positive("clients.try-patience", clients.attempt_timeout_fraction)
}

fn validate_sizes(scenario: &Scenario) -> Checked {
    if scenario.fleet.zones.is_empty() {
        return Err(InvalidValue::new("fleet.zones", "names no zone"));
    }
    if scenario.fleet.machines.is_empty() {
        return Err(InvalidValue::new("fleet.machine", "names no machine"));
    }
    if scenario.proxies.count > MAX_PROXIES {
        return Err(InvalidValue::new(
            "proxies.count",
            "at most 200 fit on one machine's loopback addresses",
        ));
    }
    let too_many = scenario.methods.len() > MAX_METHODS || scenario.tenants.len() > MAX_METHODS;
    if scenario.methods.is_empty() || too_many {
        return Err(InvalidValue::new(
            "method",
            "from 1 to 200 methods, and at most 200 tenants",
        ));
    }
    Ok(())
}

fn validate_machines(scenario: &Scenario) -> Checked {
    for (index, machine) in scenario.fleet.machines.iter().enumerate() {
        let key = |name: &str| format!("fleet.machine[{index}].{name}");
        positive(&key("cores"), machine.cores as f64)?;
        positive(&key("speed"), machine.speed)?;
    }
    Ok(())
}

fn validate_method(index: usize, method: &Method) -> Checked {
    let key = |name: &str| format!("method[{index}].{name}");
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if method.name.is_empty() || !method.name.chars().all(is_allowed) {
        return Err(InvalidValue::new(
            key("name"),
            "takes letters, digits, - and _: it is the first part of a path",
        ));
    }
    positive(&key("work"), method.mean_work.0)?;
    positive(&key("target"), method.latency_target.0)?;
    positive(&key("share"), method.traffic_weight)?;
    if method.deadline < method.latency_target {
        return Err(InvalidValue::new(
            key("deadline"),
            "is before the latency target",
        ));
    }
    let is_deduplicated = method.kind == MethodKind::Deduplicated;
    let has_scope = method.deduplication_scope.is_some();
    let has_window = method.deduplication_window.is_some();
    if is_deduplicated != has_scope || is_deduplicated != has_window {
        return Err(InvalidValue::new(
            key("kind"),
            "group and window belong to a deduplicated method, and it needs both",
        ));
    }
    Ok(())
}

fn validate_phases(scenario: &Scenario) -> Checked {
    for (index, phase) in scenario.traffic.phases.iter().enumerate() {
        if !(phase.rate_factor >= 0.0 && phase.rate_factor.is_finite()) {
            let key = format!("traffic.phase[{index}].times");
            return Err(InvalidValue::new(key, "must be 0 or more"));
        }
    }
    Ok(())
}

fn validate_targets(scenario: &Scenario) -> Checked {
    let targets = [
        ("expect.service", scenario.targets.service),
        ("expect.worst-10s", scenario.targets.worst_10s),
        ("expect.worst-method", scenario.targets.worst_method),
        ("expect.worst-tenant", scenario.targets.worst_tenant),
    ];
    for (key, target) in targets {
        if let Some(target) = target {
            fraction(key, target)?;
        }
    }
    Ok(())
}

fn positive(key: &str, value: f64) -> Checked {
    if value > 0.0 && value.is_finite() {
        Ok(())
    } else {
        Err(InvalidValue::new(key, "must be above 0"))
    }
}

/// Checks that no two items of a section have the same name.
fn unique<'a>(section: &str, names: impl Iterator<Item = &'a String>) -> Checked {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(InvalidValue::new(
                format!("{section}[{index}].name"),
                format!("\"{name}\" is there twice"),
            ));
        }
    }
    Ok(())
}
