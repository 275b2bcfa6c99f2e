//! The decision actor: the task that owns the balancer and calls it for each event, in order of arrival.
//!
//! The actor never waits for the actions that the balancer requests. Their completions come back as events.
use crate::clock::{Clock, until};
use crate::config::file::Config;
use crate::config::name_table::ActiveNames;
use crate::config::shadow::ShadowEvaluator;
use crate::decision::endpoints::EndpointRegistry;
use crate::decision::heartbeat::Heartbeat;
use crate::decision::in_flight::{RpcClient, repeat_rules};
use crate::decision::platform::DaemonPlatform;
use crate::event_loop::WorkQueue;
use crate::invariants::Invariants;
use crate::lifecycle::state::ProxyState;
use crate::lifecycle::state_store::StateStore;
use crate::messages::Event;
use crate::net::socket_budget::SocketBudget;
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::AttemptOutcome;
use birchhub_invariants::RepeatRule;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::select;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::sleep_until;

/// Capacity of the actor's mailbox, in events. Each RPC, attempt and health check in flight reserves one slot for its
/// completion.
pub(crate) const MAILBOX_CAPACITY: usize = 8192;

/// The task that owns the balancer and its platform.
pub(crate) struct DecisionActor {
    /// Selects backends, and decides on retries, rejections and health checks.
    pub(super) balancer: Balancer,
    /// The balancer's handle of each RPC in flight, by RPC id.
    pub(super) rpcs: HashMap<u64, RpcHandle>,
    /// Starts the actions that the balancer requests.
    pub(super) platform: DaemonPlatform,
    /// Evaluates the shadow settings on the same events; `None` if the configuration has none.
    pub(super) shadow: Option<ShadowEvaluator>,
    /// The names of the active methods and tenants.
    pub(super) names: ActiveNames,
    /// The repeat rule of each method, by method index.
    pub(super) repeat_rules: Vec<RepeatRule>,
    /// Notified of each generation of the administrative state that this actor has applied.
    pub(super) state_store: Rc<StateStore>,
    /// The state of the process, with the administrative state.
    pub(super) state: watch::Receiver<ProxyState>,
    /// Detects suspensions of the process.
    pub(super) heartbeat: Heartbeat,
    /// Records the delay of each heartbeat.
    pub(super) work: Rc<WorkQueue>,
    /// Records each heartbeat: time for which the process was suspended does not count as lateness.
    pub(super) invariants: Rc<Invariants>,
}

/// The parts of the process that the decision actor uses.
pub(crate) struct ActorContext {
    /// The clock that the balancer's times refer to.
    pub clock: Clock,
    /// Limits the number of connections to backends.
    pub budget: Rc<SocketBudget>,
    /// Shares the event loop among all peers.
    pub work: Rc<WorkQueue>,
    /// Sends to the actor's own mailbox.
    pub events: mpsc::Sender<Event>,
    /// Notified when the balancer requests a watch of the endpoint list.
    pub watch_requested: Rc<Notify>,
    /// The state of the process.
    pub state_store: Rc<StateStore>,
    /// The names of the active methods and tenants.
    pub names: ActiveNames,
    /// Checks each attempt, response and closed connection against the invariants.
    pub invariants: Rc<Invariants>,
}

impl DecisionActor {
    /// Creates an actor that knows the backends of the cached endpoint list.
    pub(crate) fn new(config: &Config, context: ActorContext) -> Self {
        let parsed = &config.parsed_settings;
        let invariants = context.invariants;
        let endpoints = EndpointRegistry::new(
            parsed,
            context.budget,
            context.work.clone(),
            invariants.clone(),
        );
        let mut platform = DaemonPlatform::new(
            context.clock,
            endpoints,
            context.events,
            context.watch_requested,
            invariants.clone(),
        );
        let shadow = config
            .shadow_settings
            .as_ref()
            .map(|settings| ShadowEvaluator::new(settings, config.seed));
        if shadow.is_some() {
            platform.start_recording();
        }
        let mut actor = Self {
            balancer: Balancer::new(&parsed.settings, config.seed),
            rpcs: HashMap::new(),
            platform,
            shadow,
            names: context.names,
            repeat_rules: repeat_rules(&parsed.settings),
            state: context.state_store.subscribe(),
            state_store: context.state_store,
            heartbeat: Heartbeat::start(),
            work: context.work,
            invariants,
        };
        actor.load_cached_endpoints(config.cached_endpoints.list());
        actor.apply_admin_state();
        actor
    }

    /// Handles events until all senders of the mailbox are dropped.
    pub(crate) async fn run(mut self, mut mailbox: mpsc::Receiver<Event>) {
        loop {
            // The heartbeat may set the clock back, so it must precede the timer check: the balancer ignores a timer
            // event that is early by its clock, and does not schedule another one.
            self.record_heartbeat();
            let timers = self.timers();
            if self.run_due_timers(timers) {
                continue;
            }
            self.hand_over_ordered_rpcs();
            select! {
                biased;
                Ok(()) = self.state.changed() => self.apply_admin_state(),
                event = mailbox.recv() => {
                    let Some(event) = event else { return };
                    self.dispatch(event);
                }
                () = until(timers.next()) => {}
                () = sleep_until(self.heartbeat.due()) => {}
            }
        }
    }

    /// Handles an event, then reports the exchanges that it requested but that could not be started as not sent.
    fn dispatch(&mut self, event: Event) {
        self.record_heartbeat();
        self.handle(event);
        while let Some(kind) = self.platform.pop_unsent() {
            self.dispatch(kind.completion_event(AttemptOutcome::NotSent.into()));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RpcReceived {
                id,
                rpc,
                liveness,
                responder,
            } => {
                let client = RpcClient {
                    liveness,
                    responder,
                };
                self.on_rpc_received(id, *rpc, client);
            }
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::AttemptEnded { attempt, result } => self.on_attempt_ended(attempt, result),
            Event::RequestSent { attempt } => self.on_request_sent(attempt),
            Event::ResponseStarted { attempt, body } => self.on_response_started(attempt, body),
            Event::HealthChecked {
                backend,
                outcome,
                report,
            } => self.on_health_checked(backend, outcome, report),
            Event::EndpointsChanged(update) => self.on_endpoints_changed(update),
            Event::EndpointsHandedOver(update) => self.on_endpoints_handed_over(&update),
            Event::AgentChanged => self.on_agent_changed(),
            Event::DiscoveryFailed => self.on_discovery_failed(),
            Event::SettingsChanged(update) => self.apply_config_update(*update),
        }
    }
}
