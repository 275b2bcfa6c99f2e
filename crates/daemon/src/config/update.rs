//! The message with which a reload hands new settings to the decision actor.

use crate::config::name_table::NameTable;
use birchhub::interface::{CarriedOver, Settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// New settings, which the decision actor applies between two events.
pub(crate) struct ConfigUpdate {
    /// The settings of the decisions.
    pub settings: Settings,
    /// Former indexes of methods and tenants, which keep their state.
    pub carried_over: CarriedOver,
    /// Names of methods and tenants.
    pub names: NameTable,
    /// Settings of the shadow evaluation; `None` ends it.
    pub shadow_settings: Option<Settings>,
    /// Notified when the settings are active.
    pub applied: oneshot::Sender<AppliedUpdate>,
}

/// The decision actor's notification that an update is active.
pub(crate) struct AppliedUpdate {
    /// Names before the update. Dropping them takes long: the receiver does it outside of the event loop.
    pub previous_names: Arc<NameTable>,
    /// Time that the event loop spent on applying the update.
    pub event_loop_time: Duration,
}
