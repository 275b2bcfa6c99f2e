//! Reload of the configuration on SIGHUP: reads the file again and applies the differences without a restart.
//!
//! Slow work, such as [`prepare`], runs on a blocking thread, off the event loop.

use crate::config::active_config::ActiveConfig;
use crate::config::error::ReloadError;
use crate::config::file::Config;
use crate::config::prepared_reload::{ActiveState, PendingUpdate, PreparedReload, prepare};
use crate::messages::Event;
use crate::signals::SignalFlag;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_blocking;
use tokio::time::Instant;

/// The actor that reloads the configuration.
pub(crate) struct Reload {
    /// The configuration that this process started with.
    start: Arc<Config>,
    active: ActiveState,
    /// Address of the discovery service, watched by the discovery client.
    discovery: watch::Sender<SocketAddr>,
    decision_actor: mpsc::Sender<Event>,
    /// Summary of the active configuration, shown by the admin API.
    published: watch::Sender<ActiveConfig>,
}

impl Reload {
    /// Creates the actor of a process that started with the configuration `start`.
    pub(crate) fn new(
        start: Arc<Config>,
        discovery: watch::Sender<SocketAddr>,
        decision_actor: mpsc::Sender<Event>,
        published: watch::Sender<ActiveConfig>,
    ) -> Self {
        let active = ActiveState {
            config: published.borrow().clone(),
            settings: start.parsed_settings.clone(),
            shadow_settings: start.shadow_settings.clone(),
        };
        Self {
            start,
            active,
            discovery,
            decision_actor,
            published,
        }
    }

    /// Reloads on each SIGHUP. If the new configuration cannot be used, the active one is kept.
    pub(crate) async fn run(mut self, sighup: SignalFlag) {
        loop {
            sighup.received().await;
            let started = Instant::now();
            match self.prepare().await {
                Ok(prepared) => self.apply(prepared, started).await,
                Err(error) => log::warn!(
                    target: "birchhubd",
                    "SIGHUP: reload failed, the active configuration is kept: {error}"
                ),
            }
        }
    }

    /// Prepares a reload on a blocking thread.
    async fn prepare(&self) -> Result<PreparedReload, ReloadError> {
        let start = self.start.clone();
        let active = self.active.clone();
        Ok(spawn_blocking(move || prepare(&start, &active)).await??)
    }

    /// Applies a prepared reload: first the address of discovery, then the settings.
    async fn apply(&mut self, prepared: PreparedReload, started: Instant) {
        let PreparedReload {
            discovery,
            state,
            change,
            update,
        } = prepared;
        log::info!(target: "birchhubd", "SIGHUP: discovery is at {discovery}");
        self.discovery
            .send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
        let mut previous_names = None;
        if let Some(PendingUpdate { update, applied }) = update {
            let event = Event::SettingsChanged(Box::new(update));
            if self.decision_actor.send(event).await.is_err() {
                // The decision actor only ends when the process exits.
                return;
            }
            let applied = applied.await.ok();
            let event_loop_time = applied.as_ref().map(|applied| applied.event_loop_time);
            let elapsed = started.elapsed();
            log_applied(
                &state.config,
                &change,
                elapsed,
                event_loop_time.unwrap_or_default(),
            );
            previous_names = applied.map(|applied| applied.previous_names);
        }
        log_restart_keys(&state.config);
        self.published.send_replace(state.config.clone());
        let previous_state = std::mem::replace(&mut self.active, state);
        // Dropping tens of thousands of names here would block the event loop.
        let _ = spawn_blocking(move || drop((previous_names, previous_state))).await;
    }
}

/// Logs that new settings are active. The operators' scripts parse this line.
fn log_applied(config: &ActiveConfig, change: &str, elapsed: Duration, event_loop_time: Duration) {
    log::info!(
        target: "birchhubd",
        "settings in force after {elapsed:.1?}, of them {event_loop_time:.2?} of the loop: {config}; {change}"
    );
}

/// Logs the keys that require a restart to take effect. The operators' scripts parse this line.
fn log_restart_keys(config: &ActiveConfig) {
    if !config.restart_keys.is_empty() {
        let keys = config.restart_keys.join(", ");
        log::warn!(target: "birchhubd", "SIGHUP: these keys take effect at the next start: {keys}");
    }
}
