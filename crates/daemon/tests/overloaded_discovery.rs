//! A discovery service that processes one call at a time, and several proxies whose held polls time out together.
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

/// Time that the service takes for a call, so that it serves each of the six proxies once within 1.8 s.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Version of the list before the change.
const FIRST_VERSION: u64 = 101;

/// Version of the list after the change.
const CHANGED_VERSION: u64 = 102;

/// Longest permitted time from the first held poll until a proxy applies the update.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(6);

/// Event that the service logs when it receives a held poll.
const HELD_POLL_EVENT: &str = "list got GET /registry/instances?from=101&hold_ms=3500 HTTP/1.1 ";

/// Responds with a complete endpoint list or with its changes.
fn update(version: u64, is_snapshot: bool, entries: &[Value]) -> BackendAction {
    let body = json!({"rev": version, "all": is_snapshot, "targets": entries}).to_string();
    BackendAction::Respond(reply("200 OK", &body))
}

/// Starts a service that responds to the first call of each proxy at once, never responds to a held poll, and processes all
/// other calls one after another, including those whose proxy has stopped waiting.
fn service(log: &Log, ready: Value, draining: Value) -> SocketAddr {
    let processing = Arc::new(Mutex::new(()));
    backend("list", log, move |call: &Message| {
        if !call.start_line.contains("from=") {
            return update(FIRST_VERSION, true, std::slice::from_ref(&ready));
        }
        if !call.start_line.contains("hold_ms=0 ") {
            return BackendAction::Hang;
        }
        let _guard = processing.lock().expect("no call has panicked");
        sleep(CALL_TIME);
        update(CHANGED_VERSION, false, std::slice::from_ref(&draining))
    })
}

#[test]
fn each_proxy_is_updated_in_time_when_all_held_polls_time_out_together() {
    let log = Log::new(vec![]);
    let backend_address = echo("b1", &log);
    let (ready, draining) = (
        endpoint_entry("s-1", backend_address, "Ready"),
        endpoint_entry("s-1", backend_address, "Terminating"),
    );
    let service_address = service(&log, ready, draining);
    let daemons: Vec<_> = (0..PROXIES)
        .map(|_| Daemon::start(PROGRAM, &[("s-1", backend_address)]))
        .collect();
    for daemon in &daemons {
        daemon.reload(&config(daemon.address, service_address, &[]).to_string());
    }
    log.await_event(HELD_POLL_EVENT);
    let polls_held_since = Instant::now();
    let mut updated_after: Vec<Option<Duration>> = vec![None; PROXIES];
    eventually(MAX_UPDATE_TIME * 3, "a proxy was not updated", || {
        for (daemon, updated_after) in daemons.iter().zip(&mut updated_after) {
            if updated_after.is_none()
                && daemon
                    .logged()
                    .contains(&format!("list version {CHANGED_VERSION}:"))
            {
                *updated_after = Some(polls_held_since.elapsed());
            }
        }
        updated_after.iter().all(Option::is_some)
    });
    assert!(
        updated_after
            .iter()
            .flatten()
            .all(|time| *time < MAX_UPDATE_TIME),
        "updated after {updated_after:?}"
    );
}
