//! Slow start: capacity while the backend warms up, and collapse under overload.
use crate::harness::{Completion, TestBackend, spec};
use birchhub_backend_model::{BackendEvent, RejectionReason, StartMode};

#[test]
fn a_cold_backend_warms_up_over_its_time() {
    let mut cold = TestBackend::new(spec(), StartMode::Cold);
    cold.receive(0.0, 1, 1.0).expect("queue capacity");
    // 0.25 t + 0.75 t² / 16 = 1
    let at = (-0.25 + (0.0625 + 0.1875f64).sqrt()) * 32.0 / 3.0;
    assert!((cold.completions()[0].at - at).abs() < 1e-9);
    cold.receive(20.0, 2, 1.0).expect("queue capacity");
    let expected = Completion {
        attempt_id: 2,
        at: 21.0,
    };
    assert_eq!(cold.completions(), [expected]);
}

/// Rule 4: rejected RPCs count as load too, and a warm backend can't be overloaded.
#[test]
fn a_cold_backend_collapses_under_overload_and_a_warm_one_does_not() {
    // Its capacity is 2 x 0.25; it collapses at 3 times that within 1 s.
    let mut cold = TestBackend::new(spec(), StartMode::Cold);
    let lost = (0..17)
        .map(|attempt_id| cold.receive(0.01, attempt_id, 0.1))
        .filter(|received| *received == Err(RejectionReason::Down))
        .count();
    let backend = &cold.backend;
    assert_eq!((lost, backend.is_down(), backend.in_flight()), (2, true, 0));
    let collapses = cold
        .events
        .iter()
        .filter(|event| **event == BackendEvent::Collapsed);
    assert_eq!(collapses.count(), 1);
    let mut paced = TestBackend::new(spec(), StartMode::Cold);
    for attempt_id in 0..140 {
        let _ = paced.receive(attempt_id as f64 * 0.1, attempt_id, 0.1);
    }
    let peak = paced.backend.peak_overload();
    assert!(
        !paced.backend.is_down() && peak > 0.4 && peak < 0.6,
        "{peak}"
    );
    let mut warm = TestBackend::new(spec(), StartMode::Warm);
    for attempt_id in 0..1000 {
        let _ = warm.receive(0.01, attempt_id, 0.1);
    }
    assert!(!warm.backend.is_down());
}
