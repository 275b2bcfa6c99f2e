//! Scenarios of the simulation: the size and load of a fleet, and the fractions of it that restart.
use crate::common::settings;
use crate::measurement::SlowStartMeasurement;
use crate::simulation::Simulation;
use birchhub::interface::*;

/// Duration of the slow start of a backend, in seconds.
pub(crate) const SLOW_START_SECONDS: f64 = 5.0;

/// A fleet in which some backends fail and return in slow start at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetScenario {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: u32,
    /// Cores of each backend.
    pub cores: usize,
    /// Mean work of an RPC, in seconds of a core of a warm backend.
    pub work: f64,
    /// Load as a fraction of the capacity of all backends.
    pub load: f64,
    /// Whether one proxy in twenty receives ten times as many RPCs as each of the others.
    pub skewed: bool,
    /// Fraction of the backends that fail and return.
    pub restarted_backends: f64,
    /// Time from the failure of these backends to their return, in seconds.
    pub downtime: f64,
    /// What carries load reports.
    pub reports: LoadReportSource,
    /// Whether proxies may send health checks.
    pub health_checks: bool,
    /// Fraction of the proxies that restart during the slow start.
    pub restarted_proxies: f64,
    /// Whether restarted proxies have a cached endpoint list.
    pub cached_list: bool,
    /// Fraction of its capacity that a backend has when it starts.
    pub initial_fraction: f64,
    /// Multiple of its present capacity above which a warming backend fails.
    pub overload_multiple: f64,
    /// Time over which the load of a warming backend is averaged, in seconds.
    pub window: f64,
}

impl FleetScenario {
    /// A fleet of moderate size and load.
    pub(crate) const DEFAULT: Self = Self {
        proxies: 30,
        backends: 20,
        cores: 4,
        work: 0.05,
        load: 0.7,
        skewed: false,
        restarted_backends: 0.5,
        downtime: 2.0,
        reports: LoadReportSource::Responses,
        health_checks: false,
        restarted_proxies: 0.0,
        cached_list: true,
        initial_fraction: 0.2,
        overload_multiple: 3.0,
        window: 1.0,
    };

    /// Returns the fleet with health checks that carry load reports, or without health checks and with load
    /// reports in responses.
    pub(crate) const fn with_health_checks(self, health_checks: bool) -> Self {
        let reports = if health_checks {
            LoadReportSource::HealthChecks
        } else {
            LoadReportSource::Responses
        };
        Self {
            health_checks,
            reports,
            ..self
        }
    }

    /// Returns the fleet with [`skewed`](Self::skewed) traffic.
    pub(crate) const fn with_skewed_traffic(self) -> Self {
        Self {
            skewed: true,
            ..self
        }
    }

    /// Simulates the fleet with this seed.
    pub(crate) fn run(self, seed: u64) -> SlowStartMeasurement {
        Simulation::new(self, seed).run()
    }

    /// Returns the settings of the proxies.
    pub(crate) fn settings(&self) -> Settings {
        Settings {
            proxy_count: self.proxies,
            load_report_source: self.reports,
            can_health_check: self.health_checks,
            polls_endpoint_list: false,
            slow_start_initial_fraction: self.initial_fraction,
            slow_start_duration: SLOW_START_SECONDS,
            overload_multiple: self.overload_multiple,
            overload_window: self.window,
            ..settings(&[Idempotency::Idempotent])
        }
    }

    /// Returns the RPCs per second at each proxy.
    pub(crate) fn rates(&self) -> Vec<f64> {
        let weight = |n: usize| {
            if self.skewed && n.is_multiple_of(20) {
                10.0
            } else {
                1.0
            }
        };
        let all: f64 = (0..self.proxies).map(weight).sum();
        let rate = self.load * f64::from(self.backends) * self.cores as f64 / self.work;
        (0..self.proxies).map(|n| rate * weight(n) / all).collect()
    }

    /// Returns the capacity of a backend of this age, as a fraction of that of a warm one.
    pub(crate) fn warm_fraction(&self, age: f64) -> f64 {
        (self.initial_fraction + (1.0 - self.initial_fraction) * age / SLOW_START_SECONDS).min(1.0)
    }

    /// Returns N, the RPCs of mean work that the settings allow a backend of this age in a window.
    pub(crate) fn budget(&self, age: f64) -> f64 {
        self.overload_multiple * self.warm_fraction(age) * self.window * self.cores as f64
            / self.work
    }
}
