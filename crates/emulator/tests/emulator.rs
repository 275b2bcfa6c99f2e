//! Stand-ins over loopback sockets: each fault shows on the connection as a proxy would see it, and in the ledger.
use birchhub_audit::event::{Admission, AttemptEnd, ReceivedAttempt};
use birchhub_audit::{Answer, DeduplicationScope, EndpointState, Entry, Event, Idempotency};
use birchhub_backend_model::{Spec, Start, Work, work::Spread};
use birchhub_emulator::discovery_service::{Endpoint, ServiceCapacity};
use birchhub_emulator::fleet::request_id_of;
use birchhub_emulator::wire::{self, Message, MessageKind, Peer, ReadError};
use birchhub_emulator::{
    BackendSpec, Client, ClientRequest, Clock, DiscoveryService, EmulatedBackend, EventLog, Fault,
    Fleet, MethodCost,
};
use serde_json::Value;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(20); // for an event; none should come near
const HOME: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

/// Runs a test on one thread, as stand-ins run.
fn on_one_thread<F: Future<Output = ()>>(test: impl FnOnce(EventLog, Receiver<Entry>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (event_log, entries) = EventLog::new(Clock::starting_in(Duration::ZERO));
        timeout(PATIENCE, test(event_log, entries))
            .await
            .expect("in time");
    });
}

fn node(event_log: &EventLog, work: f64) -> Rc<EmulatedBackend> {
    let constant = |name: &str, kind| MethodCost {
        name: name.into(),
        work: Work {
            mean: work,
            spread: Spread::Constant,
        },
        idempotency: kind,
    };
    let log = Idempotency::Deduplicated {
        group: DeduplicationScope::All,
        window: 60.0,
    };
    let costs = vec![
        constant("read", Idempotency::Idempotent),
        constant("log", log),
    ];
    let fleet = Rc::new(Fleet::new(event_log.clone(), 1, costs));
    let spec = Spec {
        cores: 1,
        speed: 1.0,
        queue_capacity: 1,
        initial_capacity: 0.5,
        warm_up_seconds: 60.0,
        collapse_factor: 3.0,
        overload_window_seconds: 1.0,
        report_interval: 0.0,
        cancel_stops_execution: true,
        connections: 4,
        connection_work: 0.0,
    };
    let place = BackendSpec {
        index: 0,
        name: "n0".into(),
        zone: 0,
        rack: 0,
        model: spec,
        idle_timeout_seconds: 30.0,
    };
    EmulatedBackend::new(place, fleet, &[HOME, HOME]).expect("addresses")
}

/// A node that has started and is warm.
fn warm_node(event_log: &EventLog, work: f64) -> Rc<EmulatedBackend> {
    let node = node(event_log, work);
    node.start(Start::Warm).expect("a start");
    node
}

fn request(http_method: &str, path: &str, request_id: u64, more: &str) -> Vec<u8> {
    format!(
        "{http_method} {path} HTTP/1.1\r\nHost: n\r\nRequest-Id: {request_id:016x}\r\n{more}\r\n"
    )
    .into_bytes()
}

/// A proxy's connection to a node.
struct Connection {
    peer: Peer,
    clock: Clock,
}

impl Connection {
    async fn open(node: &EmulatedBackend, event_log: &EventLog, proxy: u16) -> Self {
        let peer = Peer::connect(node.address(proxy).expect("an address"))
            .await
            .expect("a connection");
        Self {
            peer,
            clock: event_log.clock,
        }
    }
    async fn send(&mut self, request_id: u64) {
        self.peer
            .write(&request("GET", "/read/1", request_id, ""))
            .await
            .expect("a send");
    }
    async fn answer(&mut self) -> Result<Message, ReadError> {
        self.peer.read(MessageKind::Response, &self.clock).await
    }
    async fn call(&mut self, request_id: u64) -> Result<Message, ReadError> {
        self.send(request_id).await;
        self.answer().await
    }
}

/// The events so far that fit.
fn events_so_far(entries: &Receiver<Entry>, fits: impl Fn(&Event) -> bool) -> Vec<Event> {
    entries
        .try_iter()
        .map(|entry| entry.event)
        .filter(|event| fits(event))
        .collect()
}

/// Waits for one that fits.
async fn await_event(entries: &Receiver<Entry>, fits: impl Fn(&Event) -> bool) -> Event {
    loop {
        if let Some(event) = events_so_far(entries, &fits).pop() {
            return event;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

fn is_left(event: &Event) -> bool {
    matches!(event, Event::AttemptEnded { .. })
}

#[test]
fn an_rpc_runs_and_its_response_reports_the_load() {
    on_one_thread(|event_log, entries| async move {
        let node = warm_node(&event_log, 0.005);
        let mut connection = Connection::open(&node, &event_log, 1).await;
        let answer = connection
            .call(request_id_of(7, 0))
            .await
            .expect("an answer");
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (200, &b"0000000000000700 n0\n"[..])
        );
        assert_eq!(
            answer.header("server-load"),
            Some("inflight=0,queue=0,util=0.000")
        );
        let events = events_so_far(&entries, |_| true);
        let got = events.iter().find_map(|e| match e {
            Event::AttemptReceived(ReceivedAttempt {
                proxy,
                request_id,
                admission,
                ..
            }) => Some((*proxy, *request_id, *admission)),
            _ => None,
        });
        assert_eq!(got, Some((1, 0x700, Admission::Admitted)));
        assert!(
            events.iter().any(|e| matches!(
                e,
                Event::AttemptEnded {
                    how: AttemptEnd::Replied,
                    ..
                }
            )),
            "{events:?}"
        );
    });
}

#[test]
fn calls_other_than_rpcs_have_their_status() {
    on_one_thread(|event_log, _entries| async move {
        let node = warm_node(&event_log, 0.005);
        let mut connection = Connection::open(&node, &event_log, 1).await;
        for (path, status) in [("/stats", 200), ("/health/live", 200), ("/nothing", 404)] {
            connection
                .peer
                .write(&request("GET", path, 1, ""))
                .await
                .expect("a send");
            assert_eq!(
                connection.answer().await.expect("an answer").status,
                status,
                "{path}"
            );
        }
        connection
            .peer
            .write(b"GET /read HTTP/1.1\r\nRequest-Id: none\r\n\r\n")
            .await
            .expect("a send");
        assert_eq!(connection.answer().await.expect("an answer").status, 400);
    });
}

#[test]
fn a_full_or_draining_node_responds_not_started() {
    on_one_thread(|event_log, _entries| async move {
        let node = warm_node(&event_log, 60.0);
        let mut connections = Vec::new();
        for request_id in 0..4 {
            let mut connection = Connection::open(&node, &event_log, 0).await;
            connection.send(request_id).await;
            while request_id < 2 && node.in_flight() <= request_id as usize {
                sleep(Duration::from_millis(1)).await;
            }
            connections.push(connection);
        }
        // One runs, one is queued, and the queue is full.
        for connection in &mut connections[2..] {
            let answer = connection.answer().await.expect("an answer");
            assert_eq!(
                (answer.status, answer.header("not-started")),
                (503, Some("1"))
            );
        }
        // A fifth connection is one too many, and is refused.
        let mut fifth = Connection::open(&node, &event_log, 0).await;
        assert_eq!(
            fifth
                .call(9)
                .await
                .expect("an answer")
                .header("not-started"),
            Some("1")
        );
        assert_eq!(fifth.answer().await.err(), Some(ReadError::Closed));
        drop(connections);
        while !node.is_idle() {
            sleep(Duration::from_millis(1)).await;
        }
        node.drain();
        let mut connection = Connection::open(&node, &event_log, 0).await;
        assert_eq!(
            connection
                .call(10)
                .await
                .expect("an answer")
                .header("not-started"),
            Some("1")
        );
    });
}

#[test]
fn a_cancelled_attempt_is_noticed_and_its_work_stops() {
    on_one_thread(|event_log, entries| async move {
        let node = warm_node(&event_log, 60.0);
        let mut connection = Connection::open(&node, &event_log, 0).await;
        connection.send(1).await;
        await_event(&entries, |e| matches!(e, Event::ExecutionStarted { .. })).await;
        drop(connection);
        let left = await_event(&entries, is_left).await;
        assert!(
            matches!(
                left,
                Event::AttemptEnded {
                    how: AttemptEnd::Cancelled,
                    ..
                }
            ) && node.is_idle()
        );
    });
}

/// A crashed process resets its connections and refuses new ones; it restarts at the same address.
#[test]
fn a_crashed_node_resets_and_refuses_until_its_restart() {
    on_one_thread(|event_log, entries| async move {
        let node = warm_node(&event_log, 60.0);
        let (mut busy, mut idle) = (
            Connection::open(&node, &event_log, 0).await,
            Connection::open(&node, &event_log, 0).await,
        );
        busy.send(1).await;
        await_event(&entries, |e| matches!(e, Event::ExecutionStarted { .. })).await;
        node.crash();
        assert_eq!(
            (busy.answer().await.err(), idle.answer().await.is_err()),
            (Some(ReadError::Broken), true)
        );
        let left = await_event(&entries, is_left).await;
        assert!(
            matches!(
                left,
                Event::AttemptEnded {
                    how: AttemptEnd::Broken,
                    ..
                }
            ),
            "{left:?}"
        );
        while Peer::connect(node.address(0).expect("an address"))
            .await
            .is_ok()
        {
            sleep(Duration::from_millis(1)).await;
        }
        node.start(Start::Warm).expect("an incarnation");
        Connection::open(&node, &event_log, 0).await.send(2).await;
        await_event(&entries, |e| matches!(e, Event::ExecutionStarted { .. })).await;
    });
}

/// Faults, whether the RPC runs under them, and what the proxy reads.
fn faults_and_effects() -> [(Fault, bool, Result<u16, ReadError>); 6] {
    [
        (
            Fault::ConnectionReset { share: 1.0 },
            true,
            Err(ReadError::Broken),
        ),
        (
            Fault::TruncatedResponse { share: 1.0 },
            true,
            Err(ReadError::Broken),
        ),
        (
            Fault::MalformedResponse { share: 1.0 },
            true,
            Err(ReadError::Malformed),
        ),
        (Fault::ErrorResponse { share: 1.0 }, false, Ok(500)),
        (
            Fault::SlowResponse {
                share: 1.0,
                extra_seconds: 0.05,
            },
            true,
            Ok(200),
        ),
        (Fault::ConnectionReset { share: 0.0 }, true, Ok(200)),
    ]
}

#[test]
fn each_fault_has_its_effect_on_the_connection() {
    on_one_thread(|event_log, entries| async move {
        let node = warm_node(&event_log, 0.001);
        let mut request_id = 0;
        for (fault, runs, expected) in faults_and_effects() {
            request_id += 1;
            node.begin_fault(request_id, fault);
            let mut connection = Connection::open(&node, &event_log, 0).await;
            let got = connection
                .call(request_id_of(request_id as u32, 0))
                .await
                .map(|m| m.status);
            assert_eq!(got, expected, "{fault:?}");
            node.end_fault(request_id);
            let mut seen = Vec::new();
            while !seen.iter().any(is_left) {
                seen.extend(events_so_far(&entries, |_| true));
                sleep(Duration::from_millis(1)).await;
            }
            assert_eq!(
                seen.iter()
                    .any(|e| matches!(e, Event::ExecutionStarted { .. })),
                runs,
                "{fault:?}"
            );
        }
    });
}

#[test]
fn a_mute_node_answers_health_checks_only() {
    on_one_thread(|event_log, entries| async move {
        let node = warm_node(&event_log, 0.001);
        node.begin_fault(1, Fault::NoResponse { share: 1.0 });
        let mut connection = Connection::open(&node, &event_log, 0).await;
        connection.send(1).await;
        await_event(&entries, |e| {
            matches!(
                e,
                Event::AttemptReceived(ReceivedAttempt {
                    admission: Admission::Dropped,
                    ..
                })
            )
        })
        .await;
        let mut probe = Connection::open(&node, &event_log, 0).await;
        probe
            .peer
            .write(&request("GET", "/stats", 0, ""))
            .await
            .expect("a send");
        assert_eq!(probe.answer().await.expect("an answer").status, 200);
        drop(connection);
        let left = await_event(&entries, is_left).await;
        assert!(matches!(
            left,
            Event::AttemptEnded {
                how: AttemptEnd::Cancelled,
                ..
            }
        ));
    });
}

/// Partitioned from one proxy: no answer there, service elsewhere, and a reset of all open connections at the end.
#[test]
fn a_partition_drops_packets_and_ends_with_resets() {
    on_one_thread(|event_log, _entries| async move {
        let node = warm_node(&event_log, 0.001);
        let mut before = Connection::open(&node, &event_log, 0).await;
        before.call(1).await.expect("an answer");
        node.begin_fault(1, Fault::Partition { proxy: Some(0) });
        before.send(2).await;
        let mut during = Connection::open(&node, &event_log, 0).await;
        during.send(3).await;
        let silent = timeout(Duration::from_millis(100), during.answer()).await;
        assert!(silent.is_err(), "it answered: {silent:?}");
        assert_eq!(
            Connection::open(&node, &event_log, 1)
                .await
                .call(4)
                .await
                .expect("an answer")
                .status,
            200
        );
        node.end_fault(1);
        assert!(before.answer().await.is_err() && during.answer().await.is_err());
        assert_eq!(
            Connection::open(&node, &event_log, 0)
                .await
                .call(5)
                .await
                .expect("an answer")
                .status,
            200
        );
    });
}

/// A stopped process answers nothing; requests of that time are served afterwards, with their time of arrival.
#[test]
fn a_stalled_node_serves_requests_after_the_stall() {
    on_one_thread(|event_log, entries| async move {
        let node = warm_node(&event_log, 0.001);
        node.begin_stall(1);
        node.begin_stall(2);
        let mut connection = Connection::open(&node, &event_log, 0).await;
        let before = event_log.clock.now();
        connection.send(1).await;
        assert!(
            timeout(Duration::from_millis(100), connection.answer())
                .await
                .is_err()
        );
        node.end_stall(1);
        assert!(
            timeout(Duration::from_millis(50), connection.answer())
                .await
                .is_err(),
            "the other stall lasts"
        );
        let ended = event_log.clock.now();
        node.end_stall(2);
        assert_eq!(connection.answer().await.expect("an answer").status, 200);
        let got = await_event(&entries, |e| matches!(e, Event::AttemptReceived { .. })).await;
        assert!(
            matches!(got, Event::AttemptReceived(ReceivedAttempt { first_byte_at, .. }) if first_byte_at >= before && first_byte_at < ended),
            "{got:?}"
        );
    });
}

#[test]
fn a_node_overloaded_in_slow_start_stays_down() {
    on_one_thread(|event_log, entries| async move {
        let node = node(&event_log, 0.5);
        node.start(Start::Cold).expect("an incarnation");
        // Its capacity is half of a core, and it fails at three times that within a second.
        for request_id in 0..4 {
            Connection::open(&node, &event_log, 0)
                .await
                .send(request_id)
                .await;
        }
        await_event(&entries, |e| matches!(e, Event::BackendCollapsed { .. })).await;
        while Peer::connect(node.address(0).expect("an address"))
            .await
            .is_ok()
        {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(node.incarnation(), None);
    });
}

#[test]
fn a_deduplicated_repeat_is_answered_without_a_run() {
    on_one_thread(|event_log, entries| async move {
        let node = warm_node(&event_log, 0.001);
        let mut connection = Connection::open(&node, &event_log, 0).await;
        for request_id in [request_id_of(3, 0), request_id_of(3, 1)] {
            let bytes = request(
                "POST",
                "/log/3",
                request_id,
                "Idempotency-Key: k\r\nContent-Length: 0\r\n",
            );
            connection.peer.write(&bytes).await.expect("a send");
            assert_eq!(connection.answer().await.expect("an answer").status, 200);
        }
        let runs = events_so_far(&entries, |e| {
            matches!(
                e,
                Event::ExecutionStarted { .. } | Event::DuplicateDropped { .. }
            )
        });
        assert!(
            matches!(
                runs.as_slice(),
                [
                    Event::ExecutionStarted { .. },
                    Event::DuplicateDropped { .. }
                ]
            ),
            "{runs:?}"
        );
    });
}

fn line(state: EndpointState, incarnation: u32) -> Endpoint {
    let (name, zone, machine) = ("n0".to_owned(), "a".to_owned(), "m".to_owned());
    let addresses = vec![
        "127.0.0.1:1".parse().unwrap(),
        "127.0.0.1:2".parse().unwrap(),
    ];
    Endpoint {
        name,
        zone,
        rack: 0,
        machine,
        capacity: 1.0,
        addresses,
        state,
        incarnation,
        boot_ms: 5.0,
    }
}

async fn ask(
    list: &DiscoveryService,
    proxy: u16,
    query: &str,
    clock: &Clock,
) -> Result<Value, ReadError> {
    let mut peer = Peer::connect(list.address(proxy).expect("an address"))
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
fn the_list_is_sent_in_full_or_as_changes_with_addresses_for_each_proxy() {
    on_one_thread(|event_log, entries| async move {
        let clock = event_log.clock;
        let list = DiscoveryService::start(event_log, &[HOME, HOME]).expect("a list service");
        list.update_endpoint(0, line(EndpointState::Ready, 1));
        let whole = ask(&list, 1, "", &clock).await.expect("a list");
        assert_eq!((&whole["rev"], &whole["all"]), (&1.into(), &true.into()));
        assert_eq!(whole["targets"][0]["endpoint"], "127.0.0.1:2");
        let empty = ask(&list, 1, "?from=1&hold_ms=20", &clock)
            .await
            .expect("nothing new");
        assert_eq!(
            (&empty["all"], empty["targets"].as_array().map(Vec::len)),
            (&false.into(), Some(0))
        );
        let watching = list.clone();
        let watch =
            spawn_local(async move { ask(&watching, 1, "?from=1&hold_ms=20000", &clock).await });
        while !watch.is_finished() {
            // However late the watch begins, the change is newer than what it has.
            list.update_endpoint(0, line(EndpointState::Draining, 1));
            sleep(Duration::from_millis(5)).await;
        }
        let changes = watch.await.expect("a task").expect("changes");
        assert_eq!(changes["targets"][0]["state"], "Terminating");
        list.update_endpoint(0, line(EndpointState::Gone, 1));
        let whole = ask(&list, 1, "", &clock).await.expect("a list");
        assert_eq!(whole["targets"].as_array().map(Vec::len), Some(0));
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

/// The states of endpoints that a proxy was notified of, in order.
fn notified_states(entries: &Receiver<Entry>, to: u16) -> Vec<EndpointState> {
    let is_notification =
        |event: &Event| matches!(event, Event::ProxyNotified { proxy, .. } if *proxy == to);
    let events = events_so_far(entries, is_notification);
    let states = events.iter().filter_map(|event| match event {
        Event::ProxyNotified { state, .. } => Some(*state),
        _ => None,
    });
    states.collect()
}

/// Polls the whole list for proxy 1 and returns the response's status.
async fn list_call_status(list: &DiscoveryService, clock: &Clock) -> u16 {
    let mut peer = Peer::connect(list.address(1).expect("an address"))
        .await
        .expect("a connection");
    peer.write(b"GET /registry/instances HTTP/1.1\r\nHost: l\r\n\r\n")
        .await
        .expect("a call");
    let answer = peer.read(MessageKind::Response, clock).await;
    answer.expect("an answer").status
}

/// It serves one call at a time and refuses the others; a watch that waits uses no capacity.
#[test]
fn a_list_service_of_small_capacity_refuses_further_calls() {
    on_one_thread(|event_log, _entries| async move {
        let clock = event_log.clock;
        let list = DiscoveryService::start(event_log, &[HOME, HOME]).expect("a list service");
        list.update_endpoint(0, line(EndpointState::Ready, 1));
        list.set_capacity(ServiceCapacity::new(
            1,
            Duration::from_millis(300),
            Duration::ZERO,
        ));
        let watching = list.clone();
        let watch = spawn_local(async move {
            loop {
                let mut peer = Peer::connect(watching.address(0).expect("an address"))
                    .await
                    .expect("a connection");
                let call =
                    b"GET /registry/instances?from=1&hold_ms=20000 HTTP/1.1\r\nHost: l\r\n\r\n";
                peer.write(call).await.expect("a call");
                let answer = peer
                    .read(MessageKind::Response, &clock)
                    .await
                    .expect("an answer");
                if answer.status == 200 {
                    return serde_json::from_slice::<Value>(&answer.body).expect("JSON");
                }
                sleep(Duration::from_millis(5)).await;
            }
        });
        let call = async || list_call_status(&list, &clock).await;
        // Until two have met; each alone is answered.
        while !matches!(tokio::join!(call(), call()), (200, 503) | (503, 200)) {}
        assert!(list.rejected_calls() > 0 && !watch.is_finished());
        list.update_endpoint(0, line(EndpointState::Draining, 1));
        assert_eq!(
            watch.await.expect("a task")["targets"][0]["state"],
            "Terminating"
        );
    });
}

#[test]
fn a_list_service_that_is_down_resets_and_a_stale_one_does_not_change() {
    on_one_thread(|event_log, _entries| async move {
        let clock = event_log.clock;
        let list = DiscoveryService::start(event_log, &[HOME, HOME]).expect("a list service");
        list.update_endpoint(0, line(EndpointState::Ready, 1));
        let watching = list.clone();
        let watch =
            spawn_local(async move { ask(&watching, 0, "?from=1&hold_ms=20000", &clock).await });
        sleep(Duration::from_millis(20)).await;
        list.set_down(true);
        assert!(watch.await.expect("a task").is_err() && ask(&list, 0, "", &clock).await.is_err());
        list.set_down(false);
        list.set_stale(0, true);
        list.update_endpoint(0, line(EndpointState::Gone, 1));
        let count = |list: Value| list["targets"].as_array().map(Vec::len);
        assert_eq!(
            count(ask(&list, 0, "", &clock).await.expect("a list")),
            Some(1),
            "the old copy"
        );
        assert_eq!(
            count(ask(&list, 1, "", &clock).await.expect("a list")),
            Some(0),
            "the other proxy's is true"
        );
        list.set_stale(0, false);
        assert_eq!(
            count(
                ask(&list, 0, "?from=1&hold_ms=20000", &clock)
                    .await
                    .expect("changes")
            ),
            Some(1)
        );
    });
}

fn request_of(request_id: u64, client_timeout: f64) -> ClientRequest {
    let path = "/read/1".into();
    ClientRequest {
        request_id,
        rpc: 1,
        proxy: 0,
        http_method: "GET",
        path,
        tenant: None,
        idempotency_key: None,
        is_retry: false,
        client_timeout,
        cancel_after: None,
        body_bytes: 0,
        slow_send: None,
    }
}

/// A server that reads one RPC and answers with these bytes.
fn answer_once(clock: Clock, bytes: Vec<u8>) -> SocketAddr {
    let listener = wire::listen((HOME, 0).into(), 8).expect("a listener");
    let at = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("a client");
        let mut peer = Peer::new(stream);
        peer.read(MessageKind::Request, &clock)
            .await
            .expect("an RPC");
        peer.write(&bytes).await.expect("an answer");
    });
    at
}

/// What a client records of each response of a proxy.
#[test]
fn a_client_distinguishes_the_answers() {
    on_one_thread(|event_log, _entries| async move {
        let ok =
            |request_id: u64| wire::response(200, &[], format!("{request_id:016x} n\n").as_bytes());
        let retry_after = [("Retry-After", "0.5")];
        let truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n".to_vec();
        let cases: Vec<(Vec<u8>, Answer)> = vec![
            (ok(1), Answer::Ok),
            (ok(2), Answer::Malformed),
            ([ok(1), ok(1)].concat(), Answer::Malformed),
            (
                wire::response(503, &retry_after, b""),
                Answer::Rejected(Some(0.5)),
            ),
            (wire::response(429, &[], b""), Answer::Rejected(None)),
            (wire::response(502, &[], b""), Answer::Aborted(502)),
            (truncated, Answer::Lost),
            (vec![], Answer::Lost),
        ];
        for (bytes, expected) in cases {
            let at = answer_once(event_log.clock, bytes);
            let answer = Client::new(event_log.clone())
                .send(&request_of(1, 5.0), at)
                .await;
            assert_eq!(answer, expected);
        }
    });
}

#[test]
fn a_client_without_an_answer_distinguishes_the_reasons() {
    on_one_thread(|event_log, _entries| async move {
        let silent = wire::listen((HOME, 0).into(), 8).expect("a listener");
        let at = silent.local_addr().expect("an address");
        let client = || Client::new(event_log.clone());
        let answer = client().send(&request_of(1, 0.05), at).await;
        assert_eq!(answer, Answer::TimedOut);
        let cancelling = ClientRequest {
            cancel_after: Some(0.01),
            ..request_of(1, 5.0)
        };
        assert_eq!(client().send(&cancelling, at).await, Answer::Cancelled);
        drop(silent);
        let answer = client().send(&request_of(1, 5.0), at).await;
        assert_eq!(answer, Answer::Unreachable);
    });
}

/// A pooled connection that was closed while idle is not used, and no RPC is lost by it.
#[test]
fn a_pooled_connection_that_was_closed_is_not_used() {
    on_one_thread(|event_log, entries| async move {
        let listener = wire::listen((HOME, 0).into(), 8).expect("a listener");
        let (at, clock) = (listener.local_addr().expect("an address"), event_log.clock);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a client");
                let mut peer = Peer::new(stream);
                peer.read(MessageKind::Request, &clock)
                    .await
                    .expect("an RPC");
                peer.write(&wire::response(200, &[], b"0000000000000001 n\n"))
                    .await
                    .expect("an answer");
                // Closed here, between two RPCs.
            }
        });
        let client = Client::new(event_log);
        for _ in 0..3 {
            assert_eq!(client.send(&request_of(1, 5.0), at).await, Answer::Ok);
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(
            events_so_far(&entries, |e| matches!(e, Event::RequestSent { .. })).len(),
            3
        );
    });
}
