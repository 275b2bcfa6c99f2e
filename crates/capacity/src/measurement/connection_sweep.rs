//! The sweep over the number of proxies: connections per second at a backend.
use super::{Measurement, ZONES};
use crate::clients;
use crate::error::MeasurementError;
use crate::planned_size::{BACKENDS, PROXIES, RPCS_PER_SECOND};
use crate::proxy::ProxyProfile;
use crate::stub_backends::{CONNECTION_IDLE_TIMEOUT, StubBackends};
use crate::synthetic_discovery::SyntheticDiscoveryService;
use tokio::time::Instant;

impl Measurement<'_> {
    /// Takes the connection rates of several proxies, each of which sends each backend as many RPCs as at the planned size.
    pub(super) async fn sweep_proxies(&mut self) -> Result<(), MeasurementError> {
        for &proxies in &self.plan.proxies {
            for health_checks in [false, true] {
                let profile = ProxyProfile {
                    proxies,
                    health_checks,
                    ..ProxyProfile::default()
                };
                self.measure_connections(profile).await?;
            }
        }
        Ok(())
    }

    async fn measure_connections(&mut self, profile: ProxyProfile) -> Result<(), MeasurementError> {
        let (suffix, series) = match profile.health_checks {
            true => (" that probe", "connect.probes.proxies"),
            false => ("", "connect.proxies"),
        };
        self.log_progress(&format!("{} proxies{suffix}", profile.proxies));
        let listed = self.plan.simulated_proxy_backends;
        let backends = StubBackends::start(CONNECTION_IDLE_TIMEOUT)?;
        let discovery = SyntheticDiscoveryService::start(listed, backends.endpoints(), ZONES)?;
        let mut proxies = Vec::new();
        for _ in 0..profile.proxies {
            proxies.push(self.start_proxy(&discovery, profile).await?);
        }
        let addresses: Vec<_> = proxies.iter().map(|proxy| proxy.address).collect();
        let rate = rpcs_per_second_of_a_pair() * f64::from(listed);
        let before = backends.counts();
        let start = Instant::now();
        let window = self.plan.window_seconds;
        for outcome in clients::run_all(&addresses, rate, window, self.plan.seed).await? {
            self.count_rpcs(&outcome);
        }
        let counts = backends.counts().since(before);
        let connections_per_backend = counts.connections as f64 / f64::from(listed);
        let connections_per_second = connections_per_backend / start.elapsed().as_secs_f64();
        self.report
            .add(series, profile.proxies.into(), connections_per_second)?;
        Ok(())
    }
}

/// RPCs per second from one proxy to one backend at the planned size.
fn rpcs_per_second_of_a_pair() -> f64 {
    RPCS_PER_SECOND / PROXIES / BACKENDS
}
