//! The sweep over changed settings: the time until a new method is known at all proxies, by a reload and by a restart.
use super::{Measurement, ZONES, largest};
use crate::error::MeasurementError;
use crate::proxy::{Proxy, ProxyProfile};
use crate::stub_backends::{CONNECTION_IDLE_TIMEOUT, StubBackends};
use crate::synthetic_discovery::SyntheticDiscoveryService;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Backends in the endpoint list of this sweep.
const LISTED_BACKENDS: u32 = 10;
/// Interval between requests that check whether a method is known.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The method that a reload adds.
const METHOD_ADDED_BY_RELOAD: &str = "added";
/// The method that a restart adds.
const METHOD_ADDED_BY_RESTART: &str = "added-by-restart";
/// The status of a response to a request for an unknown method.
const NOT_FOUND: u16 = 404;

impl Measurement<'_> {
    pub(super) async fn sweep_settings_changes(&mut self) -> Result<(), MeasurementError> {
        let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
        let discovery =
            SyntheticDiscoveryService::start(LISTED_BACKENDS, backends.endpoints(), ZONES)?;
        let profile = ProxyProfile {
            methods: largest(&self.plan.methods),
            tenants: largest(&self.plan.tenants),
            ..ProxyProfile::default()
        };
        let mut reload_works = true;
        for &count in &self.plan.proxies {
            self.log_progress(&format!("changed settings at {count} proxies"));
            let mut proxies = Vec::new();
            for _ in 0..count {
                proxies.push(self.start_proxy(&discovery, profile).await?);
            }
            if reload_works {
                reload_works = self.measure_reload(&mut proxies, count).await?;
            }
            self.measure_restart(proxies, count).await?;
        }
        Ok(())
    }

    /// Adds a method by a reload of all proxies. Returns whether it was known at all of them in time.
    async fn measure_reload(
        &mut self,
        proxies: &mut [Proxy],
        count: u32,
    ) -> Result<bool, MeasurementError> {
        let timeout_seconds = self.plan.in_force_timeout_seconds;
        let start = Instant::now();
        for proxy in proxies.iter_mut() {
            proxy.add_method(METHOD_ADDED_BY_RELOAD)?;
            proxy.reload()?;
        }
        match wait_for_method(proxies, METHOD_ADDED_BY_RELOAD, timeout_seconds).await {
            Some(end) => {
                let seconds = (end - start).as_secs_f64();
                self.report.add("settings.reload", count.into(), seconds)?;
                Ok(true)
            }
            None => {
                let reason = format!("at {count} not in force within {timeout_seconds} s");
                self.report.add_missing("settings.reload", reason)?;
                Ok(false)
            }
        }
    }

    /// Adds a method by a restart of all proxies at once.
    async fn measure_restart(
        &mut self,
        mut proxies: Vec<Proxy>,
        count: u32,
    ) -> Result<(), MeasurementError> {
        let start = Instant::now();
        for proxy in &mut proxies {
            proxy.add_method(METHOD_ADDED_BY_RESTART)?;
        }
        let mut restarts: JoinSet<Result<Proxy, MeasurementError>> = JoinSet::new();
        for mut proxy in proxies {
            let program = self.options.program.clone();
            restarts.spawn_local(async move {
                proxy.restart(&program).await?;
                Ok(proxy)
            });
        }
        let mut restarted = Vec::new();
        while let Some(result) = restarts.join_next().await {
            let proxy = result.map_err(|source| MeasurementError::Task {
                task: "restart",
                source,
            })??;
            restarted.push(proxy);
        }
        let timeout_seconds = self.plan.in_force_timeout_seconds;
        let end = wait_for_method(&restarted, METHOD_ADDED_BY_RESTART, timeout_seconds)
            .await
            .ok_or(MeasurementError::RestartWithoutEffect)?;
        let seconds = (end - start).as_secs_f64();
        self.report.add("settings.restart", count.into(), seconds)?;
        Ok(())
    }
}

/// Waits until all proxies know a method. Returns the time at which the last one did, or None after the timeout.
async fn wait_for_method(proxies: &[Proxy], method: &str, timeout_seconds: f64) -> Option<Instant> {
    let deadline = Instant::now() + Duration::from_secs_f64(timeout_seconds);
    let path = format!("/{method}");
    for proxy in proxies {
        while proxy
            .request_status(&path)
            .await
            .is_none_or(|status| status == NOT_FOUND)
        {
            if Instant::now() > deadline {
                return None;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
    Some(Instant::now())
}
