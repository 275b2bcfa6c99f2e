//! Polls that time out, or whose response is truncated, malformed or outdated.
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, SlowAccept, echo, endpoint_entry, eventually, reply,
    rpc, without_health_checks,
};
use crate::harness::{
    PROGRAM, assert_rpcs_go_to_b2, requests_snapshot, start_scripted_discovery, switch_discovery,
    update,
};
use std::thread::sleep;
use std::time::Duration;

/// The snapshot that is requested after an older list applies.
#[test]
fn an_older_list_does_not_replace_a_newer_one() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    let (gone, here) = (
        endpoint_entry("s-1", old, "Ready"),
        endpoint_entry("s-2", new, "Ready"),
    );
    let at = start_scripted_discovery(&log, move |_, call| match call.start_line.as_str() {
        first if first.contains("from=9&") => update(3, true, std::slice::from_ref(&gone)),
        _ if requests_snapshot(call) => update(9, true, std::slice::from_ref(&here)),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, at, |_| {});
    let snapshot_calls = |events: &Vec<String>| {
        events
            .iter()
            .filter(|e| e.contains("list got") && !e.contains("from="))
            .count()
    };
    assert!(
        log.wait(EVENT_TIMEOUT, |events| snapshot_calls(events) == 2),
        "no second snapshot was requested: {:?}",
        log.all()
    );
    assert_eq!(log.count("from=3&"), 0, "the older list was applied");
    assert_rpcs_go_to_b2(&daemon);
}

/// The update in a faulty response must apply in time: the next poll follows at once, and is not held.
fn assert_is_retried_at_once(
    break_response: impl Fn(Vec<u8>) -> BackendAction + Send + Sync + 'static,
) {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    let lines = move |state: &str| {
        [
            endpoint_entry("s-1", old, state),
            endpoint_entry("s-2", new, "Ready"),
        ]
    };
    let at = start_scripted_discovery(&log, move |number, call| match number {
        0 => update(1, true, &lines("Ready")),
        1 => match update(2, false, &lines("Terminating")) {
            BackendAction::Respond(bytes) => break_response(bytes),
            other => other,
        },
        _ if call.start_line.contains("from=1&hold_ms=0 ") => {
            update(2, false, &lines("Terminating"))
        }
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, at, |_| {});
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
    assert_rpcs_go_to_b2(&daemon);
}

#[test]
fn a_truncated_response_is_retried_at_once() {
    assert_is_retried_at_once(|bytes| {
        BackendAction::RespondAndClose(bytes[..bytes.len() - 20].to_vec())
    });
}

#[test]
fn a_malformed_response_is_retried_at_once() {
    assert_is_retried_at_once(|_| {
        BackendAction::Respond(reply(
            "200 OK",
            "{\"rev\": 2, \"all\": false, \"targets\": [{",
        ))
    });
}

/// The poll after a timeout uses another connection, and the next one is held again.
#[test]
fn the_poll_after_a_timeout_is_not_held() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let here = endpoint_entry("s-1", at, "Ready");
    let list = start_scripted_discovery(&log, move |number, _| match number {
        0 | 2 => update(1, true, std::slice::from_ref(&here)),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, list, |_| {});
    log.await_event("list got GET /registry/instances?from=1&hold_ms=3500 HTTP/1.1 ");
    log.await_event("list closed ");
    log.await_event("list got GET /registry/instances?from=1&hold_ms=0 HTTP/1.1 ");
    let two_are_held =
        |events: &Vec<String>| events.iter().filter(|e| e.contains("hold_ms=3500")).count() == 2;
    assert!(log.wait(EVENT_TIMEOUT, two_are_held), "{:?}", log.all());
}

/// A poll that timed out stays in flight at an overloaded service. Its response applies even after later polls have timed
/// out too, and the next watch continues from it.
#[test]
fn the_late_response_to_an_overdue_poll_is_applied() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let moved = endpoint_entry("s-1", echo("b2", &log), "Ready");
    let list = start_scripted_discovery(&log, move |number, _| match number {
        0 => update(1, true, &[]),
        // The first poll after the watch. Two more are overdue, and the backoff runs, when the service responds.
        2 => {
            sleep(Duration::from_millis(2100));
            update(2, true, std::slice::from_ref(&moved))
        }
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, list, |_| {});
    eventually(EVENT_TIMEOUT, "the late response was dropped", || {
        sleep(Duration::from_millis(5));
        daemon.logged().contains("list version 2:")
    });
    assert_rpcs_go_to_b2(&daemon);
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
}

/// A connect has a shorter timeout than the poll that it is for.
#[test]
fn a_connect_times_out_before_its_poll() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let slow = SlowAccept::start();
    switch_discovery(&daemon, slow.address, |_| {});
    // Three connects of 0.75 s; with the timeouts of the polls it would be 6 s.
    eventually(
        Duration::from_secs(4),
        "the poll lasted until its own timeout",
        || {
            sleep(Duration::from_millis(20));
            daemon
                .logged()
                .contains("discovery poll failed, keeping the last endpoint list: no response within the timeout")
        },
    );
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b1:"
    );
}
