//! Requests at a backend: execution, rejection, cancellation, deduplication and overload.
use crate::common::{
    Connection, await_event, backend, is_attempt_end, on_one_thread, recorded_events, request,
    warm_backend,
};
use birchhub_audit::Event;
use birchhub_audit::event::{Admission, AttemptEnd, ReceivedAttempt};
use birchhub_backend_model::StartMode;
use birchhub_emulator::fleet::request_id_of;
use birchhub_emulator::wire::{Peer, ReadError};
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn an_rpc_is_executed_and_its_response_reports_the_load() {
    on_one_thread(|event_log, entries| async move {
        let backend = warm_backend(&event_log, 0.005);
        let mut connection = Connection::open(&backend, &event_log, 1).await;
        let response = connection
            .call(request_id_of(7, 0))
            .await
            .expect("a response");
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, &b"0000000000000700 n0\n"[..])
        );
        assert_eq!(
            response.header("server-load"),
            Some("inflight=0,queue=0,util=0.000")
        );
        let events = recorded_events(&entries, |_| true);
        let received = events.iter().find_map(|e| match e {
            Event::AttemptReceived(ReceivedAttempt {
                proxy,
                request_id,
                admission,
                ..
            }) => Some((*proxy, *request_id, *admission)),
            _ => None,
        });
        assert_eq!(received, Some((1, 0x700, Admission::Admitted)));
        assert!(
            events.iter().any(|e| matches!(
                e,
                Event::AttemptEnded {
                    how: AttemptEnd::Replied,
                    ..
                }
            )),
            "{events:?}"
        );
    });
}

#[test]
fn requests_that_are_not_rpcs_get_a_status() {
    on_one_thread(|event_log, _entries| async move {
        let backend = warm_backend(&event_log, 0.005);
        let mut connection = Connection::open(&backend, &event_log, 1).await;
        for (path, status) in [("/stats", 200), ("/health/live", 200), ("/nothing", 404)] {
            connection
                .peer
                .write(&request("GET", path, 1, ""))
                .await
                .expect("a write");
            assert_eq!(
                connection.receive().await.expect("a response").status,
                status,
                "{path}"
            );
        }
        connection
            .peer
            .write(b"GET /read HTTP/1.1\r\nRequest-Id: none\r\n\r\n")
            .await
            .expect("a write");
        assert_eq!(connection.receive().await.expect("a response").status, 400);
    });
}

#[test]
fn a_full_or_draining_backend_rejects_with_not_started() {
    on_one_thread(|event_log, _entries| async move {
        let backend = warm_backend(&event_log, 60.0);
        let mut connections = Vec::new();
        for request_id in 0..4 {
            let mut connection = Connection::open(&backend, &event_log, 0).await;
            connection.send(request_id).await;
            while request_id < 2 && backend.in_flight() <= request_id as usize {
                sleep(Duration::from_millis(1)).await;
            }
            connections.push(connection);
        }
        // One RPC is executing and one is in the queue, which is then full.
        for connection in &mut connections[2..] {
            let response = connection.receive().await.expect("a response");
            assert_eq!(
                (response.status, response.header("not-started")),
                (503, Some("1"))
            );
        }
        // The backend accepts four connections; the RPC on a fifth is rejected.
        let mut fifth = Connection::open(&backend, &event_log, 0).await;
        assert_eq!(
            fifth
                .call(9)
                .await
                .expect("a response")
                .header("not-started"),
            Some("1")
        );
        assert_eq!(fifth.receive().await.err(), Some(ReadError::Closed));
        drop(connections);
        while !backend.is_idle() {
            sleep(Duration::from_millis(1)).await;
        }
        backend.drain();
        let mut connection = Connection::open(&backend, &event_log, 0).await;
        assert_eq!(
            connection
                .call(10)
                .await
                .expect("a response")
                .header("not-started"),
            Some("1")
        );
    });
}

#[test]
fn a_cancelled_attempt_is_recorded_and_its_execution_stops() {
    on_one_thread(|event_log, entries| async move {
        let backend = warm_backend(&event_log, 60.0);
        let mut connection = Connection::open(&backend, &event_log, 0).await;
        connection.send(1).await;
        await_event(&entries, |e| matches!(e, Event::ExecutionStarted { .. })).await;
        drop(connection);
        let ended = await_event(&entries, is_attempt_end).await;
        assert!(
            matches!(
                ended,
                Event::AttemptEnded {
                    how: AttemptEnd::Cancelled,
                    ..
                }
            ) && backend.is_idle()
        );
    });
}

#[test]
fn a_backend_overloaded_in_slow_start_collapses_and_stays_down() {
    on_one_thread(|event_log, entries| async move {
        let backend = backend(&event_log, 0.5);
        backend.start(StartMode::Cold).expect("an incarnation");
        // The capacity of a cold backend is half a core; it collapses when it receives three times that within a second.
        for request_id in 0..4 {
            Connection::open(&backend, &event_log, 0)
                .await
                .send(request_id)
                .await;
        }
        await_event(&entries, |e| matches!(e, Event::BackendCollapsed { .. })).await;
        while Peer::connect(backend.address(0).expect("an address"))
            .await
            .is_ok()
        {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(backend.incarnation(), None);
    });
}

#[test]
fn a_deduplicated_retry_is_answered_without_an_execution() {
    on_one_thread(|event_log, entries| async move {
        let backend = warm_backend(&event_log, 0.001);
        let mut connection = Connection::open(&backend, &event_log, 0).await;
        for request_id in [request_id_of(3, 0), request_id_of(3, 1)] {
            let bytes = request(
                "POST",
                "/log/3",
                request_id,
                "Idempotency-Key: k\r\nContent-Length: 0\r\n",
            );
            connection.peer.write(&bytes).await.expect("a write");
            assert_eq!(connection.receive().await.expect("a response").status, 200);
        }
        let executions = recorded_events(&entries, |e| {
            matches!(
                e,
                Event::ExecutionStarted { .. } | Event::DuplicateDropped { .. }
            )
        });
        assert!(
            matches!(
                executions.as_slice(),
                [
                    Event::ExecutionStarted { .. },
                    Event::DuplicateDropped { .. }
                ]
            ),
            "{executions:?}"
        );
    });
}
