//! Random plays of restarts, outages and changes. What happens is determined by the seed.
use crate::agent::{Agent, Behaviour};
use crate::harness::{Clients, DRAIN_GRACE, READY_LIMIT, Setup, reloaded_config};
use std::env;
use std::ops::Range;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Seeds that are played unless [`SEEDS_VARIABLE`] is set.
const DEFAULT_SEEDS: Range<u64> = 1..17;
/// Number of plays at the same time.
const PARALLEL_PLAYS: usize = 16;
/// Environment variable for a long run: the first seed and the number of seeds, as in `100,320`.
const SEEDS_VARIABLE: &str = "UNAVAILABLE_AGENT_SEEDS";

/// Time that an agent needs at most for a call.
const SLOW_CALL: Duration = Duration::from_millis(1500);
/// Longest time from the end of an outage until RPCs are served again: a poll that is lost, and one that is slow.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);

/// Random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[(self.next() % values.len() as u64) as usize]
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.next() % 100 < percent
    }

    fn duration_ms(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(range.start + self.next() % (range.end - range.start))
    }
}

/// What happens in a play: a change reaches the agent, an outage begins, the process ends, starts again, and the outage ends.
#[derive(Debug)]
struct Play {
    seed: u64,
    /// Whether the change is made while the first process runs, or after its end.
    changes_before_end: bool,
    /// Whether the outage begins before the end of the first process; only after a change that it has heard of.
    outage_before_end: bool,
    signal: &'static str,
    /// State of `s-1` after the change.
    state: &'static str,
    outage: Behaviour,
    /// Pauses after the change, and before the next start.
    pauses: [Duration; 2],
    /// Time from the start of the process until the outage ends.
    outage_after_start: Duration,
    /// Time from the start until the process is ended and started again, if it is.
    second_restart_after: Option<Duration>,
    /// Time from the start until SIGHUP selects another agent, if it does. It never comes before the process is ready.
    reload_after: Option<Duration>,
}

/// The proxy of a play, its clients and its two agents, which have the same list.
struct Stage {
    setup: Setup,
    clients: Clients,
    next_agent: Agent,
}

impl Stage {
    fn start() -> Self {
        let setup = Setup::start();
        let clients = Clients::start(setup.daemon.address);
        clients.await_served(Instant::now(), READY_LIMIT);
        let next_agent = Agent::start(&setup.entries);
        Self {
            setup,
            clients,
            next_agent,
        }
    }

    /// Changes the state of `s-1` at both agents, and returns when.
    fn change(&self, state: &str) -> Instant {
        let change = self.setup.entry_of_s1(state);
        self.setup.agent.publish(std::slice::from_ref(&change));
        self.next_agent.publish(&[change]);
        Instant::now()
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        self.setup.agent.set_behaviour(behaviour);
        self.next_agent.set_behaviour(behaviour);
    }

    fn end_process(&mut self, signal: &str) {
        self.setup.daemon.signal(signal);
        self.setup.daemon.await_exit();
    }

    fn reload(&self) {
        let text = reloaded_config(self.setup.daemon.address, &self.next_agent);
        self.setup.daemon.reload(&text);
    }
}

impl Play {
    fn generate(seed: u64) -> Self {
        let random = &mut Random(seed);
        let outage = random.choose(&[
            Behaviour::Silent,
            Behaviour::Lost,
            Behaviour::Unavailable,
            Behaviour::Closing,
            Behaviour::Slow(SLOW_CALL),
        ]);
        let changes_before_end = random.chance(40);
        Self {
            seed,
            changes_before_end,
            outage_before_end: changes_before_end && random.chance(50),
            signal: random.choose(&["KILL", "TERM"]),
            state: random.choose(&["Terminating", "Gone"]),
            outage,
            pauses: [(); 2].map(|()| random.duration_ms(50..900)),
            outage_after_start: random.duration_ms(0..9000),
            second_restart_after: random.chance(40).then(|| random.duration_ms(0..3000)),
            reload_after: random.chance(40).then(|| random.duration_ms(1200..4000)),
        }
    }

    /// Plays it. Panics if a backend gets an RPC that it must not get, or a process is not ready or serves no RPC in time.
    fn run(&self) {
        let mut stage = Stage::start();
        let changed = self.end_first_process(&mut stage);
        let started = self.restart(&mut stage);
        sleep_until(started + self.outage_after_start);
        stage.set_behaviour(Behaviour::Responding);
        let recovered = Instant::now();
        stage.clients.await_served(recovered, RECOVERY_LIMIT);
        sleep(Duration::from_millis(300));
        drop(stage.clients);
        self.check(&stage.setup, changed);
    }

    /// Makes the change, begins the outage and ends the process. Returns when the change was made.
    fn end_first_process(&self, stage: &mut Stage) -> Instant {
        if !self.changes_before_end {
            stage.end_process(self.signal);
        }
        let changed = stage.change(self.state);
        sleep(self.pauses[0]);
        if self.outage_before_end {
            stage.set_behaviour(self.outage);
            sleep(self.pauses[1]);
        }
        if self.changes_before_end {
            stage.end_process(self.signal);
        }
        stage.set_behaviour(self.outage);
        sleep(self.pauses[1]);
        changed
    }

    /// Starts the process, once or twice, waits until it is ready, and reloads it. Returns the time of the last start.
    fn restart(&self, stage: &mut Stage) -> Instant {
        stage.setup.start_again();
        if let Some(after) = self.second_restart_after {
            sleep(after);
            stage.end_process(self.signal);
            stage.setup.start_again();
        }
        let started = stage.setup.restarted_at();
        stage.setup.await_ready(started);
        if let Some(after) = self.reload_after {
            sleep_until(started + after);
            stage.reload();
        }
        started
    }

    /// Checks what the backend that has changed received. Both agents have the same list, so the reload excuses nothing.
    fn check(&self, setup: &Setup, changed: Instant) {
        let late = setup.requests_to("s-1", changed + DRAIN_GRACE);
        let delays: Vec<_> = late.iter().map(|request| request.at - changed).collect();
        assert!(
            late.is_empty(),
            "seed {}, {self:?}: {} requests to s-1, {:?} to {:?} after the change\n{}",
            self.seed,
            delays.len(),
            delays.first(),
            delays.last(),
            setup.daemon.logged()
        );
    }
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Plays these seeds at the same time, and returns those that failed.
fn failed_plays(seeds: Range<u64>) -> Vec<u64> {
    let plays: Vec<_> = seeds
        .map(|seed| (seed, spawn(move || Play::generate(seed).run())))
        .collect();
    plays
        .into_iter()
        .filter_map(|(seed, play)| play.join().is_err().then_some(seed))
        .collect()
}

/// Returns the seeds to play.
fn seeds() -> Range<u64> {
    let Ok(seeds) = env::var(SEEDS_VARIABLE) else {
        return DEFAULT_SEEDS;
    };
    let (first, count) = seeds.split_once(',').expect("two numbers");
    let first: u64 = first.parse().expect("a number");
    let count: u64 = count.parse().expect("a number");
    first..first + count
}

#[test]
fn random_plays_keep_drains_and_readiness() {
    let seeds = seeds();
    let mut failed = Vec::new();
    for first in seeds.clone().step_by(PARALLEL_PLAYS) {
        let end = (first + PARALLEL_PLAYS as u64).min(seeds.end);
        failed.extend(failed_plays(first..end));
        println!("seeds up to {}: failed {failed:?}", end - 1);
    }
    assert_eq!(failed, [] as [u64; 0]);
}
