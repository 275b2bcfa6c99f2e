//! Memory that an idle proxy uses for each backend in the endpoint list.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Daemon, Log, echo, endpoint_entry, without_health_checks};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Guards against endpoint mailboxes that preallocate memory, which most backends of a large fleet never need.
#[test]
fn listed_backend_takes_a_few_kilobytes() {
    const ADDED_BACKENDS: usize = 4_000;
    let log = Log::new(vec![]);
    let address = echo("b1", &log);
    let daemon = Daemon::start_with(PROGRAM, &[("s-0", address)], without_health_checks);
    let before = daemon.memory();
    let endpoints: Vec<_> = (0..=ADDED_BACKENDS)
        .map(|n| endpoint_entry(&format!("s-{n}"), address, "Ready"))
        .collect();
    daemon.discovery.publish_and_wait(&endpoints);
    let bytes_per_backend = (daemon.memory() - before) / ADDED_BACKENDS;
    assert!(
        bytes_per_backend < 5 << 10,
        "{bytes_per_backend} bytes per backend"
    );
}
