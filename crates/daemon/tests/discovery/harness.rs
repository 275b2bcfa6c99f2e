//! Scripted discovery services, and helpers for the proxies that use them.
use crate::common::sockets::{BackendAction, Daemon, Log, Message, backend, config, reply, rpc};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Longest permitted time until an update applies, whatever happened to earlier polls.
pub(crate) const UPDATE_LIMIT: Duration = Duration::from_secs(6);

/// Responds with a complete endpoint list, or with the entries that have changed.
pub(crate) fn update(version: u64, is_snapshot: bool, entries: &[Value]) -> BackendAction {
    BackendAction::Respond(reply(
        "200 OK",
        &json!({"rev": version, "all": is_snapshot, "targets": entries}).to_string(),
    ))
}

/// Starts a discovery service whose response depends on the call and its number, counted from 0. It logs each call as
/// `list got START-LINE `.
pub(crate) fn start_scripted_discovery(
    log: &Log,
    respond: impl Fn(usize, &Message) -> BackendAction + Send + Sync + 'static,
) -> SocketAddr {
    let calls = AtomicUsize::new(0);
    backend("list", log, move |call| {
        respond(calls.fetch_add(1, Ordering::SeqCst), call)
    })
}

/// Returns whether a call requests a snapshot.
pub(crate) fn requests_snapshot(call: &Message) -> bool {
    !call.start_line.contains("from=")
}

/// Reloads the configuration with this address of the discovery service.
pub(crate) fn switch_discovery(
    daemon: &Daemon,
    address: SocketAddr,
    configure: impl FnOnce(&mut Value),
) {
    let mut config = config(daemon.address, address, &[]);
    configure(&mut config);
    daemon.reload(&config.to_string());
}

/// Checks that the proxy now sends all RPCs to the backend `b2`.
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
