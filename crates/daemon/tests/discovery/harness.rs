//! Scripted discovery services, and the proxies that use them.
use crate::common::sockets::{BackendAction, Daemon, Log, Message, backend, config, reply, rpc};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Longest time until an update applies, whatever happened to earlier polls.
pub(crate) const UPDATE_LIMIT: Duration = Duration::from_secs(6);

/// Responds with an endpoint list, complete or of changes.
pub(crate) fn update(version: u64, is_snapshot: bool, lines: &[Value]) -> BackendAction {
    BackendAction::Respond(reply(
        "200 OK",
        &json!({"rev": version, "all": is_snapshot, "targets": lines}).to_string(),
    ))
}

/// Starts a discovery service that responds to each call by its number. It logs `list got FIRST-LINE `.
pub(crate) fn start_scripted_discovery(
    log: &Log,
    answer: impl Fn(usize, &Message) -> BackendAction + Send + Sync + 'static,
) -> SocketAddr {
    let calls = AtomicUsize::new(0);
    backend("list", log, move |call| {
        answer(calls.fetch_add(1, Ordering::SeqCst), call)
    })
}

/// Returns whether a call requests a snapshot.
pub(crate) fn requests_snapshot(call: &Message) -> bool {
    !call.start_line.contains("from=")
}

/// Reloads the configuration with this discovery service.
pub(crate) fn switch_discovery(daemon: &Daemon, at: SocketAddr, change: impl FnOnce(&mut Value)) {
    let mut config = config(daemon.address, at, &[]);
    change(&mut config);
    daemon.reload(&config.to_string());
}

/// Checks that all RPCs are sent to the backend `b2` now.
pub(crate) fn assert_rpcs_go_to_b2(daemon: &Daemon) {
    for n in 0..10 {
        assert_eq!(
            daemon
                .client()
                .text_of(&rpc("POST", "/book", &format!("n{n}"), "")),
            "b2:"
        );
    }
}
