//! The endpoint list as it is watched: time-outs, malformed answers, stale updates, a switch of discovery, and an agent
//! that has lists pushed to it. Scripted stand-ins force the races; their logs show the calls that they got.
#[path = "../../../tests/common/mod.rs"]
mod common;
use birchhub_audit::Event;
use birchhub_rehearsal::{Options, Plan, Scenario, rehearse};
use common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, Message, Shared, SlowAccept, backend, config, echo,
    endpoint_entry, eventually, reply, rpc, without_health_checks,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

fn update(version: u64, all: bool, lines: &[Value]) -> BackendAction {
    BackendAction::Respond(reply(
        "200 OK",
        &json!({"rev": version, "all": all, "targets": lines}).to_string(),
    ))
}

/// A discovery service that answers each call by its number. It logs `list got FIRST-LINE `.
fn scripted(
    log: &Log,
    answer: impl Fn(usize, &Message) -> BackendAction + Send + Sync + 'static,
) -> SocketAddr {
    let calls = AtomicUsize::new(0);
    backend("list", log, move |call| {
        answer(calls.fetch_add(1, Ordering::SeqCst), call)
    })
}

fn requests_full_list(call: &Message) -> bool {
    !call.start_line.contains("from=")
}

/// Reloads with this discovery service.
fn switch_discovery(daemon: &Daemon, at: SocketAddr, change: impl FnOnce(&mut Value)) {
    let mut config = config(daemon.at, at, &[]);
    change(&mut config);
    daemon.reload(&config.to_string());
}

/// All RPCs go to the backend `b2` now.
fn check_that_rpcs_go_to_b2(daemon: &Daemon) {
    for n in 0..10 {
        assert_eq!(
            daemon
                .client()
                .text_of(&rpc("POST", "/book", &format!("n{n}"), "")),
            "b2:"
        );
    }
}

/// An older list does not replace a newer one: the full list is requested, and that applies.
#[test]
fn an_older_list_does_not_replace_a_newer_one() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    let (gone, here) = (
        endpoint_entry("s-1", old, "Ready"),
        endpoint_entry("s-2", new, "Ready"),
    );
    let at = scripted(&log, move |_, call| match call.start_line.as_str() {
        first if first.contains("from=9&") => update(3, true, std::slice::from_ref(&gone)),
        _ if requests_full_list(call) => update(9, true, std::slice::from_ref(&here)),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, at, |_| {});
    let asked = |events: &Vec<String>| {
        events
            .iter()
            .filter(|e| e.contains("list got") && !e.contains("from="))
            .count()
    };
    assert!(
        log.wait(EVENT_TIMEOUT, |events| asked(events) == 2),
        "the full list was not requested again: {:?}",
        log.all()
    );
    assert_eq!(log.count("from=3&"), 0, "the older list was applied");
    check_that_rpcs_go_to_b2(&daemon);
}

/// What a truncated answer reports must apply in time: the next call is sent at once, as a poll.
fn check_that_a_fault_is_followed_by_a_poll(
    broken: impl Fn(Vec<u8>) -> BackendAction + Send + Sync + 'static,
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
    let at = scripted(&log, move |number, call| match number {
        0 => update(1, true, &lines("Ready")),
        1 => match update(2, false, &lines("Terminating")) {
            BackendAction::Respond(bytes) => broken(bytes),
            other => other,
        },
        _ if call.start_line.contains("from=1&hold_ms=0 ") => {
            update(2, false, &lines("Terminating"))
        }
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, at, |_| {});
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
    check_that_rpcs_go_to_b2(&daemon);
}

#[test]
fn a_truncated_list_is_requested_again_at_once() {
    check_that_a_fault_is_followed_by_a_poll(|bytes| {
        BackendAction::RespondAndClose(bytes[..bytes.len() - 20].to_vec())
    });
}

#[test]
fn a_malformed_list_is_requested_again_at_once() {
    check_that_a_fault_is_followed_by_a_poll(|_| {
        BackendAction::Respond(reply(
            "200 OK",
            "{\"rev\": 2, \"all\": false, \"targets\": [{",
        ))
    });
}

/// The call after a time-out is a poll on another connection, and the next one is a watch again.
#[test]
fn the_call_after_a_time_out_does_not_watch() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let here = endpoint_entry("s-1", at, "Ready");
    let list = scripted(&log, move |number, _| match number {
        0 | 2 => update(1, true, std::slice::from_ref(&here)),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, list, |_| {});
    log.await_event("list got GET /registry/instances?from=1&hold_ms=3500 HTTP/1.1 ");
    log.await_event("list closed ");
    log.await_event("list got GET /registry/instances?from=1&hold_ms=0 HTTP/1.1 ");
    let waits =
        |events: &Vec<String>| events.iter().filter(|e| e.contains("hold_ms=3500")).count() == 2;
    assert!(log.wait(EVENT_TIMEOUT, waits), "{:?}", log.all());
}

/// A call that had no answer in time keeps its turn at a crowded service: its answer counts when it comes, also after the
/// calls behind it had none either, and the list is followed on from there.
#[test]
fn the_late_answer_of_an_overdue_call_counts() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let moved = endpoint_entry("s-1", echo("b2", &log), "Ready");
    let list = scripted(&log, move |number, _| match number {
        0 => update(1, true, &[]),
        // The first call after the watch: two more are overdue, and the backoff runs, when it is answered.
        2 => {
            sleep(Duration::from_millis(2100));
            update(2, true, std::slice::from_ref(&moved))
        }
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, list, |_| {});
    eventually(EVENT_TIMEOUT, "the late answer was dropped", || {
        sleep(Duration::from_millis(5));
        daemon.logged().contains("list version 2:")
    });
    check_that_rpcs_go_to_b2(&daemon);
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
}

/// A connect without an answer times out long before the call that it is for.
#[test]
fn a_connect_without_an_answer_times_out_before_its_call() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let slow = SlowAccept::start();
    switch_discovery(&daemon, slow.at, |_| {});
    // Three connections of 0.75 s; by the call's own time it would be 6 s.
    eventually(
        Duration::from_secs(4),
        "the call lasted to its own time-out",
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

/// What discovery reports must apply after this, whatever happened to the calls before.
const UPDATE_LIMIT: Duration = Duration::from_secs(6);

/// The longest poll interval of any deployment: no backoff may depend on it.
fn with_long_poll_interval(config: &mut Value) {
    without_health_checks(config);
    config["settings"]["contract"]["ask-within-ns"] = 20e9.into();
}

/// A single proxy meets these faults in a row, after a first answer unless a full list is requested; the last call is
/// answered. Returns how long that took from the first of them on, and the calls.
fn time_until_update(
    requests_full_list: bool,
    faults: Vec<fn() -> BackendAction>,
) -> (Duration, Vec<String>) {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], with_long_poll_interval);
    let times = Shared::new(vec![]);
    let (noted, first) = (times.clone(), usize::from(!requests_full_list));
    let here = endpoint_entry("s-1", old, "Ready");
    let drained = [
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ];
    let at = scripted(&log, move |number, _| {
        noted.change(|times| times.push(Instant::now()));
        match number.checked_sub(first).map(|fault| faults.get(fault)) {
            None => update(1, true, std::slice::from_ref(&here)),
            Some(Some(fault)) => fault(),
            Some(None) => update(2, true, &drained),
        }
    });
    switch_discovery(&daemon, at, with_long_poll_interval);
    let long = EVENT_TIMEOUT * 2; // a fault made it take this long or longer
    log.wait(long, |events| {
        events
            .iter()
            .any(|e| e.contains("list got") && e.contains("from=2&"))
    });
    check_that_rpcs_go_to_b2(&daemon);
    let calls = log
        .all()
        .into_iter()
        .filter(|e| e.starts_with("list got"))
        .collect();
    let times = times.change(|times| times.clone());
    (times[times.len() - 2] - times[first], calls)
}

/// A watch gets no answer, nor does the call after it on another connection.
#[test]
fn two_time_outs_in_a_row_leave_time_for_the_update() {
    let (took, calls) =
        time_until_update(false, vec![|| BackendAction::Hang, || BackendAction::Hang]);
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}

/// The first call to a new discovery service gets no answer, nor does the second.
#[test]
fn two_time_outs_of_full_lists_leave_time_for_the_update() {
    let (took, calls) =
        time_until_update(true, vec![|| BackendAction::Hang, || BackendAction::Hang]);
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}

/// After time-outs in a row, also beyond a backoff, calls are polls: a watch would time out late.
#[test]
fn no_call_watches_until_a_time_out_is_over() {
    let (_, calls) = time_until_update(
        false,
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

/// An overloaded service refuses call after call: the backoff does not grow with the poll interval of the deployment.
#[test]
fn refusals_in_a_row_do_not_grow_the_backoff() {
    let refused = || BackendAction::Respond(reply("503 Service Unavailable", ""));
    // Each backoff is at most 1 s and 0.5 s in the mean; a fault once made them 10 s each.
    let (took, calls) = time_until_update(false, vec![refused; 10]);
    assert!(took < Duration::from_secs(10), "{took:?}: {calls:?}");
}

/// Malformed answers, stale ones and refusals in a row: the backoff leaves time for the update.
#[test]
fn faulty_answers_leave_time_for_the_update() {
    let broken = || {
        BackendAction::Respond(reply(
            "200 OK",
            "{\"rev\": 2, \"all\": false, \"targets\": [{",
        ))
    };
    let refused = || BackendAction::Respond(reply("503 Service Unavailable", ""));
    let (took, calls) = time_until_update(
        false,
        vec![broken, broken, refused, || update(0, true, &[]), refused],
    );
    assert!(took < UPDATE_LIMIT, "{took:?}: {calls:?}");
}

/// Changes that are seen at once with RPCs: attempts begun by then are withdrawn if nothing of them was sent.
#[test]
fn a_drain_that_arrives_with_rpcs_applies_to_them() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    daemon.fill_retry_budget();
    let version = daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", old, "Ready")]);
    let mut clients: Vec<_> = (0..50).map(|_| daemon.client()).collect();
    daemon.signal("STOP");
    daemon.discovery.publish(&[
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ]);
    assert!(
        daemon
            .discovery
            .answered
            .wait(EVENT_TIMEOUT, |answered| *answered == version + 1),
        "no watch was open"
    );
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    daemon.signal("CONT");
    assert!(clients.iter_mut().all(|client| {
        client
            .response()
            .is_some_and(|answer| answer.status() == 200)
    }));
    // They may be read before the list is, but not after the drain grace.
    let mut later = daemon.client();
    eventually(EVENT_TIMEOUT, "the list was never applied", || {
        later.text_of(&rpc("POST", "/book", "later", "")) == "b2:"
    });
    let sent = log.count("b1 got");
    for n in 0..20 {
        assert_eq!(
            later.text_of(&rpc("POST", "/book", &format!("m{n}"), "")),
            "b2:"
        );
    }
    assert_eq!(log.count("b1 got"), sent);
}

/// An endpoint whose address can't be read gets no new RPCs, also not at its old address.
#[test]
fn an_unreadable_endpoint_is_treated_as_draining() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    let mut bad = endpoint_entry("s-1", old, "Ready");
    bad["endpoint"] = "nowhere".into();
    let first = [endpoint_entry("s-1", old, "Ready")];
    let then = [bad, endpoint_entry("s-2", new, "Ready")];
    let at = scripted(&log, move |number, _| match number {
        0 => update(1, true, &first),
        1 => update(2, false, &then),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, at, |_| {});
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
    check_that_rpcs_go_to_b2(&daemon);
}

/// The discovery service is switched while an answer of the old one is half read: nothing of that applies.
#[test]
fn a_switch_of_discovery_drops_a_half_read_list() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    let stale = endpoint_entry("s-1", old, "Ready");
    let first = scripted(&log, move |number, _| {
        match (number, update(7, true, std::slice::from_ref(&stale))) {
            (0, whole) => whole,
            // The rest arrives after the first call to the new service.
            (_, BackendAction::Respond(bytes)) => {
                let (half, rest) = bytes.split_at(bytes.len() - 9);
                BackendAction::RespondLater {
                    first: half.to_vec(),
                    log: Log::new(vec![]),
                    event: "never".to_owned(),
                    rest: rest.to_vec(),
                }
            }
            (_, other) => other,
        }
    });
    switch_discovery(&daemon, first, |_| {});
    log.await_event("list got GET /registry/instances?from=7&hold_ms=3500 HTTP/1.1 ");
    let here = endpoint_entry("s-2", new, "Ready");
    let second = scripted(&log, move |number, _| match number {
        0 => update(1, true, std::slice::from_ref(&here)),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, second, |_| {});
    log.await_event("list got GET /registry/instances?from=1&hold_ms=3500 HTTP/1.1 ");
    check_that_rpcs_go_to_b2(&daemon);
}

/// An agent has lists pushed to it.
fn with_agent(config: &mut Value) {
    config["settings"]["membership-mode"] = "pushed".into();
    without_health_checks(config);
}

/// The list of the agent applies from the first moment of a process, whatever cached list it was started with.
#[test]
fn a_new_process_starts_with_the_list_of_the_agent() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], with_agent);
    daemon.discovery.publish_and_wait(&[
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ]);
    // It starts again with the cached list of its first start.
    daemon.restart(PROGRAM);
    check_that_rpcs_go_to_b2(&daemon);
    assert_eq!(log.count("b1 got"), 0);
}

/// Without an answer of the agent the process starts all the same, with its cached list.
#[test]
fn a_new_process_does_not_wait_for_an_agent_without_an_answer() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let silent = scripted(&log, |_, _| BackendAction::Hang);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        with_agent(config);
        config["discovery"] = silent.to_string().into();
    });
    assert_eq!(
        daemon.client().text_of(&rpc("POST", "/book", "id", "")),
        "b1:"
    );
}

/// While the agent is down it is called again and again, at intervals below any drain grace: its updates apply at once.
#[test]
fn the_list_of_an_agent_that_is_back_applies_at_once() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], with_agent);
    daemon.discovery.respond_with(None);
    let calls = |daemon: &Daemon| daemon.discovery.calls.change(|calls| *calls);
    let before = calls(&daemon);
    // By the backoff of a polled list, so many calls would take over a minute.
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

/// The answer of an agent that is slower than usual is awaited.
#[test]
fn the_answer_of_a_slow_agent_is_awaited() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let lines = [
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ];
    let list = scripted(&log, move |_, call| {
        // Longer than the first calls wait, and than the first call for a full list.
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

/// A watch of a pushed list without an answer is opened again.
#[test]
fn a_watch_of_a_pushed_list_without_an_answer_is_opened_again() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let drained = [
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ];
    let here = endpoint_entry("s-1", old, "Ready");
    let hung = Shared::new(0);
    let counted = hung.clone();
    let list = scripted(&log, move |_, call| match call.start_line.as_str() {
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

/// An outage of discovery that ends during a release, and then twelve callers of a service that serves one call at a time,
/// 0.1 s each, and refuses the others.
const CROWD: &str = r#"
name = "crowd"
about = "Many callers of a service that takes few."
length = "18s"
[rules]
ask-within = "20s"
[fleet]
zones = ["a"]
[[fleet.machine]]
name = "m"
count = 8
[list]
calls = 1
call-takes = "100ms"
[[method]]
name = "read"
kind = "idempotent"
work = "1ms"
target = "250ms"
deadline = "800ms"
[proxies]
count = 12
[traffic]
rate = 20
[[trouble]]
name = "down"
kind = "list-down"
at = "2s"
for = "8s"
[[trouble]]
name = "release"
kind = "deploy"
at = "9s"
batch = 4
every = "5s"
stop-after = "1s"
nodes = { share = 0.5 }
"#;

#[test]
fn each_of_many_proxies_is_updated_in_time_after_an_outage() {
    let scenario = Scenario::read("crowd", CROWD).expect("a scenario");
    let plan = Plan::draw(&scenario, 5, "crowd", CROWD).expect("a plan");
    let out = std::env::temp_dir().join(format!("birchhubd-crowd-{}", std::process::id()));
    let options = Options {
        seed: 5,
        out: out.clone(),
        program: PROGRAM.into(),
        progress: false,
    };
    rehearse(&scenario, &plan, &options).expect("a report");
    let (_, entries) = birchhub_rehearsal::run::open(&out.join("ledger")).expect("a ledger");
    let _ = std::fs::remove_dir_all(out);
    let back = 10.0; // s, when the outage ends
    let drains = entries.iter().filter_map(|entry| match entry.event {
        Event::EndpointChanged { backend: node, .. } if (2.0..back).contains(&entry.at) => {
            Some((node, entry.at))
        }
        _ => None,
    });
    let drains: Vec<_> = drains.collect();
    assert_eq!(drains.len(), 4, "drains during the outage");
    for proxy in 0..12 {
        for (drained, at) in &drains {
            // Every later update about it has this state or a newer one.
            let told = entries.iter().find(|entry| {
                entry.at > *at && matches!(entry.event, Event::ProxyNotified { proxy: to, backend: node, .. } if to == proxy && node == *drained)
            });
            let told = told.map_or(f64::INFINITY, |entry| entry.at - back);
            assert!(
                told < UPDATE_LIMIT.as_secs_f64(),
                "proxy {proxy} knew of node {drained} {told:.1} s after the outage"
            );
        }
    }
}
