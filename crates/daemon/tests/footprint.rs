//! The memory that a listed backend costs an idle proxy.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Daemon, Log, echo, endpoint_entry, without_health_checks};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Prevents mailboxes that reserve memory for tasks which most backends of a large fleet never have.
#[test]
fn a_listed_backend_costs_a_few_kilobytes() {
    const MORE: usize = 4_000;
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start_with(PROGRAM, &[("s-0", at)], without_health_checks);
    let before = daemon.memory();
    let lines: Vec<_> = (0..=MORE)
        .map(|n| endpoint_entry(&format!("s-{n}"), at, "Ready"))
        .collect();
    daemon.discovery.publish_and_wait(&lines);
    let each = (daemon.memory() - before) / MORE;
    assert!(each < 5 << 10, "{each} bytes for a backend");
}
