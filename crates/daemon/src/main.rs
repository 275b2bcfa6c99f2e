//! birchhubd: birchhub as a proxy on sockets. Starts the actors, has them follow a new
//! configuration on SIGHUP, and ends them on SIGTERM.
mod clock;
mod config;
mod decision;
mod discovery;
mod downstream;
mod end_reason;
mod invariants;
mod lifecycle;
mod log_budget;
mod messages;
mod net;
mod signals;
mod time_limits;
mod upstream;

use crate::clock::Clock;
use crate::config::active_config::ActiveConfig;
use crate::config::file::{self, CachedEndpoints, Config};
use crate::config::inherited_listener;
use crate::config::name_table::{ActiveNames, NameTable};
use crate::config::reload::Reload;
use crate::decision::actor::{self, ActorContext, DecisionActor};
use crate::discovery::client::{DiscoveryClient, DiscoveryContext};
use crate::discovery::source::DiscoverySource;
use crate::downstream::listener::Listener;
use crate::downstream::request_parser::RequestParser;
use crate::invariants::Invariants;
use crate::lifecycle::admin_api::AdminServer;
use crate::lifecycle::listeners::Listeners;
use crate::lifecycle::shutdown;
use crate::lifecycle::start_error::StartError;
use crate::lifecycle::startup;
use crate::lifecycle::state_store::StateStore;
use crate::messages::Event;
use crate::net::socket_budget::SocketBudget;
use crate::signals::{SignalFlag, Signals};
use std::cell::RefCell;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// The exit code of a process that could not start.
const EXIT_START_FAILED: u8 = 2;
/// Threads beside the event loop, for blocking work: each one keeps memory for itself.
const BLOCKING_THREADS: usize = 1;

fn main() -> ExitCode {
    let outcome = start();
    // The last lines, and the counts of a shadow evaluation, would go with the process.
    log::logger().flush();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("birchhubd: {error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Reads the configuration and runs the proxy until it is told to end.
fn start() -> Result<(), StartError> {
    // First of all: what is opened before might take the descriptor's number.
    let inherited = inherited_listener::take()?;
    let config = file::load(CachedEndpoints::Decoded)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_THREADS)
        .build()
        .map_err(StartError::EventLoop)?;
    LocalSet::new().block_on(&runtime, run(config, inherited))
}

async fn run(config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), StartError> {
    let signals = Signals::subscribe().map_err(StartError::Signals)?;
    let listeners = Listeners::bind(&config, inherited).await?;
    birchhub_logging::start();
    if let Some(error) = &config.cached_endpoints_error {
        log::warn!("the cached endpoint list is ignored: {error}");
    }
    let (active_config, settings) = watch::channel(ActiveConfig::new(&config.parsed_settings));
    let proxy = Proxy::new(config, listeners.inherited);
    proxy.spawn_lifecycle(listeners.admin, &settings);
    let events = proxy.spawn_decisions(signals.reload, active_config);
    let accepting = proxy.spawn_listener(listeners.clients, events);
    log::info!(
        "{} listens on {}",
        proxy.config.name,
        proxy.config.client_address
    );
    signals.terminate.received().await;
    let longest_rpc = settings.borrow().longest_deadline;
    let longest_rpc = longest_rpc.map(Duration::from_secs_f64);
    shutdown::drain(&proxy.state_store, longest_rpc, accepting, &proxy.budget).await;
    proxy.invariants.check_exit();
    log::info!("invariants: {}", proxy.invariants.report());
    Ok(())
}

/// What several actors of one process share.
struct Proxy {
    config: Arc<Config>,
    clock: Clock,
    names: ActiveNames,
    budget: Rc<SocketBudget>,
    state_store: Rc<StateStore>,
    invariants: Rc<Invariants>,
    discovery_source: DiscoverySource,
}

impl Proxy {
    fn new(config: Config, inherited: bool) -> Self {
        let process_group = startup::join_process_group(&config, inherited);
        let names = NameTable::new(0, &config.parsed_settings);
        Self {
            clock: Clock::start(),
            names: Rc::new(RefCell::new(Arc::new(names))),
            budget: SocketBudget::new(config.max_sockets),
            state_store: Rc::new(StateStore::new(process_group, inherited)),
            invariants: Rc::new(Invariants::new()),
            discovery_source: DiscoverySource::of(&config.parsed_settings.settings),
            config: Arc::new(config),
        }
    }

    fn lists_are_pushed(&self) -> bool {
        self.discovery_source == DiscoverySource::LocalAgent
    }

    /// Starts following the siblings, and the server of the second address where there is one.
    fn spawn_lifecycle(
        &self,
        admin: Option<TcpListener>,
        settings: &watch::Receiver<ActiveConfig>,
    ) {
        let state_store = self.state_store.clone();
        spawn_local(startup::share_sockets(
            self.budget.clone(),
            state_store.clone(),
        ));
        if let Some(listener) = admin {
            let settings = settings.clone();
            let server = AdminServer {
                state_store,
                settings,
                invariants: self.invariants.clone(),
            };
            spawn_local(Rc::new(server).run(listener));
        }
    }

    /// Starts the decision actor, and what it hears of beside clients: reloads and endpoint lists.
    fn spawn_decisions(
        &self,
        reload: SignalFlag,
        active_config: watch::Sender<ActiveConfig>,
    ) -> mpsc::Sender<Event> {
        let (events, mailbox) = mpsc::channel(actor::MAILBOX_CAPACITY);
        let watch_requested = Rc::new(Notify::new());
        let decisions = DecisionActor::new(
            &self.config,
            ActorContext {
                clock: self.clock,
                budget: self.budget.clone(),
                events: events.clone(),
                watch_requested: watch_requested.clone(),
                state_store: self.state_store.clone(),
                names: self.names.clone(),
                invariants: self.invariants.clone(),
            },
        );
        spawn_local(decisions.run(mailbox));
        startup::use_cached_endpoints(&self.config, &self.state_store, self.lists_are_pushed());
        let (address_sender, address) = watch::channel(self.config.discovery_address);
        let config = self.config.clone();
        spawn_local(Reload::new(config, address_sender, events.clone(), active_config).run(reload));
        let cached = self.config.cached_endpoints.as_ref();
        let discovery = DiscoveryClient::new(DiscoveryContext {
            address,
            decisions: events.clone(),
            watch_requested,
            cached_version: cached.map(|cached| cached.version),
            source: self.discovery_source,
            state_store: self.state_store.clone(),
        });
        spawn_local(discovery.run());
        events
    }

    /// Starts accepting clients; the task ends when no more are accepted.
    fn spawn_listener(&self, socket: TcpListener, events: mpsc::Sender<Event>) -> JoinHandle<()> {
        let listener = Listener::new(
            RequestParser::new(self.names.clone()),
            self.state_store.subscribe(),
            self.budget.clone(),
            self.invariants.clone(),
            events,
        );
        let state_store = self.state_store.clone();
        spawn_local(startup::accept_clients(
            listener,
            socket,
            state_store,
            self.lists_are_pushed(),
        ))
    }
}
