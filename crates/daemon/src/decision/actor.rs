//! The decision actor: one task that owns the decision package, makes every call on it in the order in which
//! things happened, and never waits for what the package asks for.
use crate::clock::{Clock, until};
use crate::config::file::Config;
use crate::config::name_table::ActiveNames;
use crate::config::shadow::{RecordedCall, ShadowEvaluator};
use crate::decision::endpoints::EndpointRegistry;
use crate::decision::heartbeat::Heartbeat;
use crate::decision::in_flight::{InFlightRpc, RpcClient, RpcLimits, repeat_rules};
use crate::decision::platform::DaemonPlatform;
use crate::downstream::request::ReceivedRpc;
use crate::downstream::response::ProxyResponse;
use crate::invariants::Invariants;
use crate::lifecycle::state::ProxyState;
use crate::lifecycle::state_store::StateStore;
use crate::messages::{AttemptId, Event};
use crate::net::body::StreamedBody;
use crate::net::socket_budget::SocketBudget;
use crate::upstream::result::ExchangeResult;
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::{AttemptOutcome, IncomingRpc, LoadReport, PacedBy, Platform};
use birchhub_invariants::RepeatRule;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Messages in the actor's mailbox. One place is kept free for the end of each RPC, attempt and health check.
pub(crate) const MAILBOX: usize = 8192;

/// Of the time that a client waits, what is left for this machine's own delays.
const CLIENT_MARGIN: Duration = Duration::from_millis(5);

/// Until the timer event after the decision package panicked in a call, s: it may have lost its own timer.
const PANIC_RECOVERY: f64 = 0.01;

/// The actor around the decision package.
pub(crate) struct DecisionActor {
    pub(super) balancer: Balancer,
    /// The decision package's part of each RPC in flight, by number.
    rpcs: HashMap<u64, RpcHandle>,
    pub(super) platform: DaemonPlatform,
    /// Evaluates other settings on the same events, if that is wanted.
    shadow: Option<ShadowEvaluator>,
    pub(super) names: ActiveNames,
    /// By method, whether its RPCs may be repeated.
    pub(super) repeat_rules: Vec<RepeatRule>,
    pub(super) state_store: Rc<StateStore>,
    pub(super) state: watch::Receiver<ProxyState>,
    heartbeat: Heartbeat,
    invariants: Rc<Invariants>,
}

/// What the actor is given of the rest of the process.
pub(crate) struct ActorContext {
    /// Gives the decisions their time.
    pub clock: Clock,
    /// Of which connections to backends have their permits.
    pub budget: Rc<SocketBudget>,
    /// Leads to the actor's own mailbox.
    pub events: mpsc::Sender<Event>,
    /// Tells discovery that the decisions want changes of the list.
    pub watch_wanted: Rc<Notify>,
    /// The state of the process.
    pub state_store: Rc<StateStore>,
    /// The names of methods and tenants in force.
    pub names: ActiveNames,
    /// The guard of all that is started and sent.
    pub invariants: Rc<Invariants>,
}

impl DecisionActor {
    /// An actor that knows the backends of the cached endpoint list.
    pub(crate) fn new(config: &Config, context: ActorContext) -> Self {
        let ActorContext {
            clock,
            budget,
            events,
            watch_wanted,
            state_store,
            names,
            invariants,
        } = context;
        let parsed = &config.parsed_settings;
        let endpoints = EndpointRegistry::new(parsed, budget, invariants.clone());
        let mut platform =
            DaemonPlatform::new(clock, endpoints, events, watch_wanted, invariants.clone());
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
            names,
            repeat_rules: repeat_rules(&parsed.settings),
            state: state_store.subscribe(),
            state_store,
            heartbeat: Heartbeat::start(),
            invariants,
        };
        actor.load_cached_endpoints(config.cached_endpoints.as_ref());
        actor.apply_admin_state();
        actor
    }

    /// Handles the events of the mailbox until all its senders have gone.
    pub(crate) async fn run(mut self, mut mailbox: mpsc::Receiver<Event>) {
        loop {
            // Before a timer is found due, never after: the decision package would take its timer event for an
            // early one, and schedule no other.
            self.check_heartbeat();
            let own = self.timer();
            let next = own.into_iter().chain(self.shadow_timer()).min();
            if next.is_some_and(is_due) {
                self.on_timer(own.is_some_and(is_due));
                continue;
            }
            select! {
                biased;
                Ok(()) = self.state.changed() => self.apply_admin_state(),
                event = mailbox.recv() => match event {
                    Some(event) => self.dispatch(event),
                    None => return,
                },
                () = until(next) => {}
                () = sleep_until(self.heartbeat.due()) => {}
            }
        }
    }

    /// Handles one event, and the ends of the exchanges that could not start because of it.
    fn dispatch(&mut self, event: Event) {
        self.check_heartbeat();
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
                request_id,
                client: liveness,
                response: responder,
            } => {
                let client = RpcClient {
                    liveness,
                    responder,
                    request_id,
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
            Event::EndpointsChanged(update) => self.update_endpoints(&update),
            Event::DiscoveryFailed => self.on_discovery_failed(),
            Event::SettingsChanged(update) => self.apply_config_update(*update),
        }
    }
}

/// Time: the heartbeat and the timers.
impl DecisionActor {
    /// The time of the decisions leaves out what this process was stopped for. Prevents that backends are taken for
    /// slow, and RPCs rejected for that, because the proxy had used up its share of a core.
    pub(super) fn check_heartbeat(&mut self) {
        let stopped_for = self.heartbeat.beat();
        self.invariants.record_beat(stopped_for);
        if let Some(stopped_for) = stopped_for {
            log::debug!("stopped for {stopped_for:?}");
            self.platform.clock.skip(stopped_for);
        }
    }

    /// What is known of an exchange that ended like this: one that was out while this process was stopped may have
    /// timed out for that, which says nothing of its backend.
    fn reliable_outcome(&self, outcome: AttemptOutcome, unknown: AttemptOutcome) -> AttemptOutcome {
        if outcome == AttemptOutcome::TimedOut && self.heartbeat.has_just_resumed() {
            unknown
        } else {
            outcome
        }
    }

    /// When the decision package wants its timer event.
    fn timer(&self) -> Option<Instant> {
        let seconds = self.platform.timer_at?;
        Some(self.platform.clock.instant_at(seconds))
    }

    /// When the shadow evaluation wants its timer event.
    fn shadow_timer(&self) -> Option<Instant> {
        let seconds = self.shadow.as_ref()?.timer_at()?;
        Some(self.platform.clock.instant_at(seconds))
    }

    /// A timer is due, that of the decision package or of the shadow evaluation. Both go by one reading of the
    /// clock.
    fn on_timer(&mut self, is_own: bool) {
        if is_own {
            self.platform.timer_at = None;
            self.call_balancer(|actor| actor.balancer.on_timer(&mut actor.platform));
        } else {
            self.platform.update_now();
        }
        self.replay_to_shadow(|shadow, call| shadow.on_timer(call));
    }
}

/// Calls on the decision package.
impl DecisionActor {
    /// Makes a call on the decision package. A panic in there ends neither the proxy nor what others wait for: the
    /// listener answers the RPCs that the package lost.
    pub(super) fn call_balancer(&mut self, call: impl FnOnce(&mut Self)) {
        self.platform.update_now();
        if catch_unwind(AssertUnwindSafe(|| call(self))).is_err() {
            log::error!("the decision module panicked");
            self.platform.schedule_timer(PANIC_RECOVERY);
        }
        // RPCs that were queued may get their response in a call that is about another RPC or about none.
        while let Some(id) = self.platform.pop_responded() {
            self.release(id);
        }
    }

    /// Makes a call about one RPC, if the decision package knows it.
    fn call_rpc(&mut self, id: u64, call: impl FnOnce(&RpcHandle, &mut DaemonPlatform)) {
        self.call_balancer(|actor| {
            if let Some(rpc) = actor.rpcs.get(&id) {
                call(rpc, &mut actor.platform);
                actor.release(id);
            }
        });
    }

    /// Withdraws what was not yet sent for an RPC that is over, also where the settings allow no cancelling, and
    /// gives back what the RPC holds once all its attempts have ended.
    fn release(&mut self, id: u64) {
        if let Some(in_flight) = self.platform.in_flight.get_mut(&id)
            && !in_flight.awaits_response()
        {
            in_flight.withdraw_attempts();
        }
        if self.rpcs.get(&id).is_some_and(RpcHandle::is_finished) {
            self.rpcs.remove(&id);
            self.platform.in_flight.remove(&id);
        }
    }

    /// Replays the last call to the shadow evaluation, if there is one.
    pub(super) fn replay_to_shadow(
        &mut self,
        replay: impl FnOnce(&mut ShadowEvaluator, RecordedCall),
    ) {
        let Some(shadow) = &mut self.shadow else {
            return;
        };
        let call = RecordedCall {
            now: self.platform.now,
            actions: self.platform.take_recorded(),
        };
        if catch_unwind(AssertUnwindSafe(|| replay(shadow, call))).is_err() {
            log::error!("the shadow evaluation panicked: it has ended");
            self.end_shadow();
        }
    }

    /// Ends the shadow evaluation, if there is one.
    pub(super) fn end_shadow(&mut self) {
        self.shadow = None;
        self.platform.stop_recording();
    }
}

/// Events of RPCs and health checks.
impl DecisionActor {
    fn on_rpc_received(&mut self, id: u64, mut rpc: ReceivedRpc, client: RpcClient) {
        if let Err(response) = rpc.apply_names(&self.names.borrow()) {
            let _ = client.responder.send(response);
            return;
        }
        let limits = RpcLimits {
            deadline: rpc.received_at + rpc.timeout.saturating_sub(CLIENT_MARGIN),
            repeat_rule: self.repeat_rules[rpc.method],
        };
        let incoming = IncomingRpc {
            id,
            method: rpc.method,
            tenant: rpc.tenant,
            deadline: self.platform.clock.seconds_at(limits.deadline),
            expected_work: rpc.expected_work,
            client_retry: rpc.is_client_retry,
            streams_request: rpc.request.upload().is_some(),
            key: rpc.key,
        };
        let in_flight = InFlightRpc::new(rpc.request, client, limits);
        self.platform.in_flight.insert(id, in_flight);
        self.call_balancer(|actor| {
            let rpc = actor.balancer.accept(&incoming, &mut actor.platform);
            actor.rpcs.insert(id, rpc);
        });
        self.replay_to_shadow(|shadow, call| shadow.accept(call, &incoming));
    }

    fn on_client_disconnected(&mut self, id: u64) {
        if !self.rpcs.contains_key(&id) {
            self.platform.in_flight.remove(&id); // One that the decision package lost when it panicked.
        }
        self.call_rpc(id, |rpc, platform| {
            if let Some(in_flight) = platform.in_flight.get_mut(&id) {
                in_flight.record_disconnect();
            }
            rpc.on_client_disconnected(platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.on_client_disconnected(call, id));
    }

    fn on_attempt_ended(&mut self, attempt: AttemptId, result: ExchangeResult) {
        let AttemptId { rpc: id, index } = attempt;
        let (body, report) = (result.body, result.report);
        let outcome = self.reliable_outcome(result.outcome, AttemptOutcome::Cancelled);
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let in_flight = self.platform.in_flight.get(&id);
        log::debug!(
            request:% = in_flight.map(InFlightRpc::request_id).unwrap_or_default(),
            attempt = index, outcome:?, reason:% = result.reason;
            "attempt ended"
        );
        // A response that is ok ends the RPC; it goes to the client below.
        let is_over = succeeded || in_flight.is_none_or(|rpc| !rpc.awaits_response());
        let is_consumed = in_flight.is_some_and(InFlightRpc::is_upload_consumed);
        self.call_rpc(id, |rpc, platform| {
            if let Some(in_flight) = platform.in_flight.get_mut(&id) {
                in_flight.record_attempt_end(index, outcome);
            }
            if is_consumed {
                rpc.forbid_retry();
            }
            // A streamed response is on its way already.
            if succeeded && platform.awaits_response(id) {
                platform.respond(id, ProxyResponse::Ok(body));
            }
            rpc.on_attempt_ended(index, outcome, is_over, report, platform);
        });
        if is_consumed && let Some(shadow) = &self.shadow {
            shadow.forbid_retry(id);
        }
        self.replay_to_shadow(|shadow, call| {
            shadow.on_attempt_ended(call, attempt, outcome, is_over, report);
        });
    }

    fn on_request_sent(&mut self, attempt: AttemptId) {
        self.call_rpc(attempt.rpc, |rpc, platform| {
            rpc.on_request_sent(attempt.index, platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.on_request_sent(call, attempt));
    }

    fn on_response_started(&mut self, attempt: AttemptId, body: StreamedBody) {
        self.call_rpc(attempt.rpc, |rpc, platform| {
            if platform.awaits_response(attempt.rpc) {
                platform.respond(attempt.rpc, ProxyResponse::Streamed(body));
            }
            rpc.on_response_started(attempt.index, PacedBy::Client, platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.on_response_started(call, attempt));
    }

    fn on_health_checked(
        &mut self,
        backend: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        log::trace!("health check of {backend}: {outcome:?} {report:?}");
        let outcome = self.reliable_outcome(outcome, AttemptOutcome::NotSent);
        self.call_balancer(|actor| {
            let platform = &mut actor.platform;
            actor
                .balancer
                .on_health_check(backend, outcome, report, platform);
        });
        self.replay_to_shadow(|shadow, call| {
            shadow.on_health_check(call, backend, outcome, report);
        });
    }
}

fn is_due(at: Instant) -> bool {
    at <= Instant::now()
}
