//! Deduplication of RPCs with an idempotency key.
use crate::harness::{TestBackend, incoming, parameters};
use birchhub_backend_model::{BackendEvent, IdempotencyKey, IncomingWork, StartMode};

#[test]
fn duplicates_are_dropped_within_their_group_and_window() {
    let mut backend = TestBackend::new(parameters(), StartMode::Warm);
    let mut is_dropped = |now: f64, attempt_id, group, key| {
        let idempotency_key = Some(IdempotencyKey {
            group,
            key,
            window: 4.0,
        });
        let work = IncomingWork {
            idempotency_key,
            ..incoming(attempt_id, 0.1)
        };
        backend.receive_work(now, work).expect("queue capacity");
        backend
            .advance(now + 0.2)
            .contains(&BackendEvent::DuplicateDropped(attempt_id))
    };
    assert!(
        !is_dropped(0.0, 1, 1, 5)
            && is_dropped(1.0, 2, 1, 5)
            && !is_dropped(2.0, 3, 2, 5)
            && !is_dropped(3.0, 4, 1, 6)
    );
    assert!(!is_dropped(4.5, 5, 1, 5), "the window has expired");
    assert!(is_dropped(5.0, 6, 1, 5), "the execution began a new window");
    assert!(!is_dropped(50.0, 7, 9, 9));
    assert!(!is_dropped(60.0, 8, 9, 8));
    let keys = backend.deduplication.len();
    assert!(keys <= 3, "expired keys are removed: {keys}");
}
