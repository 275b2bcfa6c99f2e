//! Updates that must apply in time after consecutive failed polls.
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, Shared, echo, endpoint_entry, reply,
    without_health_checks,
};
use crate::harness::{
    PROGRAM, UPDATE_LIMIT, assert_rpcs_go_to_b2, start_scripted_discovery, switch_discovery, update,
};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Configures the longest poll interval of any deployment, which no backoff may depend on.
fn with_long_poll_interval(config: &mut Value) {
    without_health_checks(config);
    config["settings"]["contract"]["ask-within-ns"] = 20e9.into();
}

/// The polls of a proxy, and the time from the first fault until the update was received.
struct Recovery {
    took: Duration,
    calls: Vec<String>,
}

/// Where a proxy stands when the faults begin.
#[derive(PartialEq)]
enum FaultsBegin {
    /// With its first poll, which requests a snapshot.
    AtTheSnapshot,
    /// With its first watch, after a snapshot.
    AtTheWatch,
}

/// Has the polls of a proxy meet these faults in a row, and responds to the poll after them with an update.
fn recover_from(begin: FaultsBegin, faults: Vec<fn() -> BackendAction>) -> Recovery {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], with_long_poll_interval);
    let times = Shared::new(vec![]);
    let noted = times.clone();
    let first_fault = usize::from(begin == FaultsBegin::AtTheWatch);
    let here = endpoint_entry("s-1", old, "Ready");
    let drained = [
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ];
    let at = start_scripted_discovery(&log, move |number, _| {
        noted.change(|times| times.push(Instant::now()));
        match number
            .checked_sub(first_fault)
            .map(|fault| faults.get(fault))
        {
            None => update(1, true, std::slice::from_ref(&here)),
            Some(Some(fault)) => fault(),
            Some(None) => update(2, true, &drained),
        }
    });
    switch_discovery(&daemon, at, with_long_poll_interval);
    // Longer than the fault of a growing backoff takes.
    log.wait(EVENT_TIMEOUT * 2, |events| {
        events
            .iter()
            .any(|e| e.contains("list got") && e.contains("from=2&"))
    });
    assert_rpcs_go_to_b2(&daemon);
    let calls = log
        .all()
        .into_iter()
        .filter(|e| e.starts_with("list got"))
        .collect();
    let times = times.change(|times| times.clone());
    Recovery {
        took: times[times.len() - 2] - times[first_fault],
        calls,
    }
}

/// A watch times out, and so does the next poll on another connection.
#[test]
fn two_consecutive_timeouts_leave_time_for_the_update() {
    let Recovery { took, calls } = recover_from(
        FaultsBegin::AtTheWatch,
        vec![|| BackendAction::Hang, || BackendAction::Hang],
    );
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}

/// The first two polls of a new discovery service time out.
#[test]
fn two_consecutive_snapshot_timeouts_leave_time_for_the_update() {
    let Recovery { took, calls } = recover_from(
        FaultsBegin::AtTheSnapshot,
        vec![|| BackendAction::Hang, || BackendAction::Hang],
    );
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}

/// A held poll would time out late, so none is sent after consecutive timeouts, even after a backoff.
#[test]
fn no_poll_is_held_while_polls_time_out() {
    let Recovery { calls, .. } = recover_from(
        FaultsBegin::AtTheWatch,
        vec![
            || BackendAction::Hang,
            || BackendAction::Hang,
            || BackendAction::Hang,
            || BackendAction::Hang,
        ],
    );
    assert!(
        calls[2..6]
            .iter()
            .all(|call| call.contains("from=1&hold_ms=0 ")),
        "{calls:?}"
    );
}

/// The backoff does not depend on the poll interval of the deployment.
#[test]
fn consecutive_rejections_do_not_increase_the_backoff() {
    let rejected = || BackendAction::Respond(reply("503 Service Unavailable", ""));
    // Each backoff is at most 1 s, and 0.5 s on average. A fault once made each 10 s.
    let Recovery { took, calls } = recover_from(FaultsBegin::AtTheWatch, vec![rejected; 10]);
    assert!(took < Duration::from_secs(10), "{took:?}: {calls:?}");
}

/// Malformed and outdated responses and rejections follow each other.
#[test]
fn faulty_responses_leave_time_for_the_update() {
    let malformed = || {
        BackendAction::Respond(reply(
            "200 OK",
            "{\"rev\": 2, \"all\": false, \"targets\": [{",
        ))
    };
    let rejected = || BackendAction::Respond(reply("503 Service Unavailable", ""));
    let Recovery { took, calls } = recover_from(
        FaultsBegin::AtTheWatch,
        vec![
            malformed,
            malformed,
            rejected,
            || update(0, true, &[]),
            rejected,
        ],
    );
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}
