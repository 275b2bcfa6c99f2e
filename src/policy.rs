//! All decisions of birchhub. The platform makes one `Balancer` per proxy with `Balancer::new`, hands it list
//! changes, probe results and wake-ups, and gets an `RpcHandle` from `accept`; what happens to that RPC later
//! is a call on the handle. Answers leave through `Platform`; the interface is defined in `interface.rs`.
//!
//! The design is Join-Idle-Queue (docs/design.md): `report` fills the idle list, `pick_idle` takes its first
//! entry, `pick_drawn` draws one when it is empty. Six mechanisms stand beside it, by number: health, credit,
//! time-outs, cold budget, admission, list and probes. `may_pick` and `may_push_back` alone judge the rules.

use crate::chance::{Chance, of_pair};
use crate::held::{Backend, Bounds, Call, Cold, Ended, Method, Part, Pick, Share, Tenant, Told, surely};
use crate::interface::*;
use crate::measure::{Decaying, Mean};
use crate::roster::{Roster, Set};
use crate::turns::Turns;
use crate::waiting::Waiting;
use std::{cell::RefCell, collections::VecDeque, mem::take, rc::Rc};

// Constants: unit, and why this size.
const THRESHOLD: f64 = 0.75; // of the mean reported load: 0 while backends hold about one RPC each
const ENTRY_AGE: f64 = 0.3; // mean service times an entry lasts: other proxies see the same idle backend
const ENTRY_AGE_MAX: f64 = 4.0; // s; and of an entry by an answer: that place is this proxy's own
const SKIP_TIMES: f64 = 2.0; // times its own mean in flight that makes a draw skip a backend ...
const SKIP_PLUS: f64 = 1.0; // RPCs; ... and more than this beyond, or a mean near 0 would shut it out
const FAILS: f64 = 3.0; // time-outs and resets in a row that rest a backend; another failure counts for all
const FORGIVE: f64 = 0.2; // of a failure that an answer takes back: one in six is borne ...
const FORGIVE_TIMES: f64 = 3.0; // ... or so many times the odds of all: overload is nobody's fault
const REST: f64 = 0.5; // s of the first rest, doubled with each further failure: outlasts a pause
const REST_RPCS: f64 = 12.0; // answers that a rest lasts at the least: with few a second 0.5 s pass unseen
const REST_MAX: f64 = 8.0; // s; a dead backend costs one pick in this time, a revived one waits no longer
const CREDIT_EARN: f64 = 0.1; // further picks earned by an answer: at most a tenth more load
const CREDIT_MAX: f64 = 3.0; // further picks kept by the proxy: a sudden death of backends uses no more
const SLACK: f64 = 0.003; // s kept free before a latency target or deadline: the way back and a late tick
const COLD_SAFETY: f64 = 0.7; // part of the cold budget used: the work of one RPC is known only roughly
const COLD_OWN: f64 = 0.8; // of it goes by traffic, the rest is split evenly: few answers, few picks
const HOLD: f64 = 0.15; // of the latency target spent waiting for an idle backend: leaves time for the work
const CROSS_PRICE: f64 = 0.033; // points; at it a fair part of draws stays at home, less by the square
const SLICE: f64 = 1.2; // times as far as all tenants have used theirs may one use its quota: room for chance
const LIST_ROOM: f64 = 0.7; // of its time that a pick from the list may be expected to take: backs reports up
const SAVES: f64 = 0.1; // part of its time that a light report must save a pick, or reports are not worth it
const TELLS: f64 = 0.75; // of others' time that picks where the report is light may take, or it tells nothing
const DOOR: f64 = 2.0; // times the part of picks that go well is let in: where half do, it stays as it is
const DOOR_OVER: f64 = 1.0; // s over which that is measured: backends fill in less
const DOOR_FEW: f64 = 1.0; // picks that went well counted beside: one late one shuts no door, some try again
const PROMPT: f64 = 0.4; // of its time that a pick may take to go well: later, all backends are filling up
const IN_ORDER: f64 = 0.85; // of RPCs are admitted in that order; the others take any place: none starves
const ADMIT_UP: f64 = 0.015; // of all RPCs, by which an answer in good time raises the part admitted ...
const ADMIT_CUT: f64 = 0.15; // ... of the part, by which any other end cuts it: one in eleven is borne
const ADMIT_BACK: f64 = 0.04; // of all RPCs a second that come back by themselves: trouble ends unseen
const TRY_EVERY: f64 = 2.0; // s without any pick after which one is admitted: else nothing would be learnt
const LIST_FEW: f64 = 4.0; // picks from the list that prove nothing yet, counted beside those measured as 0
const LATE: f64 = 1.5; // times its time that a timed-out pick is taken to have needed, at the least
const LOST: f64 = 4.0; // times the expected wait that one pick adds at the most: what is lost is no load
const STARTED: f64 = 0.75; // of a quota counted as used at the start: about what is usual
const ROOM: f64 = 0.6; // of the expected wait must fit: loads vary, and some draws meet a light one
const ROOM_LATE: f64 = 2.2; // ... or over twice, where late answers count: what is late runs on
const QUOTA_OVER: f64 = 3.0; // s over which use of a quota is counted: lets a short burst through ...
const QUOTA_RPCS: f64 = 20.0; // ... or so many RPCs, if longer: chance is a seventh, which SLICE covers
const PROBE_WORTH: f64 = 0.032; // points of service that an RPC's first probe is worth: it saves late draws
const PROBE_MISS: f64 = 0.6; // chance that a probe finds no idle backend: the next is worth so much less
const PROBES_MOST: f64 = 6.0; // probes an RPC where they are nearly free, for the backends' sake
const PROBES_LEAST: f64 = 0.05; // probes an RPC where they are dear: without reports there is no idle list
const PROBE_FEW: usize = 3; // probes sent at once: finds an idle one among busy ones more often than not
const PROBE_EVERY: f64 = 0.05; // s between single probes ahead of RPCs if one surely comes: a service time
const PROBE_GAP: f64 = 0.1; // service times between rounds for RPCs that wait: some backend may be done
const MEAN_OVER: f64 = 4.0; // s, time constant of means: tens of answers, shorter than most troubles
const FADE: f64 = 12.0; // service times in which an expected wait fades while no draw renews it: refusals end
const LIST_BACKOFF: f64 = 0.5; // s, most backoff after a failed list call, then twice that: told within 6 s
const LOOKS: usize = 32; // idle entries that one RPC, and waiting RPCs that one event, may pass over
const HOMES: usize = 3; // cells that an RPC with a key is kept to: each of its first probes goes to another
const TICK: f64 = 1e-6; // s that a clock of whole nanoseconds may be off

#[derive(Default)]
struct State {
    chance: Chance,
    bounds: Bounds,
    methods: Vec<Rc<Method>>,
    tenants: Vec<Tenant>,
    all_tenants: Tenant,
    may_probe: bool,
    probes_queue: bool, // what a probe takes tells what stands there; reports don't
    probes_each: f64,
    answers_enlist: bool, // answers are all that is heard of loads, or nearly
    by_utility: bool,     // no probe tells of loads, and some RPCs are worth more: these are admitted first
    told: Told,
    cold: Cold,
    stay_home: f64, // part of draws, times the zones, times the part of backends that are at home
    backends: Roster,
    idle: VecDeque<Rc<Backend>>,
    waiting: Waiting,
    turns: Turns,
    probes_out: usize,
    lists: u64,    // calls so far
    load: Mean,    // RPCs a backend holds by its reports
    listed: Mean,  // part of their time that picks from the list took
    service: Mean, // s from pick to answer
    room: f64,     // least of all methods' rooms
    answered: Decaying,
    lot: Option<f64>, // of the RPC that a backend is drawn for: as a backend's luck
    failing: Mean,    // part that failures of picks and probes make of these and the answers
    credit: f64,      // further picks
    admitted: Part,   // of RPCs, that may draw where no probe tells of loads
    picked_at: f64,
    probe_tokens: f64,
    probed_ahead: f64,
    probe_next: f64,
    ask_at: Option<f64>,
    asks_failed: i32,
    alarm: Option<f64>,
}

/// The decisions of one proxy.
pub struct Balancer(Rc<RefCell<State>>);

/// An RPC this proxy has taken.
pub struct RpcHandle {
    state: Rc<RefCell<State>>,
    call: Rc<Call>,
}

impl Balancer {
    /// A balancer that knows no backend yet.
    pub fn new(set: &Settings, seed: u64) -> Self {
        let mut new = State { chance: Chance::new(seed), probe_tokens: PROBE_FEW as f64, ..State::default() };
        new.adopt(set, &CarriedOver::default(), 0.0);
        Self(Rc::new(RefCell::new(new)))
    }

    /// Puts other settings in force. RPCs that were taken keep the terms of their method.
    pub fn apply_settings(&self, set: &Settings, kept: &CarriedOver, link: &mut dyn Platform) {
        let mut state = self.0.borrow_mut();
        state.adopt(set, kept, link.now());
        state.serve(link);
    }

    /// So many processes are this proxy, and keep to its part of a cold budget together.
    pub fn set_process_count(&self, processes: usize) {
        self.0.borrow_mut().bounds.processes = processes as f64;
    }

    /// A list call failed or the subscription dropped; the old list stays.
    pub fn list_failed(&self, link: &mut dyn Platform) {
        let mut state = self.0.borrow_mut();
        // Truncated exponential backoff, full jitter: a crowd finds each free moment of the service.
        let pause = LIST_BACKOFF * 2_f64.powi(state.asks_failed.min(1));
        state.asks_failed += 1;
        state.ask_at =
            state.bounds.ask_every.map(|most| link.now() + state.chance.between(0.0, pause.min(most)));
        state.arm(link);
    }

    /// A health check has ended.
    pub fn on_health_check(
        &self,
        backend: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        link: &mut dyn Platform,
    ) {
        let mut state = self.0.borrow_mut();
        let Some(backend) = state.backends.get(backend).cloned() else { return };
        let took = backend.probe_out.take().map(|sent| link.now() - sent);
        state.probes_out -= usize::from(took.is_some());
        match outcome {
            AttemptOutcome::Succeeded => state.report(&backend, report, took, link.now()),
            AttemptOutcome::NotSent => {} // guards against backends blamed for what this proxy could not send
            _ => {
                if let Some(took) = took.filter(|_| state.probes_queue) {
                    // At the least: a probe is turned away where too many wait, at once.
                    let load = (took / state.service_time()).max(state.load.get(0.0)) * LATE;
                    state.load.add(load, link.now(), MEAN_OVER);
                }
                if outcome != AttemptOutcome::Rejected {
                    state.failed(&backend, outcome, link.now());
                }
            }
        }
        state.file(&backend, link.now());
        state.serve(link);
    }

    /// The time asked for by `Platform::schedule_timer` has come.
    pub fn on_timer(&self, link: &mut dyn Platform) {
        let (mut state, now) = (self.0.borrow_mut(), link.now());
        // Guards against a flood of timers: only the latest one set asks for the next.
        state.alarm.take_if(|at| now + TICK >= *at);
        if state.ask_at.is_some_and(|at| now >= at) {
            link.watch_endpoints();
            state.ask_at = state.bounds.ask_every.map(|every| now + every * state.chance.between(0.8, 1.2));
        }
        if now + TICK >= state.probe_ahead(now) {
            state.probed_ahead = now;
            let most = usize::from(state.idle.is_empty() && !state.bounds.warm_keys);
            state.probe(most, &[], link);
        }
        state.serve(link);
    }

    /// The endpoint list has changed.
    pub fn update_endpoints(&self, kind: EndpointUpdateKind, entries: &[Endpoint], link: &mut dyn Platform) {
        let (mut state, now) = (self.0.borrow_mut(), link.now());
        let every = state.bounds.ask_every;
        match kind {
            // With jitter: proxies often start together.
            EndpointUpdateKind::StaleSnapshot => {
                state.ask_at = every.map(|_| now + state.chance.between(0.0, LIST_BACKOFF))
            }
            EndpointUpdateKind::Incremental | EndpointUpdateKind::Snapshot => {
                (state.asks_failed, state.ask_at) = (0, None)
            }
            EndpointUpdateKind::Administrative => {}
        }
        state.cold.begins(now);
        state.lists += 1;
        let number = state.lists;
        for entry in entries {
            let backend = state.backends.get_or_make(entry.backend);
            backend.told.set(number);
            match backend.stands_as(entry) {
                true => backend.describe(entry),
                false => state.relist(&backend, now, |b| b.describe(entry)),
            }
            if backend.started.replace(entry.started_at) != entry.started_at {
                backend.starts(now, state.cold.before(entry.started_at));
                state.file(&backend, now);
            }
        }
        let ready = state.backends.set(Set::Ready).iter();
        let left_out = ready.filter(|b| kind.is_snapshot() && b.told.get() != number);
        for backend in left_out.cloned().collect::<Vec<_>>() {
            state.relist(&backend, now, |b| b.ready.set(false));
        }
        // Guards against memory of all that ever were; a cold budget is remembered for as long as it binds.
        let bound = |b: &Backend| b.out.get() > 0 || b.cold_sent.within(now, state.cold.window) > 0.0;
        let gone = state.backends.set(Set::Unready).iter().filter(|b| !bound(b)).cloned().collect::<Vec<_>>();
        for backend in gone {
            state.probes_out -= usize::from(backend.probe_out.get().is_some());
            state.backends.forget(&backend);
        }
        state.serve(link);
    }

    /// Mechanism 5 starts here: an RPC waits in the order of share and utility.
    pub fn accept(&self, arrival: &IncomingRpc, link: &mut dyn Platform) -> RpcHandle {
        let (mut state, now) = (self.0.borrow_mut(), link.now());
        let method = state.methods[arrival.method].clone();
        let tenant = arrival.tenant.map(|t| &state.tenants[t]);
        method.came(now);
        let share = tenant.map_or(Share::Within, |t| state.share(t, arrival.client_retry, now));
        // Cells that know its key, at every proxy the same. Guards against keys that go round the fleet.
        let known = arrival.key.filter(|_| state.bounds.warm_keys);
        let near = known.map_or(Vec::new(), |key| state.backends.cells_of(key, HOMES));
        let doors = tenant.iter().map(|t| &t.door).chain([&method.door]).cloned().collect();
        let call = Rc::new(Call::new(arrival, method, share, near, doors, now));
        let each = if state.hears_answers(now) { PROBES_LEAST } else { state.probes_each };
        state.probe_tokens = (state.probe_tokens + each).min(each * 20.0 + 3.0);
        let key = arrival.key.filter(|_| call.method.set.ordered_by_key);
        key.into_iter().for_each(|key| state.turns.enter(&call, key));
        match state.lets_in(&call, now) {
            true => state.hold(&call, now),
            false => state.give_up(&call, link),
        }
        state.serve(link);
        RpcHandle { state: self.0.clone(), call }
    }
}

impl RpcHandle {
    /// It has its final answer and no attempt under way.
    pub fn is_finished(&self) -> bool {
        self.call.over.get() && !self.call.is_out()
    }

    /// The answer has started; from here on it is the client's, without time-out or deadline.
    pub fn on_response_started(&self, n: usize, pace: PacedBy, link: &mut dyn Platform) {
        self.call.begun(n, pace, link.now());
    }

    /// The last byte of a long RPC has gone out: its backend begins, and its time counts from here.
    pub fn on_request_sent(&self, n: usize, link: &mut dyn Platform) {
        self.call.whole(n, link.now());
    }

    /// It was too long to be kept and a part has gone out: no further pick could have all of it.
    pub fn forbid_retry(&self) {
        self.call.spent.set(true);
    }

    /// The client has closed its connection or cancelled.
    pub fn on_client_disconnected(&self, link: &mut dyn Platform) {
        self.call.over.set(true);
        let mut state = self.state.borrow_mut();
        state.waiting.remove(&self.call);
        state.cancel_rest(&self.call, link);
        state.settle(&self.call);
        state.serve(link);
    }

    #[expect(clippy::too_many_lines)]
    /// An attempt has ended; `over` if the client has been answered with it.
    pub fn on_attempt_ended(
        &self,
        n: usize,
        how: AttemptOutcome,
        over: bool,
        report: Option<LoadReport>,
        link: &mut dyn Platform,
    ) {
        let (mut state, now) = (self.state.borrow_mut(), link.now());
        let Some(Ended { backend, took, ahead, room, told }) = self.call.end(n, how, now) else { return };
        backend.count(-1, now, MEAN_OVER);
        let late = if how == AttemptOutcome::Succeeded { 1.0 } else { LATE };
        let full = how == AttemptOutcome::Rejected && n + 1 >= state.bounds.most_picks;
        let measured = matches!(how, AttemptOutcome::Succeeded | AttemptOutcome::TimedOut) || full;
        if let (Some(light), true) = (told, measured || how == AttemptOutcome::Rejected) {
            let targets = took * late / self.call.method.set.latency_objective;
            state.told.ended(light, targets, now);
        }
        if let (Some(ahead), true) = (ahead, measured) {
            // The load may have grown meanwhile: guards against a first rush counted as slow backends.
            let stood = ahead.max(state.load.fading(now, MEAN_OVER)) + 1.0;
            let most = self.call.method.each.get(f64::INFINITY) * LOST;
            self.call.method.each.add((took * late / stood).min(most), now, state.fade());
        } else if measured {
            state.listed.add(
                if how == AttemptOutcome::Succeeded { took / room } else { LATE },
                now,
                state.fade(),
            );
        }
        state.admit(&self.call, how, took, now);
        if matches!(how, AttemptOutcome::Succeeded | AttemptOutcome::TimedOut) {
            backend.pace.add(took * late, now, MEAN_OVER);
            // Late answers that count, and picks where reports tell of loads, go well to their end.
            let whole = self.call.method.set.late_weight_fraction > 0.0 || !state.hears_answers(now);
            let well = if whole || took <= room * PROMPT { DOOR } else { 1.0 };
            self.call.went(if how == AttemptOutcome::Succeeded { well } else { 0.0 }, now, DOOR_OVER);
        }
        if matches!(how, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            let until = now + state.bounds.key_quiet;
            state.turns.rest(&self.call, until);
        }
        backend.ends(how, now);
        match how {
            AttemptOutcome::Succeeded => {
                state.failing.add(0.0, now, MEAN_OVER);
                let part = state.failing.get(0.0);
                // Guards against a backend that loses some answers, yet seldom three in a row.
                let forgiven = FORGIVE.max(FORGIVE_TIMES * part / (1.0 - part));
                backend.fails.set((backend.fails.get().min(FAILS) - forgiven).max(0.0));
                state.credit = (state.credit + CREDIT_EARN).min(CREDIT_MAX);
                state.service.add(took, now, MEAN_OVER);
                state.answered.add(1.0, now, MEAN_OVER);
                state.cold.answer(&backend, state.backends.set(Set::Ready).len(), now, MEAN_OVER);
                state.report(&backend, report, None, now);
                // Guards against blind draws of proxies that each see too little to pay for probes.
                if report.is_none() && state.hears_answers(now) {
                    state.enlist(&backend, now);
                }
            }
            AttemptOutcome::Rejected => {
                // The next place there comes free after a service time or less.
                let until = now + state.service_time() * state.chance.between(0.0, 1.0);
                backend.full_until.set(until);
                state.backends.at(until, &backend);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            _ => state.failed(&backend, how, now),
        }
        state.file(&backend, now);
        if over || how == AttemptOutcome::Succeeded || self.call.streaming.get() {
            self.call.over.set(true);
            state.cancel_rest(&self.call, link);
        } else if !self.call.over.get() {
            state.again(&self.call, link);
        }
        state.settle(&self.call);
        state.serve(link);
    }
}

impl Call {
    /// Where the gate lets it go at all: what may have run is tied to the group that drops its repeats.
    fn open_to(&self) -> Set {
        let picks = self.picks.borrow();
        match (self.method.set.idempotency, picks.iter().find(|p| p.may_have_run())) {
            (Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. }, Some(p)) => {
                Set::Zone(p.backend.zone.get())
            }
            (Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. }, Some(p)) => {
                Set::Cell(p.backend.cell.get())
            }
            _ => Set::Ready,
        }
    }

    /// A further pick needs credit, unless none reached anybody (a lost zone), and another backend.
    fn earned(&self, to: &Rc<Backend>, credit: f64) -> bool {
        let other = self.picks.borrow().iter().all(|p| !Rc::ptr_eq(&p.backend, to));
        other && (credit >= 1.0 || !self.reached_any())
    }
}

impl Backend {
    /// After a rest one pick at a time tries it, until one is answered: guards against a rush to the dead.
    fn healthy(&self, now: f64) -> bool {
        let rested = now >= self.rest_until.get() && self.out.get() == 0;
        (self.fails.get() < FAILS || rested) && now >= self.full_until.get()
    }

    fn is_well(&self, now: f64) -> bool {
        self.healthy(now) && self.out.get() as f64 <= self.mean_out.get(0.0) * SKIP_TIMES + SKIP_PLUS
    }
}

impl State {
    /// Derives what follows from settings; what is measured, believed and under way goes on.
    fn adopt(&mut self, set: &Settings, kept: &CarriedOver, now: f64) {
        let best = set.methods.iter().map(|m| m.priority_weight).fold(0.0, f64::max);
        let method = |(n, m): (usize, &MethodSettings)| {
            let each = if m.late_weight_fraction > 0.0 { ROOM_LATE } else { ROOM };
            let room = each * (best / m.priority_weight).max(1.0).sqrt();
            Rc::new(Method::new(m, room, kept.methods.get(n).and_then(|was| self.methods.get((*was)?))))
        };
        self.methods = set.methods.iter().enumerate().map(method).collect();
        let tenant = |quota: f64, was: Tenant| {
            // Guards against a small tenant that seems over its share as two of its RPCs came together.
            let each = set.proxy_count as f64 / quota;
            let (slice, over) = (QUOTA_RPCS.max(QUOTA_OVER / each), QUOTA_OVER.max(QUOTA_RPCS * each));
            // One that starts has no unused quota behind it: guards against a rush in its first second.
            was.sliced(slice, over, STARTED, now)
        };
        let before = Tenant::kept(take(&mut self.tenants), &kept.tenants, set.tenants.len());
        self.tenants = set.tenants.iter().zip(before).map(|(t, was)| tenant(t.quota, was)).collect();
        self.all_tenants = tenant(set.tenants.iter().map(|t| t.quota).sum(), take(&mut self.all_tenants));
        let worth_probing = (PROBE_WORTH / set.health_check_cost.max(TICK)).log(1.0 / PROBE_MISS);
        // Where answers bring all that a probe would tell, it tells nothing; else its report or its time.
        let in_answers = set.load_report_source == LoadReportSource::Responses && !set.reports_include_queue;
        self.may_probe =
            set.can_health_check && (in_answers || set.load_report_source == LoadReportSource::HealthChecks);
        self.probes_queue = self.may_probe && !set.reports_include_queue;
        self.probes_each = worth_probing.clamp(PROBES_LEAST, PROBES_MOST);
        self.answers_enlist = !(self.may_probe && worth_probing >= 0.0);
        self.by_utility = !self.may_probe && set.methods.iter().any(|m| m.priority_weight < best);
        self.bounds = Bounds::of(set, self.bounds.processes.max(1.0));
        self.room = self.methods.iter().map(|m| m.room).fold(f64::INFINITY, f64::min);
        self.cold.adopt(set, COLD_SAFETY);
        self.stay_home = set.zone_count as f64 * (set.cross_zone_cost / CROSS_PRICE).min(1.0).powi(2);
    }

    // The four rules.

    /// The gate for every pick: rules 1 to 4, and nothing about whether the pick is wise.
    fn may_pick(&self, call: &Call, to: &Backend, now: f64) -> bool {
        let picks = call.picks.borrow();
        // 1: one final answer, in time, and nothing after it.
        let ends = call.over.get() || call.spent.get() || now >= call.deadline;
        let open = !ends && picks.len() < self.bounds.most_picks;
        // 2: no effect twice. A pick still out may have run.
        let mut ran = picks.iter().filter(|p| p.may_have_run());
        let harmless = match call.method.set.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::Deduplicated { scope: group, window } => ran.all(|p| {
                let same = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => p.backend.zone == to.zone,
                    DeduplicationScope::Cell => p.backend.cell == to.cell,
                };
                same && now + SLACK < p.sent + window
            }),
        };
        // 3: `ready` falls the moment a drain or removal is told. 4: the cold budget.
        let alone = !(self.bounds.one_out && call.is_out());
        // 5: those with its key that were taken before it are over, and what they did is done.
        let open = open && call.has_turn.get();
        open && alone && harmless && to.ready.get() && self.cold_room(to, now)
    }

    /// The one judge of whether a client may be told that trying again is harmless.
    fn may_push_back(&self, call: &Call) -> bool {
        match call.method.set.idempotency {
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => {
                true
            }
            _ => !call.picks.borrow().iter().any(Pick::may_have_run),
        }
    }

    // Mechanism 4: cold budget.

    /// Whether this proxy's part of what all may send a cold backend has room; the parts sum to that or less.
    /// Guards against successors that draw all traffic at once.
    fn cold_room(&self, to: &Backend, now: f64) -> bool {
        let Some(work) = to.started.get().and_then(|at| self.cold.allowed(now - at)) else { return true };
        let (each, proxies) = (self.service_time(), self.bounds.balancers * self.bounds.processes);
        let (own, window) = (self.cold.answered(now, MEAN_OVER), self.cold.window);
        let part = COLD_OWN * own * to.size.get() + (1.0 - COLD_OWN) / (each * proxies); // RPCs a second
        let (sure, most) = (surely(work, each) * part, (work * part).max(1.0));
        // The last by chance: of draws and probes, which may lead to any, no more than is answered. Guards
        // against hundreds of proxies that each send their one.
        let goes = own * self.backends.set(Set::Ready).len() as f64 / self.cold.offered(now, MEAN_OVER);
        let luck = self.lot.unwrap_or(to.luck.get() * self.probes_each.max(1.0));
        let lucky = luck < (work / COLD_SAFETY / window * goes).max(sure);
        let (sent, out) = (to.cold_sent.within(now, window) + 1.0, to.out.get() as f64 + 1.0);
        // Guards against few proxies that leave it idle until warm, and one always tried in vain.
        let one = self.cold.one_each(work, each, proxies) && out <= 1.0 && to.finishes(now, window);
        one || out <= self.cold.at_once(part * each).max(1.0) && (sent <= sure || sent <= most && lucky)
    }

    // The design: Join-Idle-Queue.

    /// A report at or under the threshold adds its backend to the idle list, once.
    fn report(&mut self, backend: &Rc<Backend>, report: Option<LoadReport>, took: Option<f64>, now: f64) {
        // Guards against utilisations, which say nothing of a queue, read as RPCs that stand there.
        let (probed, queued) = (took.is_some(), took.map(|took| took / self.service_time()));
        let held = if self.probes_queue { queued } else { report.and_then(|r| r.load()) };
        let Some(held) = held else { return };
        let light = held <= self.load.get(0.0) * THRESHOLD * backend.size.get();
        let held = held.max(backend.at_work() as f64) / backend.size.get();
        self.load.add(held, now, MEAN_OVER);
        backend.luck.set(if probed { self.chance.between(0.0, 1.0) } else { 1.0 }); // an answer had its pick
        self.cold.offer(f64::from(probed) / self.probes_each.max(1.0), now, MEAN_OVER);
        if !self.probes_queue {
            self.told.reported(light, now);
            backend.light.set(Some((light, now)));
        }
        // Reports in answers keep out what is loaded if light ones quicken picks. Guards against untrue ones.
        let tells = self.told.light_takes(now) <= TELLS;
        let believed = held <= self.load.get(0.0) * THRESHOLD && (probed || tells);
        if believed || self.probes_queue || !probed && !tells && self.hears_answers(now) {
            self.enlist(backend, now);
        }
    }

    /// Answers fill the list: reports are too dear, or hardly quicken a pick, as where all of them are light.
    fn hears_answers(&self, now: f64) -> bool {
        let (part, takes) = (self.told.light_part(), self.told.light_takes(now));
        let saves = takes <= (part * takes + 1.0 - part) * (1.0 - SAVES);
        self.answers_enlist || !self.probes_queue && !saves
    }

    /// Once, behind those that answered no slower. Guards against proxies that all go round all they know.
    fn enlist(&mut self, backend: &Rc<Backend>, now: f64) {
        // Guards against lists that are always empty: without probes a proxy has few reports.
        let answers = self.hears_answers(now);
        let age = if answers { ENTRY_AGE_MAX } else { self.entry_age() };
        if backend.ready.get() && backend.healthy(now) && backend.enter(now + age) {
            let quick = |b: &Rc<Backend>| !answers || b.pace.get(0.0) <= backend.pace.get(0.0);
            let place = self.idle.partition_point(quick);
            self.idle.insert(place, backend.clone());
        }
    }

    fn pick_idle(&mut self, call: &Rc<Call>, link: &mut dyn Platform) -> bool {
        let now = link.now();
        // Guards against reports that stand still: entries must fit by what those before them took.
        let doubted = self.listed.weighed(now, self.fade(), LIST_FEW, 0.0) * call.method.room > LIST_ROOM;
        let mut place = 0;
        while place < self.idle.len().min(LOOKS) {
            let backend = self.idle[place].clone();
            let stands = backend.is_listed(now);
            let fits = call.near.is_empty() || call.near.contains(&Set::Cell(backend.cell.get()));
            let taken = stands && fits && !doubted && self.may_pick(call, &backend, now);
            if stands && !(taken && call.earned(&backend, self.credit)) {
                place += if doubted { LOOKS } else { 1 };
                continue;
            }
            self.idle.remove(place);
            backend.listed_until.set(None);
            if stands {
                self.send(call, backend, None, link);
                return true;
            }
        }
        false
    }

    /// Empty list: a random ready backend, skipping any far above its own mean in flight.
    fn pick_drawn(&mut self, call: &Rc<Call>, link: &mut dyn Platform) -> bool {
        let now = link.now();
        let open = if self.by_utility { self.admits(call, now) } else { self.in_time(call, now) };
        if !open || call.share == Share::Beyond {
            return false;
        }
        while let Some(rested) = self.backends.next_due(now) {
            self.file(&rested, now);
        }
        let ahead = Some(self.load.fading(now, MEAN_OVER));
        // One lot for all cold ones. Guards against draws that go on until a lucky one is found.
        self.lot = Some(self.cold.draw(call.id, now, MEAN_OVER));
        let drawn = self.draw(call, now);
        self.lot = None;
        drawn.map(|backend| self.send(call, backend, ahead, link)).is_some()
    }

    fn draw(&self, call: &Rc<Call>, now: f64) -> Option<Rc<Backend>> {
        let may = |b: &Rc<Backend>| self.may_pick(call, b, now) && call.earned(b, self.credit);
        let open = call.open_to();
        let near: &[Set] = if open == Set::Ready { &call.near } else { &[] };
        let both = |b: &Rc<Backend>| may(b) && b.is_well(now);
        if let Some(backend) = near.iter().find_map(|cell| self.backends.any_of(*cell, &self.chance, both)) {
            return Some(backend);
        }
        let ready = self.backends.set(open);
        // A fleet-wide slowdown must not empty the ready set: with few left, health no longer counts.
        let well = self.backends.set(Set::Well).len() * 3 >= ready.len() && open == Set::Ready;
        let (all, home) = if well { (Set::Well, Set::WellHome) } else { (open, Set::Zone(self.bounds.zone)) };
        let part = self.backends.set(home).len() as f64 / self.backends.set(all).len() as f64;
        let stays = self.chance.between(0.0, 1.0) < self.stay_home * part;
        let any = |set| self.backends.any_of(set, &self.chance, may);
        Some(home).filter(|_| stays).and_then(any).or_else(|| any(all)).or_else(|| any(open))
    }

    /// Enters a backend into the sets that its facts and its health put it in.
    fn file(&mut self, backend: &Rc<Backend>, now: f64) {
        let ready = backend.ready.get();
        let (zone, cell) = (backend.zone.get(), backend.cell.get());
        let well = ready && backend.is_well(now);
        self.backends.put(backend, if ready { Set::Ready } else { Set::Unready }, true);
        self.backends.put(backend, Set::Zone(zone), ready);
        self.backends.put(backend, Set::Cell(cell), ready);
        self.backends.put(backend, Set::Well, well);
        self.backends.put(backend, Set::WellHome, well && zone == self.bounds.zone);
    }

    fn relist(&mut self, backend: &Rc<Backend>, now: f64, change: impl FnOnce(&Backend)) {
        self.backends.take_out(backend);
        change(backend);
        self.file(backend, now);
    }

    // Mechanism 1: health.

    /// Guards against a quick failure looking idle, and against drawing a dead backend again and again.
    fn failed(&mut self, backend: &Rc<Backend>, how: AttemptOutcome, now: f64) {
        // Time-outs and resets may come by chance, and would rest all in turn; all else meets whoever comes.
        let least = if matches!(how, AttemptOutcome::TimedOut | AttemptOutcome::Reset) { 1.0 } else { FAILS };
        let fails = (backend.fails.get() + 1.0).max(least);
        self.failing.add(1.0, now, MEAN_OVER);
        backend.fails.set(fails);
        backend.listed_until.set(backend.listed_until.get().map(|_| f64::MIN)); // its entry is too old now
        if fails >= FAILS && now >= backend.rest_until.get() {
            let some = REST_RPCS * MEAN_OVER / self.answered.read(now, MEAN_OVER);
            let rest = (REST * 2_f64.powf((fails - FAILS).min(10.0))).max(some).min(REST_MAX);
            backend.rest_until.set(now + rest * self.chance.between(0.8, 1.2));
            self.backends.at(backend.rest_until.get(), backend);
        }
    }

    // Mechanisms 2 and 3: credit, time-outs and further picks.

    fn send(&mut self, call: &Rc<Call>, to: Rc<Backend>, ahead: Option<f64>, link: &mut dyn Platform) {
        let now = link.now();
        self.picked_at = now;
        self.credit -= if call.reached_any() { 1.0 } else { 0.0 };
        to.cold_sent.add(now, self.cold.window);
        to.count(1, now, MEAN_OVER);
        self.file(&to, now);
        // Work whose answer would come too late only keeps others waiting.
        let room = (call.useful_until - now).max(SLACK);
        link.start_attempt(call.id, to.id, (room - SLACK).max(SLACK));
        let told = to.light.get().filter(|(_, at)| now < at + ENTRY_AGE_MAX).map(|(light, _)| light);
        call.picks.borrow_mut().push(Pick::new(to, now, room, ahead, told, call.long));
    }

    /// After a failed pick: another one where rules, time and credit allow it, else the final answer.
    fn again(&mut self, call: &Rc<Call>, link: &mut dyn Platform) {
        let time = call.useful_until - link.now() > self.service_time();
        if !(call.is_out() || time && (self.pick_idle(call, link) || self.pick_drawn(call, link))) {
            self.give_up(call, link);
        }
    }

    fn give_up(&mut self, call: &Rc<Call>, link: &mut dyn Platform) {
        self.cancel_rest(call, link);
        call.over.set(true);
        match self.may_push_back(call) {
            true => link.reject(call.id, self.come_back(call)),
            false => link.fail(call.id),
        }
        self.settle(call);
    }

    /// The longest time that clients obey; the line of an RPC's key may have gone sooner.
    fn come_back(&self, call: &Call) -> f64 {
        let line = self.turns.length(call) as f64 * self.service_time();
        self.bounds.come_back.min(if call.turn.get().is_some() { line } else { f64::INFINITY })
    }

    /// What is over and has nothing out leaves the line of its key.
    fn settle(&mut self, call: &Call) {
        if call.over.get() && !call.is_out() {
            self.turns.leave(call);
        }
    }

    fn cancel_rest(&self, call: &Call, link: &mut dyn Platform) {
        let may = self.bounds.may_cancel && !call.streaming.get();
        call.out().into_iter().filter(|_| may).for_each(|n| link.cancel_attempt(call.id, n));
    }

    // Mechanism 5: admission and fairness.

    /// A slice of the quota is an even split or, where this proxy carries more, a part of what it carries. A
    /// tenant may use what others leave, and so may clients' repeats, which are not to crowd out others.
    fn share(&self, tenant: &Tenant, repeat: bool, now: f64) -> Share {
        let all = self.all_tenants.used(now);
        let share = match tenant.used(now) < (all * SLICE).max(1.0) {
            true if !repeat => Share::Within,
            _ if all < 1.0 => Share::Borrowed,
            _ => return Share::Beyond,
        };
        tenant.count(1.0, now);
        self.all_tenants.count(1.0, now);
        share
    }

    /// By how its method's and its tenant's last picks went, refusals among them. Guards against backends
    /// filled by all until nothing is in time, and one method or tenant that drags and takes others' places.
    fn lets_in(&mut self, call: &Call, now: f64) -> bool {
        let least = call.least_door(now, DOOR_OVER, DOOR_FEW, DOOR);
        let open = self.by_utility || least >= 1.0 || self.chance.between(0.0, 1.0) < least;
        (!open).then(|| call.went(0.0, now, DOOR_OVER));
        open
    }

    fn service_time(&self) -> f64 {
        self.service.get(self.bounds.shortest / 2.0).max(TICK)
    }

    fn entry_age(&self) -> f64 {
        (self.service_time() * ENTRY_AGE).min(ENTRY_AGE_MAX)
    }

    /// Time over which expected waits are measured and fade: waits change as fast as backends fill and drain.
    fn fade(&self) -> f64 {
        FADE * self.service_time()
    }

    /// Additive increase, multiplicative decrease, by whether a pick was answered in good time.
    fn admit(&mut self, call: &Call, how: AttemptOutcome, took: f64, now: f64) {
        let (part, prompt) = (self.admitted.at(now, ADMIT_BACK), call.method.set.latency_objective * PROMPT);
        let next = match how {
            AttemptOutcome::Succeeded if took <= prompt => part + ADMIT_UP,
            AttemptOutcome::Succeeded | AttemptOutcome::TimedOut | AttemptOutcome::Rejected => {
                part * (1.0 - ADMIT_CUT)
            }
            _ => return,
        };
        self.admitted = Part::new(next, now);
    }

    /// Whether an RPC is of the part admitted, by utility. Guards against backends that all fill until little
    /// is in time, and against a shortage that falls on the dearest as on the cheapest.
    fn admits(&self, call: &Call, now: f64) -> bool {
        let (part, place) = (self.admitted.at(now, ADMIT_BACK), of_pair(call.id, 0));
        let in_order = part < 1.0 && of_pair(call.id, 1) < IN_ORDER;
        let place = if in_order { call.method.place(&self.methods, place, now) } else { place };
        place < part || now > self.picked_at + TRY_EVERY
    }

    /// Whether a draw would answer in time by what is known. Guards against all waiting past use behind all.
    fn in_time(&self, call: &Call, now: f64) -> bool {
        let (load, fade) = (self.load.fading(now, MEAN_OVER) + 1.0, self.fade());
        // Guards against long targets that fill the backends until short ones are shut out.
        let room = |m: &Rc<Method>| m.set.latency_objective / m.each.fading(now, fade) / self.room;
        let tightest = self.methods.iter().map(room).fold(f64::INFINITY, f64::min);
        let wait = load * call.method.each.fading(now, fade) * call.method.room;
        load <= tightest && wait <= call.useful_until - now
    }

    /// Lets an RPC wait: for an idle backend, or before that for its turn while it could still be in time.
    fn hold(&mut self, call: &Rc<Call>, now: f64) {
        let hold = if self.may_probe && call.share < Share::Beyond { HOLD } else { 0.0 };
        let until = match call.has_turn.get() {
            true => now + hold * call.method.set.latency_objective,
            // Guards against a line that keeps all until none can be served.
            false if now + self.turns.length(call) as f64 * self.service_time() > call.useful_until => now,
            false => call.useful_until - self.service_time(),
        };
        self.waiting.remove(call);
        call.hold_until.set(until.min(call.deadline - SLACK));
        self.waiting.insert(call.clone());
    }

    /// Serves those who wait, first in rank first, from the list; draws for those whose wait is over.
    fn serve(&mut self, link: &mut dyn Platform) {
        let now = link.now();
        while let Some(call) = self.turns.next_up(now) {
            self.hold(&call, now);
        }
        let (mut rank, mut passed) = (None, 0);
        while let Some(call) = self.waiting.after(rank).filter(|_| passed < LOOKS && !self.idle.is_empty()) {
            rank = call.rank.get();
            if self.pick_idle(&call, link) { self.waiting.remove(&call) } else { passed += 1 }
        }
        if let Some(first) = self.waiting.after(None).filter(|_| now >= self.probe_next) {
            self.probe_next = now + PROBE_GAP * self.service_time();
            self.probe(PROBE_FEW, &first.near, link);
        }
        let probing = self.probe_tokens >= 1.0 || self.probes_out > 0 || self.backends.is_empty();
        let late = |s: &Self| s.waiting.first_end().filter(|(end, _)| *end <= now).map(|(_, call)| call);
        let unprobed = |s: &Self| if probing { None } else { s.waiting.after(None) };
        while let Some(call) = late(self).or_else(|| unprobed(self)) {
            self.waiting.remove(&call);
            if !self.pick_drawn(&call, link) {
                self.give_up(&call, link);
            }
        }
        self.arm(link);
    }

    // Mechanism 6: list following and probing.

    /// Probes a few random backends, near ones if told: each interval, and when an RPC finds the list empty.
    fn probe(&mut self, most: usize, near: &[Set], link: &mut dyn Platform) {
        let now = link.now();
        let unseen = |b: &Backend| b.probe_out.get().is_none() && !b.is_listed(now);
        for n in 0..most {
            let set = near.get(n * near.len() / most).copied().unwrap_or(Set::Ready);
            if !self.may_probe || self.probe_tokens < 1.0 {
                return;
            }
            let fits = |b: &Rc<Backend>| b.healthy(now) && unseen(b);
            let Some(backend) = self.backends.any_of(set, &self.chance, fits) else { continue };
            backend.probe_out.set(Some(now));
            self.probes_out += 1;
            self.probe_tokens -= 1.0;
            link.health_check(backend.id);
        }
    }

    /// When to probe ahead of RPCs: seldom if none may come before the entry ages out, lest many pay for few.
    fn probe_ahead(&self, now: f64) -> f64 {
        let coming = self.answered.read(now, MEAN_OVER) / MEAN_OVER * self.entry_age();
        self.probed_ahead + PROBE_EVERY / (1.0 - (-coming).exp())
    }

    fn arm(&mut self, link: &mut dyn Platform) {
        let now = link.now();
        let soon = if self.waiting.is_empty() { self.probe_ahead(now) } else { self.probe_next };
        let rounds = self.may_probe.then_some(soon.max(now));
        let end = self.waiting.first_end().map(|(end, _)| end);
        let due = [end, rounds, self.ask_at, self.turns.due()].into_iter().flatten();
        let next = due.fold(f64::INFINITY, f64::min);
        if next < self.alarm.unwrap_or(f64::INFINITY) {
            self.alarm = Some(next);
            link.schedule_timer((next - now).max(0.0));
        }
    }
}
