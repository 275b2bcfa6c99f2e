//! How updates of the endpoint list apply to RPCs and backends.
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, echo, endpoint_entry, eventually, rpc,
    without_health_checks,
};
use crate::harness::{
    PROGRAM, assert_rpcs_go_to_b2, start_scripted_discovery, switch_discovery, update,
};

/// RPCs that are received together with an update: their attempts are withdrawn unless they were sent.
#[test]
fn a_drain_that_arrives_with_rpcs_applies_to_them() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    daemon.fill_retry_budget();
    let version = daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", old, "Ready")]);
    let mut clients: Vec<_> = (0..50).map(|_| daemon.client()).collect();
    daemon.signal("STOP");
    daemon.discovery.publish(&[
        endpoint_entry("s-1", old, "Terminating"),
        endpoint_entry("s-2", new, "Ready"),
    ]);
    assert!(
        daemon
            .discovery
            .answered
            .wait(EVENT_TIMEOUT, |answered| *answered == version + 1),
        "no watch was open"
    );
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    daemon.signal("CONT");
    assert!(clients.iter_mut().all(|client| {
        client
            .response()
            .is_some_and(|answer| answer.status() == 200)
    }));
    // RPCs may be received before the list is, but not after the drain grace.
    let mut later = daemon.client();
    eventually(EVENT_TIMEOUT, "the list was never applied", || {
        later.text_of(&rpc("POST", "/book", "later", "")) == "b2:"
    });
    let sent = log.count("b1 got");
    for n in 0..20 {
        assert_eq!(
            later.text_of(&rpc("POST", "/book", &format!("m{n}"), "")),
            "b2:"
        );
    }
    assert_eq!(log.count("b1 got"), sent);
}

/// It gets no new RPCs, not even at its former address.
#[test]
fn an_endpoint_with_an_invalid_address_is_treated_as_draining() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    let mut bad = endpoint_entry("s-1", old, "Ready");
    bad["endpoint"] = "nowhere".into();
    let first = [endpoint_entry("s-1", old, "Ready")];
    let then = [bad, endpoint_entry("s-2", new, "Ready")];
    let at = start_scripted_discovery(&log, move |number, _| match number {
        0 => update(1, true, &first),
        1 => update(2, false, &then),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, at, |_| {});
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
    assert_rpcs_go_to_b2(&daemon);
}

/// The address of discovery changes while a response of the former service is partially read.
#[test]
fn an_address_change_discards_a_partially_read_list() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], without_health_checks);
    let stale = endpoint_entry("s-1", old, "Ready");
    let first = start_scripted_discovery(&log, move |number, _| {
        match (number, update(7, true, std::slice::from_ref(&stale))) {
            (0, complete) => complete,
            // The rest arrives after the first call to the new service.
            (_, BackendAction::Respond(bytes)) => {
                let (half, rest) = bytes.split_at(bytes.len() - 9);
                BackendAction::RespondLater {
                    first: half.to_vec(),
                    log: Log::new(vec![]),
                    event: "never".to_owned(),
                    rest: rest.to_vec(),
                }
            }
            (_, other) => other,
        }
    });
    switch_discovery(&daemon, first, |_| {});
    log.await_event("list got GET /registry/instances?from=7&hold_ms=3500 HTTP/1.1 ");
    let here = endpoint_entry("s-2", new, "Ready");
    let second = start_scripted_discovery(&log, move |number, _| match number {
        0 => update(1, true, std::slice::from_ref(&here)),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, second, |_| {});
    log.await_event("list got GET /registry/instances?from=1&hold_ms=3500 HTTP/1.1 ");
    assert_rpcs_go_to_b2(&daemon);
}
