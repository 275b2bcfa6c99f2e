//! How updates of the endpoint list affect RPCs and backends.
use crate::common::sockets::{
    BackendAction, Daemon, EVENT_TIMEOUT, Log, echo, endpoint_entry, eventually, rpc,
    without_health_checks,
};
use crate::harness::{
    PROGRAM, assert_rpcs_go_to_b2, start_scripted_discovery, switch_discovery, update,
};

/// The proxy receives RPCs together with an update that drains their backend. Attempts that are not yet sent are
/// withdrawn and go to the other backend.
#[test]
fn a_drain_that_arrives_with_rpcs_applies_to_them() {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], without_health_checks);
    daemon.fill_retry_budget();
    let version = daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-1", old_address, "Ready")]);
    let mut clients: Vec<_> = (0..50).map(|_| daemon.client()).collect();
    daemon.signal("STOP");
    daemon.discovery.publish(&[
        endpoint_entry("s-1", old_address, "Terminating"),
        endpoint_entry("s-2", new_address, "Ready"),
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
            .is_some_and(|response| response.status() == 200)
    }));
    // The proxy may have received RPCs before the list, but must not send any to the old backend after the drain grace.
    let mut later_client = daemon.client();
    eventually(EVENT_TIMEOUT, "the list was never applied", || {
        later_client.text_of(&rpc("POST", "/book", "later", "")) == "b2:"
    });
    let sent_before = log.count("b1 got");
    for n in 0..20 {
        assert_eq!(
            later_client.text_of(&rpc("POST", "/book", &format!("m{n}"), "")),
            "b2:"
        );
    }
    assert_eq!(log.count("b1 got"), sent_before);
}

/// The endpoint gets no new RPCs, not even at its former address.
#[test]
fn an_endpoint_with_an_invalid_address_is_treated_as_draining() {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], without_health_checks);
    let mut invalid_entry = endpoint_entry("s-1", old_address, "Ready");
    invalid_entry["endpoint"] = "nowhere".into();
    let first = [endpoint_entry("s-1", old_address, "Ready")];
    let second = [invalid_entry, endpoint_entry("s-2", new_address, "Ready")];
    let address = start_scripted_discovery(&log, move |number, _| match number {
        0 => update(1, true, &first),
        1 => update(2, false, &second),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, address, |_| {});
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
    assert_rpcs_go_to_b2(&daemon);
}

/// The address of the discovery service changes while the response of the former service is partially read.
#[test]
fn an_address_change_discards_a_partially_read_list() {
    let log = Log::new(vec![]);
    let (old_address, new_address) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old_address)], without_health_checks);
    let old_entry = endpoint_entry("s-1", old_address, "Ready");
    let first = start_scripted_discovery(&log, move |number, _| {
        match (number, update(7, true, std::slice::from_ref(&old_entry))) {
            (0, complete) => complete,
            // The rest arrives after the first call to the new service.
            (_, BackendAction::Respond(bytes)) => {
                let (first_part, rest) = bytes.split_at(bytes.len() - 9);
                BackendAction::RespondLater {
                    first: first_part.to_vec(),
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
    let current_entry = endpoint_entry("s-2", new_address, "Ready");
    let second = start_scripted_discovery(&log, move |number, _| match number {
        0 => update(1, true, std::slice::from_ref(&current_entry)),
        _ => BackendAction::Hang,
    });
    switch_discovery(&daemon, second, |_| {});
    log.await_event("list got GET /registry/instances?from=1&hold_ms=3500 HTTP/1.1 ");
    assert_rpcs_go_to_b2(&daemon);
}
