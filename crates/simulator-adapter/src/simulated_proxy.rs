//! A simulated proxy: its balancer, its RPCs in flight and the names in its settings.

use crate::endpoints::ListEntry;
use crate::error::LineError;
use crate::protocol::{NANOSECONDS_PER_SECOND, field};
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::Endpoint;
use birchhub_settings::{self as settings, ParsedSettings};
use std::collections::HashMap;

/// A simulated proxy.
pub(crate) struct SimulatedProxy {
    /// Its decisions.
    pub(crate) balancer: Balancer,
    /// The handles of the RPCs that have not finished, by RPC id.
    pub(crate) rpcs: HashMap<u64, RpcHandle>,
    names: SettingsNames,
    /// Simulated time of its start in ns. The decisions' times are relative to it, so that `f64` seconds keep their precision.
    started_at: u64,
}

/// The names that the settings define, in the order of the decisions' indexes.
struct SettingsNames {
    methods: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    /// Whether endpoint lists contain the relative sizes of backends.
    lists_endpoint_sizes: bool,
}

impl SimulatedProxy {
    /// Creates a proxy that starts at this simulated time in ns.
    ///
    /// # Errors
    /// The settings are invalid.
    pub(crate) fn new(settings: &str, seed: u64, clock: u64) -> Result<Self, LineError> {
        let parsed = settings::parse(settings).map_err(LineError::Settings)?;
        let ParsedSettings {
            settings,
            methods,
            tenants,
            zones,
            lists_endpoint_sizes,
            ..
        } = parsed;
        Ok(Self {
            balancer: Balancer::new(&settings, seed),
            rpcs: HashMap::new(),
            names: SettingsNames {
                methods,
                tenants,
                zones,
                lists_endpoint_sizes,
            },
            started_at: clock,
        })
    }

    /// Converts a simulated time in ns into a time of the decisions in seconds.
    pub(crate) fn seconds(&self, clock: u64) -> f64 {
        (i128::from(clock) - i128::from(self.started_at)) as f64 / NANOSECONDS_PER_SECOND
    }

    /// Returns the index of a method.
    pub(crate) fn method(&self, name: &str) -> Result<usize, LineError> {
        let methods = &self.names.methods;
        let index = methods.iter().position(|method| method == name);
        index.ok_or_else(|| LineError::Unknown {
            field: field::METHOD,
            value: name.to_owned(),
        })
    }

    /// Returns the index of a tenant; `None` if the settings do not define it.
    pub(crate) fn tenant(&self, name: &str) -> Option<usize> {
        self.names.tenants.iter().position(|tenant| tenant == name)
    }

    /// Converts an entry of an endpoint list, with the zone's index and the start time relative to this proxy's start.
    pub(crate) fn resolve(&self, entry: &ListEntry) -> Endpoint {
        let zones = &self.names.zones;
        let zone = zones.iter().position(|zone| *zone == entry.zone);
        let has_size = self.names.lists_endpoint_sizes && entry.endpoint.relative_size > 0.0;
        Endpoint {
            zone: zone.unwrap_or(zones.len()),
            relative_size: if has_size {
                entry.endpoint.relative_size
            } else {
                1.0
            },
            started_at: entry.started_at.map(|clock| self.seconds(clock)),
            ..entry.endpoint
        }
    }

    /// Releases the handle of an RPC that has finished.
    pub(crate) fn remove_if_finished(&mut self, rpc: u64) {
        if self.rpcs.get(&rpc).is_some_and(RpcHandle::is_finished) {
            self.rpcs.remove(&rpc);
        }
    }
}
