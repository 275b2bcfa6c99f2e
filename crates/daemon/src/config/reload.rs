//! Reload of the configuration. On each SIGHUP the file is read again and compared with what is active, and what differs
//! is applied without a restart. All that takes long happens on a thread beside the event loop.

use crate::config::active::NameTable;
use crate::config::error::{ConfigError, ReloadError};
use crate::config::file::{self, CachedEndpoints, Config};
use crate::config::update::{AppliedUpdate, ConfigUpdate};
use crate::messages::Event;
use crate::signals::SignalFlag;
use birchhub::interface::{CarriedOver, Settings};
use birchhub_settings::{Change, ParsedSettings, with_restart_keys_from};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_blocking;
use tokio::time::Instant;

/// What is active, in short: for `GET /settings` and the log.
#[derive(Clone, Debug)]
pub(crate) struct ActiveConfig {
    /// Number of changes since this process started.
    pub version: u64,
    pub digest: u64,
    methods: usize,
    tenants: usize,
    /// Keys that differ in the file and take effect at the next start.
    restart_keys: Vec<&'static str>,
    /// Longest deadline of any method that was active in this process, s; none if one of them had no deadline.
    pub longest_deadline: Option<f64>,
}

impl ActiveConfig {
    /// The configuration that a process starts with.
    pub(crate) fn new(settings: &ParsedSettings) -> Self {
        Self {
            version: 0,
            digest: settings.digest,
            methods: settings.methods.len(),
            tenants: settings.tenants.len(),
            restart_keys: Vec::new(),
            longest_deadline: settings.longest_deadline,
        }
    }

    /// After a reload with these settings, which were applied if `changed`.
    fn reloaded(
        &self,
        settings: &ParsedSettings,
        changed: bool,
        restart_keys: Vec<&'static str>,
    ) -> Self {
        let deadlines = self.longest_deadline.zip(settings.longest_deadline);
        Self {
            version: self.version + u64::from(changed),
            restart_keys,
            longest_deadline: deadlines.map(|(before, now)| before.max(now)),
            ..Self::new(settings)
        }
    }
}

impl fmt::Display for ActiveConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            version,
            digest,
            methods,
            tenants,
            ..
        } = self;
        write!(
            formatter,
            "version {version}, digest {digest:016x}, {methods} methods, {tenants} tenants"
        )?;
        if !self.restart_keys.is_empty() {
            let keys = self.restart_keys.join(", ");
            write!(formatter, "; at the next start: {keys}")?;
        }
        Ok(())
    }
}

/// What is active, and what the next reload is compared with.
#[derive(Clone)]
struct ActiveState {
    config: ActiveConfig,
    settings: Arc<ParsedSettings>,
    shadow_settings: Option<Settings>,
}

/// A configuration that was read and compared, ready to be applied.
struct PreparedReload {
    discovery: SocketAddr,
    /// What is active afterwards.
    state: ActiveState,
    /// Text of the [`Change`].
    change: String,
    /// None if the active settings stay as they are.
    update: Option<PendingUpdate>,
}

/// An update, and the other end of its notification.
struct PendingUpdate {
    update: ConfigUpdate,
    applied: oneshot::Receiver<AppliedUpdate>,
}

impl PendingUpdate {
    /// The update to this state.
    fn to(state: &ActiveState, carried_over: CarriedOver) -> Self {
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

/// Reads the file and compares it with what is active and with the start of the process.
fn prepare(start: &Config, active: &ActiveState) -> Result<PreparedReload, ConfigError> {
    let new = file::load(CachedEndpoints::Ignored)?;
    let change = Change::between(&active.settings, &new.parsed_settings);
    let mut restart_keys = start.restart_keys(&new);
    restart_keys.extend(&change.restart_keys);
    let settings =
        Arc::unwrap_or_clone(new.parsed_settings).with_restart_keys_from(&active.settings);
    let shadow_settings = match (&active.shadow_settings, new.shadow_settings) {
        (Some(active), Some(new)) => Some(with_restart_keys_from(active, new)),
        // A shadow evaluation that does not know the state from the start would compare nothing.
        (None, Some(_)) => {
            restart_keys.push("watch");
            None
        }
        (_, None) => None,
    };
    let changed = !change.is_none() || active.shadow_settings != shadow_settings;
    let state = ActiveState {
        config: active.config.reloaded(&settings, changed, restart_keys),
        settings: Arc::new(settings),
        shadow_settings,
    };
    Ok(PreparedReload {
        discovery: new.discovery,
        change: change.to_string(),
        update: changed.then(|| PendingUpdate::to(&state, change.carried_over)),
        state,
    })
}

/// The actor that reloads the configuration.
pub(crate) struct Reload {
    /// As this process was started.
    start: Arc<Config>,
    active: ActiveState,
    discovery: watch::Sender<SocketAddr>,
    decision_actor: mpsc::Sender<Event>,
    /// What is active, for all that want to know.
    published: watch::Sender<ActiveConfig>,
}

impl Reload {
    /// A reload that compares with the configuration of the start.
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

    /// Reloads on each SIGHUP. A configuration that cannot be used changes nothing.
    pub(crate) async fn run(mut self, sighup: SignalFlag) {
        loop {
            sighup.received().await;
            let started = Instant::now();
            match self.prepare().await {
                Ok(prepared) => self.apply(prepared, started).await,
                Err(error) => {
                    log::warn!(target: "birchhubd", "SIGHUP: the configuration stays as it was: {error}")
                }
            }
        }
    }

    /// Prepares a reload on the thread beside the event loop.
    async fn prepare(&self) -> Result<PreparedReload, ReloadError> {
        let (start, active) = (self.start.clone(), self.active.clone());
        Ok(spawn_blocking(move || prepare(&start, &active)).await??)
    }

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
                return;
            }
            let (names, loop_time) = applied.await.ok().unzip();
            previous_names = names;
            log_applied(
                &state.config,
                &change,
                started,
                loop_time.unwrap_or_default(),
            );
        }
        log_restart_keys(&state.config);
        self.published.send_replace(state.config.clone());
        let previous = (previous_names, std::mem::replace(&mut self.active, state));
        // Dropping tens of thousands of names here would block the event loop.
        let _ = spawn_blocking(move || drop(previous)).await;
    }
}

fn log_applied(config: &ActiveConfig, change: &str, started: Instant, loop_time: Duration) {
    let elapsed = started.elapsed();
    log::info!(
        target: "birchhubd",
        "settings in force after {elapsed:.1?}, of them {loop_time:.2?} of the loop: {config}; {change}"
    );
}

fn log_restart_keys(config: &ActiveConfig) {
    if !config.restart_keys.is_empty() {
        let keys = config.restart_keys.join(", ");
        log::warn!(target: "birchhubd", "SIGHUP: these keys take effect at the next start: {keys}");
    }
}
