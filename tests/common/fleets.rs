//! Proxies before fleets of backends that several tests start from.
use super::fixtures::{endpoint, settings};
use super::proxy::Proxy;
use birchhub::interface::*;

/// A proxy of the backends from 0 on.
pub(crate) fn proxy_of(backends: u32, conf: Settings) -> Proxy {
    let listed: Vec<_> = (0..backends).map(endpoint).collect();
    Proxy::new(conf, 7, &listed)
}

/// Method 0 has half of the highest priority weight: load is shed from the lowest weight on.
pub(crate) fn with_two_priority_weights(backends: u32) -> Proxy {
    let mut conf = settings(&[Idempotency::NonIdempotent, Idempotency::NonIdempotent]);
    conf.methods[1].priority_weight = 2.0;
    proxy_of(backends, conf)
}

/// Load shows only in responses.
pub(crate) fn without_health_checks(backends: u32) -> Proxy {
    proxy_of(
        backends,
        Settings {
            can_health_check: false,
            ..settings(&[Idempotency::NonIdempotent])
        },
    )
}

/// A health check costs more than even the first of an RPC gains.
pub(crate) fn with_expensive_health_checks(backends: u32) -> Proxy {
    let conf = Settings {
        load_report_source: LoadReportSource::HealthChecks,
        health_check_cost: 0.08,
        ..settings(&[Idempotency::Idempotent])
    };
    proxy_of(backends, conf)
}

/// With key affinity: ten cells of four backends each; load shows in how long health checks take.
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
