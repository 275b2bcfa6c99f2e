//! What administrators set: standby of the proxy, and maintenance of single endpoints.
//!
//! It is common to all processes of a proxy and outlives them in a file, whose form is fixed: an older process may read
//! it, and a newer one finds it. There the names differ from those of the code.

use birchhub::interface::Readiness;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

/// The maintenance of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Maintenance {
    /// It gets no new RPCs.
    #[serde(rename = "InForce")]
    Active,
    /// It is back since this time, in Unix ms: whatever the endpoint list says, it started no earlier.
    #[serde(rename = "Over")]
    EndedAt(f64),
}

/// What administrators set, and the names of endpoints that they may set it for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AdminState {
    /// On standby since this time, in Unix ms.
    #[serde(rename = "standby")]
    pub standby_since: Option<f64>,
    /// By name of the endpoint.
    #[serde(rename = "bans")]
    pub maintenance: BTreeMap<String, Maintenance>,
    /// Endpoints that were ever listed.
    #[serde(rename = "names")]
    pub(super) known_names: BTreeSet<String>,
}

/// A change of the administrative state.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AdminCommand {
    /// Starts the maintenance of the endpoint of this name.
    EnterMaintenance(String),
    /// Ends it.
    ExitMaintenance(String),
    /// Sends clients to other proxies.
    Standby,
    /// Ends the standby.
    Activate,
}

/// A command and when it was given, in Unix ms: it takes effect from then on, however late it can be stored.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TimedCommand {
    command: AdminCommand,
    given_at: f64,
}

impl TimedCommand {
    /// A command that is given now.
    pub(super) fn now(command: AdminCommand) -> Self {
        Self {
            command,
            given_at: unix_ms(),
        }
    }
}

impl AdminState {
    /// Applies a command. The same command again changes nothing.
    pub(super) fn apply(&mut self, command: &TimedCommand) {
        let given_at = command.given_at;
        match &command.command {
            AdminCommand::EnterMaintenance(name) => {
                self.maintenance.insert(name.clone(), Maintenance::Active);
            }
            AdminCommand::ExitMaintenance(name) => {
                if let Some(maintenance) = self.maintenance.get_mut(name)
                    && *maintenance == Maintenance::Active
                {
                    *maintenance = Maintenance::EndedAt(given_at);
                }
            }
            AdminCommand::Standby => {
                self.standby_since.get_or_insert(given_at);
            }
            AdminCommand::Activate => self.standby_since = None,
        }
    }

    /// How many endpoints are in maintenance.
    pub(crate) fn count_in_maintenance(&self) -> usize {
        self.maintenance
            .values()
            .filter(|maintenance| **maintenance == Maintenance::Active)
            .count()
    }

    /// An endpoint of this name was listed once.
    pub(crate) fn knows(&self, name: &str) -> bool {
        self.known_names.contains(name)
    }

    /// The readiness and start time, in Unix ms, with which an endpoint counts that is listed with these.
    pub(crate) fn effective_readiness(
        &self,
        name: &str,
        listed: Readiness,
        boot_ms: f64,
    ) -> (Readiness, f64) {
        match self.maintenance.get(name) {
            Some(Maintenance::Active) if listed == Readiness::Ready => {
                (Readiness::Draining, boot_ms)
            }
            Some(Maintenance::EndedAt(ended_at)) => (listed, boot_ms.max(*ended_at)),
            _ => (listed, boot_ms),
        }
    }
}

/// The wall clock, in Unix ms.
pub(super) fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}

#[cfg(test)]
mod tests;
