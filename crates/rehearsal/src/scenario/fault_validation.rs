//! Validation of a fault: which keys its kind requires or permits, and their values. Keys of errors are relative to the
//! fault.
use super::checks::{Checked, fraction};
use super::{Fault, FaultKind, InvalidValue, Scenario};
use FaultKind::{
    Crash, Deploy, Error, ListDown, ListLate, ListStale, Mute, Neighbour, Partition, ProxyKill,
    ProxyPause, ProxyRestart, Reset, SlowMethod, Spoilt, Stall, Trickle,
};

/// An optional key of a fault.
struct OptionalKey {
    name: &'static str,
    is_present: fn(&Fault) -> bool,
    /// Kinds that require the key.
    required_by: &'static [FaultKind],
    /// Further kinds that may have it.
    permitted_by: &'static [FaultKind],
}

/// The optional keys, in the order in which they are checked; `lead` and `stop-after` are checked after them.
const OPTIONAL_KEYS: [OptionalKey; 13] = [
    OptionalKey {
        name: "nodes",
        is_present: |fault| fault.backends.is_some(),
        required_by: &[
            Stall, Neighbour, Crash, Deploy, Reset, Spoilt, Mute, Error, Trickle, Partition,
        ],
        permitted_by: &[],
    },
    OptionalKey {
        name: "proxies",
        is_present: |fault| fault.proxies.is_some(),
        required_by: &[ProxyKill, ProxyRestart, ProxyPause],
        permitted_by: &[ListStale, Partition],
    },
    OptionalKey {
        name: "for",
        is_present: |fault| fault.duration.is_some(),
        required_by: &[
            Stall, Neighbour, SlowMethod, Crash, ListLate, ListDown, ListStale, ProxyPause, Reset,
            Spoilt, Mute, Error, Trickle, Partition,
        ],
        permitted_by: &[],
    },
    OptionalKey {
        name: "method",
        is_present: |fault| fault.method.is_some(),
        required_by: &[SlowMethod],
        permitted_by: &[],
    },
    OptionalKey {
        name: "pause",
        is_present: |fault| fault.pause.is_some(),
        required_by: &[ProxyPause],
        permitted_by: &[Stall],
    },
    OptionalKey {
        name: "every",
        is_present: |fault| fault.interval.is_some(),
        required_by: &[Deploy, ProxyPause],
        permitted_by: &[Stall, ProxyKill, ProxyRestart],
    },
    OptionalKey {
        name: "takes",
        is_present: |fault| fault.capacity_taken.is_some(),
        required_by: &[Neighbour],
        permitted_by: &[],
    },
    OptionalKey {
        name: "factor",
        is_present: |fault| fault.factor.is_some(),
        required_by: &[SlowMethod],
        permitted_by: &[],
    },
    OptionalKey {
        name: "batch",
        is_present: |fault| fault.batch_size.is_some(),
        required_by: &[Deploy],
        permitted_by: &[],
    },
    OptionalKey {
        name: "by",
        is_present: |fault| fault.delay.is_some(),
        required_by: &[ListLate],
        permitted_by: &[],
    },
    OptionalKey {
        name: "share",
        is_present: |fault| fault.share.is_some(),
        required_by: &[Reset, Spoilt, Mute, Error, Trickle],
        permitted_by: &[],
    },
    OptionalKey {
        name: "over",
        is_present: |fault| fault.response_duration.is_some(),
        required_by: &[Trickle],
        permitted_by: &[],
    },
    OptionalKey {
        name: "back-after",
        is_present: |fault| fault.restart_delay.is_some(),
        required_by: &[],
        permitted_by: &[ProxyKill, ProxyRestart, Deploy],
    },
];

/// Validates one fault.
pub(super) fn validate_fault(scenario: &Scenario, fault: &Fault) -> Checked {
    for key in &OPTIONAL_KEYS {
        validate_presence(key, fault)?;
    }
    validate_combinations(fault)?;
    validate_values(fault)?;
    validate_method(scenario, fault)
}

fn validate_presence(key: &OptionalKey, fault: &Fault) -> Checked {
    let name = key.name;
    let is_present = (key.is_present)(fault);
    let is_required = key.required_by.contains(&fault.kind);
    let is_permitted = is_required || key.permitted_by.contains(&fault.kind);
    if is_required && !is_present {
        let message = format!("this kind needs the key `{name}`");
        return Err(InvalidValue::new("kind", message));
    }
    if is_present && !is_permitted {
        return Err(InvalidValue::new(
            name,
            "does not belong to this kind of trouble",
        ));
    }
    Ok(())
}

fn validate_combinations(fault: &Fault) -> Checked {
    let has_drain_times = fault.drain_notice.is_some() || fault.drain_timeout.is_some();
    if has_drain_times && fault.kind != Deploy {
        return Err(InvalidValue::new(
            "kind",
            "lead and stop-after belong to a deploy",
        ));
    }
    if fault.kind == Stall && fault.pause.is_some() != fault.interval.is_some() {
        return Err(InvalidValue::new("pause", "pause and every go together"));
    }
    Ok(())
}

fn validate_values(fault: &Fault) -> Checked {
    if let Some(taken) = fault.capacity_taken {
        fraction("takes", taken)?;
    }
    if let Some(share) = fault.share {
        fraction("share", share)?;
    }
    if fault.capacity_taken == Some(1.0) {
        return Err(InvalidValue::new(
            "takes",
            "a neighbour leaves something; use a stall",
        ));
    }
    let is_positive = |factor: f64| factor > 0.0 && factor.is_finite();
    let has_bad_factor = fault.factor.is_some_and(|factor| !is_positive(factor));
    if has_bad_factor || fault.batch_size == Some(0) {
        return Err(InvalidValue::new(
            "kind",
            "factor and batch must be above 0",
        ));
    }
    if fault.interval.is_some_and(|interval| interval.0 <= 0.0) {
        return Err(InvalidValue::new("every", "must be above 0"));
    }
    Ok(())
}

fn validate_method(scenario: &Scenario, fault: &Fault) -> Checked {
    let Some(name) = &fault.method else {
        return Ok(());
    };
    if scenario.methods.iter().any(|method| method.name == *name) {
        Ok(())
    } else {
        Err(InvalidValue::new(
            "method",
            "names no method of this scenario",
        ))
    }
}
