//! Sweeps with one proxy over the number of tenants, of methods, the rate of RPCs and the rate of list changes.
use super::{Measurement, SETTLING_TIME, ZONES, largest};
use crate::error::MeasurementError;
use crate::proxy::ProxyProfile;
use crate::stub_backends::{CONNECTION_IDLE_TIMEOUT, StubBackends};
use crate::synthetic_discovery::SyntheticDiscoveryService;
use crate::usage;
use tokio::time::sleep;

/// Backends in the sweeps over tenants and methods.
const FEW_BACKENDS: u32 = 10;

/// The series that receive the points of a started proxy.
struct StartSeries {
    memory: &'static str,
    startup: &'static str,
}

impl Measurement<'_> {
    pub(super) async fn sweep_tenants(&mut self) -> Result<(), MeasurementError> {
        let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
        let discovery =
            SyntheticDiscoveryService::start(FEW_BACKENDS, backends.endpoints(), ZONES)?;
        let series = StartSeries {
            memory: "memory.tenants",
            startup: "start.tenants",
        };
        for &tenants in &self.plan.tenants {
            self.log_progress(&format!("{tenants} tenants"));
            let profile = ProxyProfile {
                tenants,
                ..ProxyProfile::default()
            };
            self.measure_start(&discovery, profile, tenants, &series)
                .await?;
        }
        Ok(())
    }

    pub(super) async fn sweep_methods(&mut self) -> Result<(), MeasurementError> {
        let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
        let discovery =
            SyntheticDiscoveryService::start(FEW_BACKENDS, backends.endpoints(), ZONES)?;
        let series = StartSeries {
            memory: "memory.methods",
            startup: "start.methods",
        };
        for &methods in &self.plan.methods {
            self.log_progress(&format!("{methods} methods"));
            let profile = ProxyProfile {
                methods,
                ..ProxyProfile::default()
            };
            self.measure_start(&discovery, profile, methods, &series)
                .await?;
        }
        Ok(())
    }

    /// Takes memory and processor time of a proxy that has just started.
    async fn measure_start(
        &mut self,
        discovery: &SyntheticDiscoveryService,
        profile: ProxyProfile,
        size: u32,
        series: &StartSeries,
    ) -> Result<(), MeasurementError> {
        let proxy = self.start_proxy(discovery, profile).await?;
        sleep(SETTLING_TIME).await;
        let memory = usage::resident_memory_mb(proxy.pid)?;
        self.report.add(series.memory, size.into(), memory)?;
        let startup_seconds = proxy.startup.processor_seconds;
        self.report
            .add(series.startup, size.into(), startup_seconds)?;
        Ok(())
    }

    pub(super) async fn sweep_rpc_rates(&mut self) -> Result<(), MeasurementError> {
        for &rate in &self.plan.rates {
            self.log_progress(&format!("{rate} RPCs a second"));
            let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
            let listed = largest(&self.plan.backends);
            let discovery = SyntheticDiscoveryService::start(listed, backends.endpoints(), ZONES)?;
            let proxy = self
                .start_proxy(&discovery, ProxyProfile::default())
                .await?;
            sleep(SETTLING_TIME).await;
            // The first window opens the connections that the second one reuses.
            self.send_rpcs(&proxy, rate).await?;
            let before = backends.counts();
            let (_, usage) = self.send_rpcs(&proxy, rate).await?;
            let counts = backends.counts().since(before);
            let size = f64::from(rate);
            self.report.add("rpc.rate", size, usage.percent())?;
            self.report
                .add("connect.rate", size, counts.connections_per_request())?;
            let latency_ms = self.measure_added_latency(&proxy, &backends, rate).await?;
            self.report.add("latency.rate", size, latency_ms)?;
        }
        Ok(())
    }

    pub(super) async fn sweep_change_rates(&mut self) -> Result<(), MeasurementError> {
        let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
        let listed = largest(&self.plan.backends);
        let discovery = SyntheticDiscoveryService::start(listed, backends.endpoints(), ZONES)?;
        let proxy = self
            .start_proxy(&discovery, ProxyProfile::default())
            .await?;
        sleep(SETTLING_TIME).await;
        for &rate in &self.plan.changes {
            self.log_progress(&format!("{rate} changes a second"));
            let (changes, usage) = self
                .measure_list_changes(&discovery, proxy.pid, rate)
                .await?;
            let changes_per_second = f64::from(changes) / usage.elapsed_seconds;
            self.report
                .add("change.rate", changes_per_second, usage.percent())?;
        }
        Ok(())
    }
}
