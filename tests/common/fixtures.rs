//! Settings and endpoints that the tests of the decisions start from.
use birchhub::interface::*;

pub(crate) fn method(effect: Idempotency) -> MethodSettings {
    let (latency_target, target_stretch, utility, late_utility, in_order) =
        (0.2, 0.0, 1.0, 0.0, false);
    MethodSettings {
        idempotency: effect,
        latency_objective: latency_target,
        objective_stretch: target_stretch,
        priority_weight: utility,
        late_weight_fraction: late_utility,
        ordered_by_key: in_order,
    }
}

pub(crate) fn settings(effects: &[Idempotency]) -> Settings {
    Settings {
        proxy_count: 1,
        methods: effects.iter().map(|e| method(*e)).collect(),
        max_attempts: 3,
        can_cancel: true,
        can_health_check: true,
        health_check_cost: 0.002,
        load_report_source: LoadReportSource::HealthChecks,
        reports_include_queue: true,
        polls_endpoint_list: true,
        poll_within: 10.0,
        drain_grace: 0.25,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 8.0,
        overload_multiple: 3.0,
        overload_window: 1.0,
        ..Settings::default()
    }
}

pub(crate) fn entry(backend: u32) -> Endpoint {
    let (cell, zone) = (u64::from(backend % 2), backend as usize % 3);
    Endpoint {
        backend,
        relative_size: 1.0,
        started_at: None,
        cell,
        zone,
        readiness: Readiness::Ready,
    }
}
