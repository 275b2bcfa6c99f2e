//! Execution: cancellation, neighbours on the machine, and load reports.
use crate::harness::{Completion, TestBackend, parameters};
use birchhub_backend_model::{BackendParameters, StartMode};

#[test]
fn cancellation_stops_an_execution_only_where_the_backend_supports_it() {
    for stops in [true, false] {
        let parameters = BackendParameters {
            cancel_stops_execution: stops,
            cores: 1,
            ..parameters()
        };
        let mut backend = TestBackend::new(parameters, StartMode::Warm);
        for attempt_id in 0..3 {
            backend
                .receive(0.0, attempt_id, 1.0)
                .expect("queue capacity");
        }
        let cancelled = [0, 1, 9].map(|attempt_id| backend.cancel(0.5, attempt_id));
        assert_eq!(cancelled, [stops, true, false]);
        let completion = |attempt_id, at| Completion { attempt_id, at };
        let expected = if stops {
            vec![completion(2, 1.5)]
        } else {
            vec![completion(0, 1.0), completion(2, 2.0)]
        };
        assert_eq!(backend.completions(), expected);
    }
}

#[test]
fn a_neighbour_slows_a_backend_and_load_reports_are_updated_at_intervals() {
    let mut backend = TestBackend::new(parameters(), StartMode::Warm);
    backend.backend.report(0.0);
    backend.receive(0.1, 1, 1.0).expect("queue capacity");
    assert_eq!(backend.backend.report(0.2).in_flight, 0);
    assert_eq!(backend.backend.report(0.6).in_flight, 1);
    backend.scale(0.6, 0.25);
    backend.scale(1.6, 4.0);
    let completions = backend.completions();
    assert!((completions[0].at - 1.85).abs() < 1e-9, "{completions:?}");
}
