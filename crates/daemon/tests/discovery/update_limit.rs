//! Updates must apply in time after consecutive failed polls.
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, Shared, echo, endpoint_entry, reply,
    without_health_checks,
};
use crate::harness::{
    PROGRAM, UPDATE_LIMIT, assert_rpcs_go_to_b2, start_scripted_discovery, switch_discovery, update,
};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Configures the longest poll interval of any deployment. No backoff may depend on it.
fn with_long_poll_interval(config: &mut Value) {
    without_health_checks(config);
    config["settings"]["contract"]["ask-within-ns"] = 20e9.into();
}

/// The start lines of the polls of a proxy, and the time from the poll with the first fault until the poll that gets
/// the update.
struct Recovery {
    took: Duration,
    calls: Vec<String>,
}

/// The poll of a proxy that meets the first fault.
#[derive(PartialEq)]
enum FirstFaultyPoll {
    /// The first poll, which requests a snapshot.
    Snapshot,
    /// The first watch, which follows a snapshot.
    Watch,
}

/// Responds to consecutive polls of a proxy with these faults, and to the next poll with an update.
fn recover_from(
    first_faulty_poll: FirstFaultyPoll,
    faults: Vec<fn() -> BackendAction>,
) -> Recovery {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], with_long_poll_interval);
    let call_times = Shared::new(vec![]);
    let recorded_call_times = call_times.clone();
    let first_fault = usize::from(first_faulty_poll == FirstFaultyPoll::Watch);
    let current_entry = endpoint_entry("s-1", old_address, "Ready");
    let drained_entries = [
        endpoint_entry("s-1", old_address, "Terminating"),
        endpoint_entry("s-2", new_address, "Ready"),
    ];
    let address = start_scripted_discovery(&log, move |number, _| {
        recorded_call_times.change(|call_times| call_times.push(Instant::now()));
        match number
            .checked_sub(first_fault)
            .map(|fault| faults.get(fault))
        {
            None => update(1, true, std::slice::from_ref(&current_entry)),
            Some(Some(fault)) => fault(),
            Some(None) => update(2, true, &drained_entries),
        }
    });
    switch_discovery(&daemon, address, with_long_poll_interval);
    // Longer than the recovery takes with a growing backoff, which the tests detect by its time.
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
    let call_times = call_times.change(|call_times| call_times.clone());
    Recovery {
        took: call_times[call_times.len() - 2] - call_times[first_fault],
        calls,
    }
}

/// A watch times out, and so does the next poll on another connection.
#[test]
fn two_consecutive_timeouts_leave_time_for_the_update() {
    let Recovery { took, calls } = recover_from(
        FirstFaultyPoll::Watch,
        vec![|| BackendAction::Hang, || BackendAction::Hang],
    );
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}

/// The first two polls of a new discovery service time out.
#[test]
fn two_consecutive_snapshot_timeouts_leave_time_for_the_update() {
    let Recovery { took, calls } = recover_from(
        FirstFaultyPoll::Snapshot,
        vec![|| BackendAction::Hang, || BackendAction::Hang],
    );
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}

/// A held poll has a long timeout, so none is sent after consecutive timeouts, not even after a backoff.
#[test]
fn no_poll_is_held_while_polls_time_out() {
    let Recovery { calls, .. } = recover_from(
        FirstFaultyPoll::Watch,
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
    // Each backoff is at most 1 s, and 0.5 s on average. An earlier fault made each of them 10 s.
    let Recovery { took, calls } = recover_from(FirstFaultyPoll::Watch, vec![rejected; 10]);
    assert!(took < Duration::from_secs(10), "{took:?}: {calls:?}");
}

/// Malformed and outdated responses are mixed with rejections.
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
        FirstFaultyPoll::Watch,
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
