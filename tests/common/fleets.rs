//! Proxies with a number of backends, for tests of the decisions.
use super::fixtures::{endpoint, settings};
use super::proxy::Proxy;
use birchhub::interface::*;

/// Returns a proxy with these settings and this many backends, numbered from 0.
pub(crate) fn proxy_of(backends: u32, conf: Settings) -> Proxy {
    let listed: Vec<_> = (0..backends).map(endpoint).collect();
    Proxy::new(conf, 7, &listed)
}

/// Returns a proxy with two methods, of which method 0 has half of the priority weight.
pub(crate) fn with_two_priority_weights(backends: u32) -> Proxy {
    let mut conf = settings(&[Idempotency::NonIdempotent, Idempotency::NonIdempotent]);
    conf.methods[1].priority_weight = 2.0;
    proxy_of(backends, conf)
}

/// Returns a proxy without health checks.
pub(crate) fn without_health_checks(backends: u32) -> Proxy {
    proxy_of(
        backends,
        Settings {
            can_health_check: false,
            ..settings(&[Idempotency::NonIdempotent])
        },
    )
}

/// Returns a proxy whose health checks cost more than their load reports gain.
pub(crate) fn with_expensive_health_checks(backends: u32) -> Proxy {
    let conf = Settings {
        load_report_source: LoadReportSource::HealthChecks,
        health_check_cost: 0.08,
        ..settings(&[Idempotency::Idempotent])
    };
    proxy_of(backends, conf)
}

/// Returns a proxy with key affinity and ten cells of four backends each, where load can be estimated only from
/// the duration of health checks.
pub(crate) fn with_key_affinity(seed: u64) -> Proxy {
    let conf = Settings {
        key_affinity: true,
        reports_include_queue: false,
        health_check_cost: 0.01,
        ..settings(&[Idempotency::Idempotent, Idempotency::Idempotent])
    };
    let listed: Vec<_> = (0..40)
        .map(|b| Endpoint {
            cell: u64::from(b / 4),
            ..endpoint(b)
        })
        .collect();
    Proxy::new(conf, seed, &listed)
}
