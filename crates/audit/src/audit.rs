//! The four rules over a ledger: a pure fold over its entries, in the order of time.
//!
//! 1. Each RPC that a running proxy has taken gets one final answer before its deadline, and nothing is sent after.
//! 2. No effect twice: non-idempotent never again once it may have run, deduplicated only inside group and window;
//!    pushed back only where that is harmless.
//! 3. Nothing new to a draining or gone node later than the grace after its proxy was told.
//! 4. No cold node pushed over by what informed proxies sent, all together.
use crate::event::{Admission, Answer, AttemptEnd, End, EndpointState, Entry, Event};
use crate::findings::{ColdStart, Counts, Findings, LatenessSummary, Rule, Violation};
use crate::head::{Head, Idempotency};
use crate::service::Totals;
use std::collections::{BTreeMap, HashMap, VecDeque};

const AFTER_HANG_UP: f64 = 0.1; // s for a pick to begin after its client has hung up
const TIME_SLACK: f64 = 0.15; // s by which the time that a pick tells its node may exceed what is left to the client
const INFORMED: f64 = 2.0 / 3.0; // of a push: from as much on, a fall is the doing of proxies that were told of the start

#[derive(Clone, Debug)]
struct Pick {
    attempt_id: u64,
    incarnation: u32,
    first_byte_at: f64,
    admission: Admission,
    /// When it was over for its proxy.
    over: Option<f64>,
    /// How long its node was told that the proxy waits, s.
    time: Option<f64>,
}

#[derive(Debug)]
struct Try {
    rpc: u32,
    proxy: u16,
    sent: f64,
    client_timeout: f64,
    answer: Option<(f64, Answer)>,
    picks: Vec<Pick>,
}

impl Try {
    fn deadline(&self) -> f64 {
        self.sent + self.client_timeout
    }
}

#[derive(Debug, Default)]
struct Asked {
    method: usize,
    effects: usize,
}

#[derive(Debug)]
struct Incarnation {
    backend: u32,
    started_at: f64,
    cold: bool,
    peak: f64,
    /// Work of the last window: when, how much, from an informed proxy or not.
    push: VecDeque<(f64, f64, bool)>,
}

/// The fold. Feed it entries in the order of time, then finish.
pub struct Audit<'a> {
    head: &'a Head,
    rpcs: HashMap<u32, Asked>,
    tries: BTreeMap<u64, Try>,
    attempt_ids: HashMap<u64, u64>,
    incarnations: HashMap<u32, Incarnation>,
    /// What each proxy was told last of a node: its incarnation, and since when it takes nothing new.
    told: HashMap<(u16, u32), (u32, Option<f64>)>,
    /// When each proxy's process ended.
    ended: HashMap<u16, Vec<(f64, End)>>,
    violations: BTreeMap<(Rule, String), Violation>,
    counts: Counts,
    late: Vec<f64>,
    stage_late: Vec<f64>,
    latest_after_notification: f64,
    totals: Totals<'a>,
    now: f64,
}

impl<'a> Audit<'a> {
    pub fn new(head: &'a Head) -> Self {
        Self {
            head,
            rpcs: HashMap::new(),
            tries: BTreeMap::new(),
            attempt_ids: HashMap::new(),
            incarnations: HashMap::new(),
            told: HashMap::new(),
            ended: HashMap::new(),
            violations: BTreeMap::new(),
            counts: Counts::default(),
            late: Vec::new(),
            stage_late: Vec::new(),
            latest_after_notification: 0.0,
            totals: Totals::new(head),
            now: 0.0,
        }
    }

    /// Judges a whole ledger.
    pub fn of(head: &'a Head, entries: &[Entry]) -> Findings {
        let mut audit = Self::new(head);
        entries.iter().for_each(|entry| audit.feed(entry));
        audit.finish()
    }

    fn report(
        &mut self,
        rule: Rule,
        at: f64,
        subject: String,
        description: String,
        timing_dependent: bool,
    ) {
        let violation = Violation {
            rule,
            at,
            subject: subject.clone(),
            description,
            timing_dependent,
        };
        // A fault seen in several ways is one breach; one that no clock can excuse outweighs one of time.
        let slot = self
            .violations
            .entry((rule, subject))
            .or_insert_with(|| violation.clone());
        if slot.timing_dependent && !timing_dependent {
            *slot = violation;
        }
    }

    fn rpc_name(rpc: u32) -> String {
        format!("rpc {rpc}")
    }

    fn proxy_name(&self, proxy: u16) -> &str {
        self.head
            .proxies
            .get(proxy as usize)
            .map_or("?", String::as_str)
    }

    fn backend_name(&self, backend: u32) -> &str {
        self.head
            .backends
            .get(backend as usize)
            .map_or("?", |n| &n.name)
    }

    fn kind(&self, rpc: u32) -> Option<Idempotency> {
        let asked = self.rpcs.get(&rpc)?;
        self.head.methods.get(asked.method).map(|m| m.kind)
    }

    #[expect(clippy::too_many_lines)]
    pub fn feed(&mut self, entry: &Entry) {
        let at = entry.at;
        self.now = self.now.max(at);
        match entry.event {
            Event::Arrival {
                rpc,
                method,
                tenant,
                within_quota,
            } => {
                self.counts.rpcs += 1;
                self.rpcs.insert(
                    rpc,
                    Asked {
                        method: method as usize,
                        effects: 0,
                    },
                );
                self.totals
                    .record_arrival(at, rpc, method as usize, tenant as usize, within_quota);
            }
            Event::RequestSent {
                request_id,
                rpc,
                proxy,
                client_timeout,
            } => {
                self.counts.client_requests += 1;
                let (client_timeout, picks) = (f64::from(client_timeout), Vec::new());
                // The first pick may have overtaken the note of the send.
                let known = self.tries.remove(&request_id).map_or(picks, |t| t.picks);
                let entry = Try {
                    rpc,
                    proxy,
                    sent: at,
                    client_timeout,
                    answer: None,
                    picks: known,
                };
                self.tries.insert(request_id, entry);
            }
            Event::RequestAnswered { request_id, answer } => self.answered(at, request_id, answer),
            Event::BackendStarted {
                incarnation,
                backend,
                cold,
                ..
            } => {
                let push = VecDeque::new();
                self.incarnations.insert(
                    incarnation,
                    Incarnation {
                        backend,
                        started_at: at,
                        cold,
                        peak: 0.0,
                        push,
                    },
                );
            }
            Event::BackendCollapsed { incarnation } => self.fell(at, incarnation),
            Event::AttemptReceived {
                incarnation,
                attempt_id,
                request_id,
                proxy,
                first_byte_at,
                work,
                overload,
                admission,
            } => {
                self.got(
                    incarnation,
                    attempt_id,
                    request_id,
                    first_byte_at,
                    admission,
                );
                self.after_told(incarnation, request_id, proxy, first_byte_at);
                self.overload(at, incarnation, proxy, f64::from(work), f64::from(overload));
            }
            Event::ExecutionStarted { attempt_id } => self.started(at, attempt_id),
            Event::DuplicateDropped { .. } => self.counts.duplicates_dropped += 1,
            Event::AttemptEnded { attempt_id, how } => {
                self.counts.attempts_cancelled += usize::from(how == AttemptEnd::Cancelled);
                if let Some(pick) = self.pick_mut(attempt_id) {
                    pick.over.get_or_insert(at);
                }
            }
            Event::ProxyNotified {
                proxy,
                backend,
                incarnation,
                state,
            } => {
                let off = (state != EndpointState::Ready).then_some(at);
                let slot = self
                    .told
                    .entry((proxy, backend))
                    .or_insert((incarnation, off));
                let still = slot
                    .1
                    .filter(|_| slot.0 == incarnation && state != EndpointState::Ready);
                *slot = (incarnation, still.or(off));
            }
            Event::ProxyStarted { proxy } => {
                // It starts from what it is told now and has forgotten the rest.
                self.told.retain(|(p, _), _| *p != proxy);
            }
            Event::ProxyEnded { proxy, how } => {
                if how == End::Crashed {
                    let name = format!("proxy {}", self.proxy_name(proxy));
                    self.report(
                        Rule::OneAnswer,
                        at,
                        name,
                        "ended by itself, unasked".into(),
                        false,
                    );
                }
                self.ended.entry(proxy).or_default().push((at, how));
            }
            Event::ClientLate { by } => self.late.push(f64::from(by)),
            Event::EmulatorLate { by } => self.stage_late.push(f64::from(by)),
            Event::TimeoutForwarded {
                attempt_id,
                seconds,
            } => {
                if let Some(pick) = self.pick_mut(attempt_id) {
                    pick.time = Some(f64::from(seconds));
                }
            }
            Event::BackendDraining { .. }
            | Event::BackendEnded { .. }
            | Event::ExecutionFinished { .. }
            | Event::EndpointChanged { .. }
            | Event::ProxyReady { .. }
            | Event::Fault { .. } => {}
        }
    }

    fn pick_mut(&mut self, attempt_id: u64) -> Option<&mut Pick> {
        let request_id = self.attempt_ids.get(&attempt_id)?;
        self.tries
            .get_mut(request_id)?
            .picks
            .iter_mut()
            .find(|p| p.attempt_id == attempt_id)
    }

    fn answered(&mut self, at: f64, request_id: u64, answer: Answer) {
        let Some(entry) = self.tries.get_mut(&request_id) else {
            return;
        };
        let (rpc, before, deadline) = (entry.rpc, entry.answer, entry.deadline());
        entry.answer.get_or_insert((at, answer));
        if let Some((_, before)) = before {
            let what = format!("answered twice: Some({before}), then {answer}");
            return self.report(Rule::OneAnswer, at, Self::rpc_name(rpc), what, false);
        }
        match answer {
            Answer::Ok => self.counts.ok += 1,
            Answer::Rejected(_) => self.counts.rejected += 1,
            Answer::Aborted(_) => self.counts.aborted += 1,
            Answer::Unreachable => self.counts.unreachable += 1,
            Answer::Cancelled => self.counts.cancelled += 1,
            Answer::Lost | Answer::TimedOut => {}
            Answer::Malformed => {
                let what = "the answer was none, or bytes came behind it".to_owned();
                self.report(Rule::OneAnswer, at, Self::rpc_name(rpc), what, false);
            }
        }
        if answer.is_final() && at > deadline + self.head.rules.slack {
            let what = format!(
                "answered {:.0} ms after its deadline",
                (at - deadline) * 1e3
            );
            self.report(Rule::OneAnswer, at, Self::rpc_name(rpc), what, true);
        }
        if answer == Answer::Ok {
            self.totals.record_success(at, rpc);
        }
    }

    fn got(
        &mut self,
        incarnation: u32,
        attempt_id: u64,
        request_id: u64,
        first_byte_at: f64,
        admission: Admission,
    ) {
        self.counts.attempts += 1;
        self.counts.attempts_rejected += usize::from(admission == Admission::Rejected);
        self.attempt_ids.insert(attempt_id, request_id);
        let (rpc, proxy, sent, client_timeout) = (u32::MAX, u16::MAX, first_byte_at, f64::INFINITY);
        let entry = self.tries.entry(request_id);
        let entry = entry.or_insert(Try {
            rpc,
            proxy,
            sent,
            client_timeout,
            answer: None,
            picks: Vec::new(),
        });
        let over = (admission == Admission::Rejected).then_some(first_byte_at);
        entry.picks.push(Pick {
            attempt_id,
            incarnation,
            first_byte_at,
            admission,
            over,
            time: None,
        });
    }

    /// Rule 3, for one pick.
    fn after_told(&mut self, incarnation: u32, request_id: u64, proxy: u16, first_byte_at: f64) {
        let Some(backend) = self.incarnations.get(&incarnation).map(|l| l.backend) else {
            return;
        };
        // Off since then, for this incarnation: what was said of an earlier one does not count.
        let Some((_, Some(off))) = self
            .told
            .get(&(proxy, backend))
            .filter(|told| told.0 == incarnation)
            .copied()
        else {
            return;
        };
        let late = first_byte_at - off;
        self.latest_after_notification = self.latest_after_notification.max(late);
        if late > self.head.rules.drain_grace + self.head.rules.slack {
            let rpc = self.tries.get(&request_id).map_or(u32::MAX, |t| t.rpc);
            let what = format!(
                "sent to {} {:.0} ms after {} was told that it takes nothing new",
                self.backend_name(backend),
                late * 1e3,
                self.proxy_name(proxy)
            );
            self.report(
                Rule::Draining,
                first_byte_at,
                Self::rpc_name(rpc),
                what,
                true,
            );
        }
    }

    fn overload(&mut self, at: f64, incarnation: u32, proxy: u16, work: f64, overload: f64) {
        let window = self.head.rules.overload_window;
        let Some(entry) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        if !entry.cold {
            return;
        }
        let informed = self
            .told
            .get(&(proxy, entry.backend))
            .is_some_and(|told| told.0 == incarnation);
        entry.peak = entry.peak.max(overload);
        entry.push.push_back((at, work, informed));
        while entry
            .push
            .front()
            .is_some_and(|(then, ..)| *then < at - window)
        {
            entry.push.pop_front();
        }
    }

    /// Rule 4.
    fn fell(&mut self, at: f64, incarnation: u32) {
        self.counts.collapsed += 1;
        let Some(entry) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        entry.peak = entry.peak.max(1.0);
        let sum = |of: &dyn Fn(bool) -> bool| -> f64 {
            entry
                .push
                .iter()
                .filter(|(_, _, informed)| of(*informed))
                .map(|(_, work, _)| work)
                .sum()
        };
        let (all, informed) = (sum(&|_| true), sum(&|informed| informed));
        let (backend, age) = (entry.backend, at - entry.started_at);
        if informed < INFORMED * all {
            self.counts.collapsed_uninformed += 1;
            return;
        }
        let name = self.backend_name(backend).to_owned();
        let what = format!(
            "pushed over {age:.1} s after its start, {:.0}% of it by proxies that knew of the start",
            informed / all.max(f64::MIN_POSITIVE) * 100.0
        );
        self.report(Rule::SlowStart, at, name, what, false);
    }

    /// An effect happened.
    fn started(&mut self, at: f64, attempt_id: u64) {
        self.counts.executions += 1;
        let Some(rpc) = self
            .attempt_ids
            .get(&attempt_id)
            .and_then(|a| self.tries.get(a))
            .map(|t| t.rpc)
        else {
            return;
        };
        let kind = self.kind(rpc);
        let Some(asked) = self.rpcs.get_mut(&rpc) else {
            return;
        };
        asked.effects += 1;
        let effects = asked.effects;
        match kind {
            _ if effects < 2 => {}
            Some(Idempotency::Idempotent) => self.counts.repeated_executions += 1,
            Some(_) => {
                self.counts.double_executions += 1;
                let what = format!("ran {effects} times");
                self.report(
                    Rule::NoDuplicateEffect,
                    at,
                    Self::rpc_name(rpc),
                    what,
                    false,
                );
            }
            None => {}
        }
    }

    /// Rules 1 and 2 over the picks of one try, once all is known.
    #[expect(clippy::too_many_lines)]
    fn judge(&mut self, request_id: u64, entry: &Try) {
        let (rules, slack) = (&self.head.rules, self.head.rules.slack);
        let name = || Self::rpc_name(entry.rpc);
        let Some(kind) = self.kind(entry.rpc) else {
            if let Some(pick) = entry.picks.first() {
                let what = "sent to a node, and no client had asked for it".to_owned();
                self.report(
                    Rule::OneAnswer,
                    pick.first_byte_at,
                    format!("try {request_id:016x}"),
                    what,
                    false,
                );
            }
            return;
        };
        let mut found = Vec::new();
        let ran = |p: &&Pick| p.admission != Admission::Rejected;
        for (n, pick) in entry.picks.iter().enumerate() {
            let after = entry
                .answer
                .filter(|(at, a)| a.is_final() && pick.first_byte_at > at + slack);
            if after.is_some() {
                found.push((
                    Rule::OneAnswer,
                    pick.first_byte_at,
                    "sent on after its final answer".to_owned(),
                    true,
                ));
            } else if pick.first_byte_at > entry.deadline() + slack {
                found.push((
                    Rule::OneAnswer,
                    pick.first_byte_at,
                    "sent on after its deadline".to_owned(),
                    true,
                ));
            }
            let hung_up = entry.answer.filter(|(at, a)| {
                *a == Answer::Cancelled && pick.first_byte_at > at + AFTER_HANG_UP + slack
            });
            if hung_up.is_some() {
                let what = "sent on after its client had hung up".to_owned();
                found.push((Rule::OneAnswer, pick.first_byte_at, what, true));
            }
            let left = entry.deadline() - pick.first_byte_at;
            if let Some(time) = pick.time.filter(|time| *time > left + TIME_SLACK + slack) {
                let what = format!("told its node {time:.3} s where {left:.3} s are left");
                found.push((Rule::OneAnswer, pick.first_byte_at, what, true));
            }
            if n >= rules.max_attempts {
                let what = format!("{} picks, {} are allowed", n + 1, rules.max_attempts);
                found.push((Rule::NoDuplicateEffect, pick.first_byte_at, what, false));
            }
            let before = &entry.picks[..n];
            let out = before
                .iter()
                .any(|p| ran(&p) && p.over.is_none_or(|over| over > pick.first_byte_at + slack));
            if out && !rules.hedging_allowed {
                let what = "a second copy while one was out".to_owned();
                found.push((Rule::NoDuplicateEffect, pick.first_byte_at, what, true));
            }
            for first in before.iter().filter(ran) {
                let backend = |incarnation| {
                    self.incarnations
                        .get(&incarnation)
                        .map_or(u32::MAX, |l| l.backend)
                };
                let (one, other) = (backend(first.incarnation), backend(pick.incarnation));
                let (what, timed) = match kind {
                    Idempotency::Idempotent => continue,
                    Idempotency::NonIdempotent => {
                        ("sent again after it may have run".to_owned(), false)
                    }
                    Idempotency::Deduplicated { group, .. }
                        if !self.head.shares_deduplication(group, one, other) =>
                    {
                        (
                            "sent again outside the group that drops repeats".to_owned(),
                            false,
                        )
                    }
                    Idempotency::Deduplicated { window, .. }
                        if pick.first_byte_at > first.first_byte_at + window + slack =>
                    {
                        ("sent again after repeats are forgotten".to_owned(), true)
                    }
                    Idempotency::Deduplicated { .. } => continue,
                };
                let what = format!(
                    "{what}: {} at {:.3}, {} at {:.3}",
                    self.backend_name(one),
                    first.first_byte_at,
                    self.backend_name(other),
                    pick.first_byte_at
                );
                found.push((Rule::NoDuplicateEffect, pick.first_byte_at, what, timed));
            }
        }
        if let Some((at, Answer::Rejected(_))) = entry.answer
            && !kind.retry_is_harmless()
            && entry.picks.iter().any(|p| ran(&p) && p.first_byte_at <= at)
        {
            found.push((
                Rule::NoDuplicateEffect,
                at,
                "pushed back although it may have run".to_owned(),
                false,
            ));
        }
        let until = entry
            .answer
            .map_or(self.now.min(entry.deadline()), |(at, _)| at);
        let unanswered = match entry.answer {
            Some((_, Answer::Lost | Answer::TimedOut)) => true,
            Some(_) => false,
            // Still open when the ledger ends: owed only if its time is over.
            None => self.now > entry.deadline() + slack,
        };
        if unanswered {
            // What a killed proxy held is its client's to repeat.
            let ends = self.ended.get(&entry.proxy);
            let killed = ends.is_some_and(|ends| {
                let fits = |(at, how): &(f64, End)| {
                    matches!(how, End::Killed | End::Forced | End::Over)
                        && *at >= entry.sent - slack
                        && *at <= until + slack
                };
                ends.iter().any(fits)
            });
            if killed {
                self.counts.lost_with_proxy += 1;
            } else {
                let how = match entry.answer {
                    Some((_, Answer::Lost)) => "its connection ended without an answer",
                    _ => "no answer by its deadline",
                };
                let what = format!("{how}; {} had taken it", self.proxy_name(entry.proxy));
                found.push((
                    Rule::OneAnswer,
                    until,
                    what,
                    entry.answer.is_none_or(|a| a.1 != Answer::Lost),
                ));
            }
        }
        for (rule, at, what, timed) in found {
            self.report(rule, at, name(), what, timed);
        }
    }

    pub fn finish(mut self) -> Findings {
        let tries = std::mem::take(&mut self.tries);
        for (request_id, entry) in &tries {
            self.judge(*request_id, entry);
        }
        let cold = |l: &Incarnation| ColdStart {
            backend: self.backend_name(l.backend).to_owned(),
            started_at: l.started_at,
            peak_overload: l.peak,
        };
        let mut cold_starts: Vec<_> = self
            .incarnations
            .values()
            .filter(|l| l.cold)
            .map(cold)
            .collect();
        cold_starts.sort_by(|a, b| {
            a.started_at
                .total_cmp(&b.started_at)
                .then_with(|| a.backend.cmp(&b.backend))
        });
        let mut violations: Vec<_> = self.violations.into_values().collect();
        violations.sort_by(|a, b| a.at.total_cmp(&b.at));
        Findings {
            violations,
            counts: self.counts,
            service: self.totals.finish(),
            cold_starts,
            latest_after_notification: self.latest_after_notification,
            client_lateness: LatenessSummary::of(&mut self.late),
            emulator_lateness: LatenessSummary::of(&mut self.stage_late),
        }
    }
}
