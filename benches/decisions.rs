//! What a decision costs, by the size of the fleet: `cargo bench`. Half load, answers that carry reports.
use birchhub::policy::{Balancer, Rpc};
use birchhub::types::*;
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use std::collections::VecDeque;
use std::hint::black_box;

const SIZES: [u32; 5] = [10, 100, 1_000, 10_000, 100_000];
const SERVICE: f64 = 0.05; // s of each pick

/// A platform that only notes what is asked of it.
#[derive(Default)]
struct Platform {
    now: f64,
    picked: Option<u32>,
    probed: Vec<u32>,
}

impl Link for Platform {
    fn now(&self) -> f64 {
        self.now
    }
    fn pick(&mut self, _rpc: u64, backend: u32, _time_out: f64) {
        self.picked = Some(backend);
    }
    fn cancel(&mut self, _rpc: u64, _pick: usize) {}
    fn push_back(&mut self, _rpc: u64, _come_back: f64) {}
    fn abort(&mut self, _rpc: u64) {}
    fn probe(&mut self, backend: u32) {
        self.probed.push(backend);
    }
    fn watch(&mut self) {}
    fn wake_in(&mut self, _delay: f64) {}
}

fn settings(reports: Reports) -> Settings {
    let method = |effect, utility| MethodSettings {
        effect,
        latency_target: 0.25,
        target_stretch: 0.0,
        utility,
        late_utility: 0.0,
        in_order: false,
    };
    Settings {
        balancers: 1,
        methods: vec![
            method(Effect::Idempotent, 1.0),
            method(Effect::NonIdempotent, 4.0),
        ],
        most_picks: 3,
        may_cancel: true,
        may_probe: true,
        probe_price: 0.002,
        reports,
        reports_queue: true,
        ask_within: 10.0,
        drain_grace: 0.3,
        cold_from: 0.3,
        cold_for: 8.0,
        fall_multiple: 3.0,
        fall_window: 1.0,
        ..Settings::default()
    }
}

fn entry(backend: u32) -> Entry {
    let (cell, zone) = (u64::from(backend / 8), 0);
    Entry {
        backend,
        size: 1.0,
        started: None,
        cell,
        zone,
        readiness: Readiness::Ready,
    }
}

/// A proxy alone before so many backends, each of which holds what it was sent.
struct Bench {
    balancer: Balancer,
    platform: Platform,
    out: VecDeque<(Rpc, u32)>,
    held: Vec<u32>,
    next: u64,
}

impl Bench {
    fn new(backends: u32, reports: Reports) -> Self {
        let mut platform = Platform::default();
        let balancer = Balancer::new(&settings(reports), 1);
        let listed: Vec<_> = (0..backends).map(entry).collect();
        balancer.list(ListKind::Full, &listed, &mut platform);
        let held = vec![0; backends as usize];
        let mut bench = Self {
            balancer,
            platform,
            out: VecDeque::new(),
            held,
            next: 0,
        };
        (0..backends * 2).for_each(|_| bench.rpc());
        bench
    }

    fn report(&self, backend: u32) -> Option<LoadReport> {
        let in_flight = Some(f64::from(self.held[backend as usize]));
        Some(LoadReport {
            in_flight,
            ..LoadReport::default()
        })
    }

    fn take(&mut self) {
        let (id, method) = (self.next, (self.next % 2) as usize);
        self.next += 1;
        let deadline = self.platform.now + 1.0;
        let arrival = Arrival {
            id,
            method,
            deadline,
            ..Arrival::default()
        };
        let rpc = self.balancer.take(&arrival, &mut self.platform);
        while self.platform.picked.is_none() && !self.platform.probed.is_empty() {
            for backend in std::mem::take(&mut self.platform.probed) {
                let report = self.report(backend);
                self.balancer
                    .probed(backend, Outcome::Ok, report, &mut self.platform);
            }
        }
        self.platform.probed.clear();
        if let Some(backend) = self.platform.picked.take() {
            self.held[backend as usize] += 1;
            self.out.push_back((rpc, backend));
        }
    }

    /// One RPC comes and, at half load, one ends.
    fn rpc(&mut self) {
        self.platform.now += SERVICE * 2.0 / self.held.len() as f64;
        self.take();
        if self.out.len() * 2 > self.held.len()
            && let Some((rpc, backend)) = self.out.pop_front()
        {
            self.held[backend as usize] -= 1;
            let report = self.report(backend);
            rpc.ended(0, Outcome::Ok, true, report, &mut self.platform);
            black_box(rpc.is_over());
        }
    }
}

fn rpcs(c: &mut Criterion) {
    for (name, reports) in [
        ("rpc, reports in answers", Reports::InAnswers),
        ("rpc, reports by probe", Reports::ByProbe),
    ] {
        let mut group = c.benchmark_group(name);
        for size in SIZES {
            let mut bench = Bench::new(size, reports);
            group.bench_function(BenchmarkId::from_parameter(size), |b| {
                b.iter(|| bench.rpc())
            });
        }
        group.finish();
    }
}

/// With RPCs that wait for a probe, each event has to serve them.
fn waiting(c: &mut Criterion) {
    let mut group = c.benchmark_group("probe answered while RPCs wait");
    for waiting in [1, 100, 1_000] {
        let mut bench = Bench::new(100, Reports::ByProbe);
        let deadline = bench.platform.now + 60.0;
        let arrival = |id| Arrival {
            id,
            deadline,
            ..Arrival::default()
        };
        let mut rpcs: Vec<_> = (0..waiting)
            .map(|n| {
                bench
                    .balancer
                    .take(&arrival(1 << 40 | n), &mut bench.platform)
            })
            .collect();
        let busy = Some(LoadReport {
            in_flight: Some(9.0),
            ..LoadReport::default()
        });
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| {
                bench
                    .balancer
                    .probed(5, Outcome::Ok, busy, &mut bench.platform)
            });
        });
        rpcs.clear();
    }
    group.finish();
}

fn lists(c: &mut Criterion) {
    let mut group = c.benchmark_group("one list change");
    for size in SIZES {
        let mut bench = Bench::new(size, Reports::InAnswers);
        let mut ready = true;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                ready = !ready;
                let readiness = if ready {
                    Readiness::Ready
                } else {
                    Readiness::Draining
                };
                bench.balancer.list(
                    ListKind::Changes,
                    &[Entry {
                        readiness,
                        ..entry(3)
                    }],
                    &mut bench.platform,
                );
            });
        });
    }
    group.finish();
    let mut group = c.benchmark_group("whole list, by line");
    for size in SIZES {
        let listed: Vec<_> = (0..size).map(entry).collect();
        group.throughput(Throughput::Elements(u64::from(size)));
        let fresh = || {
            (
                Balancer::new(&settings(Reports::InAnswers), 1),
                Platform::default(),
            )
        };
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                fresh,
                |(balancer, mut platform)| {
                    balancer.list(ListKind::Full, &listed, &mut platform);
                    balancer
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = decisions;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(1)).warm_up_time(std::time::Duration::from_millis(300));
    targets = rpcs, waiting, lists
}
criterion_main!(decisions);
