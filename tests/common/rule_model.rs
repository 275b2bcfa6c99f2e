//! Model of the four rules of `policy::rules`: a platform in simulated time that checks every action of the
//! decisions. It is simple rather than fast, and shares no code with the decisions.
use birchhub::interface::*;
use std::collections::BTreeMap;

/// Time after its deadline within which an RPC must get its final answer, in seconds.
const ANSWER_GRACE_SECONDS: f64 = 0.005;
/// Shortest delay of a timer, in seconds.
const MIN_TIMER_SECONDS: f64 = 0.001;

/// An attempt of an RPC, as seen by the platform.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    pub backend: u32,
    pub started_at: f64,
    pub timeout_at: f64,
    pub outcome: Option<AttemptOutcome>,
    pub ended_at: f64,
}

impl AttemptRecord {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the backend may have executed the attempt, as far as the proxy can know.
    fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(
                AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
            )
        )
    }
}

/// The answer that ends an RPC for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalAnswer {
    Succeeded,
    /// Not executed; a retry is harmless.
    Rejected,
    Failed,
}

/// The state of one RPC in the model.
#[derive(Clone, Debug)]
pub(crate) struct RpcRecord {
    pub idempotency: Idempotency,
    /// The key and the position among all accepted RPCs, if the RPC is ordered by key.
    pub key_sequence: Option<(u64, u64)>,
    pub deadline: f64,
    pub attempts: Vec<AttemptRecord>,
    pub answers: Vec<FinalAnswer>,
    pub is_streaming: bool,
    pub client_disconnected: bool,
}

impl RpcRecord {
    pub(crate) fn is_finished(&self) -> bool {
        !self.answers.is_empty() || self.client_disconnected
    }

    pub(crate) fn attempts_in_flight(&self) -> usize {
        let in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight());
        in_flight.count()
    }

    /// Returns whether the RPC may be rejected. A rejection tells the client that a retry is harmless.
    pub(crate) fn may_be_rejected(&self) -> bool {
        let was_not_executed = !self.attempts.iter().any(AttemptRecord::may_have_run);
        was_not_executed
            || matches!(
                self.idempotency,
                Idempotency::Idempotent
                    | Idempotency::Deduplicated {
                        scope: DeduplicationScope::All,
                        ..
                    }
            )
    }
}

/// A platform that checks every action against the rules and collects violations.
#[derive(Default)]
pub(crate) struct CheckedPlatform {
    pub now: f64,
    pub settings: Settings,
    pub rpcs: BTreeMap<u64, RpcRecord>,
    pub endpoints: BTreeMap<u32, Endpoint>,
    /// Time at which the decisions learned that a backend is draining, removed or no longer listed.
    pub draining_since: BTreeMap<u32, f64>,
    pub timers: Vec<f64>,
    pub pending_health_checks: Vec<u32>,
    pub health_checks_sent: usize,
    pub watch_times: Vec<f64>,
    pub retry_afters: Vec<f64>,
    pub violations: Vec<String>,
}

impl CheckedPlatform {
    pub(crate) fn rpc_mut(&mut self, rpc: u64) -> &mut RpcRecord {
        self.rpcs.get_mut(&rpc).expect("an accepted RPC")
    }

    /// Checks that all earlier RPCs with the same key have ended, and that the key's cooldown is over.
    fn check_key_order(&self, rpc: &RpcRecord) -> Result<(), &'static str> {
        let Some((key, position)) = rpc.key_sequence else {
            return Ok(());
        };
        let is_earlier = |r: &&RpcRecord| {
            r.key_sequence
                .is_some_and(|(k, p)| k == key && p < position)
        };
        for earlier in self.rpcs.values().filter(is_earlier) {
            if !earlier.is_finished() {
                return Err("sent before an earlier RPC with the same key has ended");
            }
            for attempt in &earlier.attempts {
                match attempt.outcome {
                    None => {
                        return Err(
                            "sent while an attempt of an earlier RPC with the same key is in flight",
                        );
                    }
                    Some(
                        AttemptOutcome::TimedOut
                        | AttemptOutcome::Reset
                        | AttemptOutcome::Cancelled,
                    ) if self.now < attempt.ended_at + self.settings.key_cooldown => {
                        return Err("sent during the cooldown of its key");
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// Returns the id of the group of backends that drops duplicates together with this one.
    fn deduplication_group(&self, backend: u32, scope: DeduplicationScope) -> u64 {
        match scope {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => self.endpoints[&backend].zone as u64,
            DeduplicationScope::Cell => self.endpoints[&backend].cell,
        }
    }

    /// Checks that executing the RPC at this backend is harmless, given the attempts that may have run.
    fn check_repeated_run(&self, rpc: &RpcRecord, backend: u32) -> Result<(), &'static str> {
        for earlier in rpc.attempts.iter().filter(|a| a.may_have_run()) {
            match rpc.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => return Err("a non-idempotent RPC may run twice"),
                Idempotency::Deduplicated { scope, window } => {
                    if self.deduplication_group(earlier.backend, scope)
                        != self.deduplication_group(backend, scope)
                    {
                        return Err("sent outside the group that drops duplicates");
                    }
                    if self.now >= earlier.started_at + window {
                        return Err("sent after the deduplication window");
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks an attempt that is about to start.
    fn check_attempt(&self, rpc: &RpcRecord, backend: u32) -> Result<(), &'static str> {
        self.check_repeated_run(rpc, backend)?;
        self.check_key_order(rpc)?;
        if rpc.is_finished() {
            return Err("sent after the final answer");
        }
        if self.now >= rpc.deadline {
            return Err("sent after the deadline");
        }
        if rpc.attempts.len() >= self.settings.max_attempts {
            return Err("more attempts than allowed");
        }
        if rpc.attempts_in_flight() > 0 && !self.settings.can_hedge {
            return Err("two attempts in flight");
        }
        let draining_since = self.draining_since.get(&backend);
        if draining_since.is_some_and(|at| self.now > at + self.settings.drain_grace) {
            return Err("sent to a backend that is draining or removed");
        }
        if !self.endpoints.contains_key(&backend) {
            return Err("sent to a backend that was never listed");
        }
        Ok(())
    }

    /// Records a final answer, and a violation if a rule forbids it.
    fn record_answer(&mut self, rpc: u64, answer: FinalAnswer) {
        let now = self.now;
        let record = self.rpc_mut(rpc);
        let violation = if record.is_finished() {
            Some(format!("{answer:?} for RPC {rpc} after its end"))
        } else if (answer == FinalAnswer::Rejected) != record.may_be_rejected() {
            let permission = if record.may_be_rejected() { "" } else { "not " };
            Some(format!(
                "{answer:?} for RPC {rpc}, which may {permission}be rejected: {record:?}"
            ))
        } else if now > record.deadline + ANSWER_GRACE_SECONDS {
            Some(format!("{answer:?} for RPC {rpc} after its deadline"))
        } else {
            None
        };
        record.answers.push(answer);
        self.violations.extend(violation);
    }

    /// Returns an error for an RPC whose final answer is overdue, or for the first violation.
    pub(crate) fn check_rules(&self) -> Result<(), String> {
        for (id, rpc) in &self.rpcs {
            let is_overdue = !rpc.is_finished() && self.now > rpc.deadline + ANSWER_GRACE_SECONDS;
            if is_overdue && !rpc.is_streaming {
                return Err(format!(
                    "RPC {id} got no final answer before its deadline: {rpc:?}"
                ));
            }
        }
        self.violations
            .first()
            .map_or(Ok(()), |violation| Err(violation.clone()))
    }
}

impl Platform for CheckedPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, timeout: f64) {
        if let Err(rule) = self.check_attempt(&self.rpcs[&rpc], backend) {
            self.violations.push(format!(
                "{rule}: RPC {rpc} to backend {backend} at {} s: {:?}",
                self.now, self.rpcs[&rpc]
            ));
        }
        let now = self.now;
        let record = self.rpc_mut(rpc);
        record.attempts.push(AttemptRecord {
            backend,
            started_at: now,
            timeout_at: (now + timeout).min(record.deadline),
            outcome: None,
            ended_at: 0.0,
        });
    }
    fn cancel_attempt(&mut self, rpc: u64, attempt: usize) {
        if !self.rpcs[&rpc].attempts[attempt].is_in_flight() || !self.settings.can_cancel {
            self.violations.push(format!(
                "cancelled attempt {attempt} of RPC {rpc}, which is not in flight or can not be cancelled"
            ));
        }
    }
    fn reject(&mut self, rpc: u64, retry_after: f64) {
        self.retry_afters.push(retry_after);
        self.record_answer(rpc, FinalAnswer::Rejected);
    }
    fn fail(&mut self, rpc: u64) {
        self.record_answer(rpc, FinalAnswer::Failed);
    }
    fn health_check(&mut self, backend: u32) {
        self.pending_health_checks.push(backend);
        self.health_checks_sent += 1;
    }
    fn watch_endpoints(&mut self) {
        self.watch_times.push(self.now);
    }
    fn schedule_timer(&mut self, delay: f64) {
        self.timers.push(self.now + delay.max(MIN_TIMER_SECONDS));
    }
}
