//! The time until a process is ready, and what it does without an endpoint list from then on.
use crate::agent::Behaviour;
use crate::common::sockets::rpc;
use crate::harness::{Clients, OUTAGES, READY_LIMIT, Setup};
use serde_json::Value;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longest time until an RPC is rejected where no backend is known.
const REJECTION_LIMIT: Duration = Duration::from_millis(500);

/// Longest time until any process is ready.
const FIRST_START_LIMIT: Duration = Duration::from_secs(30);

/// In an outage that does not end, the process is ready in time and rejects RPCs, which is harmless, without sending any
/// to a backend of its cached list.
#[test]
fn a_process_without_an_agent_is_ready_in_time_and_rejects_rpcs() {
    let mut setup = Setup::start();
    setup.kill();
    setup.agent.set_behaviour(Behaviour::Silent);
    let started = setup.start_again();
    setup.await_ready(started);
    let ready = Instant::now();
    let clients = Clients::start(setup.daemon.address);
    sleep(Duration::from_secs(1));
    let responses = clients.responses_after(ready);
    assert!(responses.len() > 10, "{} responses", responses.len());
    for response in responses {
        assert_eq!(response.status, 503);
        assert!(response.took < REJECTION_LIMIT, "{response:?}");
    }
    assert!(setup.requests_to("s-1", started).is_empty());
    assert!(setup.requests_to("s-2", started).is_empty());
    let recovered = Instant::now();
    setup.agent.set_behaviour(Behaviour::Responding);
    clients.await_served(recovered, READY_LIMIT);
}

/// Where lists are polled, the rules allow for the cached list until a poll succeeds: it is used at once.
#[test]
fn a_process_that_polls_is_ready_at_once_with_its_cached_list() {
    for outage in OUTAGES {
        let mut setup = Setup::start_with(|config| {
            config["settings"]["membership-mode"] = "on_request".into();
        });
        setup.kill();
        setup.agent.set_behaviour(outage);
        let started = setup.start_again();
        let time = setup.await_ready(started);
        assert!(time < Duration::from_secs(1), "ready after {time:?}");
        let clients = Clients::start(setup.daemon.address);
        clients.await_served(Instant::now(), REJECTION_LIMIT);
    }
}

/// A process without any list, as at its first start, waits longer, since clients come once all processes are ready, but is
/// ready in time, too.
#[test]
fn a_process_without_a_cached_list_is_ready_in_time() {
    let mut setup = Setup::start_with(|config| {
        config["settings"]["membership-mode"] = "on_request".into();
        config["known"] = Value::Null;
    });
    setup.kill();
    setup.agent.set_behaviour(Behaviour::Unavailable);
    let started = setup.start_again();
    let time = setup.await_ready_within(started, FIRST_START_LIMIT);
    assert!(time > READY_LIMIT, "ready after {time:?}");
    let request = rpc("GET", "/read", "r1", "");
    assert_eq!(setup.daemon.client().status_of(&request), 503);
}
