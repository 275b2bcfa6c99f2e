//! The wire format of the discovery protocol: its paths, keys and values, and the decoding of endpoint lists. Names of
//! the protocol are used only in this module.

use crate::discovery::LOG_TARGET;
use crate::discovery::update::{EndpointUpdate, ListedEndpoint};
use birchhub::interface::{EndpointUpdateKind, Readiness};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Path of the endpoint list.
const LIST_PATH: &str = "/registry/instances";
/// Query parameter: the version since which changes are requested.
const FROM_VERSION: &str = "from";
/// Query parameter: the time for which the service may hold a long poll, in milliseconds.
const HOLD_MS: &str = "hold_ms";

/// Key of the version of the list.
const VERSION: &str = "rev";
/// Key of the flag that marks a complete list.
const IS_SNAPSHOT: &str = "all";
/// Key of the entries.
const ENDPOINTS: &str = "targets";

/// Key of the backend's uid.
const UID: &str = "uid";
/// Key of the backend's address.
const ADDRESS: &str = "endpoint";
/// Key of the backend's zone.
const ZONE: &str = "az";
/// Key of the backend's cell.
const CELL: &str = "pod_group";
/// Key of the backend's state.
const STATE: &str = "state";
/// Key of the backend's relative capacity.
const SIZE: &str = "capacity_hint";
/// Key of the backend's start time, in Unix milliseconds.
const STARTED_AT_MS: &str = "boot_ms";

/// State of a backend that accepts new RPCs.
const STATE_READY: &str = "Ready";
/// State of a backend that finishes its RPCs and accepts no new ones.
const STATE_DRAINING: &str = "Terminating";
/// State of a backend that is removed.
const STATE_REMOVED: &str = "Gone";

/// Relative capacity of a backend whose entry lacks a valid one.
const DEFAULT_SIZE: f64 = 1.0;

/// Address of a backend whose listed address cannot be parsed. Nothing listens there.
const INVALID_ADDRESS: ([u8; 4], u16) = ([0, 0, 0, 0], 0);

/// Why a text or JSON value is not an endpoint list.
#[derive(Debug, Error)]
pub(crate) enum DecodeError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The version is missing or has another type.
    #[error("{VERSION} is not a number")]
    Version,
    /// The snapshot flag is missing or has another type.
    #[error("{IS_SNAPSHOT} is not true or false")]
    Kind,
    /// The entries are missing or have another type.
    #[error("{ENDPOINTS} is not a list")]
    Endpoints,
}

/// Returns the path of a call for a snapshot.
pub(super) fn snapshot_path() -> String {
    LIST_PATH.to_owned()
}

/// Returns the path of a call for the changes after `version`, which the service may hold for `hold`.
pub(super) fn changes_path(version: u64, hold: Duration) -> String {
    let hold_ms = hold.as_millis();
    format!("{LIST_PATH}?{FROM_VERSION}={version}&{HOLD_MS}={hold_ms}")
}

impl EndpointUpdate {
    /// Decodes an endpoint list from JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON, or not an endpoint list.
    pub(crate) fn parse(text: &str) -> Result<Self, DecodeError> {
        Self::decode(&serde_json::from_str(text)?)
    }

    /// Encodes a complete list as JSON text, which [`Self::parse`] decodes.
    pub(crate) fn encode_snapshot(version: u64, endpoints: &[ListedEndpoint]) -> String {
        let entries: Vec<_> = endpoints.iter().map(encode_endpoint).collect();
        json!({VERSION: version, IS_SNAPSHOT: true, ENDPOINTS: entries}).to_string()
    }

    /// Decodes an endpoint list. Ignores entries without a uid and logs a warning about them.
    pub(super) fn decode(value: &Value) -> Result<Self, DecodeError> {
        let version = value
            .get(VERSION)
            .and_then(Value::as_u64)
            .ok_or(DecodeError::Version)?;
        let is_snapshot = value
            .get(IS_SNAPSHOT)
            .and_then(Value::as_bool)
            .ok_or(DecodeError::Kind)?;
        let entries = value
            .get(ENDPOINTS)
            .and_then(Value::as_array)
            .ok_or(DecodeError::Endpoints)?;
        let endpoints: Vec<_> = entries.iter().filter_map(decode_endpoint).collect();
        let total = entries.len();
        let ignored = total - endpoints.len();
        if ignored > 0 {
            log::warn!(target: LOG_TARGET, "ignoring {ignored} of {total} endpoint list entries without a uid");
        }
        Ok(Self {
            version,
            kind: if is_snapshot {
                EndpointUpdateKind::Snapshot
            } else {
                EndpointUpdateKind::Incremental
            },
            endpoints,
            changed_since: None,
        })
    }
}

fn encode_endpoint(endpoint: &ListedEndpoint) -> Value {
    let state = match endpoint.readiness {
        Readiness::Ready => STATE_READY,
        Readiness::Draining => STATE_DRAINING,
        Readiness::Removed => STATE_REMOVED,
    };
    json!({
        UID: endpoint.uid,
        ADDRESS: endpoint.address.to_string(),
        ZONE: endpoint.zone,
        CELL: endpoint.cell,
        STATE: state,
        SIZE: endpoint.size,
        STARTED_AT_MS: endpoint.started_at_ms,
    })
}

/// Decodes an entry of the list. Returns `None` if it has no uid. Other missing or malformed values have defaults.
fn decode_endpoint(entry: &Value) -> Option<ListedEndpoint> {
    let number = |key| entry.get(key).and_then(Value::as_f64);
    let text = |key| entry.get(key).and_then(Value::as_str);
    let address = text(ADDRESS).and_then(|text| text.parse().ok());
    Some(ListedEndpoint {
        uid: text(UID)?.to_owned(),
        address: address.unwrap_or_else(|| SocketAddr::from(INVALID_ADDRESS)),
        zone: text(ZONE).unwrap_or_default().to_owned(),
        cell: entry.get(CELL).and_then(Value::as_u64),
        readiness: readiness(text(STATE), address.is_some()),
        size: number(SIZE)
            .filter(|size| *size > 0.0)
            .unwrap_or(DEFAULT_SIZE),
        started_at_ms: number(STARTED_AT_MS).unwrap_or(0.0),
    })
}

/// Returns the readiness of a backend. An unknown state counts as draining, and so does a ready backend without a valid
/// address: no RPC may be sent to the previous address of a backend whose new address cannot be parsed.
fn readiness(state: Option<&str>, has_valid_address: bool) -> Readiness {
    match state {
        Some(STATE_READY) if has_valid_address => Readiness::Ready,
        Some(STATE_REMOVED) => Readiness::Removed,
        _ => Readiness::Draining,
    }
}

#[cfg(test)]
mod tests;
