//! Endpoint lists that are pushed to a local agent, which the proxy watches all the time.
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

/// It takes precedence over the cached list of the configuration.
#[test]
fn a_new_process_starts_with_the_list_of_the_agent() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], with_agent);
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ]);
    // The cached list is still that of the first start.
    daemon.restart(PROGRAM);
    assert_rpcs_go_to_b2(&daemon);
    assert_eq!(log.count("b1 got"), 0);
}

/// It starts with the cached list.
#[test]
fn a_new_process_does_not_wait_for_a_silent_agent() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let silent = start_scripted_discovery(&log, |_, _| BackendAction::Hang);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        with_agent(config);
        config["discovery"] = silent.to_string().into();
    });
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b1:"
    );
}

/// An agent that is down is polled at intervals shorter than any drain grace.
#[test]
fn the_list_of_a_recovered_agent_applies_at_once() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], with_agent);
    daemon.discovery.respond_with(None);
    let calls = |daemon: &Daemon| daemon.discovery.calls.change(|calls| *calls);
    let before = calls(&daemon);
    // With the backoff for a central service, these polls would take more than a minute.
    assert!(
        daemon
            .discovery
            .calls
            .wait(EVENT_TIMEOUT, |calls| *calls >= before + 50),
        "{} calls",
        calls(&daemon) - before
    );
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ]);
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b2:"
    );
    let warnings = daemon
        .logged()
        .matches("discovery poll failed, keeping")
        .count();
    assert!(warnings <= 3, "{warnings} log lines of one outage");
}

#[test]
fn the_response_of_a_slow_agent_is_awaited() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let lines = [
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ];
    let list = start_scripted_discovery(&log, move |_, call| {
        // Longer than the timeouts of the first polls.
        sleep(Duration::from_millis(
            if call.start_line.contains("hold_ms=2000") {
                3000
            } else {
                450
            },
        ));
        update(2, true, &lines)
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], |config| {
        with_agent(config);
        config["discovery"] = list.to_string().into();
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
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let drained = [
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ];
    let here = endpoint_entry("s-1", old, "Ready");
    let hung = Shared::new(0);
    let counted = hung.clone();
    let list = start_scripted_discovery(&log, move |_, call| match call.start_line.as_str() {
        first if first.contains("from=0&hold_ms=0 ") && counted.change(|n| *n) > 0 => {
            update(2, true, &drained)
        }
        first if first.contains("from=0&hold_ms=0 ") => {
            update(0, false, std::slice::from_ref(&here))
        }
        first if first.contains("from=0&") => {
            counted.change(|n| *n += 1);
            BackendAction::Hang
        }
        _ => BackendAction::Hang,
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], |config| {
        with_agent(config);
        config["discovery"] = list.to_string().into();
    });
    log.await_event("list got GET /registry/instances?from=2&hold_ms=2000 HTTP/1.1 ");
    assert_eq!(hung.change(|n| *n), 1);
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b2:"
    );
}
