//! Watching before a move: a second instance of the module, with the settings of the new shape, hears what the
//! first hears, and what it would have done otherwise is counted. It has no way to a socket or a client.
use birchhub::interface::{
    AttemptOutcome, CarriedOver, Endpoint, EndpointUpdateKind, IncomingRpc, LoadReport, PacedBy,
    Platform, Settings,
};
use birchhub::policy::{Balancer, RpcHandle};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

const TELL_EVERY: Duration = Duration::from_secs(60); // between lines with the counts so far

/// What the module asked for on an RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Attempt(u32),
    PushBack,
    Abort,
}

/// What an instance asked for in one call, by RPC and in order.
#[derive(Debug, Default)]
pub(crate) struct RecordedActions {
    acts: BTreeMap<u64, Vec<Action>>,
    probes: u64,
}

impl RecordedActions {
    pub(crate) fn act(&mut self, rpc: u64, act: Action) {
        self.acts.entry(rpc).or_default().push(act);
    }
    pub(crate) fn probe(&mut self) {
        self.probes += 1;
    }
    fn on(&self, rpc: u64) -> &[Action] {
        self.acts.get(&rpc).map_or(&[], Vec::as_slice)
    }
}

/// The watcher's door: notes and sends nothing.
#[derive(Default)]
struct ShadowPlatform {
    now: f64,
    asked: RecordedActions,
    wake_at: Option<f64>,
}

impl Platform for ShadowPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, _time_out: f64) {
        self.asked.act(rpc, Action::Attempt(backend));
    }
    fn cancel_attempt(&mut self, _rpc: u64, _pick: usize) {}
    fn reject(&mut self, rpc: u64, _come_back: f64) {
        self.asked.act(rpc, Action::PushBack);
    }
    fn fail(&mut self, rpc: u64) {
        self.asked.act(rpc, Action::Abort);
    }
    fn health_check(&mut self, _backend: u32) {
        self.asked.probe();
    }
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, delay: f64) {
        let at = self.now + delay;
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }
}

/// RPCs over which the two parted, by kind: what was done, and what the watcher would have done.
#[derive(Debug, Default)]
struct Counts {
    compared: u64,
    held: u64,        // picked, where the watcher would have let it wait
    picked: u64,      // left waiting, where the watcher would have picked
    turned_away: u64, // picked or left waiting, where the watcher would have turned it away before any pick
    taken: u64, // turned away before any pick, where the watcher would have picked or let it wait
    given_up: u64, // picked a further time, where the watcher would have given up
    tried_again: u64, // given up after a pick, where the watcher would have picked a further time
    otherwise: u64, // pushed back where the watcher would have aborted, or the reverse
    elsewhere: u64, // to another backend, which may be chance and is no difference
    probes: u64, // sent, of all
    watcher_probes: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let c = self;
        write!(
            f,
            "{} RPCs compared: held {}, picked {}, turned away {}, ",
            c.compared, c.held, c.picked, c.turned_away
        )?;
        write!(
            f,
            "taken {}, given up {}, tried again {}, ",
            c.taken, c.given_up, c.tried_again
        )?;
        write!(
            f,
            "answered otherwise {}; elsewhere {}; ",
            c.otherwise, c.elsewhere
        )?;
        write!(f, "probes {}, would be {}", c.probes, c.watcher_probes)
    }
}

/// An RPC that both still handle alike.
struct Alike {
    rpc: RpcHandle,
    attempts: usize,
}

pub(crate) struct ShadowEvaluator {
    balancer: Balancer,
    rpcs: HashMap<u64, Alike>,
    notes: ShadowPlatform,
    counts: Counts,
    tell_at: Instant,
}

impl ShadowEvaluator {
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed);
        let (rpcs, notes, counts) = Default::default();
        Self {
            balancer,
            rpcs,
            notes,
            counts,
            tell_at: Instant::now() + TELL_EVERY,
        }
    }

    /// Other settings are in force, for both.
    pub(crate) fn adopt(
        &mut self,
        now: f64,
        first: RecordedActions,
        settings: &Settings,
        kept: &CarriedOver,
    ) {
        self.hear(now, first, None, |watch| {
            watch
                .balancer
                .apply_settings(settings, kept, &mut watch.notes)
        });
    }

    /// When it wants to be woken.
    pub(crate) fn wake_at(&self) -> Option<f64> {
        self.notes.wake_at
    }

    /// One of the two was woken; the watcher, if it asked for that by now.
    pub(crate) fn wake(&mut self, now: f64, first: RecordedActions) {
        let due = self.notes.wake_at.take_if(|at| *at <= now).is_some();
        self.hear(now, first, None, |watch| {
            if due {
                watch.balancer.on_timer(&mut watch.notes);
            }
        });
    }

    pub(crate) fn list(
        &mut self,
        now: f64,
        first: RecordedActions,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
    ) {
        self.hear(now, first, None, |watch| {
            watch
                .balancer
                .update_endpoints(kind, entries, &mut watch.notes)
        });
    }

    pub(crate) fn list_failed(&mut self, now: f64, first: RecordedActions) {
        self.hear(now, first, None, |watch| {
            watch.balancer.list_failed(&mut watch.notes)
        });
    }

    pub(crate) fn probed(
        &mut self,
        now: f64,
        first: RecordedActions,
        backend: u32,
        how: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.hear(now, first, None, |watch| {
            watch
                .balancer
                .on_health_check(backend, how, report, &mut watch.notes)
        });
    }

    pub(crate) fn take(&mut self, now: f64, first: RecordedActions, arrival: &IncomingRpc) {
        self.counts.compared += 1;
        self.hear(now, first, Some(arrival.id), |watch| {
            let rpc = watch.balancer.accept(arrival, &mut watch.notes);
            watch.rpcs.insert(arrival.id, Alike { rpc, attempts: 0 });
        });
    }

    pub(crate) fn hung_up(&mut self, now: f64, first: RecordedActions, id: u64) {
        self.on_rpc(now, first, id, |rpc, notes| {
            rpc.on_client_disconnected(notes)
        });
    }

    pub(crate) fn ended(
        &mut self,
        now: f64,
        first: RecordedActions,
        (id, attempt): (u64, usize),
        how: AttemptOutcome,
        over: bool,
        report: Option<LoadReport>,
    ) {
        self.on_rpc(now, first, id, |rpc, notes| {
            rpc.on_attempt_ended(attempt, how, over, report, notes)
        });
    }

    pub(crate) fn whole(&mut self, now: f64, first: RecordedActions, (id, attempt): (u64, usize)) {
        self.on_rpc(now, first, id, |rpc, notes| {
            rpc.on_request_sent(attempt, notes)
        });
    }

    pub(crate) fn begun(&mut self, now: f64, first: RecordedActions, (id, attempt): (u64, usize)) {
        self.on_rpc(now, first, id, |rpc, notes| {
            rpc.on_response_started(attempt, PacedBy::Client, notes)
        });
    }

    pub(crate) fn unrepeatable(&self, id: u64) {
        self.rpcs
            .get(&id)
            .into_iter()
            .for_each(|alike| alike.rpc.forbid_retry());
    }

    fn on_rpc(
        &mut self,
        now: f64,
        first: RecordedActions,
        id: u64,
        act: impl FnOnce(&RpcHandle, &mut ShadowPlatform),
    ) {
        self.hear(now, first, Some(id), |watch| {
            if let Some(alike) = watch.rpcs.get(&id) {
                act(&alike.rpc, &mut watch.notes);
            }
        });
    }

    /// Lets the watcher hear what the first instance has just heard, of one RPC or of none, and compares what
    /// they asked for.
    fn hear(
        &mut self,
        now: f64,
        first: RecordedActions,
        about: Option<u64>,
        act: impl FnOnce(&mut Self),
    ) {
        self.notes.now = now;
        act(self);
        let own = std::mem::take(&mut self.notes.asked);
        self.counts.probes += first.probes;
        self.counts.watcher_probes += own.probes;
        let touched: BTreeSet<u64> = first
            .acts
            .keys()
            .chain(own.acts.keys())
            .copied()
            .chain(about)
            .collect();
        for id in touched {
            let (did, would) = (first.on(id), own.on(id));
            // One that is not there they have parted over.
            let Some(alike) = self.rpcs.get_mut(&id) else {
                continue;
            };
            let before = alike.attempts;
            alike.attempts += would
                .iter()
                .filter(|act| matches!(act, Action::Attempt(_)))
                .count();
            if did != would {
                self.count(did, would, before > 0);
                self.part(id);
            } else if alike.rpc.is_finished() {
                self.rpcs.remove(&id);
            }
        }
        if Instant::now() >= self.tell_at {
            self.tell_at = Instant::now() + TELL_EVERY;
            log::info!("{}", self.counts);
        }
    }

    /// Counts the first thing in which they differ.
    fn count(&mut self, first: &[Action], would: &[Action], further: bool) {
        let same = first.iter().zip(would).take_while(|(a, b)| a == b).count();
        let further = further || same > 0;
        let counts = &mut self.counts;
        let kind = match (first.get(same), would.get(same)) {
            (Some(Action::Attempt(_)), Some(Action::Attempt(_))) => &mut counts.elsewhere,
            (Some(Action::Attempt(_)), Some(_)) if further => &mut counts.given_up,
            (Some(_), Some(Action::Attempt(_))) if further => &mut counts.tried_again,
            (Some(Action::Attempt(_)) | None, Some(Action::PushBack | Action::Abort)) => {
                &mut counts.turned_away
            }
            (Some(Action::PushBack | Action::Abort), Some(Action::Attempt(_)) | None) => {
                &mut counts.taken
            }
            (Some(Action::Attempt(_)), None) => &mut counts.held,
            (None, Some(Action::Attempt(_))) => &mut counts.picked,
            _ => &mut counts.otherwise,
        };
        *kind += 1;
    }

    /// The watcher can't hear how this RPC would have gone on: it ends there as if the client had left. So do
    /// those that it would have sent to the places that come free: nobody decided on that difference. Such a
    /// pick is not counted yet, hence one number more.
    fn part(&mut self, id: u64) {
        let mut parted = vec![id];
        while let Some(id) = parted.pop() {
            let Some(alike) = self.rpcs.remove(&id) else {
                continue;
            };
            alike.rpc.on_client_disconnected(&mut self.notes);
            for attempt in 0..=alike.attempts {
                alike.rpc.on_attempt_ended(
                    attempt,
                    AttemptOutcome::Cancelled,
                    true,
                    None,
                    &mut self.notes,
                );
            }
            parted.extend(std::mem::take(&mut self.notes.asked).acts.into_keys());
        }
    }
}

impl Drop for ShadowEvaluator {
    fn drop(&mut self) {
        log::info!("ends: {}", self.counts);
    }
}
