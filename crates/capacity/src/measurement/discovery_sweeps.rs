//! Sweeps with simulated proxies: the cost of endpoint lists and of their changes at the discovery service.
use super::{Measurement, ZONES, largest};
use crate::error::MeasurementError;
use crate::simulated_proxies::SimulatedProxies;
use crate::stub_backends::{CONNECTION_IDLE_TIMEOUT, StubBackends};
use crate::synthetic_discovery::SyntheticDiscoveryService;
use std::time::Duration;
use tokio::time::{Instant, interval, sleep};

/// Time in which all simulated proxies must receive a version of the endpoint list.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(120);
/// The version of an endpoint list without changes.
const FIRST_VERSION: u64 = 0;
/// Time in which the thread of simulated proxies publishes its processor time: a few of its periods.
const PROCESSOR_TIME_DELAY: Duration = Duration::from_millis(20);
const BYTES_PER_KB: f64 = 1e3;
const MS_PER_SECOND: f64 = 1e3;

impl Measurement<'_> {
    pub(super) async fn sweep_simulated_proxies(&mut self) -> Result<(), MeasurementError> {
        let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
        let largest_count = largest(&self.plan.simulated_proxies);
        for &count in &self.plan.simulated_proxies {
            self.log_progress(&format!("{count} hollow proxies"));
            let listed = self.plan.simulated_proxy_backends;
            let discovery = SyntheticDiscoveryService::start(listed, backends.endpoints(), ZONES)?;
            let start = Instant::now();
            let mut proxies = SimulatedProxies::start(count, discovery.address(), self.plan.seed)?;
            let last_snapshot = proxies
                .wait_for_version(FIRST_VERSION, UPDATE_TIMEOUT)
                .await?;
            let snapshot_seconds = (last_snapshot - start).as_secs_f64();
            self.report
                .add("list.crowd", count.into(), snapshot_seconds)?;
            self.measure_single_changes(&discovery, &mut proxies, count)
                .await?;
            if count == largest_count {
                self.sweep_change_rates_of_discovery(&discovery, &mut proxies)
                    .await?;
            }
        }
        Ok(())
    }

    /// Changes the endpoint list and waits until all proxies have the change, several times.
    async fn measure_single_changes(
        &mut self,
        discovery: &SyntheticDiscoveryService,
        proxies: &mut SimulatedProxies,
        count: u32,
    ) -> Result<(), MeasurementError> {
        let before = discovery.usage();
        let mut longest_seconds = 0.0_f64;
        for change in 0..self.plan.simulated_proxy_changes {
            let start = Instant::now();
            let version = discovery.change_endpoint(change);
            let last_update = proxies.wait_for_version(version, UPDATE_TIMEOUT).await?;
            longest_seconds = longest_seconds.max((last_update - start).as_secs_f64());
        }
        let usage = discovery.usage().since(before);
        let changes = f64::from(self.plan.simulated_proxy_changes);
        let calls = usage.calls as f64 / changes;
        let change_kb = usage.bytes as f64 / BYTES_PER_KB / changes;
        let change_ms = MS_PER_SECOND * usage.processor_seconds / changes;
        let size = f64::from(count);
        self.report.add("list.calls", size, calls)?;
        self.report.add("list.bytes", size, change_kb)?;
        self.report.add("list.processor", size, change_ms)?;
        self.report.add("list.in_force", size, longest_seconds)?;
        Ok(())
    }

    /// Changes the endpoint list at several rates, for one window each.
    async fn sweep_change_rates_of_discovery(
        &mut self,
        discovery: &SyntheticDiscoveryService,
        proxies: &mut SimulatedProxies,
    ) -> Result<(), MeasurementError> {
        for &rate in &self.plan.changes {
            let before = discovery.usage();
            let start = Instant::now();
            let mut ticks = interval(Duration::from_secs(1) / rate);
            let mut changes = 0;
            let mut version = FIRST_VERSION;
            while start.elapsed() < self.window() {
                ticks.tick().await;
                version = discovery.change_endpoint(changes);
                changes += 1;
            }
            proxies.wait_for_version(version, UPDATE_TIMEOUT).await?;
            let elapsed_seconds = start.elapsed().as_secs_f64();
            let processor_seconds = discovery.usage().since(before).processor_seconds;
            let changes_per_second = f64::from(changes) / elapsed_seconds;
            let percent = 100.0 * processor_seconds / elapsed_seconds;
            self.report
                .add("list.changes", changes_per_second, percent)?;
        }
        Ok(())
    }

    /// Takes size and processor time of a snapshot of the endpoint list at one proxy.
    pub(super) async fn sweep_snapshots(&mut self) -> Result<(), MeasurementError> {
        let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
        for &listed in &self.plan.backends {
            self.log_progress(&format!("a whole list of {listed}"));
            let discovery = SyntheticDiscoveryService::start(listed, backends.endpoints(), ZONES)?;
            let mut proxies = SimulatedProxies::start(1, discovery.address(), self.plan.seed)?;
            proxies
                .wait_for_version(FIRST_VERSION, UPDATE_TIMEOUT)
                .await?;
            sleep(PROCESSOR_TIME_DELAY).await;
            let size = f64::from(listed);
            let snapshot_kb = discovery.usage().bytes as f64 / BYTES_PER_KB;
            self.report.add("list.whole.bytes", size, snapshot_kb)?;
            let snapshot_ms = MS_PER_SECOND * proxies.processor_seconds();
            self.report.add("list.whole.processor", size, snapshot_ms)?;
        }
        Ok(())
    }
}
