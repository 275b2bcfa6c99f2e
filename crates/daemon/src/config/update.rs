//! The message with which a reload sends new settings to the decision actor.

use crate::config::name_table::NameTable;
use birchhub::interface::{CarriedOver, Settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// New settings, which the decision actor applies between two events.
pub(crate) struct ConfigUpdate {
    /// Settings of the balancer.
    pub settings: Settings,
    /// Previous index of each method and tenant that is kept, with its state.
    pub carried_over: CarriedOver,
    /// Names of methods and tenants.
    pub names: NameTable,
    /// Settings of the shadow evaluation; `None` disables it.
    pub shadow_settings: Option<Settings>,
    /// Notified when the settings are active.
    pub applied: oneshot::Sender<AppliedUpdate>,
}

/// The decision actor's notification that an update is active.
pub(crate) struct AppliedUpdate {
    /// Names before the update. The receiver drops them off the event loop, since that takes long.
    pub previous_names: Arc<NameTable>,
    /// Time for which applying the update occupied the event loop.
    pub event_loop_time: Duration,
}
