//! Reloads that select another agent, which may have a newer list than the previous one.
use crate::agent::{Agent, Behaviour};
use crate::harness::{Clients, READY_LIMIT, Setup, reloaded_config};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time after SIGHUP at which the proxy counts as notified of all that the new agent has.
const NOTIFIED_AFTER: Duration = Duration::from_secs(4);

/// Guards against RPCs to a backend that drains by the list of the new agent, which has not responded yet.
#[test]
fn the_list_of_the_previous_agent_is_used_for_a_limited_time() {
    let setup = Setup::start();
    let clients = Clients::start(setup.daemon.address);
    let next = Agent::start(&setup.entries);
    next.publish(&[setup.entry_of_s1("Terminating")]);
    next.set_behaviour(Behaviour::Silent);
    let reloaded = Instant::now();
    setup
        .daemon
        .reload(&reloaded_config(setup.daemon.address, &next));
    sleep(Duration::from_secs(2));
    let responses = clients.responses_after(reloaded);
    assert!(responses.iter().all(|response| response.status == 200));
    sleep(Duration::from_secs(3));
    let recovered = Instant::now();
    next.set_behaviour(Behaviour::Responding);
    clients.await_served(recovered, READY_LIMIT);
    drop(clients);
    setup.assert_unused("s-1", reloaded + NOTIFIED_AFTER, "new agent");
    assert!(!setup.requests_to("s-2", recovered).is_empty());
}

/// Where the new agent responds, no RPC is rejected.
#[test]
fn no_rpc_is_rejected_while_the_agent_changes() {
    let setup = Setup::start();
    let clients = Clients::start(setup.daemon.address);
    let reloaded = Instant::now();
    for _ in 0..3 {
        let next = Agent::start(&setup.entries);
        setup
            .daemon
            .reload(&reloaded_config(setup.daemon.address, &next));
        sleep(Duration::from_millis(1500));
        assert!(next.calls() > 0, "the new agent was never called");
    }
    let responses = clients.responses_after(reloaded);
    assert!(responses.iter().all(|response| response.status == 200));
}

/// A series of reloads, each of which selects another silent agent, does not extend the use of the list.
#[test]
fn reloads_in_a_row_do_not_extend_the_use_of_a_list() {
    let setup = Setup::start();
    let clients = Clients::start(setup.daemon.address);
    let drain = setup.entry_of_s1("Terminating");
    let reloaded = Instant::now();
    for _ in 0..4 {
        let next = Agent::start(&setup.entries);
        next.publish(std::slice::from_ref(&drain));
        next.set_behaviour(Behaviour::Lost);
        setup
            .daemon
            .reload(&reloaded_config(setup.daemon.address, &next));
        sleep(Duration::from_millis(1500));
    }
    drop(clients);
    setup.assert_unused("s-1", reloaded + NOTIFIED_AFTER, "reloads in a row");
}
