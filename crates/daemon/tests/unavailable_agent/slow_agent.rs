//! An agent that takes longer for each call than the first timeouts of a poll.
use crate::agent::Behaviour;
use crate::harness::{Clients, READY_LIMIT, Setup};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time that the agent takes for each call.
const RESPONSE_TIME: Duration = Duration::from_millis(1500);

/// Time after a silent, lost or slow call at which a change counts as applied.
const UPDATE_LIMIT: Duration = Duration::from_secs(6);

/// Guards against a process that never hears its agent: each call was abandoned after 1.4 s, when two later ones had timed
/// out.
#[test]
fn a_process_that_starts_with_a_slow_agent_is_ready_with_its_list() {
    let mut setup = Setup::start();
    setup.kill();
    setup.agent.publish(&[setup.entry_of_s1("Terminating")]);
    setup.agent.set_behaviour(Behaviour::Slow(RESPONSE_TIME));
    let started = setup.start_again();
    let time = setup.await_ready(started);
    assert!(time < RESPONSE_TIME * 2, "ready after {time:?}");
    let clients = Clients::start(setup.daemon.address);
    clients.await_served(Instant::now(), READY_LIMIT);
    drop(clients);
    setup.assert_unused("s-1", started, "slow agent");
}

/// Guards against the same in a process that runs. The change meets different phases of the watch and of the polls that
/// follow it.
#[test]
fn a_drain_at_a_slow_agent_is_applied_in_time() {
    let phases_ms = [300, 1100, 1900, 2700, 3500, 4300];
    let plays = phases_ms.map(|phase_ms| spawn(move || drain_at_slow_agent(phase_ms)));
    for play in plays {
        play.join().expect("a drain in time");
    }
}

/// Publishes a drain at this time after the agent has become slow.
fn drain_at_slow_agent(phase_ms: u64) {
    let setup = Setup::start();
    let clients = Clients::start(setup.daemon.address);
    setup.agent.set_behaviour(Behaviour::Slow(RESPONSE_TIME));
    sleep(Duration::from_millis(phase_ms));
    setup.agent.publish(&[setup.entry_of_s1("Terminating")]);
    let published = Instant::now();
    sleep(UPDATE_LIMIT + Duration::from_secs(1));
    drop(clients);
    let what = format!("drain after {phase_ms} ms");
    setup.assert_unused("s-1", published + UPDATE_LIMIT, &what);
    let served = setup.requests_to("s-2", published + UPDATE_LIMIT);
    assert!(!served.is_empty(), "{what}");
}

/// Calls that are lost do not keep a slow agent from being heard once the outage is over.
#[test]
fn a_slow_agent_is_heard_after_an_outage() {
    let mut setup = Setup::start();
    setup.kill();
    setup.agent.publish(&[setup.entry_of_s1("Terminating")]);
    setup.agent.set_behaviour(Behaviour::Lost);
    let started = setup.start_again();
    sleep(Duration::from_millis(2200));
    setup.agent.set_behaviour(Behaviour::Slow(RESPONSE_TIME));
    let recovered = Instant::now();
    setup.await_ready(started);
    assert!(
        recovered.elapsed() < UPDATE_LIMIT,
        "{:?}",
        recovered.elapsed()
    );
    let clients = Clients::start(setup.daemon.address);
    clients.await_served(Instant::now(), READY_LIMIT);
    drop(clients);
    setup.assert_unused("s-1", started, "slow agent after an outage");
}
