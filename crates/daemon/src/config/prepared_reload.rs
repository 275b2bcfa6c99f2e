//! The part of a reload that runs on a blocking thread, off the event loop: reads the file and compares it with the
//! active configuration.

use crate::config::active_config::ActiveConfig;
use crate::config::error::ConfigError;
use crate::config::file::{self, CachedEndpointsMode, Config};
use crate::config::keys;
use crate::config::name_table::NameTable;
use crate::config::update::{AppliedUpdate, ConfigUpdate};
use birchhub::interface::{CarriedOver, Settings};
use birchhub_settings::{Change, ParsedSettings, with_restart_keys_from};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The active configuration, with which the next reload is compared.
#[derive(Clone)]
pub(super) struct ActiveState {
    pub config: ActiveConfig,
    pub settings: Arc<ParsedSettings>,
    pub shadow_settings: Option<Settings>,
}

/// A configuration that was read and compared, ready to be applied.
pub(super) struct PreparedReload {
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// The active configuration after the reload.
    pub state: ActiveState,
    /// Description of the [`Change`] for the log.
    pub change: String,
    /// Update of the active settings; `None` if they do not change.
    pub update: Option<PendingUpdate>,
}

/// An update, and the receiver of the notification that it was applied.
pub(super) struct PendingUpdate {
    pub update: ConfigUpdate,
    pub applied: oneshot::Receiver<AppliedUpdate>,
}

impl PendingUpdate {
    /// Creates the update that activates the settings of `state`.
    fn new(state: &ActiveState, carried_over: CarriedOver) -> Self {
        let (sender, applied) = oneshot::channel();
        let update = ConfigUpdate {
            settings: state.settings.settings.clone(),
            carried_over,
            names: NameTable::new(state.config.version, &state.settings),
            shadow_settings: state.shadow_settings.clone(),
            applied: sender,
        };
        Self { update, applied }
    }
}

/// Reads the file and compares it with the active configuration. Keys that take effect at a start only are compared
/// with the configuration at the start of this process.
pub(super) fn prepare(start: &Config, active: &ActiveState) -> Result<PreparedReload, ConfigError> {
    let new = file::load(CachedEndpointsMode::Skip)?;
    let change = Change::between(&active.settings, &new.parsed_settings);
    let mut restart_keys = start.restart_keys(&new);
    restart_keys.extend(&change.restart_keys);
    if active.shadow_settings.is_none() && new.shadow_settings.is_some() {
        restart_keys.push(keys::SHADOW_SETTINGS);
    }
    let settings =
        Arc::unwrap_or_clone(new.parsed_settings).with_restart_keys_from(&active.settings);
    let shadow_settings =
        next_shadow_settings(active.shadow_settings.as_ref(), new.shadow_settings);
    let changed = !change.is_empty() || active.shadow_settings != shadow_settings;
    let state = ActiveState {
        config: active.config.reloaded(&settings, changed, restart_keys),
        settings: Arc::new(settings),
        shadow_settings,
    };
    Ok(PreparedReload {
        discovery: new.discovery_address,
        change: change.to_string(),
        update: changed.then(|| PendingUpdate::new(&state, change.carried_over)),
        state,
    })
}

/// Returns the shadow settings after a reload. A shadow evaluation can only start with the process: without the state
/// from the start it would have nothing to compare.
fn next_shadow_settings(active: Option<&Settings>, new: Option<Settings>) -> Option<Settings> {
    Some(with_restart_keys_from(active?, new?))
}
