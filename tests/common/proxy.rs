//! A balancer on the platform that checks the rules, driven through simulated time.
use super::rule_model::{CheckedPlatform, FinalAnswer, RpcRecord};
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::*;
use std::collections::BTreeMap;

/// Time from an RPC until `drive` has answered its health checks, in seconds.
const HEALTH_CHECK_SECONDS: f64 = 0.02;
/// Number of times that `drive` answers health checks meanwhile.
const HEALTH_CHECK_ROUNDS: usize = 5;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInFlight {
    pub rpc: u64,
    /// Its number among the RPC's attempts.
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

/// Something that is due at a time.
struct Due<T> {
    at: f64,
    what: T,
}

/// One balancer and its platform.
pub(crate) struct Proxy {
    pub platform: CheckedPlatform,
    pub balancer: Balancer,
    pub handles: BTreeMap<u64, RpcHandle>,
    next_rpc: u64,
}

impl Proxy {
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

    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        self.record_draining(kind, endpoints);
        self.balancer
            .update_endpoints(kind, endpoints, &mut self.platform);
    }

    /// Records for the model which backends may get no new RPCs from now on.
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

    pub(crate) fn accept(&mut self, method: usize, time_left: f64) -> u64 {
        self.accept_as(method, time_left, None, false)
    }

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

    pub(crate) fn accept_with_key(&mut self, key: u64) -> u64 {
        self.accept_rpc(IncomingRpc {
            deadline: 0.5,
            key: Some(key),
            ..IncomingRpc::default()
        })
    }

    /// Accepts an RPC whose body is still arriving.
    pub(crate) fn accept_streaming(&mut self) -> u64 {
        self.accept_rpc(IncomingRpc {
            deadline: 0.5,
            streams_request: true,
            ..IncomingRpc::default()
        })
    }

    /// Accepts an RPC. Its id is assigned here, and its deadline is relative to now.
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

    pub(crate) fn disconnect_client(&mut self, rpc: u64) {
        self.platform.rpc_mut(rpc).client_disconnected = true;
        self.handles[&rpc].on_client_disconnected(&mut self.platform);
    }

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

    /// Ends an attempt by its RPC and its number.
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

    /// Accepts an RPC every `gap` seconds and returns all of them. Health checks report the load of their
    /// backend. Attempts end after `gap` with the outcome of their backend, or time out without one.
    pub(crate) fn drive(
        &mut self,
        rounds: usize,
        gap: f64,
        in_flight: impl Fn(u32) -> f64,
        outcome: impl Fn(u32) -> Option<AttemptOutcome>,
    ) -> Vec<RpcRecord> {
        let health_check_time = gap.min(HEALTH_CHECK_SECONDS);
        let mut rpcs = Vec::new();
        for _ in 0..rounds {
            rpcs.push(self.accept(0, 0.5));
            for _ in 0..HEALTH_CHECK_ROUNDS {
                self.advance(health_check_time / HEALTH_CHECK_ROUNDS as f64);
                self.complete_health_checks(AttemptOutcome::Succeeded, &in_flight);
            }
            self.advance(gap - health_check_time);
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

    pub(crate) fn end_all_attempts(&mut self, outcome: AttemptOutcome, in_flight: Option<f64>) {
        for attempt in self.attempts_in_flight() {
            self.end_in_flight(attempt, outcome, in_flight);
        }
    }

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

    /// Returns the attempt that times out first. Streamed responses have no timeout.
    fn next_timeout(&self) -> Option<Due<AttemptInFlight>> {
        let mut next: Option<Due<AttemptInFlight>> = None;
        for attempt in self.attempts_in_flight() {
            let record = &self.platform.rpcs[&attempt.rpc];
            let at = record.attempts[attempt.number].timeout_at;
            if !record.is_streaming && next.as_ref().is_none_or(|next| at < next.at) {
                next = Some(Due { at, what: attempt });
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
                    what: index,
                });
            }
        }
        next
    }

    /// Advances the time; timers fire and attempts time out when they are due.
    pub(crate) fn advance(&mut self, seconds: f64) {
        let end = self.platform.now + seconds;
        loop {
            let timeout = self.next_timeout().filter(|timeout| timeout.at <= end);
            let timer = self.next_timer().filter(|timer| timer.at <= end);
            match (timeout, timer) {
                (Some(timeout), timer) if timer.as_ref().is_none_or(|t| timeout.at <= t.at) => {
                    self.platform.now = self.platform.now.max(timeout.at);
                    self.end_in_flight(timeout.what, AttemptOutcome::TimedOut, None);
                }
                (_, Some(timer)) => {
                    self.platform.now = self.platform.now.max(timer.at);
                    self.platform.timers.swap_remove(timer.what);
                    self.balancer.on_timer(&mut self.platform);
                }
                (_, None) => break,
            }
        }
        self.platform.now = end;
    }

    /// Checks that no rule was broken so far.
    pub(crate) fn check_rules(&self) -> Result<(), String> {
        self.platform.check_rules()
    }
}
