//! Admission: queue capacity, draining, and connections.
use crate::harness::{TestBackend, incoming, parameters};
use birchhub_backend_model::{IncomingWork, RejectionReason, StartMode};

#[test]
fn a_full_queue_rejects_and_a_draining_backend_finishes_its_rpcs() {
    let mut backend = TestBackend::new(parameters(), StartMode::Warm);
    for attempt_id in 0..6 {
        backend
            .receive(0.0, attempt_id, 1.0)
            .expect("queue capacity");
    }
    assert_eq!(
        backend.receive(0.0, 6, 1.0),
        Err(RejectionReason::QueueFull)
    );
    backend.backend.drain();
    assert_eq!(backend.receive(3.5, 7, 1.0), Err(RejectionReason::Draining));
    assert_eq!(backend.backend.in_flight(), 0);
}

#[test]
fn connections_are_limited_and_the_first_rpc_on_one_has_more_work() {
    let mut backend = TestBackend::new(parameters(), StartMode::Warm);
    let model = &mut backend.backend;
    assert!(model.connect() && model.connect() && !model.connect());
    model.disconnect();
    assert!(model.connect());
    let first = IncomingWork {
        first_on_connection: true,
        ..incoming(1, 0.1)
    };
    backend.receive_work(0.0, first).expect("queue capacity");
    assert!((backend.completions()[0].at - 0.11).abs() < 1e-9);
}
