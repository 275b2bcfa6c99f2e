//! RPCs and their attempts in the simulation, from the arrival at a proxy to the final answer.
use crate::common::load_report;
use crate::event::{AttemptEnd, Event};
use crate::proxy::{OpenRpc, RequestedAttempt};
use crate::scenario::SLOW_START_SECONDS;
use crate::simulation::{NETWORK_DELAY_SECONDS, RETURN_SECONDS, Simulation};
use birchhub::interface::*;

/// Largest number of RPCs in the queue of a backend; further ones are rejected.
const QUEUE_CAPACITY: usize = 40;
/// Deadline that clients set for an RPC, in seconds after its arrival.
const DEADLINE_SECONDS: f64 = 0.5;
/// Time within which a response counts as served, in seconds.
const LATENCY_OBJECTIVE_SECONDS: f64 = 0.2;
/// Lowest id of an RPC. It is above the numbers of all events, from which the ids are drawn.
const FIRST_RPC_ID: u64 = 1_000_000_000;

/// An attempt of a proxy at a backend.
pub(crate) struct Attempt {
    proxy: usize,
    process: u32,
    rpc: u64,
    /// Index among the RPC's attempts.
    number: usize,
    backend: u32,
    /// Start time that the backend had when the attempt arrived; a different one now means that the backend has
    /// restarted since.
    backend_started_at: Option<f64>,
    has_ended: bool,
}

impl Simulation {
    /// Accepts an RPC at a proxy and schedules the next one.
    pub(crate) fn rpc_arrives(&mut self, proxy: usize) {
        let gap = self.exponential(1.0 / self.rates[proxy]);
        self.schedule(gap, Event::RpcArrives(proxy));
        let id = self.events.take_number() - 1 + FIRST_RPC_ID;
        let now = self.now;
        if (RETURN_SECONDS..RETURN_SECONDS + SLOW_START_SECONDS).contains(&now) {
            self.counted.insert(id);
        }
        let incoming = IncomingRpc {
            id,
            deadline: now + DEADLINE_SECONDS,
            ..IncomingRpc::default()
        };
        self.call(proxy, |proxy, actions| {
            let open = OpenRpc {
                handle: proxy.balancer.accept(&incoming, actions),
                attempts: 0,
                objective_at: now + LATENCY_OBJECTIVE_SECONDS,
            };
            proxy.rpcs.insert(id, open);
        });
    }

    /// Starts an attempt: schedules its arrival at the backend, and its timeout.
    pub(crate) fn start_attempt(&mut self, proxy: usize, requested: &RequestedAttempt) {
        let process = self.proxies[proxy].process;
        let Some(open) = self.proxies[proxy].rpcs.get_mut(&requested.rpc) else {
            return;
        };
        open.attempts += 1;
        let record = Attempt {
            proxy,
            process,
            rpc: requested.rpc,
            number: open.attempts - 1,
            backend: requested.backend,
            backend_started_at: None,
            has_ended: false,
        };
        let attempt = self.events.next_number();
        self.schedule(NETWORK_DELAY_SECONDS, Event::AttemptArrives(attempt));
        self.attempts.insert(attempt, record);
        let timed_out = AttemptEnd::without_response(attempt, AttemptOutcome::TimedOut);
        self.schedule(requested.timeout, timed_out);
    }

    /// Handles an attempt at its backend, which queues it, rejects it or is down.
    pub(crate) fn attempt_arrives(&mut self, attempt: u64) {
        let backend = self.attempts[&attempt].backend;
        if !self.backend(backend).is_up {
            let failed = AttemptEnd::without_response(attempt, AttemptOutcome::ConnectFailed);
            return self.schedule(NETWORK_DELAY_SECONDS, failed);
        }
        let work = self.exponential(1.0) * self.fleet.work;
        self.measure_arrival(backend, work);
        let started_at = self.backend(backend).started_at;
        let record = self.attempts.get_mut(&attempt).expect("an attempt");
        record.backend_started_at = started_at;
        if self.backend(backend).queue.len() >= QUEUE_CAPACITY {
            let rejected = AttemptEnd::without_response(attempt, AttemptOutcome::Rejected);
            return self.schedule(NETWORK_DELAY_SECONDS, rejected);
        }
        self.backend(backend).queue.push_back(attempt);
        self.execute_queued(backend);
    }

    /// Adds an RPC to the measurement if its backend is in slow start. Rejected RPCs count as well.
    fn measure_arrival(&mut self, backend: u32, work: f64) {
        let now = self.now;
        let window = self.fleet.window;
        let work_in_rpcs = work / self.fleet.work;
        let Some(started_at) = self.backend(backend).started_at else {
            return;
        };
        if now >= started_at + SLOW_START_SECONDS {
            return;
        }
        let state = self.backend(backend);
        state.record_arrival(work_in_rpcs, now, window);
        let rpcs = state.arrived_rpcs();
        let work = state.arrived_work();
        let budget = self.fleet.budget(now - started_at);
        self.measured.add_window(rpcs, work, budget);
    }

    /// Starts to execute queued attempts as long as cores are free. Attempts that have ended for their proxy are
    /// skipped.
    fn execute_queued(&mut self, backend: u32) {
        let now = self.now;
        let cores = self.fleet.cores;
        while self.backend(backend).running < cores {
            let Some(attempt) = self.backend(backend).queue.pop_front() else {
                return;
            };
            if self.attempts[&attempt].has_ended {
                continue;
            }
            let backend = self.backend(backend);
            backend.running += 1;
            let age = backend.started_at.map_or(SLOW_START_SECONDS, |at| now - at);
            let work = self.exponential(self.fleet.work);
            let duration = work / self.fleet.warm_fraction(age);
            self.schedule(duration, Event::AttemptExecuted(attempt));
        }
    }

    /// Sends the response to an attempt, unless its backend has failed or restarted since it arrived.
    pub(crate) fn attempt_executed(&mut self, attempt: u64) {
        let record = &self.attempts[&attempt];
        let backend = record.backend;
        let backend_started_at = record.backend_started_at;
        let state = self.backend(backend);
        if !state.is_up || state.started_at != backend_started_at {
            return;
        }
        state.running -= 1;
        let ends = Event::AttemptEnds(AttemptEnd {
            attempt,
            outcome: AttemptOutcome::Succeeded,
            in_flight: Some(state.in_flight()),
        });
        self.schedule(NETWORK_DELAY_SECONDS, ends);
        self.execute_queued(backend);
    }

    /// Reports the outcome of an attempt to its proxy. Only the first outcome counts: an attempt has a response
    /// and a timeout scheduled at the same time.
    pub(crate) fn attempt_ends(&mut self, end: AttemptEnd) {
        let record = self.attempts.get_mut(&end.attempt).expect("an attempt");
        if std::mem::replace(&mut record.has_ended, true) {
            return;
        }
        let proxy = record.proxy;
        let rpc = record.rpc;
        let number = record.number;
        if self.proxies[proxy].process != record.process {
            return;
        }
        let Some(open) = self.proxies[proxy].rpcs.get(&rpc) else {
            return;
        };
        let outcome = end.outcome;
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let is_in_time = self.now <= open.objective_at;
        self.served += usize::from(succeeded && is_in_time && self.counted.contains(&rpc));
        let responses_report = self.fleet.reports == LoadReportSource::Responses;
        let in_flight = end.in_flight.filter(|_| responses_report);
        let report = in_flight.map(load_report);
        self.call(proxy, |proxy, actions| {
            let handle = &proxy.rpcs[&rpc].handle;
            handle.on_attempt_ended(number, outcome, succeeded, report, actions);
        });
        if succeeded {
            self.proxies[proxy].rpcs.remove(&rpc);
        }
    }
}
