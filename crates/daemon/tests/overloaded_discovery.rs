//! A discovery service that processes one call at a time, and several proxies whose watches time out together.
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

/// Time that the service takes for a call; each proxy is served once within 1.8 s.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Version of the list before the change.
const FIRST: u64 = 101;

/// Version of the list after the change.
const CHANGED: u64 = 102;

/// Longest time after the last response until an update applies.
const UPDATE_LIMIT: Duration = Duration::from_secs(6);

/// Log event of a held poll.
const WATCH: &str = "list got GET /registry/instances?from=101&hold_ms=3500 HTTP/1.1 ";

/// Responds with an endpoint list, complete or of changes.
fn update(version: u64, is_snapshot: bool, lines: &[Value]) -> BackendAction {
    let body = json!({"rev": version, "all": is_snapshot, "targets": lines}).to_string();
    BackendAction::Respond(reply("200 OK", &body))
}

/// Starts a service that responds to the first call of each proxy at once, never responds to a watch, and processes all
/// other calls one after another, including abandoned ones.
fn service(log: &Log, ready: Value, draining: Value) -> SocketAddr {
    let turn = Arc::new(Mutex::new(()));
    backend("list", log, move |call: &Message| {
        if !call.start_line.contains("from=") {
            return update(FIRST, true, std::slice::from_ref(&ready));
        }
        if !call.start_line.contains("hold_ms=0 ") {
            return BackendAction::Hang;
        }
        let _turn = turn.lock().expect("no call panics");
        sleep(CALL_TIME);
        update(CHANGED, false, std::slice::from_ref(&draining))
    })
}

#[test]
fn each_proxy_is_updated_in_time_when_all_watches_time_out_together() {
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
        daemon.reload(&config(daemon.address, address, &[]).to_string());
    }
    log.await_event(WATCH);
    let silent_since = Instant::now();
    let mut updated_after: Vec<Option<Duration>> = vec![None; PROXIES];
    eventually(UPDATE_LIMIT * 3, "a proxy is never updated", || {
        for (daemon, updated_after) in daemons.iter().zip(&mut updated_after) {
            if updated_after.is_none()
                && daemon
                    .logged()
                    .contains(&format!("list version {CHANGED}:"))
            {
                *updated_after = Some(silent_since.elapsed());
            }
        }
        updated_after.iter().all(Option::is_some)
    });
    assert!(
        updated_after
            .iter()
            .flatten()
            .all(|time| *time < UPDATE_LIMIT),
        "updated after {updated_after:?}"
    );
}
