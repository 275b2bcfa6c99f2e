//! Parser of the endpoint lists that the simulator sends.

use crate::error::LineError;
use crate::fields::Fields;
use crate::protocol::{self, field, message};
use birchhub::interface::Endpoint;

/// An entry of an endpoint list. Each proxy resolves the zone and the start time itself, by its own settings and clock.
pub(crate) struct ListEntry {
    /// Name of the zone.
    pub(crate) zone: String,
    /// Simulated time of the backend's latest start in ns; `None` if it was long ago.
    pub(crate) started_at: Option<u64>,
    /// The other fields; zone and start time are not set.
    pub(crate) endpoint: Endpoint,
}

impl ListEntry {
    /// Parses one line of an endpoint list.
    pub(crate) fn parse(line: &str) -> Result<Self, LineError> {
        let mut fields = Fields::new(line);
        if fields.text(message::ENDPOINT_LIST_ENTRY)? != message::ENDPOINT_LIST_ENTRY {
            return Err(LineError::IncompleteList);
        }
        fields.text(field::MACHINE_TYPE)?;
        let relative_size = relative_size(&mut fields)?;
        let backend = fields.number(field::BACKEND)?;
        let started_at = fields.optional_number::<u64>(field::STARTED_AT)?;
        let cell = fields.optional_number(field::CELL)?.unwrap_or(u64::MAX);
        let zone = fields.text(field::ZONE)?.to_owned();
        let readiness = fields.name(field::READINESS, protocol::readiness)?;
        Ok(Self {
            zone,
            started_at: started_at.filter(|at| *at > 0),
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
    let field = field::RELATIVE_SIZE;
    let size = fields.optional_number::<f64>(field)?.unwrap_or(1.0);
    if size.is_finite() && size >= 0.0 {
        Ok(size)
    } else {
        let value = size.to_string();
        Err(LineError::OutOfRange { field, value })
    }
}
