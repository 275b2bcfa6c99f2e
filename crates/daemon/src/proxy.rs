//! The actors of a proxy process: creates them, connects their mailboxes, and starts their tasks.

use crate::clock::Clock;
use crate::config::active_config::ActiveConfig;
use crate::config::file::Config;
use crate::config::name_table::{ActiveNames, NameTable};
use crate::config::reload::Reload;
use crate::decision::actor::{self, ActorContext, DecisionActor};
use crate::discovery::client::{DiscoveryClient, DiscoveryContext};
use crate::discovery::source::DiscoverySource;
use crate::downstream::listener::Listener;
use crate::downstream::request_ids::ActiveRequestIds;
use crate::downstream::request_parser::RequestParser;
use crate::event_loop::{LoopMonitor, WorkQueue};
use crate::invariants::Invariants;
use crate::lifecycle::admin_api::AdminServer;
use crate::lifecycle::first_endpoint_list;
use crate::lifecycle::startup;
use crate::lifecycle::state_store::StateStore;
use crate::messages::Event;
use crate::net::body::UploadMemory;
use crate::net::socket_budget::SocketBudget;
use crate::signals::SignalFlag;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

/// The resources that the actors of a process share.
pub(crate) struct Proxy {
    /// The configuration that the process was started with.
    pub config: Arc<Config>,
    /// Limits the number of sockets of clients and backends.
    pub budget: Rc<SocketBudget>,
    /// Shares the event loop among all peers.
    pub work: Rc<WorkQueue>,
    /// The state of the process.
    pub state_store: Rc<StateStore>,
    /// Checks each attempt, response and closed connection against the invariants.
    pub invariants: Rc<Invariants>,
    request_ids: ActiveRequestIds,
    clock: Clock,
    names: ActiveNames,
    discovery_source: DiscoverySource,
}

impl Proxy {
    /// Creates the shared resources. `inherited` tells whether the listening socket for clients was inherited.
    pub(crate) fn new(config: Config, inherited: bool) -> Self {
        let process_group = startup::join_process_group(&config, inherited);
        let request_ids = startup::open_request_ids(process_group.as_ref());
        let names = NameTable::new(0, &config.parsed_settings);
        Self {
            request_ids: ActiveRequestIds::new(request_ids),
            clock: Clock::start(),
            names: Rc::new(RefCell::new(Arc::new(names))),
            budget: SocketBudget::new(config.max_sockets),
            work: WorkQueue::start(Rc::new(LoopMonitor::default())),
            state_store: Rc::new(StateStore::new(process_group, inherited)),
            invariants: Rc::new(Invariants::new()),
            discovery_source: DiscoverySource::of(&config.parsed_settings.settings),
            config: Arc::new(config),
        }
    }

    /// Starts polling the sibling processes, and starts the admin server if there is a listener for it.
    pub(crate) fn spawn_lifecycle(
        &self,
        admin: Option<TcpListener>,
        settings: &watch::Receiver<ActiveConfig>,
    ) {
        let state_store = self.state_store.clone();
        spawn_local(startup::share_sockets(
            self.budget.clone(),
            state_store.clone(),
        ));
        let ordering = state_store.clone();
        let settings_at_start = &self.config.parsed_settings.settings;
        let key_cooldown = Duration::from_secs_f64(settings_at_start.key_cooldown);
        spawn_local(async move { ordering.take_over_ordered_rpcs(key_cooldown).await });
        if let Some(listener) = admin {
            let server = AdminServer {
                state_store,
                settings: settings.clone(),
                invariants: self.invariants.clone(),
                work: self.work.clone(),
            };
            spawn_local(Rc::new(server).run(listener));
        }
    }

    /// Starts the decision actor, and the tasks that send settings and endpoint lists to it. Returns the sender of its
    /// mailbox.
    pub(crate) fn spawn_decision_actor(
        &self,
        reload: SignalFlag,
        active_config: watch::Sender<ActiveConfig>,
    ) -> mpsc::Sender<Event> {
        let (events, mailbox) = mpsc::channel(actor::MAILBOX_CAPACITY);
        let watch_requested = Rc::new(Notify::new());
        let actor = self.decision_actor(events.clone(), watch_requested.clone());
        spawn_local(actor.run(mailbox));
        first_endpoint_list::use_cached_endpoints(
            &self.config,
            &self.state_store,
            self.discovery_source,
        );
        spawn_local(first_endpoint_list::limit_endpoints_wait(
            self.config.clone(),
            self.state_store.clone(),
        ));
        spawn_local(first_endpoint_list::take_over_endpoints(
            self.state_store.clone(),
            events.clone(),
        ));
        let (address_sender, address) = watch::channel(self.config.discovery_address);
        let reloads = Reload::new(
            self.config.clone(),
            address_sender,
            events.clone(),
            active_config,
        );
        spawn_local(reloads.run(reload));
        let discovery = self.discovery_client(address, events.clone(), watch_requested);
        spawn_local(discovery.run());
        events
    }

    fn decision_actor(
        &self,
        events: mpsc::Sender<Event>,
        watch_requested: Rc<Notify>,
    ) -> DecisionActor {
        let context = ActorContext {
            clock: self.clock,
            budget: self.budget.clone(),
            work: self.work.clone(),
            events,
            watch_requested,
            state_store: self.state_store.clone(),
            names: self.names.clone(),
            invariants: self.invariants.clone(),
        };
        DecisionActor::new(&self.config, context)
    }

    fn discovery_client(
        &self,
        address: watch::Receiver<SocketAddr>,
        decision_actor: mpsc::Sender<Event>,
        watch_requested: Rc<Notify>,
    ) -> DiscoveryClient {
        let cached = self.config.cached_endpoints.list();
        DiscoveryClient::new(DiscoveryContext {
            address,
            decision_actor,
            watch_requested,
            cached_version: cached.map(|cached| cached.version),
            source: self.discovery_source,
            work: self.work.clone(),
            state_store: self.state_store.clone(),
        })
    }

    /// Starts accepting clients. The task ends when no more clients are accepted.
    pub(crate) fn spawn_listener(
        &self,
        socket: TcpListener,
        events: mpsc::Sender<Event>,
    ) -> JoinHandle<()> {
        let upload_memory = UploadMemory::new(self.config.upload_memory_bytes);
        let listener = Listener::new(
            RequestParser::new(self.names.clone(), upload_memory, self.budget.clone()),
            self.request_ids.clone(),
            self.state_store.subscribe(),
            self.budget.clone(),
            self.work.clone(),
            self.invariants.clone(),
            events,
        );
        spawn_local(startup::accept_clients(
            listener,
            socket,
            self.state_store.clone(),
            self.discovery_source,
        ))
    }
}
