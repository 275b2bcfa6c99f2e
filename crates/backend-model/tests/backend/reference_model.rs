//! Property tests: completion times agree with a reference model that advances in small steps, and no RPC is lost.
use crate::harness::{Completion, TestBackend, parameters};
use birchhub_backend_model::{BackendEvent, BackendParameters, StartMode};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::collections::VecDeque;

/// Length of a step of the reference model, in seconds.
const STEP: f64 = 0.0005;

/// Allowed difference between a completion time and that of the reference model, in seconds: 20 steps.
const TOLERANCE: f64 = 0.01;

/// Arrival of an RPC.
#[derive(Clone, Copy)]
struct Arrival {
    /// In seconds.
    at: f64,
    /// In seconds of a standard core.
    work: f64,
}

/// Stall of the backend; times are in seconds.
#[derive(Clone, Copy)]
struct Stall {
    from: f64,
    duration: f64,
}

impl Stall {
    fn contains(self, now: f64) -> bool {
        now >= self.from && now < self.from + self.duration
    }
}

/// Returns the completions of the reference model in the order of attempt ids. The model advances each core in small
/// steps, without a work clock or ordered maps.
fn reference_completions(
    parameters: &BackendParameters,
    start: StartMode,
    stall: Stall,
    arrivals: &[Arrival],
) -> Vec<Completion> {
    let mut cores: Vec<Option<(u64, f64)>> = vec![None; parameters.cores];
    let mut queue = VecDeque::new();
    let mut completions = vec![];
    let mut arriving = (0..).zip(arrivals).peekable();
    let mut now = 0.0;
    while completions.len() < arrivals.len() {
        while let Some((attempt_id, arrival)) = arriving.next_if(|(_, next)| next.at <= now) {
            queue.push_back((attempt_id, arrival.work));
        }
        let step_work = if stall.contains(now) {
            0.0
        } else {
            STEP * parameters.speed * warm_share(parameters, start, now)
        };
        for core in &mut cores {
            if core.is_none() {
                *core = queue.pop_front();
            }
            if let Some((attempt_id, work_left)) = core {
                *work_left -= step_work;
                if *work_left <= 0.0 {
                    completions.push(Completion {
                        attempt_id: *attempt_id,
                        at: now + STEP,
                    });
                    // The next RPC gets the rest of the step, otherwise the errors of the steps would add up.
                    let surplus = *work_left;
                    let next = queue.pop_front();
                    *core = next.map(|(attempt_id, work)| (attempt_id, work + surplus));
                }
            }
        }
        now += STEP;
    }
    completions.sort_by_key(|completion| completion.attempt_id);
    completions
}

fn warm_share(parameters: &BackendParameters, start: StartMode, now: f64) -> f64 {
    let progress = match start {
        StartMode::Cold => (now + STEP / 2.0) / parameters.warm_up_seconds,
        StartMode::Warm => 1.0,
    };
    parameters.initial_capacity + (1.0 - parameters.initial_capacity) * progress.min(1.0)
}

/// Call to the backend under test.
#[derive(Clone, Copy)]
enum Call {
    Receive { attempt_id: u64, work: f64 },
    Stall(bool),
}

/// Returns the completions of the backend under test in the order of attempt ids.
fn completions(
    parameters: &BackendParameters,
    start: StartMode,
    stall: Stall,
    arrivals: &[Arrival],
) -> Vec<Completion> {
    let mut backend = TestBackend::new(parameters.clone(), start);
    let mut calls = vec![
        (stall.from, Call::Stall(true)),
        (stall.from + stall.duration, Call::Stall(false)),
    ];
    calls.extend((0..).zip(arrivals).map(|(attempt_id, arrival)| {
        let work = arrival.work;
        (arrival.at, Call::Receive { attempt_id, work })
    }));
    calls.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut completions = vec![];
    for (now, call) in calls {
        completions.extend(backend.completions_until(now));
        match call {
            Call::Receive { attempt_id, work } => backend
                .receive(now, attempt_id, work)
                .expect("queue capacity"),
            Call::Stall(stalled) => backend.stall(now, stalled),
        }
    }
    completions.extend(backend.completions());
    completions.sort_by_key(|completion| completion.attempt_id);
    completions
}

/// Completion times agree with the reference model within the tolerance, after a warm or a cold start and with a stall at
/// any time. Arrivals are pairs of the gap before them and their work, in milliseconds.
fn completion_times_are_those_of_the_reference_model(
    arrivals: Vec<(u8, u8)>,
    cold: bool,
    stall: (u8, u8),
) -> TestResult {
    if arrivals.is_empty() || arrivals.len() > 30 {
        return TestResult::discard();
    }
    let parameters = BackendParameters {
        queue_capacity: 1000,
        collapse_factor: 1e9,
        ..parameters()
    };
    let mut at = 0.0;
    let arrival = |(gap, work): &(u8, u8)| {
        at += f64::from(*gap) / 1000.0;
        let work = 0.002 + f64::from(*work) / 1000.0;
        Arrival { at, work }
    };
    let arrivals: Vec<_> = arrivals.iter().map(arrival).collect();
    let stall = Stall {
        from: f64::from(stall.0) / 100.0,
        duration: f64::from(stall.1) / 200.0,
    };
    let start = if cold {
        StartMode::Cold
    } else {
        StartMode::Warm
    };
    let found = completions(&parameters, start, stall, &arrivals);
    let expected = reference_completions(&parameters, start, stall, &arrivals);
    let agree = |(expected, found): (&Completion, &Completion)| {
        expected.attempt_id == found.attempt_id && (expected.at - found.at).abs() < TOLERANCE
    };
    let all_agree = expected.iter().zip(&found).all(agree);
    TestResult::from_bool(all_agree && found.len() == arrivals.len())
}

/// Every RPC ends exactly once: rejected, finished or cancelled.
fn each_rpc_ends_once(calls: Vec<(u8, u8, u8)>) -> bool {
    let mut backend = TestBackend::new(parameters(), StartMode::Warm);
    let mut now = 0.0;
    let mut admitted = 0;
    let mut cancelled = 0;
    for (attempt_id, (gap, work, choice)) in (0..).zip(&calls) {
        now += f64::from(*gap) / 2000.0;
        let received = backend.receive(now, attempt_id, f64::from(*work) / 500.0);
        admitted += usize::from(received.is_ok());
        if choice % 4 == 0 {
            cancelled += usize::from(backend.cancel(now, attempt_id / 2));
        }
    }
    let events = std::mem::take(&mut backend.events);
    let finished_before = events
        .iter()
        .filter(|event| matches!(event, BackendEvent::Finished(_)))
        .count();
    let finished_after = backend.completions().len();
    backend.backend.in_flight() == 0 && finished_before + finished_after + cancelled == admitted
}

/// Returns a generator with a fixed seed, so that each run has the same inputs.
fn seeded() -> QuickCheck {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(40, 7))
}

#[test]
fn completion_times_agree_with_the_reference_model() {
    seeded()
        .quickcheck(completion_times_are_those_of_the_reference_model as fn(_, _, _) -> TestResult);
}

#[test]
fn every_rpc_ends_exactly_once() {
    seeded().quickcheck(each_rpc_ends_once as fn(_) -> bool);
}
