//! One proxy instance: its balancer, and the names and numbers that the wire uses for it.

use crate::endpoints::ListEntry;
use crate::error::LineError;
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::Endpoint;
use birchhub_settings::{self as settings, ParsedSettings};
use std::collections::HashMap;

/// One proxy instance.
pub(crate) struct Instance {
    pub(crate) balancer: Balancer,
    /// RPCs that are not finished.
    pub(crate) rpcs: HashMap<u64, RpcHandle>,
    names: Names,
    /// Clock at `INIT`, ns; times of the decisions count from here, so that fractions keep their precision.
    start_clock: u64,
}

/// Names that the settings give, by index.
struct Names {
    methods: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    /// The list tells sizes of backends.
    has_sizes: bool,
}

impl Instance {
    /// An instance with these settings, as text, that starts at this clock.
    pub(crate) fn new(settings: &str, seed: u64, clock: u64) -> Result<Self, LineError> {
        let parsed =
            settings::parse(settings).map_err(|error| LineError::Settings(error.to_string()))?;
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
            names: Names {
                methods,
                tenants,
                zones,
                has_sizes: lists_endpoint_sizes,
            },
            start_clock: clock,
        })
    }

    /// A clock of the wire as a time of the decisions, s.
    pub(crate) fn seconds(&self, clock: u64) -> f64 {
        (i128::from(clock) - i128::from(self.start_clock)) as f64 / 1e9
    }

    /// Index of a method.
    pub(crate) fn method(&self, name: &str) -> Result<usize, LineError> {
        let methods = &self.names.methods;
        let index = methods.iter().position(|method| method == name);
        index.ok_or_else(|| LineError::Unknown {
            field: "profile",
            value: name.to_owned(),
        })
    }

    /// Index of a tenant, if the settings have it.
    pub(crate) fn tenant(&self, name: &str) -> Option<usize> {
        self.names.tenants.iter().position(|tenant| tenant == name)
    }

    /// An entry of a list, with its names and clock resolved.
    pub(crate) fn resolve(&self, entry: &ListEntry) -> Endpoint {
        let zones = &self.names.zones;
        let zone = zones.iter().position(|zone| *zone == entry.zone);
        let has_size = self.names.has_sizes && entry.endpoint.relative_size > 0.0;
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

    /// Forgets an RPC that is finished.
    pub(crate) fn forget_if_finished(&mut self, rpc: u64) {
        if self.rpcs.get(&rpc).is_some_and(RpcHandle::is_finished) {
            self.rpcs.remove(&rpc);
        }
    }
}
