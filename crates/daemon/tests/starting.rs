//! Simultaneous start of many processes: nine in ten are ready in time, although all of them call a discovery service that
//! serves one call at a time.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Daemon, Log, Message, backend, endpoint_entry, reply, without_health_checks,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
const PROCESSES: usize = 10;
const ENDPOINTS: u32 = 8700;
/// Time within which nine in ten processes must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time that the discovery service takes to serve a complete list.
const LIST_TIME: Duration = Duration::from_millis(300);

fn endpoints() -> Vec<Value> {
    let address = |n: u32| SocketAddr::from(([127, 250, (n >> 8) as u8, n as u8], 5000));
    (0..ENDPOINTS)
        .map(|n| endpoint_entry(&format!("s-{n}"), address(n), "Ready"))
        .collect()
}

/// Starts a discovery service that serves one call at a time and rejects the others. Polls that wait for a change do not
/// count towards this limit.
fn overloaded_service(log: &Log) -> SocketAddr {
    let active_calls = AtomicUsize::new(0);
    let complete_list = json!({"rev": 2, "all": true, "targets": endpoints()}).to_string();
    backend("list", log, move |call: &Message| {
        if call.start_line.contains("from=2&hold_ms=3") {
            sleep(Duration::from_millis(3400));
            return BackendAction::Respond(reply(
                "200 OK",
                r#"{"rev": 2, "all": false, "targets": []}"#,
            ));
        }
        if active_calls.fetch_add(1, Ordering::SeqCst) > 0 {
            active_calls.fetch_sub(1, Ordering::SeqCst);
            return BackendAction::Respond(reply("503 Service Unavailable", ""));
        }
        sleep(LIST_TIME);
        active_calls.fetch_sub(1, Ordering::SeqCst);
        BackendAction::Respond(reply("200 OK", &complete_list))
    })
}

/// Starts all processes at the same moment, with or without a cached list, and returns the sorted times until
/// each was ready.
fn start(cached: bool) -> Vec<Duration> {
    let log = Log::new(vec![]);
    let service = overloaded_service(&log);
    let cached = Arc::new(cached.then(endpoints));
    let start_barrier = Arc::new(Barrier::new(PROCESSES));
    let start_process = |n: usize| {
        let cached = cached.clone();
        let start_barrier = start_barrier.clone();
        spawn(move || {
            let mut started_at = Instant::now();
            let daemon = Daemon::start_with(PROGRAM, &[], |config| {
                without_health_checks(config);
                config["discovery"] = service.to_string().into();
                config["seed"] = format!("{n:016x}").into();
                config["settings"]["contract"]["ask-within-ns"] = 20e9.into();
                config["known"] = match &*cached {
                    Some(endpoints) => json!({"rev": 1, "all": true, "targets": endpoints}),
                    None => Value::Null,
                };
                start_barrier.wait();
                started_at = Instant::now();
            });
            (started_at.elapsed(), daemon)
        })
    };
    let starts: Vec<_> = (0..PROCESSES).map(start_process).collect();
    // The processes run until the last one is ready.
    let started: Vec<_> = starts
        .into_iter()
        .map(|start| start.join().expect("a start"))
        .collect();
    let mut times: Vec<_> = started.iter().map(|(time, _)| *time).collect();
    times.sort();
    println!(
        "cached {}: {times:?}, {} calls",
        cached.is_some(),
        log.count("list got")
    );
    times
}

fn assert_ready_in_time(cached: bool) {
    let times = start(cached);
    assert!(times[PROCESSES * 9 / 10 - 1] < READY_WITHIN, "{times:?}");
}

#[test]
fn processes_without_a_list_are_ready_in_time() {
    assert_ready_in_time(false);
}

#[test]
fn processes_with_a_list_are_ready_in_time() {
    assert_ready_in_time(true);
}

/// A process without a list does not repeat a call to a slow service: the service may serve its callers one after the other,
/// and a repeated call would delay the other callers.
#[test]
fn process_without_a_list_waits_for_a_slow_discovery_service() {
    let log = Log::new(vec![]);
    let service = backend("list", &log, |_| {
        sleep(Duration::from_secs(5));
        BackendAction::Respond(reply("200 OK", r#"{"rev": 2, "all": true, "targets": []}"#))
    });
    let daemon = Daemon::start_with(PROGRAM, &[], |config| {
        without_health_checks(config);
        config["discovery"] = service.to_string().into();
        config["known"] = Value::Null;
    });
    assert_eq!(
        log.count("list got GET /registry/instances HTTP"),
        1,
        "{}",
        daemon.logged()
    );
}
