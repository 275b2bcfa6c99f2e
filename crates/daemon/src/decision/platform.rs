//! The daemon's implementation of [`Platform`]: starts the actions that the balancer requests and waits for none of
//! them.
use crate::clock::Clock;
use crate::config::shadow::{Action, RecordedActions};
use crate::decision::endpoints::EndpointRegistry;
use crate::decision::in_flight::InFlightRpc;
use crate::downstream::response::ProxyResponse;
use crate::invariants::{Invariants, NO_REQUEST_ID};
use crate::messages::{AttemptId, Event};
use crate::upstream::backend_protocol::health_check_request;
use crate::upstream::completion_guard::CompletionGuard;
use crate::upstream::exchange::{Deadlines, Exchange, ExchangeRequest};
use crate::upstream::exchange_kind::ExchangeKind;
use birchhub::interface::Platform;
use birchhub_invariants::Violation;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Timeout of a health check. A load report that arrives later is out of date.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// The daemon's implementation of [`Platform`].
pub(super) struct DaemonPlatform {
    /// Time of the current call of the balancer, in seconds of `clock`.
    pub now: f64,
    /// The clock that the balancer's times refer to.
    pub clock: Clock,
    /// The RPCs in flight, by RPC id.
    pub in_flight: HashMap<u64, InFlightRpc>,
    /// The registry of backends, to whose actors exchanges are sent.
    pub endpoints: EndpointRegistry,
    /// Due time of the balancer's timer event, in seconds of `clock`.
    pub timer_at: Option<f64>,
    events: mpsc::Sender<Event>,
    watch_requested: Rc<Notify>,
    invariants: Rc<Invariants>,
    /// Exchanges that could not be started in the current call and whose end is not reported yet.
    unsent: Vec<ExchangeKind>,
    /// Ids of the RPCs whose response was decided in the current call.
    responded: Vec<u64>,
    /// Actions that were requested in the current call; `None` while the shadow evaluation is disabled.
    recorded: Option<RecordedActions>,
}

impl DaemonPlatform {
    /// Creates a platform without RPCs. `events` sends to the decision actor's own mailbox, `watch_requested` notifies
    /// the discovery client.
    pub(super) fn new(
        clock: Clock,
        endpoints: EndpointRegistry,
        events: mpsc::Sender<Event>,
        watch_requested: Rc<Notify>,
        invariants: Rc<Invariants>,
    ) -> Self {
        Self {
            now: clock.now(),
            clock,
            in_flight: HashMap::new(),
            endpoints,
            timer_at: None,
            events,
            watch_requested,
            invariants,
            unsent: Vec::new(),
            responded: Vec::new(),
            recorded: None,
        }
    }

    /// Reads the clock for the next call of the balancer.
    pub(super) fn update_now(&mut self) {
        self.now = self.clock.now();
    }

    /// Passes the response of an RPC to the RPC service, which sends it to the client.
    pub(super) fn respond(&mut self, rpc: u64, response: ProxyResponse) {
        self.responded.push(rpc);
        if let Some(in_flight) = self.in_flight.get_mut(&rpc) {
            log::debug!(
                request:% = in_flight.request_id(), attempts = in_flight.attempt_count();
                "response decided: {response}"
            );
            if let Err(violation) = in_flight.respond(response) {
                self.invariants
                    .record_violation(in_flight.request_id(), &violation);
            }
        }
    }

    /// Returns whether the client of an RPC still waits for its response.
    pub(super) fn awaits_response(&self, rpc: u64) -> bool {
        self.in_flight
            .get(&rpc)
            .is_some_and(InFlightRpc::awaits_response)
    }

    /// Removes and returns the id of an RPC whose response was decided in the current call.
    pub(super) fn pop_responded(&mut self) -> Option<u64> {
        self.responded.pop()
    }

    /// Removes and returns an exchange that could not be started.
    pub(super) fn pop_unsent(&mut self) -> Option<ExchangeKind> {
        self.unsent.pop()
    }

    /// Starts recording the requested actions for the shadow evaluation.
    pub(super) fn start_recording(&mut self) {
        self.recorded = Some(RecordedActions::default());
    }

    /// Stops recording the requested actions.
    pub(super) fn stop_recording(&mut self) {
        self.recorded = None;
    }

    /// Removes and returns the actions that were recorded since the last call of this function.
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

    /// Sends an exchange to the endpoint actor of a backend. If the decision actor's mailbox is full, the exchange is
    /// added to `unsent`. Otherwise its completion guard reports the end, even if the endpoint actor is gone.
    fn start_exchange(&mut self, backend: u32, kind: ExchangeKind, request: ExchangeRequest) {
        let Ok(permit) = self.events.clone().try_reserve_owned() else {
            log::error!(backend; "decision actor mailbox is full, attempt or health check not sent");
            self.unsent.push(kind);
            return;
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
        let start = in_flight.attempt_start();
        if !self.invariants.may_start(in_flight.request_id(), &start) {
            in_flight.record_refused_attempt();
            self.unsent.push(kind);
            return;
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
                response_deadline: Instant::now() + HEALTH_CHECK_TIMEOUT,
                client_deadline: None,
                send_deadline: None,
            },
            cancel: None,
        };
        log::trace!(backend; "health check started");
        self.start_exchange(backend, ExchangeKind::HealthCheck { backend }, request);
    }

    fn watch_endpoints(&mut self) {
        self.watch_requested.notify_one();
    }

    fn report_violation(&mut self, violation: Violation) {
        self.invariants.record_violation(NO_REQUEST_ID, &violation);
    }

    fn schedule_timer(&mut self, delay: f64) {
        let at = self.now + delay;
        self.timer_at = Some(self.timer_at.map_or(at, |earlier| earlier.min(at)));
    }
}
