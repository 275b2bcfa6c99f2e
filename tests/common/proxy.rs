//! A balancer on the platform that checks the rules, run in simulated time.
use super::rule_model::{CheckedPlatform, FinalAnswer, RpcRecord};
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::*;
use std::collections::BTreeMap;

/// Time after each RPC during which [`Proxy::drive`] completes health checks, in seconds.
const HEALTH_CHECK_SECONDS: f64 = 0.02;
/// Number of times that [`Proxy::drive`] completes health checks in that time.
const HEALTH_CHECK_ROUNDS: usize = 5;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInFlight {
    pub rpc: u64,
    /// Index among the RPC's attempts.
    pub number: usize,
    pub backend: u32,
}

/// Returns a report that carries only the number of RPCs in flight.
pub(crate) fn load_report(in_flight: f64) -> LoadReport {
    LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    }
}

/// A timer or a timeout, and the time at which it is due.
struct Due<T> {
    at: f64,
    event: T,
}

/// A balancer and its platform.
pub(crate) struct Proxy {
    pub platform: CheckedPlatform,
    pub balancer: Balancer,
    pub handles: BTreeMap<u64, RpcHandle>,
    next_rpc: u64,
}

impl Proxy {
    /// Creates a proxy that has a stale list of these endpoints, as a new process with a cached list has.
    pub(crate) fn new(settings: Settings, seed: u64, endpoints: &[Endpoint]) -> Self {
        let balancer = Balancer::new(&settings, seed);
        let platform = CheckedPlatform {
            settings,
            ..CheckedPlatform::default()
        };
        let mut proxy = Self {
            platform,
            balancer,
            handles: BTreeMap::new(),
            next_rpc: 0,
        };
        proxy.update_endpoints(EndpointUpdateKind::StaleSnapshot, endpoints);
        proxy
    }

    /// Delivers an update of the endpoint list, to the model as well.
    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        self.record_draining(kind, endpoints);
        self.balancer
            .update_endpoints(kind, endpoints, &mut self.platform);
    }

    /// Records for the model since when each backend is draining, removed or no longer listed.
    fn record_draining(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        let now = self.platform.now;
        let draining_since = &mut self.platform.draining_since;
        if kind != EndpointUpdateKind::Incremental {
            let is_listed = |id: &u32| endpoints.iter().any(|e| e.backend == *id);
            for id in self.platform.endpoints.keys().filter(|id| !is_listed(id)) {
                draining_since.entry(*id).or_insert(now);
            }
        }
        for endpoint in endpoints {
            let backend = endpoint.backend;
            self.platform.endpoints.insert(backend, *endpoint);
            match endpoint.readiness {
                Readiness::Ready => drop(draining_since.remove(&backend)),
                _ => drop(draining_since.entry(backend).or_insert(now)),
            }
        }
    }

    /// Accepts an RPC with a deadline in `time_left` seconds, and returns its id.
    pub(crate) fn accept(&mut self, method: usize, time_left: f64) -> u64 {
        self.accept_as(method, time_left, None, false)
    }

    /// Accepts an RPC of a tenant, which may be a client's retry.
    pub(crate) fn accept_as(
        &mut self,
        method: usize,
        time_left: f64,
        tenant: Option<usize>,
        client_retry: bool,
    ) -> u64 {
        self.accept_rpc(IncomingRpc {
            method,
            tenant,
            deadline: time_left,
            client_retry,
            ..IncomingRpc::default()
        })
    }

    /// Accepts an RPC with this key.
    pub(crate) fn accept_with_key(&mut self, key: u64) -> u64 {
        self.accept_rpc(IncomingRpc {
            deadline: 0.5,
            key: Some(key),
            ..IncomingRpc::default()
        })
    }

    /// Accepts an RPC whose request body is still arriving.
    pub(crate) fn accept_streaming(&mut self) -> u64 {
        self.accept_rpc(IncomingRpc {
            deadline: 0.5,
            streams_request: true,
            ..IncomingRpc::default()
        })
    }

    /// Accepts an RPC and returns its id, which is assigned here. The deadline of `incoming` is relative to now.
    pub(crate) fn accept_rpc(&mut self, incoming: IncomingRpc) -> u64 {
        let id = self.next_rpc;
        self.next_rpc += 1;
        let method = &self.platform.settings.methods[incoming.method];
        let key = incoming.key.filter(|_| method.ordered_by_key);
        let record = RpcRecord {
            idempotency: method.idempotency,
            key_sequence: key.map(|key| (key, id)),
            deadline: self.platform.now + incoming.deadline,
            attempts: Vec::new(),
            answers: Vec::new(),
            is_streaming: false,
            client_disconnected: false,
        };
        let rpc = IncomingRpc {
            id,
            deadline: record.deadline,
            ..incoming
        };
        self.platform.rpcs.insert(id, record);
        let handle = self.balancer.accept(&rpc, &mut self.platform);
        self.handles.insert(id, handle);
        id
    }

    /// Disconnects the client of an RPC.
    pub(crate) fn disconnect_client(&mut self, rpc: u64) {
        self.platform.rpc_mut(rpc).client_disconnected = true;
        self.handles[&rpc].on_client_disconnected(&mut self.platform);
    }

    /// Returns all attempts in flight, in the order of their RPCs.
    pub(crate) fn attempts_in_flight(&self) -> Vec<AttemptInFlight> {
        let in_flight = |(id, rpc): (&u64, &RpcRecord)| {
            let attempts = rpc.attempts.iter().enumerate();
            attempts
                .filter(|(_, attempt)| attempt.is_in_flight())
                .map(|(number, attempt)| AttemptInFlight {
                    rpc: *id,
                    number,
                    backend: attempt.backend,
                })
                .collect::<Vec<_>>()
        };
        self.platform.rpcs.iter().flat_map(in_flight).collect()
    }

    /// Ends an attempt in flight; `in_flight` is the load that its backend reports.
    pub(crate) fn end_in_flight(
        &mut self,
        attempt: AttemptInFlight,
        outcome: AttemptOutcome,
        in_flight: Option<f64>,
    ) {
        self.end_attempt(attempt.rpc, attempt.number, outcome, in_flight);
    }

    /// Ends the attempt with this index among the attempts of an RPC. A success ends the RPC, and so does any
    /// outcome once its response is streaming.
    pub(crate) fn end_attempt(
        &mut self,
        rpc: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        in_flight: Option<f64>,
    ) {
        let now = self.platform.now;
        let record = self.platform.rpc_mut(rpc);
        let ended = &mut record.attempts[attempt];
        ended.outcome = Some(outcome);
        ended.ended_at = now;
        let was_finished = record.is_finished();
        let ends_rpc = was_finished || outcome == AttemptOutcome::Succeeded || record.is_streaming;
        if ends_rpc && !was_finished {
            record.answers.push(FinalAnswer::Succeeded);
        }
        let report = in_flight.map(load_report);
        let handle = &self.handles[&rpc];
        handle.on_attempt_ended(attempt, outcome, ends_rpc, report, &mut self.platform);
    }

    /// Runs rounds of `interval` seconds, each of which accepts one RPC, and returns all RPCs. Health checks and
    /// responses report the load that `in_flight` gives for a backend. At the end of a round, attempts end with
    /// the outcome that `outcome` gives for their backend; those without an outcome time out later.
    pub(crate) fn drive(
        &mut self,
        rounds: usize,
        interval: f64,
        in_flight: impl Fn(u32) -> f64,
        outcome: impl Fn(u32) -> Option<AttemptOutcome>,
    ) -> Vec<RpcRecord> {
        let health_check_time = interval.min(HEALTH_CHECK_SECONDS);
        let mut rpcs = Vec::new();
        for _ in 0..rounds {
            rpcs.push(self.accept(0, 0.5));
            for _ in 0..HEALTH_CHECK_ROUNDS {
                self.advance(health_check_time / HEALTH_CHECK_ROUNDS as f64);
                self.complete_health_checks(AttemptOutcome::Succeeded, &in_flight);
            }
            self.advance(interval - health_check_time);
            for attempt in self.attempts_in_flight() {
                let backend = attempt.backend;
                if let Some(outcome) = outcome(backend) {
                    self.end_in_flight(attempt, outcome, Some(in_flight(backend)));
                }
            }
        }
        rpcs.iter()
            .map(|rpc| self.platform.rpcs[rpc].clone())
            .collect()
    }

    /// Ends all attempts in flight; `in_flight` is the load that their backends report.
    pub(crate) fn end_all_attempts(&mut self, outcome: AttemptOutcome, in_flight: Option<f64>) {
        for attempt in self.attempts_in_flight() {
            self.end_in_flight(attempt, outcome, in_flight);
        }
    }

    /// Completes all pending health checks. Those that succeed report the load that `in_flight` gives for their
    /// backend.
    pub(crate) fn complete_health_checks(
        &mut self,
        outcome: AttemptOutcome,
        in_flight: impl Fn(u32) -> f64,
    ) {
        for backend in std::mem::take(&mut self.platform.pending_health_checks) {
            let report = Some(load_report(in_flight(backend)))
                .filter(|_| outcome == AttemptOutcome::Succeeded);
            self.balancer
                .on_health_check(backend, outcome, report, &mut self.platform);
        }
    }

    /// Returns the attempt that times out first. An attempt has no timeout while its RPC is streaming.
    fn next_timeout(&self) -> Option<Due<AttemptInFlight>> {
        let mut next: Option<Due<AttemptInFlight>> = None;
        for attempt in self.attempts_in_flight() {
            let record = &self.platform.rpcs[&attempt.rpc];
            let at = record.attempts[attempt.number].timeout_at;
            if !record.is_streaming && next.as_ref().is_none_or(|next| at < next.at) {
                next = Some(Due { at, event: attempt });
            }
        }
        next
    }

    /// Returns the index of the timer that is due first.
    fn next_timer(&self) -> Option<Due<usize>> {
        let mut next: Option<Due<usize>> = None;
        for (index, at) in self.platform.timers.iter().enumerate() {
            if next.as_ref().is_none_or(|next| *at < next.at) {
                next = Some(Due {
                    at: *at,
                    event: index,
                });
            }
        }
        next
    }

    /// Advances the time. Timers fire and attempts time out when they are due; a timeout precedes a timer that is
    /// due at the same time.
    pub(crate) fn advance(&mut self, seconds: f64) {
        let end = self.platform.now + seconds;
        loop {
            let timeout = self.next_timeout().filter(|timeout| timeout.at <= end);
            let timer = self.next_timer().filter(|timer| timer.at <= end);
            match (timeout, timer) {
                (Some(timeout), timer) if timer.as_ref().is_none_or(|t| timeout.at <= t.at) => {
                    self.platform.now = self.platform.now.max(timeout.at);
                    self.end_in_flight(timeout.event, AttemptOutcome::TimedOut, None);
                }
                (_, Some(timer)) => {
                    self.platform.now = self.platform.now.max(timer.at);
                    self.platform.timers.swap_remove(timer.event);
                    self.balancer.on_timer(&mut self.platform);
                }
                (_, None) => break,
            }
        }
        self.platform.now = end;
    }

    /// Checks that no rule has been violated so far.
    pub(crate) fn check_rules(&self) -> Result<(), String> {
        self.platform.check_rules()
    }
}
