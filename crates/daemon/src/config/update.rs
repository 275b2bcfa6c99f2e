//! An update of the settings, as the reload hands it to the decision actor.

use crate::config::active::NameTable;
use birchhub::interface::{CarriedOver, Settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Settings that the decision actor applies, all at once.
pub(crate) struct ConfigUpdate {
    /// The settings of the decisions.
    pub settings: Settings,
    /// State that methods and tenants keep.
    pub carried_over: CarriedOver,
    /// Names of methods and tenants.
    pub names: NameTable,
    /// Settings of the shadow evaluation; without any it ends.
    pub shadow_settings: Option<Settings>,
    /// Notified once the settings are active.
    pub applied: oneshot::Sender<AppliedUpdate>,
}

/// The names before an update, and the time that the event loop spent on it.
pub(crate) type AppliedUpdate = (Arc<NameTable>, Duration);
