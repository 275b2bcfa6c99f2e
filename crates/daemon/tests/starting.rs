//! Many processes start at once: nine in ten are ready in time, however crowded the list service is by all of them.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Act, Daemon, Log, Message, backend, blind, line, reply};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
const PROCESSES: usize = 10;
const LINES: u32 = 8700;
const READY: Duration = Duration::from_secs(10);
const CALL: Duration = Duration::from_millis(300); // that the service works on a whole list

fn lines() -> Vec<Value> {
    let at = |n: u32| SocketAddr::from(([127, 250, (n >> 8) as u8, n as u8], 5000));
    (0..LINES)
        .map(|n| line(&format!("s-{n}"), at(n), "Ready"))
        .collect()
}

/// Works on one call at a time and refuses the rest; a call that waits is none.
fn crowded(log: &Log) -> SocketAddr {
    let busy = AtomicUsize::new(0);
    let whole = json!({"rev": 2, "all": true, "targets": lines()}).to_string();
    backend("list", log, move |call: &Message| {
        if call.first.contains("from=2&hold_ms=3") {
            sleep(Duration::from_millis(3400));
            return Act::Write(reply(
                "200 OK",
                r#"{"rev": 2, "all": false, "targets": []}"#,
            ));
        }
        if busy.fetch_add(1, Ordering::SeqCst) > 0 {
            busy.fetch_sub(1, Ordering::SeqCst);
            return Act::Write(reply("503 Service Unavailable", ""));
        }
        sleep(CALL);
        busy.fetch_sub(1, Ordering::SeqCst);
        Act::Write(reply("200 OK", &whole))
    })
}

/// All start at the same moment: how long until each was ready.
fn start(known: bool) -> Vec<Duration> {
    let log = Log::new(vec![]);
    let (service, known) = (crowded(&log), Arc::new(known.then(lines)));
    let together = Arc::new(Barrier::new(PROCESSES));
    let one = |n: usize| {
        let (known, together) = (known.clone(), together.clone());
        spawn(move || {
            let mut begun = Instant::now();
            let daemon = Daemon::start_with(PROGRAM, &[], |config| {
                blind(config);
                config["discovery"] = service.to_string().into();
                config["seed"] = format!("{n:016x}").into();
                config["settings"]["contract"]["ask-within-ns"] = 20e9.into();
                config["known"] = match &*known {
                    Some(lines) => json!({"rev": 1, "all": true, "targets": lines}),
                    None => Value::Null,
                };
                together.wait();
                begun = Instant::now();
            });
            (begun.elapsed(), daemon)
        })
    };
    let starts: Vec<_> = (0..PROCESSES).map(one).collect();
    // None ends before the last is ready.
    let started: Vec<_> = starts
        .into_iter()
        .map(|start| start.join().expect("a start"))
        .collect();
    let mut times: Vec<_> = started.iter().map(|(time, _)| *time).collect();
    times.sort();
    println!(
        "known {}: {times:?}, {} calls",
        known.is_some(),
        log.count("list got")
    );
    times
}

fn are_ready_in_time(known: bool) {
    let times = start(known);
    assert!(times[PROCESSES * 9 / 10 - 1] < READY, "{times:?}");
}

#[test]
fn processes_without_a_list_are_ready_in_time() {
    are_ready_in_time(false);
}

#[test]
fn processes_with_a_list_are_ready_in_time() {
    are_ready_in_time(true);
}

/// A service that works through the calls of many in turn is heard out by a process that has no list: calls given up
/// would only make the others wait.
#[test]
fn a_process_without_a_list_waits_its_turn() {
    let log = Log::new(vec![]);
    let service = backend("list", &log, |_| {
        sleep(Duration::from_secs(5));
        Act::Write(reply("200 OK", r#"{"rev": 2, "all": true, "targets": []}"#))
    });
    let daemon = Daemon::start_with(PROGRAM, &[], |config| {
        blind(config);
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
