//! The emulated discovery service: complete lists, watches, capacity and faults.
use crate::common::{LOCALHOST, on_one_thread, recorded_events};
use birchhub_audit::{EndpointState, Entry, Event};
use birchhub_emulator::discovery_service::{Endpoint, ServiceCapacity};
use birchhub_emulator::wire::{MessageKind, Peer, ReadError};
use birchhub_emulator::{Clock, DiscoveryService};
use serde_json::Value;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

fn endpoint(state: EndpointState, incarnation: u32) -> Endpoint {
    let addresses = vec![
        "127.0.0.1:1".parse().unwrap(),
        "127.0.0.1:2".parse().unwrap(),
    ];
    Endpoint {
        name: "n0".to_owned(),
        zone: "a".to_owned(),
        rack: 0,
        machine: "m".to_owned(),
        capacity: 1.0,
        addresses,
        state,
        incarnation,
        boot_ms: 5.0,
    }
}

/// Polls the endpoint list as a proxy does, and returns the body of the response.
async fn poll(
    discovery: &DiscoveryService,
    proxy: u16,
    query: &str,
    clock: &Clock,
) -> Result<Value, ReadError> {
    let mut peer = Peer::connect(discovery.address(proxy).expect("an address"))
        .await
        .map_err(|_| ReadError::Closed)?;
    let text = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: l\r\n\r\n");
    peer.write(text.as_bytes())
        .await
        .map_err(|_| ReadError::Closed)?;
    let message = peer.read(MessageKind::Response, clock).await?;
    Ok(serde_json::from_slice(&message.body).expect("JSON"))
}

#[test]
fn the_endpoint_list_is_sent_complete_or_as_changes_with_addresses_for_each_proxy() {
    on_one_thread(|event_log, entries| async move {
        let clock = event_log.clock;
        let discovery = DiscoveryService::start(event_log, &[LOCALHOST, LOCALHOST])
            .expect("a discovery service");
        discovery.update_endpoint(0, endpoint(EndpointState::Ready, 1));
        let complete = poll(&discovery, 1, "", &clock).await.expect("a list");
        assert_eq!(
            (&complete["rev"], &complete["all"]),
            (&1.into(), &true.into())
        );
        assert_eq!(complete["targets"][0]["endpoint"], "127.0.0.1:2");
        let empty = poll(&discovery, 1, "?from=1&hold_ms=20", &clock)
            .await
            .expect("nothing new");
        assert_eq!(
            (&empty["all"], empty["targets"].as_array().map(Vec::len)),
            (&false.into(), Some(0))
        );
        let watching = discovery.clone();
        let watch =
            spawn_local(async move { poll(&watching, 1, "?from=1&hold_ms=20000", &clock).await });
        while !watch.is_finished() {
            // Repeated until the watch returns: whenever its call arrives, a change is newer than its version.
            discovery.update_endpoint(0, endpoint(EndpointState::Draining, 1));
            sleep(Duration::from_millis(5)).await;
        }
        let changes = watch.await.expect("a task").expect("changes");
        assert_eq!(changes["targets"][0]["state"], "Terminating");
        discovery.update_endpoint(0, endpoint(EndpointState::Gone, 1));
        let complete = poll(&discovery, 1, "", &clock).await.expect("a list");
        assert_eq!(complete["targets"].as_array().map(Vec::len), Some(0));
        let states = notified_states(&entries, 1);
        assert_eq!(
            states,
            [
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Gone
            ]
        );
    });
}

/// The endpoint states that a proxy was notified of, in order.
fn notified_states(entries: &Receiver<Entry>, recipient: u16) -> Vec<EndpointState> {
    let is_notification =
        |event: &Event| matches!(event, Event::ProxyNotified { proxy, .. } if *proxy == recipient);
    let events = recorded_events(entries, is_notification);
    let states = events.iter().filter_map(|event| match event {
        Event::ProxyNotified { state, .. } => Some(*state),
        _ => None,
    });
    states.collect()
}

/// Polls the complete list as proxy 1 and returns the status of the response.
async fn list_call_status(discovery: &DiscoveryService, clock: &Clock) -> u16 {
    let mut peer = Peer::connect(discovery.address(1).expect("an address"))
        .await
        .expect("a connection");
    peer.write(b"GET /registry/instances HTTP/1.1\r\nHost: l\r\n\r\n")
        .await
        .expect("a call");
    let response = peer.read(MessageKind::Response, clock).await;
    response.expect("a response").status
}

/// The service processes one call at a time and rejects others. A watch uses no capacity while it waits.
#[test]
fn a_discovery_service_at_capacity_rejects_further_calls() {
    on_one_thread(|event_log, _entries| async move {
        let clock = event_log.clock;
        let discovery = DiscoveryService::start(event_log, &[LOCALHOST, LOCALHOST])
            .expect("a discovery service");
        discovery.update_endpoint(0, endpoint(EndpointState::Ready, 1));
        discovery.set_capacity(ServiceCapacity::new(
            1,
            Duration::from_millis(300),
            Duration::ZERO,
        ));
        let watching = discovery.clone();
        let watch = spawn_local(async move {
            loop {
                let mut peer = Peer::connect(watching.address(0).expect("an address"))
                    .await
                    .expect("a connection");
                let call =
                    b"GET /registry/instances?from=1&hold_ms=20000 HTTP/1.1\r\nHost: l\r\n\r\n";
                peer.write(call).await.expect("a call");
                let response = peer
                    .read(MessageKind::Response, &clock)
                    .await
                    .expect("a response");
                if response.status == 200 {
                    return serde_json::from_slice::<Value>(&response.body).expect("JSON");
                }
                sleep(Duration::from_millis(5)).await;
            }
        });
        let call = async || list_call_status(&discovery, &clock).await;
        // Repeated until two calls overlap: without an overlap both succeed.
        while !matches!(tokio::join!(call(), call()), (200, 503) | (503, 200)) {}
        assert!(discovery.rejected_calls() > 0 && !watch.is_finished());
        discovery.update_endpoint(0, endpoint(EndpointState::Draining, 1));
        assert_eq!(
            watch.await.expect("a task")["targets"][0]["state"],
            "Terminating"
        );
    });
}

#[test]
fn a_discovery_service_that_is_down_resets_and_a_stale_list_does_not_change() {
    on_one_thread(|event_log, _entries| async move {
        let clock = event_log.clock;
        let discovery = DiscoveryService::start(event_log, &[LOCALHOST, LOCALHOST])
            .expect("a discovery service");
        discovery.update_endpoint(0, endpoint(EndpointState::Ready, 1));
        let watching = discovery.clone();
        let watch =
            spawn_local(async move { poll(&watching, 0, "?from=1&hold_ms=20000", &clock).await });
        sleep(Duration::from_millis(20)).await;
        discovery.set_down(true);
        assert!(
            watch.await.expect("a task").is_err() && poll(&discovery, 0, "", &clock).await.is_err()
        );
        discovery.set_down(false);
        discovery.set_stale(0, true);
        discovery.update_endpoint(0, endpoint(EndpointState::Gone, 1));
        let count = |list: Value| list["targets"].as_array().map(Vec::len);
        assert_eq!(
            count(poll(&discovery, 0, "", &clock).await.expect("a list")),
            Some(1),
            "the outdated list"
        );
        assert_eq!(
            count(poll(&discovery, 1, "", &clock).await.expect("a list")),
            Some(0),
            "the other proxy's list is current"
        );
        discovery.set_stale(0, false);
        assert_eq!(
            count(
                poll(&discovery, 0, "?from=1&hold_ms=20000", &clock)
                    .await
                    .expect("changes")
            ),
            Some(1)
        );
    });
}
