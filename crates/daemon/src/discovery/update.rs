//! Updates of the endpoint list, and how they are decoded.

use crate::discovery::LOG_TARGET;
use birchhub::interface::{EndpointUpdateKind, Readiness};
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::time::Instant;

/// An endpoint list that can't be understood.
#[derive(Debug, Error)]
pub(crate) enum DecodeError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The version is missing or of another type.
    #[error("rev is not a number")]
    Version,
    /// It is not told whether the list is whole.
    #[error("all is not true or false")]
    Kind,
    /// The lines are missing or of another type.
    #[error("targets is not a list")]
    Lines,
}

/// One endpoint as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ListedEndpoint {
    /// Name of the backend, the same over its restarts.
    pub uid: String,
    /// Where it takes connections.
    pub endpoint: SocketAddr,
    /// Name of its zone; empty where the list does not tell.
    pub zone: String,
    /// Number of its cell.
    pub cell: Option<u64>,
    /// Whether it takes new RPCs.
    pub readiness: Readiness,
    /// Capacity relative to other backends.
    pub size: f64,
    /// Time of its latest start, Unix ms; 0 for long ago.
    pub boot_ms: f64,
}

/// An update of the endpoint list: the whole list or changes of it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointUpdate {
    /// Grows with each change.
    pub version: u64,
    /// What it says of the endpoints that it does not name.
    pub kind: EndpointUpdateKind,
    /// The endpoints that it names.
    pub listed: Vec<ListedEndpoint>,
    /// What it tells and was not told before has become so since then; none where nothing was told before.
    pub changed_since: Option<Instant>,
}

/// Stands for an address that can't be read: nothing listens there.
const NO_ADDRESS: ([u8; 4], u16) = ([0, 0, 0, 0], 0);

impl ListedEndpoint {
    /// One line of the list. A line without a name is passed over: it must not end the proxy.
    fn decode(line: &Value) -> Option<Self> {
        let number = |key| line.get(key).and_then(Value::as_f64);
        let text = |key| line.get(key).and_then(Value::as_str);
        let readiness = match text("state") {
            Some("Ready") => Readiness::Ready,
            Some("Gone") => Readiness::Removed,
            _ => Readiness::Draining,
        };
        let address = text("endpoint").and_then(|text| text.parse().ok());
        // Prevents RPCs to the former address of a backend whose new address can't be read.
        let readiness = match (address, readiness) {
            (None, Readiness::Ready) => Readiness::Draining,
            (_, readiness) => readiness,
        };
        Some(Self {
            uid: text("uid")?.to_owned(),
            endpoint: address.unwrap_or_else(|| SocketAddr::from(NO_ADDRESS)),
            zone: text("az").unwrap_or_default().to_owned(),
            cell: line.get("pod_group").and_then(Value::as_u64),
            readiness,
            size: number("capacity_hint")
                .filter(|size| *size > 0.0)
                .unwrap_or(1.0),
            boot_ms: number("boot_ms").unwrap_or(0.0),
        })
    }
}

impl EndpointUpdate {
    /// Decodes the text of a list.
    pub(crate) fn parse(text: &str) -> Result<Self, DecodeError> {
        Self::decode(&serde_json::from_str(text)?)
    }

    /// Decodes the list in the form that discovery gives it.
    pub(crate) fn decode(value: &Value) -> Result<Self, DecodeError> {
        let version = value
            .get("rev")
            .and_then(Value::as_u64)
            .ok_or(DecodeError::Version)?;
        let whole = value
            .get("all")
            .and_then(Value::as_bool)
            .ok_or(DecodeError::Kind)?;
        let lines = value
            .get("targets")
            .and_then(Value::as_array)
            .ok_or(DecodeError::Lines)?;
        let listed: Vec<_> = lines.iter().filter_map(ListedEndpoint::decode).collect();
        if listed.len() < lines.len() {
            log::warn!(
                target: LOG_TARGET,
                "{} of {} list lines can't be read",
                lines.len() - listed.len(),
                lines.len()
            );
        }
        Ok(Self {
            version,
            kind: if whole {
                EndpointUpdateKind::Snapshot
            } else {
                EndpointUpdateKind::Incremental
            },
            listed,
            changed_since: None,
        })
    }
}
