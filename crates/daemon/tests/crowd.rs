//! Thousands of client connections with tight limits of sockets and memory, over loopback sockets.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Client, Daemon, EVENT_TIMEOUT, Log, Shared, echo, endpoint_entry, eventually, rpc,
    with_descriptor_limit, without_health_checks,
};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
/// Time from the recovery of the discovery service within which its endpoint list must be applied.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(6);
/// A limit of sockets that leaves ten for clients.
const SOCKETS_FOR_TEN_CLIENTS: u64 = 74;

/// Starts the program with one backend and these limits.
fn start_with_limits(sockets: u64, memory_mb: u64, log: &Log) -> Daemon {
    Daemon::start_with(PROGRAM, &[("s-1", echo("b1", log))], |config| {
        without_health_checks(config);
        config["limits"]["sockets"] = sockets.into();
        config["limits"]["memory_mb"] = memory_mb.into();
    })
}

/// Whether the proxy has not closed the connection.
fn is_open(client: &Client) -> bool {
    let stream = client.stream();
    stream.set_nonblocking(true).expect("a socket");
    let open = stream
        .peek(&mut [0])
        .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("a socket");
    open
}

/// Opens a connection, and checks that an RPC on it is served.
fn served_client(daemon: &Daemon, id: &str) -> Client {
    let mut client = daemon.client();
    assert_eq!(
        client
            .call(&rpc("POST", "/book", id, ""))
            .map(|answer| answer.status()),
        Some(200),
        "{id}"
    );
    client
}

/// Thousands of connections are silent or have sent a part of a request: an RPC on a new one is served promptly, the
/// limits are never exceeded, and SIGTERM ends the process.
#[test]
fn thousands_of_idle_connections_delay_no_rpc_and_exceed_no_limit() {
    let log = Log::new(vec![]);
    let mut daemon = start_with_limits(192, 24, &log);
    let half_body =
        rpc("POST", "/book", "half", "body").replace("Content-Length: 4", "Content-Length: 9");
    let mut crowd = VecDeque::new();
    let mut descriptors = 0;
    let mut memory = 0;
    let mut slowest = Duration::ZERO;
    for n in 0..2000 {
        let mut client = daemon.client();
        match n % 3 {
            0 => {}
            1 => drop(client.send("POST /book HTTP/1.1\r\nRequest-")),
            _ => drop(client.send(&half_body.replace("half", &format!("half{n}")))),
        }
        crowd.push_back(client);
        if crowd.len() > 400 {
            crowd.pop_front();
        }
        if n % 20 == 0 {
            let started = Instant::now();
            served_client(&daemon, &format!("n{n}"));
            slowest = slowest.max(started.elapsed());
            descriptors = descriptors.max(daemon.descriptors());
            memory = memory.max(daemon.memory());
        }
    }
    assert!(slowest < Duration::from_secs(1), "an RPC took {slowest:?}");
    assert!(
        descriptors <= 192 && memory <= 24 << 20,
        "{descriptors} descriptors, {memory} bytes"
    );
    daemon.signal("TERM");
    let signalled_at = Instant::now();
    assert!(daemon.await_exit().success());
    assert!(signalled_at.elapsed() < Duration::from_secs(5));
}

/// Starts the program with one backend and this limit of sockets.
fn start_with_sockets(program: &str, backend: SocketAddr, sockets: u64) -> Daemon {
    Daemon::start_with(program, &[("s-1", backend)], |config| {
        without_health_checks(config);
        config["limits"]["sockets"] = sockets.into();
    })
}

/// The state of idle clients' connections.
#[derive(Clone, Copy, Debug)]
enum Idle {
    /// They have received a response.
    BetweenRequests,
    /// They have sent a part of a head.
    IncompleteHead,
    /// They have sent nothing.
    Silent,
}

const IDLE_STATES: [Idle; 3] = [Idle::BetweenRequests, Idle::IncompleteHead, Idle::Silent];

/// Opens this number of idle connections, as far as the proxy accepts them.
fn crowd(daemon: &Daemon, idle: Idle, clients: usize, name: &str) -> Vec<Client> {
    let mut all: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in all.iter_mut().enumerate() {
        // Failures are ignored: the connection may have been evicted meanwhile.
        match idle {
            Idle::BetweenRequests => {
                drop(client.call(&rpc("POST", "/book", &format!("{name}{n}"), "")))
            }
            Idle::IncompleteHead => drop(client.send("POST /book HTTP/1.1\r\nRequest-")),
            Idle::Silent => {}
        }
    }
    all
}

/// Idle clients exhaust the descriptors before and during an outage of the discovery service. After its recovery, the
/// proxy applies its endpoint list in time and reaches the new backends; clients with an RPC are served all the time.
fn check_with_exhausted_descriptors(allowed: u64, sockets: u64, idle: Idle) {
    let log = Log::new(vec![]);
    let program = with_descriptor_limit(PROGRAM, allowed);
    let at = echo("b1", &log);
    let daemon = start_with_sockets(&program, at, sockets);
    served_client(&daemon, "begins");
    let clients = allowed as usize * 6 / 5;
    let mut all = crowd(&daemon, idle, clients, "before");
    served_client(&daemon, "before-it");
    daemon.discovery.respond_with(None);
    all.extend(crowd(&daemon, idle, clients, "while"));
    served_client(&daemon, "meanwhile");
    let recovered_at = Instant::now();
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
    let took = recovered_at.elapsed();
    let mut client = daemon.client();
    assert_eq!(
        client
            .call(&rpc("POST", "/book", "after", ""))
            .map(|a| a.text())
            .as_deref(),
        Some("b2:")
    );
    assert!(
        took < UPDATE_TIMEOUT,
        "{idle:?}: the list was applied after {took:?}"
    );
    let open = daemon.descriptors();
    let limit = allowed.min(sockets) as usize;
    assert!(open <= limit, "{idle:?}: {open} descriptors");
    let refused = daemon
        .logged()
        .matches("accepting connections failed, retrying")
        .count();
    assert!(refused <= 1, "{idle:?}: {refused} log lines of one cause");
    drop(all);
    std::fs::remove_file(program).expect("the program");
}

#[test]
fn idle_clients_exhaust_256_descriptors() {
    for idle in IDLE_STATES {
        check_with_exhausted_descriptors(256, 256, idle);
    }
}

#[test]
fn idle_clients_exhaust_1024_descriptors() {
    for idle in IDLE_STATES {
        check_with_exhausted_descriptors(1024, 1024, idle);
    }
}

/// The system permits fewer descriptors than the configuration.
#[test]
fn idle_clients_exhaust_fewer_descriptors_than_configured() {
    for idle in IDLE_STATES {
        check_with_exhausted_descriptors(128, 1024, idle);
    }
}

/// A process that starts without an endpoint list and without the discovery service is ready in time after its recovery.
#[test]
fn process_starts_in_time_with_many_idle_clients() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        without_health_checks(config);
        config["limits"]["sockets"] = 256.into();
        config["known"] = Value::Null;
    });
    daemon.discovery.respond_with(None);
    daemon
        .child
        .kill()
        .and_then(|()| daemon.child.wait())
        .expect("the end of birchhubd");
    daemon.start_again(PROGRAM);
    daemon.await_ready(503);
    let crowds =
        [Idle::Silent, Idle::IncompleteHead].map(|idle| crowd(&daemon, idle, 300, "first"));
    let recovered_at = Instant::now();
    daemon
        .discovery
        .publish(&[endpoint_entry("s-1", at, "Ready")]);
    daemon.await_ready(200);
    assert!(
        recovered_at.elapsed() < UPDATE_TIMEOUT,
        "ready after {:?}",
        recovered_at.elapsed()
    );
    served_client(&daemon, "after");
    drop(crowds);
}

/// New connections arrive before, during and after an outage of the discovery service.
#[test]
fn flood_of_connections_does_not_delay_the_endpoint_list() {
    let log = Log::new(vec![]);
    let program = with_descriptor_limit(PROGRAM, 256);
    let daemon = start_with_sockets(&program, echo("b1", &log), 256);
    let is_over = Shared::new(false);
    let at = daemon.address;
    let ended = is_over.clone();
    let flood = spawn(move || {
        let mut all = VecDeque::new();
        let mut opened = 0;
        // One to two thousand connections a second.
        while !ended.wait(Duration::from_micros(500), |ended| *ended) {
            all.extend(Client::open(at));
            opened += 1;
            if all.len() > 400 {
                all.pop_front();
            }
        }
        opened
    });
    (0..20).for_each(|n| drop(served_client(&daemon, &format!("before{n}"))));
    daemon.discovery.respond_with(None);
    (0..20).for_each(|n| drop(served_client(&daemon, &format!("while{n}"))));
    let recovered_at = Instant::now();
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
    let took = recovered_at.elapsed();
    (0..20).for_each(|n| drop(served_client(&daemon, &format!("after{n}"))));
    is_over.change(|is_over| *is_over = true);
    let opened = flood.join().expect("a flood");
    assert!(
        took < UPDATE_TIMEOUT && opened > 256,
        "{opened} connections, the list was applied after {took:?}"
    );
    assert!(log.count("b2 got POST /book HTTP/1.1 after") > 0);
    std::fs::remove_file(program).expect("the program");
}

/// Many more connections than the socket budget permits arrive at once: clients with an RPC are served among idle ones.
#[test]
fn burst_of_idle_connections_evicts_no_client_with_an_rpc() {
    let log = Log::new(vec![]);
    let daemon = start_with_limits(256, 1024, &log);
    served_client(&daemon, "before");
    daemon.signal("STOP");
    let mut silent = Vec::new();
    let mut busy = Vec::new();
    for n in 0..20 {
        silent.extend((0..30).map(|_| daemon.client()));
        let mut client = daemon.client();
        client.send(&rpc("POST", "/book", &format!("work{n}"), "").replace("3000", "20000"));
        busy.push(client);
    }
    daemon.signal("CONT");
    let answers = busy
        .iter_mut()
        .filter_map(Client::response)
        .filter(|answer| answer.status() == 200)
        .count();
    assert_eq!(answers, busy.len());
}

/// RPCs on all idle connections arrive together with as many new clients that need the sockets. No RPC is lost, whichever
/// arrives first.
#[test]
fn rpcs_that_race_with_the_eviction_of_their_connections_get_a_response() {
    for rpcs_first in [true, false] {
        let log = Log::new(vec![]);
        let daemon = start_with_limits(SOCKETS_FOR_TEN_CLIENTS, 1024, &log);
        let mut idle: Vec<_> = (0..10)
            .map(|n| served_client(&daemon, &format!("idle{n}")))
            .collect();
        let send = |name: &str, n: usize, client: &mut Client| {
            client.send(&rpc("POST", "/book", &format!("{name}{n}"), "").replace("3000", "20000"))
        };
        let newcomers = || (0..10).map(|_| daemon.client()).collect::<Vec<_>>();
        daemon.signal("STOP");
        let early = if rpcs_first { vec![] } else { newcomers() };
        idle.iter_mut()
            .enumerate()
            .for_each(|(n, client)| assert!(send("again", n, client)));
        let mut new = if rpcs_first { newcomers() } else { early };
        new.iter_mut()
            .enumerate()
            .for_each(|(n, client)| assert!(send("new", n, client)));
        daemon.signal("CONT");
        let statuses = |clients: &mut [Client]| {
            clients
                .iter_mut()
                .map(|client| client.response().map(|a| a.status()))
                .collect::<Vec<_>>()
        };
        let all = [statuses(&mut idle), statuses(&mut new)];
        assert!(
            all.iter()
                .flatten()
                .all(|status| matches!(status, Some(200 | 503))),
            "{all:?}"
        );
    }
}

/// New connections don't evict each other while others have been idle for longer.
#[test]
fn new_connections_evict_idle_ones_and_not_each_other() {
    for idle in [Idle::BetweenRequests, Idle::IncompleteHead] {
        let log = Log::new(vec![]);
        let daemon = start_with_limits(SOCKETS_FOR_TEN_CLIENTS, 1024, &log);
        let _crowd = crowd(&daemon, idle, 10, "crowd");
        served_client(&daemon, "before");
        let mut new: Vec<_> = (0..5).map(|_| daemon.client()).collect();
        served_client(&daemon, "after-those");
        for (n, client) in new.iter_mut().enumerate() {
            let answer = client.call(&rpc("POST", "/book", &format!("new{n}"), ""));
            assert_eq!(
                answer.map(|answer| answer.status()),
                Some(200),
                "{idle:?}: new connection {n}"
            );
        }
    }
}

/// Silent connections are evicted first, then those between requests, then those with a part of a head.
#[test]
fn connections_are_evicted_in_order() {
    let log = Log::new(vec![]);
    let daemon = start_with_limits(SOCKETS_FOR_TEN_CLIENTS, 1024, &log);
    let between: Vec<_> = (0..3)
        .map(|n| served_client(&daemon, &format!("between{n}")))
        .collect();
    let silent: Vec<_> = (0..4).map(|_| daemon.client()).collect();
    // Longer than the grace period of new connections.
    sleep(Duration::from_millis(500));
    let mut incomplete: Vec<_> = (0..3).map(|_| daemon.client()).collect();
    incomplete
        .iter_mut()
        .for_each(|client| assert!(client.send("POST /book HTTP/1.1\r\nRequest-")));
    let open = |clients: &[Client]| clients.iter().filter(|client| is_open(client)).count();
    let mut served: Vec<_> = (0..4)
        .map(|n| served_client(&daemon, &format!("first{n}")))
        .collect();
    eventually(
        EVENT_TIMEOUT,
        "the silent connections were not evicted",
        || open(&silent) == 0,
    );
    assert_eq!((open(&between), open(&incomplete)), (3, 3));
    served.extend((0..3).map(|n| served_client(&daemon, &format!("second{n}"))));
    eventually(
        EVENT_TIMEOUT,
        "the connections between requests were not evicted",
        || open(&between) == 0,
    );
    assert_eq!((open(&incomplete), open(&served)), (3, 7));
}
