//! What the decisions may ask for, carried out on sockets: attempts, health checks, responses, the endpoint list
//! and a timer. Nothing here waits.
use crate::clock::Clock;
use crate::config::shadow::{Action, RecordedActions};
use crate::decision::endpoints::EndpointRegistry;
use crate::decision::in_flight::InFlightRpc;
use crate::downstream::response::ProxyResponse;
use crate::invariants::Invariants;
use crate::messages::{AttemptId, Event};
use crate::upstream::backend_protocol::health_check_request;
use crate::upstream::exchange::{
    CompletionGuard, Deadlines, Exchange, ExchangeKind, ExchangeRequest,
};
use birchhub::interface::Platform;
use birchhub_invariants::Violation;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// For a health check: a slower response would tell nothing of the load now.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Stands for the request of a violation that is about none.
const NO_REQUEST: &str = "-";

/// The daemon's implementation of [`Platform`].
pub(super) struct DaemonPlatform {
    /// The time of the call at hand, s.
    pub now: f64,
    /// Gives the decisions their time.
    pub clock: Clock,
    /// The RPCs in flight, by number.
    pub in_flight: HashMap<u64, InFlightRpc>,
    /// The backends.
    pub endpoints: EndpointRegistry,
    /// When the decisions want their timer event, s.
    pub timer_at: Option<f64>,
    events: mpsc::Sender<Event>,
    watch_wanted: Rc<Notify>,
    invariants: Rc<Invariants>,
    /// Exchanges that could not start, as the actor's mailbox had no place for their end.
    unsent: Vec<ExchangeKind>,
    /// RPCs that got their response in the call at hand.
    responded: Vec<u64>,
    /// What was asked for in the call at hand, while there is shadow evaluation.
    recorded: Option<RecordedActions>,
}

impl DaemonPlatform {
    /// A platform without RPCs; `events` leads to the decision actor's own mailbox, `watch_wanted` to discovery.
    pub(super) fn new(
        clock: Clock,
        endpoints: EndpointRegistry,
        events: mpsc::Sender<Event>,
        watch_wanted: Rc<Notify>,
        invariants: Rc<Invariants>,
    ) -> Self {
        Self {
            now: clock.now(),
            clock,
            in_flight: HashMap::new(),
            endpoints,
            timer_at: None,
            events,
            watch_wanted,
            invariants,
            unsent: Vec::new(),
            responded: Vec::new(),
            recorded: None,
        }
    }

    /// Reads the clock for the next call.
    pub(super) fn update_now(&mut self) {
        self.now = self.clock.now();
    }

    /// Gives an RPC its response.
    pub(super) fn respond(&mut self, rpc: u64, response: ProxyResponse) {
        self.responded.push(rpc);
        if let Some(in_flight) = self.in_flight.get_mut(&rpc) {
            log::debug!(
                request:% = in_flight.request_id(), attempts = in_flight.attempt_count();
                "response decided: {response}"
            );
            if let Err(violation) = in_flight.respond(response) {
                self.invariants.violated(in_flight.request_id(), &violation);
            }
        }
    }

    /// Whether the client of an RPC still waits for its response.
    pub(super) fn awaits_response(&self, rpc: u64) -> bool {
        self.in_flight
            .get(&rpc)
            .is_some_and(InFlightRpc::awaits_response)
    }

    /// The next RPC that got its response and was not yet released.
    pub(super) fn pop_responded(&mut self) -> Option<u64> {
        self.responded.pop()
    }

    /// The next exchange that could not start.
    pub(super) fn pop_unsent(&mut self) -> Option<ExchangeKind> {
        self.unsent.pop()
    }

    /// Records from now on what is asked for.
    pub(super) fn start_recording(&mut self) {
        self.recorded = Some(RecordedActions::default());
    }

    /// Records no more.
    pub(super) fn stop_recording(&mut self) {
        self.recorded = None;
    }

    /// What was asked for since the last time.
    pub(super) fn take_recorded(&mut self) -> RecordedActions {
        self.recorded
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    fn record(&mut self, rpc: u64, action: Action) {
        if let Some(recorded) = &mut self.recorded {
            recorded.record(rpc, action);
        }
    }

    /// Hands an exchange to its backend. Where that can't be done the completion guard, dropped, reports it.
    fn start_exchange(&mut self, backend: u32, kind: ExchangeKind, request: ExchangeRequest) {
        let Ok(permit) = self.events.clone().try_reserve_owned() else {
            log::error!("the decision actor's mailbox is full");
            return self.unsent.push(kind);
        };
        let completion = CompletionGuard::new(kind, self.events.clone(), permit);
        self.endpoints.send(
            backend,
            Exchange {
                request,
                completion,
            },
        );
    }
}

impl Platform for DaemonPlatform {
    fn now(&self) -> f64 {
        self.now
    }

    fn start_attempt(&mut self, rpc: u64, backend: u32, timeout: f64) {
        let Some(in_flight) = self.in_flight.get_mut(&rpc) else {
            return;
        };
        let index = in_flight.attempt_count();
        let kind = ExchangeKind::Attempt(AttemptId { rpc, index });
        let facts = in_flight.attempt_start();
        if !self.invariants.may_start(in_flight.request_id(), &facts) {
            in_flight.refuse_attempt();
            return self.unsent.push(kind);
        }
        let request = in_flight.start_attempt(self.clock.instant_at(self.now + timeout));
        let address = self.endpoints.address(backend);
        log::debug!(
            request:% = in_flight.request_id(), attempt = index, backend, address:?, timeout;
            "attempt started"
        );
        self.start_exchange(backend, kind, request);
        self.record(rpc, Action::Attempt(backend));
    }

    fn cancel_attempt(&mut self, rpc: u64, attempt: usize) {
        if let Some(in_flight) = self.in_flight.get_mut(&rpc) {
            in_flight.cancel_attempt(attempt);
        }
    }

    fn reject(&mut self, rpc: u64, retry_after: f64) {
        self.respond(rpc, ProxyResponse::Rejected { retry_after });
        self.record(rpc, Action::Reject);
    }

    fn fail(&mut self, rpc: u64) {
        self.respond(rpc, ProxyResponse::Failed);
        self.record(rpc, Action::Fail);
    }

    fn health_check(&mut self, backend: u32) {
        if let Some(recorded) = &mut self.recorded {
            recorded.record_health_check();
        }
        let request = ExchangeRequest {
            request: health_check_request(),
            client: None,
            deadlines: Deadlines {
                until: Instant::now() + HEALTH_CHECK_TIMEOUT,
                client: None,
                send_by: None,
            },
            cancel: None,
        };
        log::trace!("health check to {backend}");
        self.start_exchange(backend, ExchangeKind::HealthCheck { backend }, request);
    }

    fn watch_endpoints(&mut self) {
        self.watch_wanted.notify_one();
    }

    fn report_violation(&mut self, violation: Violation) {
        self.invariants.violated(NO_REQUEST, &violation);
    }

    fn schedule_timer(&mut self, delay: f64) {
        let at = self.now + delay;
        self.timer_at = Some(self.timer_at.map_or(at, |earlier| earlier.min(at)));
    }
}
