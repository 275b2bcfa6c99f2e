//! What the decision module keeps of backends, methods, tenants and RPCs: data, no decisions.
use crate::chance::of_pair;
use crate::interface::{AttemptOutcome, Endpoint, IncomingRpc, MethodSettings, PacedBy, Readiness, Settings};
use crate::measure::{Decaying, Mean};
use crate::roster::{NOWHERE, SLOTS, Set};
use crate::turns::Turn;
use crate::waiting::Rank;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::rc::Rc;

pub(crate) struct Backend {
    pub id: u32,
    pub size: Cell<f64>, // beside other backends'
    pub cell: Cell<u64>,
    pub zone: Cell<usize>,
    pub started: Cell<Option<f64>>,
    pub ready: Cell<bool>,
    pub out: Cell<usize>,
    pub flows: Cell<usize>, // of these, on their way from or to a client: no work for the backend now
    pub mean_out: Mean,
    pub fails: Cell<f64>, // in a row, less what answers took back
    pub rest_until: Cell<f64>,
    pub full_until: Cell<f64>, // as far as can be told from what it turned away
    pub listed_until: Cell<Option<f64>>, // while it stands in the idle list
    pub pace: Mean,            // s to an answer of it
    pub light: Cell<Option<(bool, f64)>>, // whether its last report was light, and when that came
    pub probe_out: Cell<Option<f64>>, // when it was sent
    pub cold_sent: Sent,
    pub unfinished: Cell<f64>, // when it last let down a pick that it may have work with
    pub luck: Cell<f64>,       // below 1, drawn anew with each report: a cold pick's chance must exceed it
    pub places: [Cell<usize>; SLOTS], // in the sets of the roster
    pub told: Cell<u64>,       // the list call that named it last
}

impl Default for Backend {
    fn default() -> Self {
        let (id, size, cell, zone, started, ready, out, flows, mean_out) = Default::default();
        let (fails, rest_until, full_until, listed_until, probe_out, cold_sent, luck, told) =
            Default::default();
        let (pace, light, unfinished) = (Mean::default(), Cell::default(), Cell::new(f64::MIN));
        let places = [const { Cell::new(NOWHERE) }; SLOTS];
        Self {
            id,
            size,
            cell,
            zone,
            started,
            ready,
            out,
            flows,
            mean_out,
            fails,
            rest_until,
            full_until,
            listed_until,
            pace,
            light,
            probe_out,
            cold_sent,
            unfinished,
            luck,
            places,
            told,
        }
    }
}

impl Backend {
    /// Takes over what the list says, but for the start.
    pub(crate) fn describe(&self, entry: &Endpoint) {
        self.ready.set(entry.readiness == Readiness::Ready);
        self.cell.set(entry.cell);
        self.zone.set(entry.zone);
        self.size.set(entry.relative_size);
    }

    /// Whether that would leave it in the sets it stands in.
    pub(crate) fn stands_as(&self, entry: &Endpoint) -> bool {
        let facts = (entry.readiness == Readiness::Ready, entry.cell, entry.zone);
        self.places[0].get() != NOWHERE && (self.ready.get(), self.cell.get(), self.zone.get()) == facts
    }

    /// It has started anew: what failed before is over, and so is the load that an entry tells of. If that was before
    /// this process, another may have sent it all that a window can hold.
    pub(crate) fn starts(&self, now: f64, before: bool) {
        if before {
            self.cold_sent.1.set(Some(now));
            self.unfinished.set(now);
        }
        self.luck.set(1.0);
        self.listed_until.set(self.listed_until.get().map(|_| f64::MIN));
        self.fails.set(0.0);
        self.rest_until.set(0.0);
        self.full_until.set(0.0);
    }

    /// A pick has ended, and it may still have work with it.
    pub(crate) fn ends(&self, how: AttemptOutcome, now: f64) {
        let done = how == AttemptOutcome::Succeeded || how.never_reached_backend();
        self.unfinished.set(if done { self.unfinished.get() } else { now });
    }

    /// Whether it has let down no pick in this time.
    pub(crate) fn finishes(&self, now: f64, lately: f64) -> bool {
        now >= self.unfinished.get() + lately
    }

    /// Picks out there that are work for it.
    pub(crate) fn at_work(&self) -> usize {
        self.out.get().saturating_sub(self.flows.get())
    }

    /// So many more picks are out there.
    pub(crate) fn count(&self, change: isize, now: f64, over: f64) {
        self.out.set(self.out.get().saturating_add_signed(change));
        self.mean_out.add(self.out.get() as f64, now, over);
    }

    /// Its entry in the idle list holds until then at the least; true if it had none.
    pub(crate) fn enter(&self, until: f64) -> bool {
        let before = self.listed_until.get();
        self.listed_until.set(Some(before.map_or(until, |earlier| earlier.max(until))));
        before.is_none()
    }

    /// Whether it stands in the idle list with an entry that holds, and still takes RPCs.
    pub(crate) fn is_listed(&self, now: f64) -> bool {
        self.ready.get() && self.listed_until.get().is_some_and(|until| until >= now)
    }
}

// What reports are worth is measured over so many s: a few picks a second must tell ...
const TOLD_OVER: f64 = 12.0;
// ... and so many picks are taken to have been twice as quick where the report was light before any are measured.
const TOLD_FEW: f64 = 5.0;

/// What load reports are worth: how many are light, and how long picks took where the last one was heavy, or light.
pub(crate) struct Told {
    light: Mean,
    took: [Mean; 2], // latency targets
}

impl Default for Told {
    fn default() -> Self {
        let (light, took) = <(Mean, _)>::default();
        (0..TOLD_FEW as usize).for_each(|_| light.add(0.5, 0.0, TOLD_OVER));
        Self { light, took }
    }
}

impl Told {
    pub(crate) fn reported(&self, light: bool, now: f64) {
        self.light.add(f64::from(light), now, TOLD_OVER);
    }

    pub(crate) fn ended(&self, light: bool, targets: f64, now: f64) {
        self.took[usize::from(light)].add(targets, now, TOLD_OVER);
    }

    /// Part of the reports that are light.
    pub(crate) fn light_part(&self) -> f64 {
        self.light.get(0.5)
    }

    /// Time of picks where the report is light, as a part of that of others.
    pub(crate) fn light_takes(&self, now: f64) -> f64 {
        let [heavy, light] = &self.took;
        let (quick, slow) = (light.get(heavy.get(2.0) / 2.0), heavy.get(light.get(1.0) * 2.0));
        let mean = |took: &Mean, usual| took.weighed(now, TOLD_OVER, TOLD_FEW, usual);
        mean(light, slow / 2.0) / mean(heavy, quick * 2.0).max(f64::MIN_POSITIVE)
    }
}

// RPCs: x of them and 2 sigma come to x + 2 root(x SPREAD): their work varies by its mean or less. Their number is
// counted, and what is left to chance of it stays below what `surely` leaves of the whole.
const SPREAD: f64 = 1.0;

const LEAST: f64 = 0.05; // of what a warm one does: guards against a backend that starts at nothing
const FEW_OFFERED: f64 = 4.0; // that prove nothing yet, counted beside: guards against a rush of a new process

/// What all proxies together may send a backend that started lately, and what this one's part goes by.
#[derive(Default)]
pub(crate) struct Cold {
    pub window: f64,
    answered: Decaying,      // by a backend that is warm, of size 1
    offered: Decaying,       // draws, and reports of probes as parts of an RPC's
    born: Cell<Option<f64>>, // when the first list came
    from: f64,               // of its capacity
    lasts: f64,
    multiple: f64,
    safety: f64,
}

impl Cold {
    /// Takes over what settings say; what was measured stays.
    pub(crate) fn adopt(&mut self, set: &Settings, safety: f64) {
        (self.window, self.from, self.lasts) =
            (set.overload_window, set.slow_start_initial_fraction, set.slow_start_duration);
        (self.multiple, self.safety) = (safety * set.overload_multiple, safety);
    }

    /// A list has come.
    pub(crate) fn begins(&self, now: f64) {
        self.born.set(self.born.get().or(Some(now)));
    }

    /// Whether a process before this one may have known it.
    pub(crate) fn before(&self, started: Option<f64>) -> bool {
        started.is_some_and(|at| self.born.get().is_some_and(|born| at < born))
    }

    /// An RPC is to be drawn a backend for. Returns its lot, below 1, for all cold ones.
    pub(crate) fn draw(&self, id: u64, now: f64, over: f64) -> f64 {
        self.offer(1.0, now, over);
        of_pair(id, now.to_bits())
    }

    /// So many RPCs, or parts of one, may have led to any backend.
    pub(crate) fn offer(&self, rpcs: f64, now: f64, over: f64) {
        self.offered.add(rpcs, now, over);
    }

    /// RPCs a second that may have led to any backend.
    pub(crate) fn offered(&self, now: f64, over: f64) -> f64 {
        (self.offered.read(now, over) + FEW_OFFERED) / over
    }

    /// One of so many ready backends has answered. Guards against a small one's answers, and those of many that have gone
    /// since, taken for what each does; a cold one's count for as many as it could have been sent.
    pub(crate) fn answer(&self, by: &Backend, ready: usize, now: f64, over: f64) {
        let allowed = by.started.get().and_then(|at| self.allowed(now - at));
        let part = allowed.map_or(1.0, |work| (work / self.safety / self.window).clamp(LEAST, 1.0));
        self.answered.add(1.0 / (ready.max(1) as f64 * by.size.get() * part), now, over);
    }

    /// RPCs that a warm backend of size 1 answers here in a second.
    pub(crate) fn answered(&self, now: f64, over: f64) -> f64 {
        self.answered.read(now, over) / over
    }

    /// Of so many cores, RPCs at once that their work in a window keeps them busy with.
    pub(crate) fn at_once(&self, cores: f64) -> f64 {
        self.multiple * cores
    }

    /// Seconds of a warm backend's work in one window at this age; none once it is warm.
    pub(crate) fn allowed(&self, age: f64) -> Option<f64> {
        let part = self.from + (1.0 - self.from) * (age / self.lasts).max(0.0);
        (age < self.lasts).then_some(self.multiple * self.window * part)
    }

    /// Whether one RPC of every proxy surely fits beside this work and what the backend does in the window.
    pub(crate) fn one_each(&self, allowed: f64, each: f64, proxies: f64) -> bool {
        let left = allowed / self.safety - allowed / self.multiple - surely(allowed, each);
        surely(left.max(0.0), each) >= proxies * each
    }
}

/// When picks were sent, as far back as a window reaches.
#[derive(Default)]
pub(crate) struct Sent(RefCell<VecDeque<f64>>, Cell<Option<f64>>);

impl Sent {
    pub(crate) fn add(&self, now: f64, window: f64) {
        self.within(now, window);
        self.0.borrow_mut().push_back(now);
    }

    /// How many were sent in the window that ends now.
    pub(crate) fn within(&self, now: f64, window: f64) -> f64 {
        let mut sent = self.0.borrow_mut();
        while sent.front().is_some_and(|at| *at <= now - window) {
            sent.pop_front();
        }
        if self.1.get().is_some_and(|at| now < at + window) { f64::INFINITY } else { sent.len() as f64 }
    }
}

/// So much of that work that RPCs of this mean and twice their spread come to no more. Guards against a cold
/// backend pushed over by RPCs that happen to be long.
pub(crate) fn surely(work: f64, each: f64) -> f64 {
    ((work / each + SPREAD).sqrt() - SPREAD.sqrt()).powi(2) * each
}

const ASK_AGAIN: f64 = 0.5; // of the time after which silence counts as being told, between list calls

/// Settings that bind each decision as they are.
#[derive(Default)]
pub(crate) struct Bounds {
    pub most_picks: usize,
    pub may_cancel: bool,
    pub one_out: bool,
    pub warm_keys: bool,
    pub come_back: f64,
    pub key_quiet: f64,
    pub balancers: f64,
    pub processes: f64, // that are this proxy: while one replaces another there are two
    pub zone: usize,
    pub shortest: f64,          // of all latency targets, s
    pub ask_every: Option<f64>, // s between list calls while unsubscribed; none where changes come anyway
}

impl Bounds {
    pub(crate) fn of(set: &Settings, processes: f64) -> Self {
        Self {
            most_picks: set.max_attempts,
            may_cancel: set.can_cancel,
            one_out: !set.can_hedge,
            warm_keys: set.key_affinity,
            come_back: set.max_retry_after,
            key_quiet: set.key_cooldown,
            balancers: set.proxy_count as f64,
            processes,
            zone: set.own_zone,
            shortest: set.methods.iter().map(|m| m.latency_objective).reduce(f64::min).unwrap_or(1.0),
            ask_every: Some(set.poll_within * ASK_AGAIN).filter(|_| set.polls_endpoint_list),
        }
    }
}

const SEEN_OVER: f64 = 3.0; // s over which arrivals are counted for the order by utility: some tens

/// A part of something, at first the whole, that comes back to the whole by itself, at a rate that its reader tells.
pub(crate) struct Part {
    was: f64,
    then: f64,
}

impl Default for Part {
    fn default() -> Self {
        Self::new(1.0, 0.0)
    }
}

impl Part {
    pub(crate) fn new(was: f64, then: f64) -> Self {
        Self { was, then }
    }

    /// What it is by now, if it comes back by this much a second.
    pub(crate) fn at(&self, now: f64, back: f64) -> f64 {
        (self.was + (now - self.then).max(0.0) * back).min(1.0)
    }
}

pub(crate) struct Method {
    pub set: MethodSettings,
    pub room: f64, // times the expected wait that must fit before a draw; more for lower utility
    pub each: Rc<Mean>, // s to an answer from a drawn backend, for each RPC that stood there, itself too
    pub door: Rc<Mean>, // of what it lets in at the most, by how the last picks went
    seen: Rc<Decaying>, // RPCs that came
}

impl Method {
    /// What was measured of it under the settings before goes on, also by its RPCs that are still out.
    pub(crate) fn new(set: &MethodSettings, room: f64, before: Option<&Rc<Self>>) -> Self {
        let (each, door, seen) =
            before.map(|b| (b.each.clone(), b.door.clone(), b.seen.clone())).unwrap_or_default();
        Self { set: set.clone(), room, each, door, seen }
    }

    /// One of its RPCs has come.
    pub(crate) fn came(&self, now: f64) {
        self.seen.add(1.0, now, SEEN_OVER);
    }

    /// Part of the RPCs that came lately before one of its own in the order of utility, which stands at this place
    /// among its equals: 0 before them all, 1 behind.
    pub(crate) fn place(&self, methods: &[Rc<Self>], among: f64, now: f64) -> f64 {
        let (mut before, mut all) = (0.0, 0.0);
        for method in methods {
            let seen = method.seen.read(now, SEEN_OVER);
            let stands = match method.set.priority_weight.total_cmp(&self.set.priority_weight) {
                Ordering::Greater => 1.0,
                Ordering::Equal => among,
                Ordering::Less => 0.0,
            };
            (before, all) = (before + seen * stands, all + seen);
        }
        if all > 0.0 { before / all } else { among }
    }

    /// Latency target, or deadline where late answers count.
    pub(crate) fn useful_until(&self, arrival: &IncomingRpc, now: f64) -> f64 {
        let stretch = self.set.objective_stretch * arrival.expected_work.unwrap_or(0.0);
        let target = now + self.set.latency_objective + stretch;
        if self.set.late_weight_fraction > 0.0 { arrival.deadline } else { target.min(arrival.deadline) }
    }
}

#[derive(Default)]
pub(crate) struct Tenant {
    pub slice: f64,     // RPCs in `over`: an even split of the quota
    pub door: Rc<Mean>, // as a method's
    over: f64,
    sent: Decaying,
}

impl Tenant {
    /// For each of so many tenants the one that it was before, or one that has no slice yet.
    pub(crate) fn kept(
        before: Vec<Self>,
        places: &[Option<usize>],
        tenants: usize,
    ) -> impl Iterator<Item = Self> {
        let mut before: Vec<_> = before.into_iter().map(Some).collect();
        let mut was = move |place: usize| before.get_mut(place).and_then(Option::take);
        let places: Vec<_> = (0..tenants).map(|n| places.get(n).copied().flatten()).collect();
        places.into_iter().map(move |place| place.and_then(&mut was).unwrap_or_default())
    }

    /// It with this slice: the RPCs a second that it sent stay what they were. One that had none yet starts with a
    /// part of it counted as used.
    pub(crate) fn sliced(self, slice: f64, over: f64, used: f64, now: f64) -> Self {
        let had = self.over > 0.0;
        let longer = Some(over / self.over).filter(|times| times.is_finite() && *times > 0.0).unwrap_or(1.0);
        let sent = if had { self.sent.read(now, self.over) * longer } else { slice * used };
        let tenant = Self { slice, over, sent: Decaying::default(), door: self.door };
        tenant.count(sent, now);
        tenant
    }

    pub(crate) fn count(&self, rpcs: f64, now: f64) {
        self.sent.add(rpcs, now, self.over);
    }

    /// How much of its slice it has used lately; 1 is all of it.
    pub(crate) fn used(&self, now: f64) -> f64 {
        self.sent.read(now, self.over) / self.slice
    }
}

/// Where an RPC stands: in its tenant's share, on what other tenants leave of theirs, or beyond both.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(crate) enum Share {
    Within,
    Borrowed,
    Beyond,
}

pub(crate) struct Pick {
    pub backend: Rc<Backend>,
    pub sent: f64,             // its last byte, as far as is known
    pub room: f64,             // s that it had from then on
    pub told: Option<bool>,    // what the last report of the time said: light or not
    pub ahead: Option<f64>,    // RPCs that backends held by the reports of the time, if it was drawn blindly
    pub answered: Option<f64>, // when an answer began that its client sets the pace of
    pub ended: Option<AttemptOutcome>,
    flows: bool, // it is on its way from or to a client
}

/// What a pick that has ended tells.
pub(crate) struct Ended {
    pub backend: Rc<Backend>,
    pub took: f64, // s, at the least
    pub ahead: Option<f64>,
    pub room: f64,
    pub told: Option<bool>,
}

pub(crate) struct Call {
    pub id: u64,
    pub method: Rc<Method>,
    pub deadline: f64,
    pub useful_until: f64,
    pub hold_until: Cell<f64>, // it waits no longer
    pub share: Share,
    pub picks: RefCell<Vec<Pick>>,
    pub over: Cell<bool>,
    pub streaming: Cell<bool>,
    pub spent: Cell<bool>,        // it can't be sent again
    pub rank: Cell<Option<Rank>>, // while it waits
    pub long: bool,               // its picks are on their way until told otherwise
    pub near: Vec<Set>,           // cells that know its key, the likeliest first
    pub doors: Vec<Rc<Mean>>,     // its tenant's and its method's
    pub turn: Cell<Option<Turn>>, // its place in line, while it stands in one
    pub has_turn: Cell<bool>,     // none before it in line, and its key has rested
}

impl Pick {
    pub(crate) fn new(
        backend: Rc<Backend>,
        sent: f64,
        room: f64,
        ahead: Option<f64>,
        told: Option<bool>,
        long: bool,
    ) -> Self {
        let mut pick = Self { backend, sent, room, ahead, told, answered: None, ended: None, flows: false };
        pick.flow(long);
        pick
    }

    /// Whether it is on its way from or to a client now.
    fn flow(&mut self, flows: bool) {
        let before = std::mem::replace(&mut self.flows, flows);
        self.backend.flows.update(|all| all + usize::from(flows) - usize::from(before));
    }

    pub(crate) fn end(&mut self, how: AttemptOutcome) {
        self.ended = Some(how);
        self.flow(false);
    }

    /// To the answer, or to where a long one began: how fast a client takes it says nothing of the backend.
    pub(crate) fn took(&self, now: f64) -> f64 {
        self.answered.unwrap_or(now) - self.sent
    }

    /// A pick still out may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(AttemptOutcome::never_ran)
    }
}

impl Call {
    pub(crate) fn new(
        arrival: &IncomingRpc,
        method: Rc<Method>,
        share: Share,
        near: Vec<Set>,
        doors: Vec<Rc<Mean>>,
        now: f64,
    ) -> Self {
        let useful_until = method.useful_until(arrival, now);
        let (id, deadline, long, picks) =
            (arrival.id, arrival.deadline, arrival.streams_request, RefCell::default());
        let (over, streaming, spent, rank, hold_until, turn) = Default::default();
        Self {
            long,
            id,
            method,
            deadline,
            useful_until,
            hold_until,
            share,
            picks,
            over,
            streaming,
            spent,
            rank,
            near,
            doors,
            turn,
            has_turn: Cell::new(true),
        }
    }

    /// The least of what its tenant's and its method's last picks let in, 1 at the most.
    pub(crate) fn least_door(&self, now: f64, over: f64, few: f64, usual: f64) -> f64 {
        self.doors.iter().map(|door| door.weighed(now, over, few, usual)).fold(1.0, f64::min)
    }

    /// A pick has ended; told once.
    pub(crate) fn end(&self, n: usize, how: AttemptOutcome, now: f64) -> Option<Ended> {
        let mut picks = self.picks.borrow_mut();
        let pick = picks.get_mut(n).filter(|pick| pick.ended.is_none())?;
        pick.end(how);
        // What was turned away would have waited for longer than it had.
        let took = if how == AttemptOutcome::Rejected { pick.room } else { pick.took(now) };
        let (backend, ahead, room, told) = (pick.backend.clone(), pick.ahead, pick.room, pick.told);
        Some(Ended { backend, took, ahead, room, told })
    }

    /// How well it went counts for its tenant and its method.
    pub(crate) fn went(&self, part: f64, now: f64, over: f64) {
        self.doors.iter().for_each(|door| door.add(part, now, over));
    }

    /// The last byte of a pick has gone out.
    pub(crate) fn whole(&self, n: usize, now: f64) {
        if let Some(pick) = self.picks.borrow_mut().get_mut(n).filter(|pick| pick.ended.is_none()) {
            pick.sent = now;
            pick.flow(false);
        }
    }

    /// The answer to a pick has begun.
    pub(crate) fn begun(&self, n: usize, pace: PacedBy, now: f64) {
        self.streaming.set(true);
        let mut picks = self.picks.borrow_mut();
        if let Some(pick) = picks.get_mut(n).filter(|pick| pick.ended.is_none() && pace == PacedBy::Client) {
            pick.answered = Some(now);
            pick.flow(true);
        }
    }

    /// Some pick may have cost a backend something.
    pub(crate) fn reached_any(&self) -> bool {
        self.picks.borrow().iter().any(|p| !p.ended.is_some_and(AttemptOutcome::never_ran))
    }

    /// Picks that are out.
    pub(crate) fn out(&self) -> Vec<usize> {
        let picks = self.picks.borrow();
        (0..picks.len()).filter(|n| picks[*n].ended.is_none()).collect()
    }

    pub(crate) fn is_out(&self) -> bool {
        self.picks.borrow().iter().any(|p| p.ended.is_none())
    }
}
