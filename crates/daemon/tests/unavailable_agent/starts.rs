//! Starts while discovery is down, after a change that the new process has not heard of.
use crate::agent::Behaviour;
use crate::harness::{Clients, OUTAGES, READY_LIMIT, Setup};
use serde_json::Value;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time from the start of the process until its agent responds again.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Longest time from the end of an outage until RPCs are served again.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1500);

/// Plays a change while the process is down, an outage that it starts into, and the end of the outage.
fn check_change(outage: Behaviour, change: &[Value], setup: &mut Setup) {
    let clients = Clients::start(setup.daemon.address);
    clients.await_served(Instant::now(), READY_LIMIT);
    setup.kill();
    setup.agent.publish(change);
    setup.agent.set_behaviour(outage);
    let started = setup.start_again();
    sleep(OUTAGE);
    let recovered = Instant::now();
    setup.agent.set_behaviour(Behaviour::Responding);
    clients.await_served(recovered, RECOVERY_LIMIT);
    sleep(Duration::from_millis(200));
    drop(clients);
    for backend in ["s-1", "s-2"] {
        let mut requests = setup.requests_to(backend, started);
        requests.retain(|request| request.at < recovered);
        assert!(
            requests.is_empty(),
            "{outage:?}, {change:?}: {} requests to {backend} without a list of the agent",
            requests.len()
        );
    }
}

/// Guards against RPCs to a draining backend: the cached list was used as soon as the agent had not responded for 0.5 s.
#[test]
fn no_rpc_goes_to_a_backend_that_began_to_drain_before_the_start() {
    for outage in OUTAGES {
        let mut setup = Setup::start();
        let drain = setup.entry_of_s1("Terminating");
        check_change(outage, &[drain], &mut setup);
        setup.assert_unused("s-1", setup.restarted_at(), &format!("{outage:?}"));
    }
}

/// Guards against RPCs to an address that belongs to another backend by now, which is draining.
#[test]
fn no_rpc_goes_to_an_address_that_another_backend_has_taken_over() {
    let mut setup = Setup::start();
    let removal = setup.entry_of_s1("Gone");
    let mut successor = setup.entry_of_s1("Terminating");
    successor["uid"] = "s-9".into();
    check_change(Behaviour::Silent, &[removal, successor], &mut setup);
    setup.assert_unused("s-1", setup.restarted_at(), "successor");
}

/// Guards against a backend that has restarted and is taken for a warm one.
#[test]
fn no_rpc_goes_to_a_backend_that_has_restarted_before_its_start_time_is_known() {
    let mut setup = Setup::start();
    let mut restarted = setup.entry_of_s1("Ready");
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    restarted["boot_ms"] = (now.expect("a time").as_millis() as u64).into();
    check_change(Behaviour::Silent, &[restarted], &mut setup);
}

/// Guards against the same after two ends in a row, the second one before the process was ready.
#[test]
fn a_second_restart_in_the_outage_does_not_use_the_cached_list() {
    for signal in ["KILL", "TERM"] {
        let mut setup = Setup::start();
        let clients = Clients::start(setup.daemon.address);
        setup.kill();
        setup.agent.publish(&[setup.entry_of_s1("Terminating")]);
        setup.agent.set_behaviour(Behaviour::Silent);
        let started = setup.start_again();
        sleep(Duration::from_millis(700));
        setup.daemon.signal(signal);
        setup.daemon.await_exit();
        setup.start_again();
        sleep(Duration::from_millis(1500));
        setup.agent.set_behaviour(Behaviour::Responding);
        clients.await_served(Instant::now(), RECOVERY_LIMIT);
        drop(clients);
        setup.assert_unused("s-1", started, signal);
    }
}

/// The changes in the first response of the agent apply to the cached list, whose other backends are used at once.
#[test]
fn the_backends_of_the_cached_list_are_used_once_the_agent_has_responded() {
    let mut setup = Setup::start();
    setup.kill();
    setup.agent.publish(&[setup.entry_of_s1("Gone")]);
    let started = setup.start_again();
    setup.await_ready(started);
    let clients = Clients::start(setup.daemon.address);
    clients.await_served(started, READY_LIMIT);
    sleep(Duration::from_millis(200));
    let refused = clients.responses_after(started);
    let refused = refused.iter().filter(|response| response.status != 200);
    assert_eq!(refused.count(), 0);
    assert!(!setup.requests_to("s-2", started).is_empty());
    setup.assert_unused("s-1", started, "removed");
}
