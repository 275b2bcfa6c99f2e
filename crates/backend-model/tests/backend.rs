//! The node against a plain model in small steps, and its edge cases.
use birchhub_backend_model::{
    Backend, BackendEvent, DeduplicationCache, IdempotencyKey, IncomingWork, RejectionReason, Spec,
    Start, work::Spread, work::Work,
};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::collections::VecDeque;

fn spec() -> Spec {
    Spec {
        cores: 2,
        speed: 1.0,
        queue_capacity: 4,
        initial_capacity: 0.25,
        warm_up_seconds: 8.0,
        collapse_factor: 3.0,
        overload_window_seconds: 1.0,
        report_interval: 0.5,
        cancel_stops_execution: true,
        connections: 2,
        connection_work: 0.01,
    }
}

/// A node and the events of it.
struct ModelledNode {
    node: Backend,
    deduplication: DeduplicationCache,
    events: Vec<BackendEvent>,
}

impl ModelledNode {
    fn new(spec: Spec, start: Start) -> Self {
        Self {
            node: Backend::new(spec, 0.0, start),
            deduplication: DeduplicationCache::default(),
            events: vec![],
        }
    }
    fn receive(&mut self, now: f64, attempt_id: u64, work: f64) -> Result<(), RejectionReason> {
        self.receive_work(
            now,
            IncomingWork {
                attempt_id,
                work,
                idempotency_key: None,
                first_on_connection: false,
            },
        )
    }
    fn receive_work(&mut self, now: f64, incoming: IncomingWork) -> Result<(), RejectionReason> {
        self.node
            .receive(now, incoming, &mut self.deduplication, &mut self.events)
    }
    fn cancel(&mut self, now: f64, attempt_id: u64) -> bool {
        self.node
            .cancel(now, attempt_id, &mut self.deduplication, &mut self.events)
    }
    fn advance(&mut self, now: f64) -> Vec<BackendEvent> {
        self.node
            .advance(now, &mut self.deduplication, &mut self.events);
        std::mem::take(&mut self.events)
    }
    fn stall(&mut self, now: f64, stalled: bool) {
        self.node
            .stall(now, stalled, &mut self.deduplication, &mut self.events);
    }
    /// When jobs end up to this time.
    fn ends_until(&mut self, now: f64) -> Vec<(u64, f64)> {
        let mut ends = vec![];
        while let Some(at) = self.node.next_event().filter(|at| *at <= now) {
            for event in self.advance(at) {
                if let BackendEvent::Finished(attempt_id) = event {
                    ends.push((attempt_id, at));
                }
            }
        }
        ends
    }
    /// When jobs end from now on.
    fn ends(&mut self) -> Vec<(u64, f64)> {
        self.ends_until(f64::MAX)
    }
}

/// The same node in small steps: each core has its part of the speed; no work clock, no heap.
fn plain(spec: &Spec, cold: bool, stall: (f64, f64), arrivals: &[(f64, f64)]) -> Vec<(u64, f64)> {
    const STEP: f64 = 0.0005;
    let (mut cores, mut queue_capacity, mut ends) =
        (vec![None; spec.cores], VecDeque::new(), vec![]);
    let mut next = 0;
    let mut now = 0.0;
    while ends.len() < arrivals.len() {
        while next < arrivals.len() && arrivals[next].0 <= now {
            queue_capacity.push_back((next as u64, arrivals[next].1));
            next += 1;
        }
        let age = if cold {
            (now + STEP / 2.0) / spec.warm_up_seconds
        } else {
            1.0
        };
        let warmth = spec.initial_capacity + (1.0 - spec.initial_capacity) * age.min(1.0);
        let standing = now >= stall.0 && now < stall.0 + stall.1;
        for core in &mut cores {
            if core.is_none() {
                *core = queue_capacity.pop_front();
            }
            if let Some((attempt_id, left)) = core {
                *left -= if standing {
                    0.0
                } else {
                    STEP * spec.speed * warmth
                };
                if *left <= 0.0 {
                    // What the step did beyond the end goes to the next job: steps must not add up to a drift.
                    ends.push((*attempt_id, now + STEP));
                    let beyond = *left;
                    *core = queue_capacity
                        .pop_front()
                        .map(|(attempt_id, work): (u64, f64)| (attempt_id, work + beyond));
                }
            }
        }
        now += STEP;
    }
    ends.sort_by_key(|(attempt_id, _)| *attempt_id);
    ends
}

/// What happens at a time on the way through the generated input.
#[derive(Clone, Copy)]
enum Step {
    IncomingWork(usize),
    Stall(bool),
}

/// When each job ends in the node that is tested, by the number of the job.
fn completion_times(
    spec: &Spec,
    start: Start,
    stall: (f64, f64),
    arrivals: &[(f64, f64)],
) -> Vec<(u64, f64)> {
    let mut modelled = ModelledNode::new(spec.clone(), start);
    let mut steps = vec![
        (stall.0, Step::Stall(true)),
        (stall.0 + stall.1, Step::Stall(false)),
    ];
    let offers = arrivals.iter().enumerate();
    steps.extend(offers.map(|(n, (at, _))| (*at, Step::IncomingWork(n))));
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut ends = vec![];
    for (now, step) in steps {
        ends.extend(modelled.ends_until(now));
        match step {
            Step::IncomingWork(n) => modelled
                .receive(now, n as u64, arrivals[n].1)
                .expect("room"),
            Step::Stall(stalled) => modelled.stall(now, stalled),
        }
    }
    ends.extend(modelled.ends());
    ends.sort_by_key(|(attempt_id, _)| *attempt_id);
    ends
}

/// Completion times agree with the plain model within a few of its steps, warm or in slow start, with a stall anywhere.
fn completion_times_are_those_of_the_plain_model(
    attempt_ids: Vec<(u8, u8)>,
    cold: bool,
    stall: (u8, u8),
) -> TestResult {
    if attempt_ids.is_empty() || attempt_ids.len() > 30 {
        return TestResult::discard();
    }
    let spec = Spec {
        queue_capacity: 1000,
        collapse_factor: 1e9,
        ..spec()
    };
    let mut at = 0.0;
    let arrival = |(gap, work): &(u8, u8)| {
        at += f64::from(*gap) / 1000.0;
        (at, 0.002 + f64::from(*work) / 1000.0)
    };
    let arrivals: Vec<_> = attempt_ids.iter().map(arrival).collect();
    let stall = (f64::from(stall.0) / 100.0, f64::from(stall.1) / 200.0);
    let start = if cold { Start::Cold } else { Start::Warm };
    let ends = completion_times(&spec, start, stall, &arrivals);
    let expected = plain(&spec, cold, stall, &arrivals);
    let is_same = |(p, e): (&(u64, f64), &(u64, f64))| p.0 == e.0 && (p.1 - e.1).abs() < 0.01;
    TestResult::from_bool(expected.iter().zip(&ends).all(is_same) && ends.len() == arrivals.len())
}

/// Every job is rejected, finished or cancelled: none is lost and none ends twice.
fn each_job_ends_once(moves: Vec<(u8, u8, u8)>) -> bool {
    let mut modelled = ModelledNode::new(spec(), Start::Warm);
    let (mut now, mut taken, mut dropped) = (0.0, 0, 0);
    for (attempt_id, (gap, work, what)) in moves.iter().enumerate() {
        now += f64::from(*gap) / 2000.0;
        taken += usize::from(
            modelled
                .receive(now, attempt_id as u64, f64::from(*work) / 500.0)
                .is_ok(),
        );
        if what % 4 == 0 {
            dropped += usize::from(modelled.cancel(now, attempt_id as u64 / 2));
        }
    }
    let before = std::mem::take(&mut modelled.events);
    let before = before
        .iter()
        .filter(|h| matches!(h, BackendEvent::Finished(_)))
        .count();
    let after = modelled.ends().len();
    modelled.node.in_flight() == 0 && before + after + dropped == taken
}

/// Generated inputs that are the same in every run.
fn seeded() -> QuickCheck {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(40, 7))
}

#[test]
fn completion_times_agree_with_the_plain_model() {
    seeded().quickcheck(completion_times_are_those_of_the_plain_model as fn(_, _, _) -> TestResult);
}

#[test]
fn every_job_ends_exactly_once() {
    seeded().quickcheck(each_job_ends_once as fn(_) -> bool);
}

#[test]
fn a_node_in_slow_start_warms_up_over_its_time() {
    let mut cold = ModelledNode::new(spec(), Start::Cold);
    cold.receive(0.0, 1, 1.0).expect("room");
    // 0.25 t + 0.75 t² / 16 = 1
    let at = (-0.25 + (0.0625 + 0.1875f64).sqrt()) * 32.0 / 3.0;
    assert!((cold.ends()[0].1 - at).abs() < 1e-9);
    cold.receive(20.0, 2, 1.0).expect("room");
    assert_eq!(cold.ends(), [(2, 21.0)]);
}

#[test]
fn a_full_queue_rejects_and_a_draining_node_finishes_its_jobs() {
    let mut modelled = ModelledNode::new(spec(), Start::Warm);
    for attempt_id in 0..6 {
        modelled.receive(0.0, attempt_id, 1.0).expect("room");
    }
    assert_eq!(
        modelled.receive(0.0, 6, 1.0),
        Err(RejectionReason::QueueFull)
    );
    modelled.node.drain();
    assert_eq!(
        modelled.receive(3.5, 7, 1.0),
        Err(RejectionReason::Draining)
    );
    assert_eq!(modelled.node.in_flight(), 0);
}

/// Rule 4: rejected jobs count as load too, and a warm node can't be overloaded.
#[test]
fn a_node_in_slow_start_fails_under_overload_and_a_warm_one_does_not() {
    // Its capacity is 2 x 0.25; it fails at 3 times that within 1 s.
    let mut cold = ModelledNode::new(spec(), Start::Cold);
    let overload = (0..17)
        .map(|attempt_id| cold.receive(0.01, attempt_id, 0.1))
        .filter(|r| *r == Err(RejectionReason::Down))
        .count();
    assert_eq!(
        (overload, cold.node.is_down(), cold.node.in_flight()),
        (2, true, 0)
    );
    assert_eq!(
        cold.events
            .iter()
            .filter(|h| **h == BackendEvent::Collapsed)
            .count(),
        1
    );
    let mut paced = ModelledNode::new(spec(), Start::Cold);
    for attempt_id in 0..140 {
        let _ = paced.receive(attempt_id as f64 * 0.1, attempt_id, 0.1);
    }
    assert!(
        !paced.node.is_down()
            && paced.node.peak_overload() > 0.4
            && paced.node.peak_overload() < 0.6,
        "{}",
        paced.node.peak_overload()
    );
    let mut warm = ModelledNode::new(spec(), Start::Warm);
    for attempt_id in 0..1000 {
        let _ = warm.receive(0.01, attempt_id, 0.1);
    }
    assert!(!warm.node.is_down());
}

#[test]
fn cancelled_jobs_stop_or_run_on() {
    for stops in [true, false] {
        let mut modelled = ModelledNode::new(
            Spec {
                cancel_stops_execution: stops,
                cores: 1,
                ..spec()
            },
            Start::Warm,
        );
        for attempt_id in 0..3 {
            modelled.receive(0.0, attempt_id, 1.0).expect("room");
        }
        assert_eq!(
            (
                modelled.cancel(0.5, 0),
                modelled.cancel(0.5, 1),
                modelled.cancel(0.5, 9)
            ),
            (stops, true, false)
        );
        let expected: &[(u64, f64)] = if stops {
            &[(2, 1.5)]
        } else {
            &[(0, 1.0), (2, 2.0)]
        };
        assert_eq!(modelled.ends(), expected);
    }
}

#[test]
fn repeats_are_deduplicated_within_their_group_and_window() {
    let mut modelled = ModelledNode::new(spec(), Start::Warm);
    let mut run = |now: f64, attempt_id, group, key| {
        let idempotency_key = Some(IdempotencyKey {
            group,
            key,
            window: 4.0,
        });
        modelled
            .receive_work(
                now,
                IncomingWork {
                    attempt_id,
                    work: 0.1,
                    idempotency_key,
                    first_on_connection: false,
                },
            )
            .expect("room");
        modelled
            .advance(now + 0.2)
            .contains(&BackendEvent::DuplicateDropped(attempt_id))
    };
    assert!(!run(0.0, 1, 1, 5) && run(1.0, 2, 1, 5) && !run(2.0, 3, 2, 5) && !run(3.0, 4, 1, 6));
    assert!(!run(4.5, 5, 1, 5), "the window is over");
    assert!(run(5.0, 6, 1, 5), "and has begun again");
    assert!(!run(50.0, 7, 9, 9));
    assert!(!run(60.0, 8, 9, 8));
    assert!(
        modelled.deduplication.len() <= 3,
        "old marks are removed: {}",
        modelled.deduplication.len()
    );
}

#[test]
fn a_neighbour_slows_a_node_and_load_reports_have_their_age() {
    let mut modelled = ModelledNode::new(spec(), Start::Warm);
    modelled.node.report(0.0);
    modelled.receive(0.1, 1, 1.0).expect("room");
    assert_eq!(modelled.node.report(0.2).in_flight, 0);
    assert_eq!(modelled.node.report(0.6).in_flight, 1);
    modelled
        .node
        .scale(0.6, 0.25, &mut modelled.deduplication, &mut modelled.events);
    modelled
        .node
        .scale(1.6, 4.0, &mut modelled.deduplication, &mut modelled.events);
    let ends = modelled.ends();
    assert!((ends[0].1 - 1.85).abs() < 1e-9, "{ends:?}");
}

#[test]
fn connections_are_limited_and_the_first_rpc_pays_for_a_new_one() {
    let mut modelled = ModelledNode::new(spec(), Start::Warm);
    assert!(modelled.node.connect() && modelled.node.connect() && !modelled.node.connect());
    modelled.node.disconnect();
    assert!(modelled.node.connect());
    modelled
        .receive_work(
            0.0,
            IncomingWork {
                attempt_id: 1,
                work: 0.1,
                idempotency_key: None,
                first_on_connection: true,
            },
        )
        .expect("room");
    assert!((modelled.ends()[0].1 - 0.11).abs() < 1e-9);
}

/// The same RPC has the same work at every node, and the distribution is the one named.
#[test]
fn work_depends_on_seed_and_id_alone() {
    for (spread, variation) in [
        (Spread::Constant, 0.0),
        (Spread::Exponential, 1.0),
        (Spread::HeavyTail, 2.0),
    ] {
        let work = Work { mean: 0.05, spread };
        assert_eq!(work.draw(1, 7), work.draw(1, 7));
        let works: Vec<f64> = (0..200_000).map(|id| work.draw(3, id)).collect();
        let mean = works.iter().sum::<f64>() / works.len() as f64;
        let variance = works.iter().map(|w| (w - mean).powi(2)).sum::<f64>() / works.len() as f64;
        assert!((mean / 0.05 - 1.0).abs() < 0.02, "{spread:?}: {mean}");
        assert!(
            (variance.sqrt() / mean - variation).abs() < 0.15,
            "{spread:?}: {variance}"
        );
    }
}
