//! Parsing of the settings of methods (section `methods`).

use crate::error::SettingsError;
use crate::parsed::Named;
use crate::reader::JsonReader;
use birchhub::interface::{DeduplicationScope, Idempotency, MethodSettings};

/// Parses the settings of one method.
pub(crate) fn parse(method: &JsonReader) -> Result<Named<MethodSettings>, SettingsError> {
    let settings = MethodSettings {
        idempotency: idempotency(method)?,
        latency_objective: method.required("latency-target-ns")?.seconds()?,
        objective_stretch: method.number_or("aim-stretch", 0.0)?,
        priority_weight: method.number_or("utility", 1.0)?,
        late_weight_fraction: method.number_or("tardy-utility", 0.0)?,
        ordered_by_key: method.boolean_or_false("keep-order")?,
    };
    Ok(Named {
        name: method.required("name")?.string()?.to_owned(),
        settings,
    })
}

fn idempotency(method: &JsonReader) -> Result<Idempotency, SettingsError> {
    let setting = method.required("idempotency")?;
    match setting.string()? {
        "read_like" => Ok(Idempotency::Idempotent),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        "idempotency_key" => Ok(Idempotency::Deduplicated {
            scope: deduplication_scope(method)?,
            window: method.required("window-ns")?.seconds()?,
        }),
        other => Err(setting.unknown_choice(other)),
    }
}

fn deduplication_scope(method: &JsonReader) -> Result<DeduplicationScope, SettingsError> {
    let setting = method.required("dedup-scope")?;
    match setting.string()? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(setting.unknown_choice(other)),
    }
}

/// Returns the longest deadline of these methods, in seconds; `None` if a method has no deadline.
pub(crate) fn longest_deadline(methods: &[JsonReader]) -> Result<Option<f64>, SettingsError> {
    let deadline = |method: &JsonReader| {
        let limit = method.optional("hard-limit-ns");
        limit.map(|limit| limit.seconds()).transpose()
    };
    let deadlines: Option<Vec<f64>> = methods.iter().map(deadline).collect::<Result<_, _>>()?;
    Ok(deadlines.map(|deadlines| deadlines.into_iter().fold(0.0, f64::max)))
}
