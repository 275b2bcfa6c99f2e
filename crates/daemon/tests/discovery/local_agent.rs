//! Endpoint lists that are pushed to a local agent, at which the proxy always has a watch open.
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, Shared, echo, endpoint_entry, rpc,
    without_health_checks,
};
use crate::harness::{PROGRAM, assert_rpcs_go_to_b2, start_scripted_discovery, update};
use serde_json::Value;
use std::thread::sleep;
use std::time::Duration;

/// Configures a local agent.
fn with_agent(config: &mut Value) {
    config["settings"]["membership-mode"] = "pushed".into();
    without_health_checks(config);
}

/// The list of the agent takes precedence over the cached list in the configuration.
#[test]
fn a_new_process_starts_with_the_list_of_the_agent() {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], with_agent);
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", old_address, "Terminating"),
        endpoint_entry("s-2", new_address, "Ready"),
    ]);
    // The cached list in the configuration is still that of the first start.
    daemon.restart(PROGRAM);
    assert_rpcs_go_to_b2(&daemon);
    assert_eq!(log.count("b1 got"), 0);
}

/// An agent that is down is polled at intervals that are shorter than any drain grace.
#[test]
fn the_list_of_a_recovered_agent_applies_at_once() {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], with_agent);
    daemon.discovery.respond_with(None);
    let calls = |daemon: &Daemon| daemon.discovery.calls.change(|calls| *calls);
    let before = calls(&daemon);
    // With the backoff for a central discovery service, these polls would take more than a minute.
    assert!(
        daemon
            .discovery
            .calls
            .wait(EVENT_TIMEOUT, |calls| *calls >= before + 50),
        "{} calls",
        calls(&daemon) - before
    );
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", old_address, "Terminating"),
        endpoint_entry("s-2", new_address, "Ready"),
    ]);
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b2:"
    );
    let warnings = daemon
        .logged()
        .matches("discovery poll failed, keeping")
        .count();
    assert!(warnings <= 3, "{warnings} log lines about one outage");
}

#[test]
fn the_response_of_a_slow_agent_is_awaited() {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let entries = [
        endpoint_entry("s-1", old_address, "Terminating"),
        endpoint_entry("s-2", new_address, "Ready"),
    ];
    let discovery_address = start_scripted_discovery(&log, move |_, call| {
        sleep(Duration::from_millis(
            if call.start_line.contains("hold_ms=2000") {
                3000
            } else {
                // Longer than the timeouts of the first polls.
                450
            },
        ));
        update(2, true, &entries)
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], |config| {
        with_agent(config);
        config["discovery"] = discovery_address.to_string().into();
    });
    log.await_event("list got GET /registry/instances?from=2&hold_ms=2000 HTTP/1.1 ");
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b2:"
    );
}

#[test]
fn a_watch_of_a_pushed_list_is_repeated_after_a_timeout() {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let drained_entries = [
        endpoint_entry("s-1", old_address, "Terminating"),
        endpoint_entry("s-2", new_address, "Ready"),
    ];
    let current_entry = endpoint_entry("s-1", old_address, "Ready");
    let hanging_watches = Shared::new(0);
    let hanging_watch_counter = hanging_watches.clone();
    let discovery_address =
        start_scripted_discovery(&log, move |_, call| match call.start_line.as_str() {
            start_line
                if start_line.contains("from=0&hold_ms=0 ")
                    && hanging_watch_counter.change(|n| *n) > 0 =>
            {
                update(2, true, &drained_entries)
            }
            start_line if start_line.contains("from=0&hold_ms=0 ") => {
                update(0, false, std::slice::from_ref(&current_entry))
            }
            start_line if start_line.contains("from=0&") => {
                hanging_watch_counter.change(|n| *n += 1);
                BackendAction::Hang
            }
            _ => BackendAction::Hang,
        });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], |config| {
        with_agent(config);
        config["discovery"] = discovery_address.to_string().into();
    });
    log.await_event("list got GET /registry/instances?from=2&hold_ms=2000 HTTP/1.1 ");
    assert_eq!(hanging_watches.change(|n| *n), 1);
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b2:"
    );
}

/// Guards against a cached list that counts as current although the agent has a list of another numbering: changes since a
/// version that the agent does not have say nothing about it.
#[test]
fn a_late_response_to_a_poll_for_an_unknown_version_is_ignored() {
    let log = Log::new(vec![]);
    let address = echo("b1", &log);
    let agent = start_scripted_discovery(&log, |number, _| match number {
        0 => {
            // Longer than the timeout of the poll.
            sleep(Duration::from_millis(250));
            update(5, false, &[])
        }
        1 => update(5, false, &[]),
        _ => BackendAction::Hang,
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", address)], |config| {
        with_agent(config);
        config["discovery"] = agent.to_string().into();
        config["known"]["rev"] = 41.into();
    });
    let request = rpc("POST", "/book", "id", "");
    assert_eq!(daemon.client().status_of(&request), 503);
    assert_eq!(log.count("b1 got"), 0);
}
