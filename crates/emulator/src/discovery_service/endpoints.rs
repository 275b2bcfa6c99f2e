//! The endpoint list of the emulated discovery service, and the calls that request it.
use crate::protocol::ENDPOINT_LIST_PATH;
use crate::wire::Message;
use birchhub_audit::EndpointState;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time for which a watch waits for a change, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// A backend as the discovery service knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the backend.
    pub name: String,
    /// Name of its zone.
    pub zone: String,
    /// Number of its rack, unique over all zones.
    pub rack: u64,
    /// Name of its machine type.
    pub machine: String,
    /// Capacity hint, relative to the normal capacity.
    pub capacity: f64,
    /// Address for each proxy.
    pub addresses: Vec<SocketAddr>,
    /// State of the backend.
    pub state: EndpointState,
    /// Number of the incarnation that the state belongs to.
    pub incarnation: u32,
    /// Unix time of the last start in milliseconds; 0 if it started long ago.
    pub boot_ms: f64,
}

impl Endpoint {
    /// Encodes the endpoint for the discovery protocol, with its address for one proxy.
    pub fn to_json(&self, proxy: u16) -> Value {
        let state = match self.state {
            EndpointState::Ready => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Gone => "Gone",
        };
        let address = self.addresses.get(proxy as usize);
        let address = address.map(ToString::to_string).unwrap_or_default();
        json!({"uid": self.name, "endpoint": address, "az": self.zone, "model": self.machine,
            "pod_group": self.rack, "state": state, "capacity_hint": self.capacity, "boot_ms": self.boot_ms})
    }
}

/// An endpoint and the version of the list at which it last changed.
#[derive(Clone, Debug)]
struct VersionedEndpoint {
    version: u64,
    endpoint: Endpoint,
}

/// The state of a backend that a response notifies a proxy of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Notification {
    pub backend: u32,
    pub incarnation: u32,
    pub state: EndpointState,
}

/// Body of a response, and the states that it notifies the proxy of.
pub(super) struct ListResponse {
    pub body: Value,
    pub notifications: Vec<Notification>,
}

/// The endpoint list at one version. Backends that are gone stay in it, so that changes can include them.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointListSnapshot {
    pub version: u64,
    endpoints: BTreeMap<u32, VersionedEndpoint>,
}

impl EndpointListSnapshot {
    /// Sets a backend's endpoint and increments the version.
    pub(super) fn update(&mut self, backend: u32, endpoint: Endpoint) {
        self.version += 1;
        let version = self.version;
        let versioned = VersionedEndpoint { version, endpoint };
        self.endpoints.insert(backend, versioned);
    }

    /// The response to a proxy: the changes after version `since`, or the complete list if it is `None`.
    pub(super) fn response(&self, proxy: u16, since: Option<u64>) -> ListResponse {
        let is_included = |(_, versioned): &(&u32, &VersionedEndpoint)| match since {
            None => versioned.endpoint.state != EndpointState::Gone,
            Some(since) => versioned.version > since,
        };
        let included: Vec<_> = self.endpoints.iter().filter(is_included).collect();
        let targets: Vec<_> = included
            .iter()
            .map(|(_, versioned)| versioned.endpoint.to_json(proxy))
            .collect();
        let notifications = included
            .iter()
            .map(|(backend, versioned)| Notification {
                backend: **backend,
                incarnation: versioned.endpoint.incarnation,
                state: versioned.endpoint.state,
            })
            .collect();
        ListResponse {
            body: json!({"rev": self.version, "all": since.is_none(), "targets": targets}),
            notifications,
        }
    }
}

/// A call that requests the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListCall {
    /// Version since which changes are requested; `None` requests the complete list.
    pub since: Option<u64>,
    /// Maximum time for which a watch waits for a change.
    pub max_wait: Duration,
}

impl ListCall {
    /// Parses a call; `None` if the request has another path.
    pub(super) fn parse(message: &Message) -> Option<Self> {
        let (path, query) = message.path.split_once('?').unwrap_or((&message.path, ""));
        if path != ENDPOINT_LIST_PATH {
            return None;
        }
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let max_wait_ms = number("hold_ms").unwrap_or(0).min(MAX_WAIT_MS);
        Some(Self {
            since: number("from"),
            max_wait: Duration::from_millis(max_wait_ms),
        })
    }
}
