//! The administrative state: standby of the proxy and maintenance of single endpoints.
//!
//! All processes of a proxy share it. It is stored in a file, which processes of other versions read and write too: the
//! stored names, given by `serde(rename)`, must not change.

use birchhub::interface::Readiness;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

/// The maintenance state of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Maintenance {
    /// The endpoint is in maintenance and receives no new RPCs.
    #[serde(rename = "InForce")]
    Active,
    /// The maintenance ended at this time, in Unix ms. The endpoint counts as started then if its listed start time is
    /// earlier.
    #[serde(rename = "Over")]
    EndedAt(f64),
}

/// The state that operators change with [`AdminCommand`]s, and the endpoint names that commands may contain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AdminState {
    /// Start of the standby, in Unix ms; `None` while the proxy is active.
    #[serde(rename = "standby")]
    pub standby_since: Option<f64>,
    /// Maintenance by endpoint name.
    #[serde(rename = "bans")]
    pub maintenance: BTreeMap<String, Maintenance>,
    /// Names of all endpoints that discovery ever listed.
    #[serde(rename = "names")]
    pub(super) known_names: BTreeSet<String>,
}

/// Readiness and start time of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointStatus {
    /// Whether the endpoint takes RPCs.
    pub readiness: Readiness,
    /// Start of the endpoint's process, in Unix ms.
    pub started_at_ms: f64,
}

/// An operator's change of the administrative state.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AdminCommand {
    /// Starts the maintenance of the endpoint with this name.
    EnterMaintenance(String),
    /// Ends the maintenance of the endpoint with this name.
    ExitMaintenance(String),
    /// Starts the standby: the proxy reports itself as unhealthy, so that clients move to other proxies.
    Standby,
    /// Ends the standby.
    Activate,
}

/// A command with the time at which it was given. It takes effect from that time on, even if it is stored later.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TimedCommand {
    command: AdminCommand,
    /// Time at which the command was given, in Unix ms.
    given_at_ms: f64,
}

impl TimedCommand {
    /// Returns a command that is given now.
    pub(super) fn given_now(command: AdminCommand) -> Self {
        Self {
            command,
            given_at_ms: unix_ms(),
        }
    }
}

impl AdminState {
    /// Applies a command. Applying it again changes nothing.
    pub(super) fn apply(&mut self, command: &TimedCommand) {
        match &command.command {
            AdminCommand::EnterMaintenance(name) => {
                self.maintenance.insert(name.clone(), Maintenance::Active);
            }
            AdminCommand::ExitMaintenance(name) => {
                if let Some(maintenance) = self.maintenance.get_mut(name)
                    && *maintenance == Maintenance::Active
                {
                    *maintenance = Maintenance::EndedAt(command.given_at_ms);
                }
            }
            AdminCommand::Standby => {
                self.standby_since.get_or_insert(command.given_at_ms);
            }
            AdminCommand::Activate => self.standby_since = None,
        }
    }

    /// Returns the number of endpoints that are in maintenance.
    pub(crate) fn count_in_maintenance(&self) -> usize {
        self.maintenance
            .values()
            .filter(|maintenance| **maintenance == Maintenance::Active)
            .count()
    }

    /// Returns whether an endpoint with this name was ever listed.
    pub(crate) fn knows_name(&self, name: &str) -> bool {
        self.known_names.contains(name)
    }

    /// Returns the readiness and start time of an endpoint: the listed ones, changed by its maintenance state.
    pub(crate) fn effective_status(&self, name: &str, listed: EndpointStatus) -> EndpointStatus {
        match self.maintenance.get(name) {
            Some(Maintenance::Active) if listed.readiness == Readiness::Ready => EndpointStatus {
                readiness: Readiness::Draining,
                ..listed
            },
            Some(Maintenance::EndedAt(ended_at_ms)) => EndpointStatus {
                started_at_ms: listed.started_at_ms.max(*ended_at_ms),
                ..listed
            },
            _ => listed,
        }
    }
}

/// Returns the time of the wall clock, in Unix ms.
pub(super) fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}

#[cfg(test)]
mod tests;
