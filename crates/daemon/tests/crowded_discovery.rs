//! A discovery service that takes its calls in turn, and several proxies whose watches fall silent at the same time.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Daemon, Log, Message, backend, config, echo, endpoint_entry, eventually, reply,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
const PROXIES: usize = 6;
/// What the service needs for a call; all proxies are served once within 1.8 s.
const CALL_TIME: Duration = Duration::from_millis(300);
/// Versions of the list before and after the change.
const FIRST: u64 = 101;
const CHANGED: u64 = 102;
/// A change counts as told so long after a watch fell silent.
const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);
const WATCH: &str = "list got GET /registry/instances?from=101&hold_ms=3500 HTTP/1.1 ";

fn list(version: u64, whole: bool, lines: &[Value]) -> BackendAction {
    let body = json!({"rev": version, "all": whole, "targets": lines}).to_string();
    BackendAction::Respond(reply("200 OK", &body))
}

/// Answers the first call of each proxy at once, leaves each watch without an answer, and takes all other calls in turn,
/// also those that were given up meanwhile.
fn service(log: &Log, ready: Value, draining: Value) -> SocketAddr {
    let turn = Arc::new(Mutex::new(()));
    backend("list", log, move |call: &Message| {
        if !call.start_line.contains("from=") {
            return list(FIRST, true, std::slice::from_ref(&ready));
        }
        if !call.start_line.contains("hold_ms=0 ") {
            return BackendAction::Hang;
        }
        let _turn = turn.lock().expect("no call panics");
        sleep(CALL_TIME);
        list(CHANGED, false, std::slice::from_ref(&draining))
    })
}

#[test]
fn each_proxy_is_told_in_time_when_all_watches_fall_silent_together() {
    let log = Log::new(vec![]);
    let node = echo("b1", &log);
    let (ready, draining) = (
        endpoint_entry("s-1", node, "Ready"),
        endpoint_entry("s-1", node, "Terminating"),
    );
    let address = service(&log, ready, draining);
    let daemons: Vec<_> = (0..PROXIES)
        .map(|_| Daemon::start(PROGRAM, &[("s-1", node)]))
        .collect();
    for daemon in &daemons {
        daemon.reload(&config(daemon.at, address, &[]).to_string());
    }
    log.await_event(WATCH);
    let silent_since = Instant::now();
    let mut told: Vec<Option<Duration>> = vec![None; PROXIES];
    eventually(COUNTS_AS_TOLD * 3, "a proxy is never told", || {
        for (daemon, told) in daemons.iter().zip(&mut told) {
            if told.is_none()
                && daemon
                    .logged()
                    .contains(&format!("list version {CHANGED}:"))
            {
                *told = Some(silent_since.elapsed());
            }
        }
        told.iter().all(Option::is_some)
    });
    assert!(
        told.iter().flatten().all(|time| *time < COUNTS_AS_TOLD),
        "told after {told:?}"
    );
}
