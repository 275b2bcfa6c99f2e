//! Endpoint lists as the wire carries them.

use crate::error::LineError;
use crate::fields::Fields;
use birchhub::interface::{Endpoint, EndpointUpdateKind, Readiness};

/// An entry of a list; zone and start are resolved once the instance is known.
pub(crate) struct ListEntry {
    /// Name of the zone.
    pub(crate) zone: String,
    /// Clock of the latest start, ns; `None` for long ago.
    pub(crate) started_at: Option<u64>,
    /// All else.
    pub(crate) endpoint: Endpoint,
}

impl ListEntry {
    /// Reads one line of a list.
    pub(crate) fn parse(line: &str) -> Result<Self, LineError> {
        let mut fields = Fields::new(line);
        if fields.text("M")? != "M" {
            return Err(LineError::IncompleteList);
        }
        fields.text("sku")?;
        let relative_size = relative_size(&mut fields)?;
        let backend = fields.number("backend")?;
        let started_at = fields.optional_number::<u64>("online-since-ns")?;
        let cell = fields.optional_number("block")?.unwrap_or(u64::MAX);
        let zone = fields.text("campus")?.to_owned();
        let readiness = readiness(&mut fields)?;
        Ok(Self {
            zone,
            started_at: started_at.filter(|clock| *clock > 0),
            endpoint: Endpoint {
                backend,
                relative_size,
                started_at: None,
                cell,
                zone: 0,
                readiness,
            },
        })
    }
}

fn relative_size(fields: &mut Fields) -> Result<f64, LineError> {
    let field = "scale";
    let size = fields.optional_number::<f64>(field)?.unwrap_or(1.0);
    if size.is_finite() && size >= 0.0 {
        Ok(size)
    } else {
        let value = size.to_string();
        Err(LineError::OutOfRange { field, value })
    }
}

fn readiness(fields: &mut Fields) -> Result<Readiness, LineError> {
    let field = "readiness";
    match fields.text(field)? {
        "IN" => Ok(Readiness::Ready),
        "LAME" => Ok(Readiness::Draining),
        "OUT" => Ok(Readiness::Removed),
        other => Err(LineError::Unknown {
            field,
            value: other.to_owned(),
        }),
    }
}

/// What an update brings.
pub(crate) enum UpdateKind {
    /// A list of this kind.
    List(EndpointUpdateKind),
    /// Nothing: the call to discovery failed.
    Failed,
}

impl UpdateKind {
    /// Reads the kind of an update.
    pub(crate) fn parse(fields: &mut Fields) -> Result<Self, LineError> {
        let field = "kind";
        Ok(match fields.text(field)? {
            "patch" => Self::List(EndpointUpdateKind::Incremental),
            "whole" => Self::List(EndpointUpdateKind::Snapshot),
            "stale_copy" => Self::List(EndpointUpdateKind::StaleSnapshot),
            "broken" => Self::Failed,
            other => {
                let value = other.to_owned();
                return Err(LineError::Unknown { field, value });
            }
        })
    }
}
