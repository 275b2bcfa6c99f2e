//! Benchmarks the cost of decisions at half load by the number of backends. Run with `cargo bench`.
#![expect(
    missing_docs,
    reason = "criterion_group generates a public function without documentation"
)]

#[path = "../tests/common/fixtures.rs"]
mod fixtures;

use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::*;
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use std::collections::VecDeque;
use std::hint::black_box;

/// Numbers of backends.
const SIZES: [u32; 5] = [10, 100, 1_000, 10_000, 100_000];
/// Duration of each attempt in seconds.
const SERVICE_TIME_SECONDS: f64 = 0.05;

/// Platform that records the requested attempts and health checks.
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

/// Returns settings with two methods of different priority and load reports from `reports`.
fn settings(reports: LoadReportSource) -> Settings {
    let mut settings = fixtures::settings(&[Idempotency::Idempotent, Idempotency::NonIdempotent]);
    for (method, priority_weight) in settings.methods.iter_mut().zip([1.0, 4.0]) {
        method.latency_objective = 0.25;
        method.priority_weight = priority_weight;
    }
    Settings {
        load_report_source: reports,
        polls_endpoint_list: false,
        drain_grace: 0.3,
        ..settings
    }
}

/// Returns an endpoint in a cell of eight backends. All cells are in one zone.
fn endpoint(backend: u32) -> Endpoint {
    Endpoint {
        cell: u64::from(backend / 8),
        zone: 0,
        ..fixtures::endpoint(backend)
    }
}

/// An RPC whose first attempt is in flight.
struct RpcInFlight {
    handle: RpcHandle,
    backend: u32,
}

/// A single proxy whose backends are at half load and report the number of attempts in flight.
struct ProxyAtHalfLoad {
    balancer: Balancer,
    platform: RecordingPlatform,
    in_flight: VecDeque<RpcInFlight>,
    loads: Vec<u32>,
    next_id: u64,
}

impl ProxyAtHalfLoad {
    fn new(backends: u32, reports: LoadReportSource) -> Self {
        let mut platform = RecordingPlatform::default();
        let balancer = Balancer::new(&settings(reports), 1);
        let listed: Vec<_> = (0..backends).map(endpoint).collect();
        balancer.update_endpoints(EndpointUpdateKind::Snapshot, &listed, &mut platform);
        let loads = vec![0; backends as usize];
        let mut proxy = Self {
            balancer,
            platform,
            in_flight: VecDeque::new(),
            loads,
            next_id: 0,
        };
        (0..backends * 2).for_each(|_| proxy.rpc());
        proxy
    }

    /// Returns the load report of a backend.
    fn report(&self, backend: u32) -> Option<LoadReport> {
        let in_flight = Some(f64::from(self.loads[backend as usize]));
        Some(LoadReport {
            in_flight,
            ..LoadReport::default()
        })
    }

    /// Accepts an RPC and responds to health checks until it is sent.
    fn accept(&mut self) {
        let incoming = IncomingRpc {
            id: self.next_id,
            method: (self.next_id % 2) as usize,
            deadline: self.platform.now + 1.0,
            ..IncomingRpc::default()
        };
        self.next_id += 1;
        let handle = self.balancer.accept(&incoming, &mut self.platform);
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
            self.in_flight.push_back(RpcInFlight { handle, backend });
        }
    }

    /// Accepts an RPC and, above half load, completes the oldest attempt.
    fn rpc(&mut self) {
        self.platform.now += SERVICE_TIME_SECONDS * 2.0 / self.loads.len() as f64;
        self.accept();
        if self.in_flight.len() * 2 > self.loads.len()
            && let Some(RpcInFlight { handle, backend }) = self.in_flight.pop_front()
        {
            self.loads[backend as usize] -= 1;
            let report = self.report(backend);
            handle.on_attempt_ended(
                0,
                AttemptOutcome::Succeeded,
                true,
                report,
                &mut self.platform,
            );
            black_box(handle.is_finished());
        }
    }
}

/// Measures an RPC from its arrival until it is finished.
fn rpcs(c: &mut Criterion) {
    for (name, reports) in [
        ("rpc, reports in answers", LoadReportSource::Responses),
        ("rpc, reports by probe", LoadReportSource::HealthChecks),
    ] {
        let mut group = c.benchmark_group(name);
        for size in SIZES {
            let mut proxy = ProxyAtHalfLoad::new(size, reports);
            group.bench_function(BenchmarkId::from_parameter(size), |b| {
                b.iter(|| proxy.rpc())
            });
        }
        group.finish();
    }
}

/// Measures the end of a health check while RPCs are pending, as each event has to serve them.
fn pending_rpcs(c: &mut Criterion) {
    let mut group = c.benchmark_group("probe answered while RPCs wait");
    for pending in [1, 100, 1_000] {
        let mut proxy = ProxyAtHalfLoad::new(100, LoadReportSource::HealthChecks);
        let deadline = proxy.platform.now + 60.0;
        let incoming = |id| IncomingRpc {
            id,
            deadline,
            ..IncomingRpc::default()
        };
        let mut rpcs: Vec<_> = (0..pending)
            .map(|n| {
                proxy
                    .balancer
                    .accept(&incoming(1 << 40 | n), &mut proxy.platform)
            })
            .collect();
        let busy = Some(LoadReport {
            in_flight: Some(9.0),
            ..LoadReport::default()
        });
        group.bench_function(BenchmarkId::from_parameter(pending), |b| {
            b.iter(|| {
                proxy.balancer.on_health_check(
                    5,
                    AttemptOutcome::Succeeded,
                    busy,
                    &mut proxy.platform,
                )
            });
        });
        rpcs.clear();
    }
    group.finish();
}

/// Measures an incremental update of one endpoint.
fn endpoint_update(c: &mut Criterion) {
    let mut group = c.benchmark_group("one list change");
    for size in SIZES {
        let mut proxy = ProxyAtHalfLoad::new(size, LoadReportSource::Responses);
        let mut ready = true;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                ready = !ready;
                let readiness = if ready {
                    Readiness::Ready
                } else {
                    Readiness::Draining
                };
                proxy.balancer.update_endpoints(
                    EndpointUpdateKind::Incremental,
                    &[Endpoint {
                        readiness,
                        ..endpoint(3)
                    }],
                    &mut proxy.platform,
                );
            });
        });
    }
    group.finish();
}

/// Measures the first snapshot of the endpoint list.
fn first_snapshot(c: &mut Criterion) {
    let mut group = c.benchmark_group("whole list, by line");
    for size in SIZES {
        let listed: Vec<_> = (0..size).map(endpoint).collect();
        group.throughput(Throughput::Elements(u64::from(size)));
        let new_balancer = || {
            (
                Balancer::new(&settings(LoadReportSource::Responses), 1),
                RecordingPlatform::default(),
            )
        };
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                new_balancer,
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
    targets = rpcs, pending_rpcs, endpoint_update, first_snapshot
}
criterion_main!(decisions);
