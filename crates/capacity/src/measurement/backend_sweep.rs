//! The sweep over the number of backends: memory, start, list changes, RPCs and health checks of one proxy.
use super::{Measurement, ProcessorUsage, SETTLING_TIME, ZONES};
use crate::error::MeasurementError;
use crate::proxy::{Proxy, ProxyProfile};
use crate::stub_backends::{CONNECTION_IDLE_TIMEOUT, StubBackends};
use crate::synthetic_discovery::SyntheticDiscoveryService;
use crate::usage;
use tokio::time::sleep;

/// Rate of list changes in this sweep; a proxy polls at most 50 times per second.
const CHANGES_PER_SECOND: u32 = 20;

/// The series that receive the points of RPCs.
struct RpcSeries {
    processor: &'static str,
    connections: &'static str,
    latency: &'static str,
}

const WITHOUT_HEALTH_CHECKS: RpcSeries = RpcSeries {
    processor: "rpc.backends",
    connections: "connect.backends",
    latency: "latency.backends",
};

const WITH_HEALTH_CHECKS: RpcSeries = RpcSeries {
    processor: "rpc.probes.backends",
    connections: "connect.probes.backends",
    latency: "latency.probes.backends",
};

impl Measurement<'_> {
    pub(super) async fn sweep_backends(&mut self) -> Result<(), MeasurementError> {
        for &listed in &self.plan.backends {
            self.log_progress(&format!("{listed} backends"));
            let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
            let discovery = SyntheticDiscoveryService::start(listed, backends.endpoints(), ZONES)?;
            let size = f64::from(listed);
            let idle = self
                .measure_without_health_checks(&discovery, &backends, size)
                .await?;
            self.measure_with_health_checks(&discovery, &backends, size, &idle)
                .await?;
        }
        Ok(())
    }

    /// Takes the points of a proxy that gets load reports in responses. Returns its usage without RPCs.
    async fn measure_without_health_checks(
        &mut self,
        discovery: &SyntheticDiscoveryService,
        backends: &StubBackends,
        size: f64,
    ) -> Result<ProcessorUsage, MeasurementError> {
        let proxy = self.start_proxy(discovery, ProxyProfile::default()).await?;
        sleep(SETTLING_TIME).await;
        let memory = usage::resident_memory_mb(proxy.pid)?;
        let startup = proxy.startup;
        self.report.add("memory.backends", size, memory)?;
        self.report
            .add("start.wall.backends", size, startup.wall_seconds)?;
        self.report
            .add("start.backends", size, startup.processor_seconds)?;
        let idle = self.measure_idle(&proxy).await?;
        self.report.add("idle.backends", size, idle.percent())?;
        let (changes, usage) = self
            .measure_list_changes(discovery, proxy.pid, CHANGES_PER_SECOND)
            .await?;
        let change_ms = 1e3 * usage.seconds_above(&idle) / f64::from(changes);
        self.report.add("change.backends", size, change_ms)?;
        self.measure_rpcs(&proxy, backends, size, &idle, &WITHOUT_HEALTH_CHECKS)
            .await?;
        let busy_memory = usage::resident_memory_mb(proxy.pid)?;
        self.report.add("memory.busy.backends", size, busy_memory)?;
        Ok(idle)
    }

    /// Takes the points of a proxy that gets load reports by health checks.
    async fn measure_with_health_checks(
        &mut self,
        discovery: &SyntheticDiscoveryService,
        backends: &StubBackends,
        size: f64,
        idle: &ProcessorUsage,
    ) -> Result<(), MeasurementError> {
        let profile = ProxyProfile {
            health_checks: true,
            ..ProxyProfile::default()
        };
        let proxy = self.start_proxy(discovery, profile).await?;
        sleep(SETTLING_TIME).await;
        let before = backends.counts();
        self.measure_rpcs(&proxy, backends, size, idle, &WITH_HEALTH_CHECKS)
            .await?;
        let counts = backends.counts().since(before);
        self.report
            .add("probes.backends", size, counts.health_checks_per_request())?;
        Ok(())
    }

    /// Takes the points of RPCs at the planned rate: processor time, connections and added latency.
    async fn measure_rpcs(
        &mut self,
        proxy: &Proxy,
        backends: &StubBackends,
        size: f64,
        idle: &ProcessorUsage,
        series: &RpcSeries,
    ) -> Result<(), MeasurementError> {
        let rate = self.plan.rpcs_per_second;
        // The first window opens the connections that the second one reuses.
        self.send_rpcs(proxy, rate).await?;
        let before = backends.counts();
        let (outcome, usage) = self.send_rpcs(proxy, rate).await?;
        let counts = backends.counts().since(before);
        let rpc_us = 1e6 * usage.seconds_above(idle) / outcome.sent.max(1) as f64;
        self.report.add(series.processor, size, rpc_us)?;
        self.report
            .add(series.connections, size, counts.connections_per_request())?;
        let latency_ms = self.measure_added_latency(proxy, backends, rate).await?;
        self.report.add(series.latency, size, latency_ms)?;
        Ok(())
    }
}
