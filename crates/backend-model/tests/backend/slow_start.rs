//! Slow start: capacity while the backend warms up, and collapse under overload.
use crate::harness::{Completion, TestBackend, parameters};
use birchhub_backend_model::{BackendEvent, RejectionReason, StartMode};

#[test]
fn a_cold_backend_reaches_its_full_speed_after_the_warm_up() {
    let mut cold = TestBackend::new(parameters(), StartMode::Cold);
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

/// Rejected RPCs count as load too, and a warm backend does not collapse.
#[test]
fn a_cold_backend_collapses_under_overload_and_a_warm_one_does_not() {
    // Its initial capacity is 2 × 0.25 standard cores; it collapses at 3 times that work within 1 s.
    let mut cold = TestBackend::new(parameters(), StartMode::Cold);
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
    let mut paced = TestBackend::new(parameters(), StartMode::Cold);
    for attempt_id in 0..140 {
        let _ = paced.receive(attempt_id as f64 * 0.1, attempt_id, 0.1);
    }
    let peak = paced.backend.peak_overload();
    assert!(
        !paced.backend.is_down() && peak > 0.4 && peak < 0.6,
        "{peak}"
    );
    let mut warm = TestBackend::new(parameters(), StartMode::Warm);
    for attempt_id in 0..1000 {
        let _ = warm.receive(0.01, attempt_id, 0.1);
    }
    assert!(!warm.backend.is_down());
}
