//! Settings in force without a restart: on each SIGHUP the file is read again, compared with what is in force, and what
//! differs is put in force. All that costs time is done on a thread beside the event loop.
use crate::config::active::NameTable;
use crate::config::file::{self, Config};
use crate::messages::Event;
use birchhub::interface::{CarriedOver, Settings};
use birchhub_settings::ParsedSettings;
use birchhub_settings::change::{Change, with_restart_keys_from};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_blocking;
use tokio::time::Instant;

/// Settings for the core to put in force.
pub(crate) struct ConfigUpdate {
    pub settings: Settings,
    pub carried_over: CarriedOver,
    pub names: NameTable,
    /// Those of the watcher; without any it ends.
    pub shadow_settings: Option<Settings>,
    /// Told once they are in force.
    pub applied: oneshot::Sender<Replaced>,
}

/// The names before, and the time that the loop spent on the change.
type Replaced = (Arc<NameTable>, Duration);

/// What is in force, for staff and tools.
#[derive(Clone, Debug)]
pub(crate) struct ActiveConfig {
    /// Counts the changes since this process started.
    pub version: u64,
    pub digest: u64,
    methods: usize,
    tenants: usize,
    /// Keys that wait for the next start.
    later: Vec<&'static str>,
    /// Longest deadline of any method that was in force in this process, s; none if one of them is not told.
    pub longest_deadline: Option<f64>,
}

impl ActiveConfig {
    pub(crate) fn new(conf: &ParsedSettings) -> Self {
        let (methods, tenants) = (conf.methods.len(), conf.tenants.len());
        let (digest, longest_deadline) = (conf.digest, conf.longest_deadline);
        Self {
            version: 0,
            digest,
            methods,
            tenants,
            later: Vec::new(),
            longest_deadline,
        }
    }
}

impl std::fmt::Display for ActiveConfig {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Self {
            version,
            digest,
            methods,
            tenants,
            later,
            ..
        } = self;
        write!(
            to,
            "version {version}, digest {digest:016x}, {methods} methods, {tenants} tenants"
        )?;
        if !later.is_empty() {
            write!(to, "; at the next start: {}", later.join(", "))?;
        }
        Ok(())
    }
}

/// What a file that was read anew comes to.
struct PreparedReload {
    discovery: SocketAddr,
    stand: ActiveConfig,
    conf: Arc<ParsedSettings>,
    watch: Option<Settings>,
    /// In words.
    change: String,
    /// None where all stays as it is.
    update: Option<(ConfigUpdate, oneshot::Receiver<Replaced>)>,
}

pub(crate) struct Reload {
    /// As this process was started.
    start: Arc<Config>,
    conf: Arc<ParsedSettings>,
    watch: Option<Settings>,
    discovery: watch::Sender<SocketAddr>,
    core: mpsc::Sender<Event>,
    stand: watch::Sender<ActiveConfig>,
}

/// Reads the file and compares it; a fault names the place.
#[expect(clippy::too_many_lines)]
fn prepare(
    start: &Config,
    before: &ParsedSettings,
    watch: Option<&Settings>,
    stand: &ActiveConfig,
) -> Result<PreparedReload, String> {
    let now = file::load(false)?;
    let change = Change::between(before, &now.parsed_settings);
    let mut later = start.restart_keys(&now);
    later.extend(&change.restart_keys);
    let conf = Arc::unwrap_or_clone(now.parsed_settings).with_restart_keys_from(before);
    // What nobody watched from the start would compare nothing.
    let watched = match (watch, now.shadow_settings) {
        (Some(before), Some(now)) => Some(with_restart_keys_from(before, now)),
        (None, Some(_)) => {
            later.push("watch");
            None
        }
        _ => None,
    };
    let changes = !change.is_none() || watch != watched.as_ref();
    let version = stand.version + u64::from(changes);
    let longest = stand
        .longest_deadline
        .zip(conf.longest_deadline)
        .map(|(a, b)| a.max(b));
    let (words, kept) = (change.to_string(), change.carried_over);
    let update = changes.then(|| {
        let (done, told) = oneshot::channel();
        let (settings, names) = (conf.settings.clone(), NameTable::new(version, &conf));
        (
            ConfigUpdate {
                settings,
                carried_over: kept,
                names,
                shadow_settings: watched.clone(),
                applied: done,
            },
            told,
        )
    });
    Ok(PreparedReload {
        discovery: now.discovery,
        stand: ActiveConfig {
            version,
            later,
            longest_deadline: longest,
            ..ActiveConfig::new(&conf)
        },
        conf: Arc::new(conf),
        watch: watched,
        change: words,
        update,
    })
}

impl Reload {
    pub(crate) fn new(
        start: Arc<Config>,
        discovery: watch::Sender<SocketAddr>,
        core: mpsc::Sender<Event>,
        stand: watch::Sender<ActiveConfig>,
    ) -> Self {
        let (conf, watch) = (start.parsed_settings.clone(), start.shadow_settings.clone());
        Self {
            start,
            conf,
            watch,
            discovery,
            core,
            stand,
        }
    }

    /// Takes over from the configuration, on each SIGHUP, where discovery is and what is in force. A fault leaves all
    /// as it was.
    pub(crate) async fn run(mut self, mut hup: Signal) {
        while hup.recv().await.is_some() {
            let begun = Instant::now();
            let (start, before, watch) =
                (self.start.clone(), self.conf.clone(), self.watch.clone());
            let stand = self.stand.borrow().clone();
            let prepared =
                spawn_blocking(move || prepare(&start, &before, watch.as_ref(), &stand)).await;
            match prepared.unwrap_or_else(|e| Err(format!("it could not be compared: {e}"))) {
                Ok(prepared) => self.apply(prepared, begun).await,
                Err(fault) => {
                    log::warn!(target: "birchhubd", "SIGHUP: the configuration stays as it was: {fault}")
                }
            }
        }
    }

    async fn apply(&mut self, new: PreparedReload, begun: Instant) {
        let PreparedReload {
            discovery,
            stand,
            conf,
            watch,
            change,
            update,
        } = new;
        log::info!(target: "birchhubd", "SIGHUP: discovery is at {discovery}");
        self.discovery
            .send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
        let mut names = None;
        if let Some((update, told)) = update {
            if self
                .core
                .send(Event::SettingsChanged(Box::new(update)))
                .await
                .is_err()
            {
                return;
            }
            let (before, turn) = told.await.ok().unzip();
            names = before;
            let (turn, took) = (turn.unwrap_or_default(), begun.elapsed());
            log::info!(
                target: "birchhubd",
                "settings in force after {took:.1?}, of them {turn:.2?} of the loop: {stand}; {change}"
            );
        }
        if !stand.later.is_empty() {
            let keys = stand.later.join(", ");
            log::warn!(target: "birchhubd", "SIGHUP: these keys take effect at the next start: {keys}");
        }
        let before = (
            names,
            std::mem::replace(&mut self.conf, conf),
            std::mem::replace(&mut self.watch, watch),
        );
        self.stand.send_replace(stand);
        // Tens of thousands of names: guards against a loop that stands still while they are given back.
        let _ = spawn_blocking(move || drop(before)).await;
    }
}
