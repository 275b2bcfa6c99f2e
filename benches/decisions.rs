//! What a decision costs, by the size of the fleet: `cargo bench`. Half load, answers that carry reports.
#![expect(
    missing_docs,
    reason = "criterion_group writes a public function without one"
)]

use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::*;
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use std::collections::VecDeque;
use std::hint::black_box;

const SIZES: [u32; 5] = [10, 100, 1_000, 10_000, 100_000];
const SERVICE_TIME: f64 = 0.05; // s of each attempt

/// A platform that only records what is asked of it.
#[derive(Default)]
struct RecordingPlatform {
    now: f64,
    attempted: Option<u32>,
    checked: Vec<u32>,
}

impl Platform for RecordingPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, _rpc: u64, backend: u32, _timeout: f64) {
        self.attempted = Some(backend);
    }
    fn cancel_attempt(&mut self, _rpc: u64, _attempt: usize) {}
    fn reject(&mut self, _rpc: u64, _retry_after: f64) {}
    fn fail(&mut self, _rpc: u64) {}
    fn health_check(&mut self, backend: u32) {
        self.checked.push(backend);
    }
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, _delay: f64) {}
}

fn settings(reports: LoadReportSource) -> Settings {
    let method = |idempotency, priority_weight| MethodSettings {
        idempotency,
        latency_objective: 0.25,
        objective_stretch: 0.0,
        priority_weight,
        late_weight_fraction: 0.0,
        ordered_by_key: false,
    };
    Settings {
        proxy_count: 1,
        methods: vec![
            method(Idempotency::Idempotent, 1.0),
            method(Idempotency::NonIdempotent, 4.0),
        ],
        max_attempts: 3,
        can_cancel: true,
        can_health_check: true,
        health_check_cost: 0.002,
        load_report_source: reports,
        reports_include_queue: true,
        max_poll_interval: 10.0,
        drain_grace: 0.3,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 8.0,
        overload_multiple: 3.0,
        overload_window: 1.0,
        ..Settings::default()
    }
}

fn entry(backend: u32) -> Endpoint {
    let (cell, zone) = (u64::from(backend / 8), 0);
    Endpoint {
        backend,
        relative_size: 1.0,
        started_at: None,
        cell,
        zone,
        readiness: Readiness::Ready,
    }
}

/// A proxy alone before so many backends, each of which holds what it was sent.
struct Bench {
    balancer: Balancer,
    platform: RecordingPlatform,
    in_flight: VecDeque<(RpcHandle, u32)>,
    loads: Vec<u32>,
    next_id: u64,
}

impl Bench {
    fn new(backends: u32, reports: LoadReportSource) -> Self {
        let mut platform = RecordingPlatform::default();
        let balancer = Balancer::new(&settings(reports), 1);
        let listed: Vec<_> = (0..backends).map(entry).collect();
        balancer.update_endpoints(EndpointUpdateKind::Snapshot, &listed, &mut platform);
        let loads = vec![0; backends as usize];
        let mut bench = Self {
            balancer,
            platform,
            in_flight: VecDeque::new(),
            loads,
            next_id: 0,
        };
        (0..backends * 2).for_each(|_| bench.rpc());
        bench
    }

    fn report(&self, backend: u32) -> Option<LoadReport> {
        let in_flight = Some(f64::from(self.loads[backend as usize]));
        Some(LoadReport {
            in_flight,
            ..LoadReport::default()
        })
    }

    fn accept(&mut self) {
        let (id, method) = (self.next_id, (self.next_id % 2) as usize);
        self.next_id += 1;
        let deadline = self.platform.now + 1.0;
        let incoming = IncomingRpc {
            id,
            method,
            deadline,
            ..IncomingRpc::default()
        };
        let rpc = self.balancer.accept(&incoming, &mut self.platform);
        while self.platform.attempted.is_none() && !self.platform.checked.is_empty() {
            for backend in std::mem::take(&mut self.platform.checked) {
                let report = self.report(backend);
                self.balancer.on_health_check(
                    backend,
                    AttemptOutcome::Succeeded,
                    report,
                    &mut self.platform,
                );
            }
        }
        self.platform.checked.clear();
        if let Some(backend) = self.platform.attempted.take() {
            self.loads[backend as usize] += 1;
            self.in_flight.push_back((rpc, backend));
        }
    }

    /// One RPC comes and, at half load, one ends.
    fn rpc(&mut self) {
        self.platform.now += SERVICE_TIME * 2.0 / self.loads.len() as f64;
        self.accept();
        if self.in_flight.len() * 2 > self.loads.len()
            && let Some((rpc, backend)) = self.in_flight.pop_front()
        {
            self.loads[backend as usize] -= 1;
            let report = self.report(backend);
            rpc.on_attempt_ended(
                0,
                AttemptOutcome::Succeeded,
                true,
                report,
                &mut self.platform,
            );
            black_box(rpc.is_finished());
        }
    }
}

fn rpcs(c: &mut Criterion) {
    for (name, reports) in [
        ("rpc, reports in answers", LoadReportSource::Responses),
        ("rpc, reports by probe", LoadReportSource::HealthChecks),
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
        let mut bench = Bench::new(100, LoadReportSource::HealthChecks);
        let deadline = bench.platform.now + 60.0;
        let incoming = |id| IncomingRpc {
            id,
            deadline,
            ..IncomingRpc::default()
        };
        let mut rpcs: Vec<_> = (0..waiting)
            .map(|n| {
                bench
                    .balancer
                    .accept(&incoming(1 << 40 | n), &mut bench.platform)
            })
            .collect();
        let busy = Some(LoadReport {
            in_flight: Some(9.0),
            ..LoadReport::default()
        });
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| {
                bench.balancer.on_health_check(
                    5,
                    AttemptOutcome::Succeeded,
                    busy,
                    &mut bench.platform,
                )
            });
        });
        rpcs.clear();
    }
    group.finish();
}

fn list_change(c: &mut Criterion) {
    let mut group = c.benchmark_group("one list change");
    for size in SIZES {
        let mut bench = Bench::new(size, LoadReportSource::Responses);
        let mut ready = true;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                ready = !ready;
                let readiness = if ready {
                    Readiness::Ready
                } else {
                    Readiness::Draining
                };
                bench.balancer.update_endpoints(
                    EndpointUpdateKind::Incremental,
                    &[Endpoint {
                        readiness,
                        ..entry(3)
                    }],
                    &mut bench.platform,
                );
            });
        });
    }
    group.finish();
}

fn whole_list(c: &mut Criterion) {
    let mut group = c.benchmark_group("whole list, by line");
    for size in SIZES {
        let listed: Vec<_> = (0..size).map(entry).collect();
        group.throughput(Throughput::Elements(u64::from(size)));
        let fresh = || {
            (
                Balancer::new(&settings(LoadReportSource::Responses), 1),
                RecordingPlatform::default(),
            )
        };
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                fresh,
                |(balancer, mut platform)| {
                    balancer.update_endpoints(EndpointUpdateKind::Snapshot, &listed, &mut platform);
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
    targets = rpcs, waiting, list_change, whole_list
}
criterion_main!(decisions);
