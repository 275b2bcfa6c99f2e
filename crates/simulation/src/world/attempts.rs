//! Attempts of proxies at backends, from their arrival at the machine to their outcome at the proxy.
use super::clients::rpc_of_request;
use super::event::{ProcessEvent, SimulationEvent};
use super::process::ProcessId;
use super::{NETWORK_DELAY_SECONDS, World};
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_audit::event::{Admission, AttemptEnd, ReceivedAttempt};
use birchhub_audit::{Event, Idempotency, RequestOutcome};
use birchhub_backend_model::{IdempotencyKey, IncomingWork, RejectionReason};
use birchhub_rehearsal::plan::BackendFault;
use birchhub_rehearsal::scenario::LoadReports;

/// An attempt of a proxy at a backend.
pub(super) struct ProxyAttempt {
    /// The process that started it.
    pub(super) process: ProcessId,
    /// The client's request that it serves.
    pub(super) request_id: u64,
    /// Its index among the attempts for that request.
    pub(super) attempt_index: usize,
    /// The machine that it was sent to.
    pub(super) node: u32,
    /// The incarnation of the backend at which it is in flight; `None` before its arrival and once its outcome was sent.
    pub(super) incarnation: Option<u32>,
    /// The injected fault that will affect its response.
    pub(super) fault: Option<BackendFault>,
}

/// An attempt that has arrived at a running backend.
struct ArrivingAttempt {
    attempt_id: u64,
    request_id: u64,
    proxy: u16,
    node: u32,
    incarnation: u32,
    /// When its first byte arrived at the machine, in seconds; a stall defers the delivery beyond that.
    first_byte_at: f64,
    /// Work in seconds of a standard core.
    work: f64,
}

impl ArrivingAttempt {
    /// Returns the ledger event of its arrival; `overload` is the backend's current overload.
    fn record(&self, admission: Admission, overload: f64) -> Event {
        Event::AttemptReceived(ReceivedAttempt {
            incarnation: self.incarnation,
            attempt_id: self.attempt_id,
            request_id: self.request_id,
            proxy: self.proxy,
            first_byte_at: self.first_byte_at,
            work: self.work as f32,
            overload: overload as f32,
            admission,
        })
    }
}

impl World<'_> {
    /// Returns whether the process that made the attempt still runs and waits for its outcome.
    fn is_attempt_open(&self, attempt_id: u64) -> bool {
        let Some(entry) = self.proxy_attempts.get(&attempt_id) else {
            return false;
        };
        let running = self.proxies[entry.process.proxy as usize]
            .as_ref()
            .filter(|running| running.id == entry.process);
        let rpc_state = running.and_then(|running| running.in_flight.get(&entry.request_id));
        rpc_state.is_some_and(|rpc_state| rpc_state.open_attempt(entry.attempt_index).is_some())
    }

    /// Reports the outcome of an open attempt to the decisions, and a successful response to the client.
    pub(super) fn end_attempt(
        &mut self,
        attempt_id: u64,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        if !self.is_attempt_open(attempt_id) {
            return;
        }
        let Some(entry) = self.proxy_attempts.get(&attempt_id) else {
            return;
        };
        let proxy = entry.process.proxy;
        let request_id = entry.request_id;
        let attempt_index = entry.attempt_index;
        if entry.incarnation.is_none() {
            self.proxy_attempts.remove(&attempt_id);
        }
        if outcome == AttemptOutcome::Succeeded {
            self.send_client_response(proxy, request_id, RequestOutcome::Ok);
        }
        let running = self.proxies[proxy as usize].as_mut();
        let Some(rpc_state) = running.and_then(|running| running.in_flight.get_mut(&request_id))
        else {
            return;
        };
        rpc_state.attempts[attempt_index] = None;
        let answered = rpc_state.answered;
        self.run_rpc_decision(proxy, request_id, |rpc, platform| {
            rpc.on_attempt_ended(attempt_index, outcome, answered, report, platform)
        });
    }

    /// Ends an open attempt at the proxy and closes its connection.
    pub(super) fn abort_attempt(&mut self, attempt_id: u64, outcome: AttemptOutcome) {
        if self.is_attempt_open(attempt_id) {
            self.schedule(
                NETWORK_DELAY_SECONDS,
                SimulationEvent::ConnectionClosed { attempt_id },
            );
            self.end_attempt(attempt_id, outcome, None);
        }
    }

    /// Sends the outcome of an attempt to its proxy after `delay` seconds, unless a partition separates them.
    pub(super) fn send_outcome(&mut self, attempt_id: u64, outcome: AttemptOutcome, delay: f64) {
        let Some(entry) = self.proxy_attempts.get_mut(&attempt_id) else {
            return;
        };
        entry.incarnation = None;
        let process = entry.process;
        let node = entry.node;
        if self.is_partitioned(node, process.proxy) {
            return;
        }
        let reports_load = self.scenario.fleet.load_reports == LoadReports::Responses;
        let has_response = !matches!(
            outcome,
            AttemptOutcome::Reset | AttemptOutcome::ConnectFailed
        );
        let report = if reports_load && has_response {
            self.load_report(node)
        } else {
            None
        };
        let event = ProcessEvent::AttemptEnded {
            attempt_id,
            outcome,
            report,
        };
        self.schedule(
            NETWORK_DELAY_SECONDS + delay,
            SimulationEvent::ToProcess { process, event },
        );
    }

    /// Delivers an attempt to the backend of its machine. It is dropped if a partition separates the two or the proxy
    /// has ended it, deferred during a stall, and fails to connect if no backend runs.
    pub(super) fn deliver_attempt(&mut self, attempt_id: u64, first_byte_at: f64) {
        let Some(entry) = self.proxy_attempts.get(&attempt_id) else {
            return;
        };
        let proxy = entry.process.proxy;
        let request_id = entry.request_id;
        let node = entry.node;
        if self.is_partitioned(node, proxy) || !self.is_attempt_open(attempt_id) {
            return;
        }
        let machine = &mut self.machines[node as usize];
        if machine.is_stalled() {
            let arrival = SimulationEvent::AttemptAtBackend {
                attempt_id,
                first_byte_at,
            };
            return machine.deferred_events.push(arrival);
        }
        let Some(incarnation) = machine.incarnation() else {
            return self.send_outcome(attempt_id, AttemptOutcome::ConnectFailed, 0.0);
        };
        let arrival = &self.plan.arrivals[rpc_of_request(request_id) as usize];
        let arriving = ArrivingAttempt {
            attempt_id,
            request_id,
            proxy,
            node,
            incarnation,
            first_byte_at,
            work: arrival.work * self.method_slowdown[arrival.method as usize],
        };
        match self.injected_fault(node, request_id) {
            Some(BackendFault::NoResponse { .. }) => self.withhold_response(&arriving),
            Some(BackendFault::ErrorResponse { .. }) => self.respond_with_error(&arriving),
            fault => self.start_work(&arriving, fault),
        }
    }

    /// Keeps the attempt in flight at the backend without executing it: the backend never responds.
    fn withhold_response(&mut self, arriving: &ArrivingAttempt) {
        self.track_in_flight(arriving, None);
        self.record(arriving.record(Admission::Dropped, 0.0));
    }

    /// Responds with an error without executing the attempt.
    fn respond_with_error(&mut self, arriving: &ArrivingAttempt) {
        let attempt_id = arriving.attempt_id;
        self.record(arriving.record(Admission::Failed, 0.0));
        self.record(Event::AttemptEnded {
            attempt_id,
            how: AttemptEnd::Replied,
        });
        self.send_outcome(attempt_id, AttemptOutcome::Failed, 0.0);
    }

    /// Offers the attempt to the backend, which admits or rejects it.
    fn start_work(&mut self, arriving: &ArrivingAttempt, fault: Option<BackendFault>) {
        let incoming = IncomingWork {
            attempt_id: arriving.attempt_id,
            work: arriving.work,
            idempotency_key: self.deduplication_key(arriving),
            first_on_connection: false,
        };
        let now = self.now;
        let mut events = Vec::new();
        let machine = &mut self.machines[arriving.node as usize];
        let Some(backend) = machine.backend.as_mut() else {
            return;
        };
        let node = &mut backend.model;
        let admission = node.receive(now, incoming, &mut self.deduplication, &mut events);
        let overload = node.overload();
        match admission {
            Ok(()) => {
                self.track_in_flight(arriving, fault);
                self.record(arriving.record(Admission::Admitted, overload));
            }
            Err(RejectionReason::Down) => {
                self.record(arriving.record(Admission::Dropped, overload));
                self.end_rejected_attempt(
                    arriving.attempt_id,
                    AttemptEnd::Broken,
                    AttemptOutcome::Reset,
                );
            }
            Err(_) => {
                self.record(arriving.record(Admission::Rejected, overload));
                self.end_rejected_attempt(
                    arriving.attempt_id,
                    AttemptEnd::Replied,
                    AttemptOutcome::Rejected,
                );
            }
        }
        self.apply_backend_events(arriving.node, events);
    }

    /// Returns the key by which a group of backends detects duplicates of this RPC; `None` if its method is not deduplicated.
    fn deduplication_key(&self, arriving: &ArrivingAttempt) -> Option<IdempotencyKey> {
        let rpc = rpc_of_request(arriving.request_id);
        let method = self.plan.arrivals[rpc as usize].method;
        let machine = &self.machines[arriving.node as usize];
        match self.scenario.methods[method as usize].idempotency() {
            Idempotency::Deduplicated { scope, window } => Some(IdempotencyKey {
                group: scope.group_id(machine.zone, machine.rack),
                key: u64::from(rpc),
                window,
            }),
            _ => None,
        }
    }

    /// Adds the attempt to those in flight at its backend.
    fn track_in_flight(&mut self, arriving: &ArrivingAttempt, fault: Option<BackendFault>) {
        let machine = &mut self.machines[arriving.node as usize];
        machine.attempts_in_flight.insert(arriving.attempt_id);
        if let Some(entry) = self.proxy_attempts.get_mut(&arriving.attempt_id) {
            entry.incarnation = Some(arriving.incarnation);
            entry.fault = fault;
        }
    }

    /// Ends an attempt that the backend did not admit.
    fn end_rejected_attempt(&mut self, attempt_id: u64, how: AttemptEnd, outcome: AttemptOutcome) {
        self.record(Event::AttemptEnded { attempt_id, how });
        self.send_outcome(attempt_id, outcome, 0.0);
    }

    /// Sends the response to a finished attempt, altered by the attempt's fault.
    pub(super) fn send_backend_response(&mut self, node: u32, attempt_id: u64) {
        if !self.machines[node as usize]
            .attempts_in_flight
            .remove(&attempt_id)
        {
            return;
        }
        let entry = self.proxy_attempts.get(&attempt_id);
        let (outcome, how, delay) = match entry.and_then(|entry| entry.fault.as_ref()) {
            Some(
                BackendFault::ConnectionReset { .. }
                | BackendFault::TruncatedResponse { .. }
                | BackendFault::MalformedResponse { .. },
            ) => (AttemptOutcome::Reset, AttemptEnd::Broken, 0.0),
            Some(BackendFault::SlowResponse { extra_seconds, .. }) => (
                AttemptOutcome::Succeeded,
                AttemptEnd::Replied,
                *extra_seconds,
            ),
            _ => (AttemptOutcome::Succeeded, AttemptEnd::Replied, 0.0),
        };
        self.record(Event::AttemptEnded { attempt_id, how });
        self.send_outcome(attempt_id, outcome, delay);
    }

    /// Cancels an attempt at its backend after the proxy has closed the connection.
    pub(super) fn close_connection(&mut self, attempt_id: u64) {
        let Some(entry) = self.proxy_attempts.remove(&attempt_id) else {
            return;
        };
        let machine = &mut self.machines[entry.node as usize];
        if entry.incarnation.is_none() || !machine.attempts_in_flight.remove(&attempt_id) {
            return;
        }
        let mut events = Vec::new();
        if let Some(backend) = machine.backend.as_mut() {
            let node = &mut backend.model;
            node.cancel(self.now, attempt_id, &mut self.deduplication, &mut events);
        }
        self.record(Event::AttemptEnded {
            attempt_id,
            how: AttemptEnd::Cancelled,
        });
        self.apply_backend_events(entry.node, events);
    }
}
