//! Default settings and endpoints, which the tests and benchmarks of the decisions modify.
use birchhub::interface::*;

/// Returns the default settings of a method with this idempotency.
pub(crate) fn method_settings(idempotency: Idempotency) -> MethodSettings {
    MethodSettings {
        idempotency,
        latency_objective: 0.2,
        objective_stretch: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        ordered_by_key: false,
    }
}

/// Returns settings with one method for each of these idempotencies, where load reports come from health checks.
pub(crate) fn settings(idempotency: &[Idempotency]) -> Settings {
    Settings {
        proxy_count: 1,
        methods: idempotency.iter().copied().map(method_settings).collect(),
        max_attempts: 3,
        can_cancel: true,
        can_health_check: true,
        health_check_cost: 0.002,
        load_report_source: LoadReportSource::HealthChecks,
        reports_include_queue: true,
        polls_endpoint_list: true,
        max_poll_interval: 10.0,
        drain_grace: 0.25,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 8.0,
        overload_multiple: 3.0,
        overload_window: 1.0,
        ..Settings::default()
    }
}

/// Returns a ready endpoint. Its number decides to which of two cells and three zones it belongs.
pub(crate) fn endpoint(backend: u32) -> Endpoint {
    Endpoint {
        backend,
        relative_size: 1.0,
        started_at: None,
        cell: u64::from(backend % 2),
        zone: backend as usize % 3,
        readiness: Readiness::Ready,
    }
}
