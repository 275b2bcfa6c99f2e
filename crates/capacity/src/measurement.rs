//! Measures all series of a plan: each sweep takes the points of a few series at one size after another.
mod backend_sweep;
mod connection_sweep;
mod discovery_sweeps;
mod processor_meter;
mod proxy_sweeps;
mod settings_sweep;

use crate::clients::{self, Outcome};
use crate::error::MeasurementError;
use crate::plan::Plan;
use crate::planned_size;
use crate::proxy::{Proxy, ProxyProfile};
use crate::report::Report;
use crate::stub_backends::StubBackends;
use crate::synthetic_discovery::SyntheticDiscoveryService;
use processor_meter::{ProcessorMeter, ProcessorUsage};
use std::path::PathBuf;
use std::time::Duration;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, interval, sleep};

/// Zones over which the backends are spread.
const ZONES: u32 = planned_size::ZONES as u32;
/// Time between the readiness of a proxy and the first reading of its usage.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Time in which the last change of the endpoint list reaches a proxy: more than the pause between two of its polls.
const LAST_CHANGE_TIME: Duration = Duration::from_millis(50);
/// Percentile of the latencies that are compared.
const LATENCY_PERCENTILE: f64 = 99.0;
/// Windows from which the lowest latency is taken, because load on the machine can only add to it.
const LATENCY_WINDOWS: u32 = 3;
/// Distance between the endpoints that change one after another.
const CHANGED_ENDPOINT_STRIDE: u32 = 7;

/// Options of a measurement.
pub struct Options {
    /// The proxies' program.
    pub program: PathBuf,
    /// The folder for configurations and logs, which is created if it is missing and never emptied.
    pub folder: PathBuf,
    /// Whether progress lines are written to standard error.
    pub progress: bool,
}

/// Measures all series of a plan.
///
/// # Errors
/// Fails if a proxy, a thread or a file can't be created, if a proxy never becomes ready, or after SIGINT or SIGTERM.
pub fn measure(plan: &Plan, options: &Options) -> Result<Report, MeasurementError> {
    std::fs::create_dir_all(&options.folder).map_err(|source| MeasurementError::File {
        path: options.folder.clone(),
        source,
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(MeasurementError::EventLoop)?;
    let measurement = Measurement {
        plan,
        options,
        report: Report::new(plan),
        started_proxies: 0,
    };
    LocalSet::new().block_on(&runtime, async {
        // Dropping the measurement ends its proxies: none outlives a run that is stopped.
        let mut interrupt = signal_stream(SignalKind::interrupt())?;
        let mut terminate = signal_stream(SignalKind::terminate())?;
        select! {
            report = measurement.run() => report,
            _ = interrupt.recv() => Err(MeasurementError::Stopped { signal: "SIGINT" }),
            _ = terminate.recv() => Err(MeasurementError::Stopped { signal: "SIGTERM" }),
        }
    })
}

fn signal_stream(kind: SignalKind) -> Result<Signal, MeasurementError> {
    signal(kind).map_err(MeasurementError::SignalHandler)
}

/// The largest of several sizes, or 1 if there are none.
fn largest(sizes: &[u32]) -> u32 {
    sizes.iter().copied().max().unwrap_or(1)
}

/// A measurement in progress.
struct Measurement<'a> {
    plan: &'a Plan,
    options: &'a Options,
    report: Report,
    /// Proxies started so far; the number is part of their names.
    started_proxies: u64,
}

impl Measurement<'_> {
    async fn run(mut self) -> Result<Report, MeasurementError> {
        let start = Instant::now();
        self.sweep_backends().await?;
        self.sweep_tenants().await?;
        self.sweep_methods().await?;
        self.sweep_rpc_rates().await?;
        self.sweep_change_rates().await?;
        self.sweep_proxies().await?;
        self.sweep_simulated_proxies().await?;
        self.sweep_snapshots().await?;
        self.sweep_settings_changes().await?;
        self.report.duration_seconds = start.elapsed().as_secs_f64();
        self.report.finish();
        Ok(self.report)
    }

    fn log_progress(&self, step: &str) {
        if self.options.progress {
            eprintln!("scale: {step}");
        }
    }

    /// The time for which each rate is held.
    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.plan.window_seconds)
    }

    /// Starts a proxy and waits until it is ready.
    async fn start_proxy(
        &mut self,
        discovery: &SyntheticDiscoveryService,
        profile: ProxyProfile,
    ) -> Result<Proxy, MeasurementError> {
        self.started_proxies += 1;
        let name = format!("p{}", self.started_proxies);
        let seed = self.plan.seed.wrapping_add(self.started_proxies);
        let Options {
            program, folder, ..
        } = self.options;
        Proxy::start(program, folder, &name, discovery.address(), profile, seed).await
    }

    /// The processor time of a proxy without RPCs over one window.
    async fn measure_idle(&self, proxy: &Proxy) -> Result<ProcessorUsage, MeasurementError> {
        let meter = ProcessorMeter::start(proxy.pid)?;
        sleep(self.window()).await;
        meter.stop()
    }

    /// Sends RPCs through a proxy for one window.
    async fn send_rpcs(
        &mut self,
        proxy: &Proxy,
        rate: u32,
    ) -> Result<(Outcome, ProcessorUsage), MeasurementError> {
        let meter = ProcessorMeter::start(proxy.pid)?;
        let window = self.plan.window_seconds;
        let outcome = clients::run(proxy.address, rate.into(), window, self.plan.seed).await?;
        let usage = meter.stop()?;
        self.count_rpcs(&outcome);
        Ok((outcome, usage))
    }

    fn count_rpcs(&mut self, outcome: &Outcome) {
        self.report.rpcs += outcome.sent;
        self.report.failed_rpcs += outcome.failed;
    }

    /// Time in milliseconds that a proxy adds to the 99th percentile of the latency: the difference of the lowest values of
    /// several windows with and without the proxy.
    async fn measure_added_latency(
        &mut self,
        proxy: &Proxy,
        backends: &StubBackends,
        rate: u32,
    ) -> Result<f64, MeasurementError> {
        let windows = if self.plan.quick { 1 } else { LATENCY_WINDOWS };
        let backend = backends.endpoints()[0];
        let mut lowest_via_proxy_ms = f64::INFINITY;
        let mut lowest_direct_ms = f64::INFINITY;
        for _ in 0..windows {
            let window = self.plan.window_seconds;
            let direct = clients::run(backend, rate.into(), window, self.plan.seed).await?;
            lowest_direct_ms = lowest_direct_ms.min(direct.latency_ms(LATENCY_PERCENTILE));
            let (via_proxy, _) = self.send_rpcs(proxy, rate).await?;
            lowest_via_proxy_ms = lowest_via_proxy_ms.min(via_proxy.latency_ms(LATENCY_PERCENTILE));
        }
        Ok(lowest_via_proxy_ms - lowest_direct_ms)
    }

    /// Changes the endpoint list at a rate for one window. Returns the number of changes and the processor time of a proxy.
    async fn measure_list_changes(
        &self,
        discovery: &SyntheticDiscoveryService,
        pid: u32,
        changes_per_second: u32,
    ) -> Result<(u32, ProcessorUsage), MeasurementError> {
        let meter = ProcessorMeter::start(pid)?;
        let mut ticks = interval(Duration::from_secs(1) / changes_per_second);
        let mut changes = 0;
        while meter.elapsed() < self.window() {
            ticks.tick().await;
            discovery.change_endpoint(changes * CHANGED_ENDPOINT_STRIDE);
            changes += 1;
        }
        sleep(LAST_CHANGE_TIME).await;
        Ok((changes, meter.stop()?))
    }
}
