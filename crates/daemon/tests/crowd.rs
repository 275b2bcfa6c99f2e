//! Thousands of client connections under tight limits, over loopback sockets.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Client, Daemon, EVENT_TIMEOUT, Log, Shared, echo, endpoint_entry, eventually, rpc,
    without_health_checks,
};
use serde_json::Value;
use std::collections::VecDeque;
use std::fs::Permissions;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
const UPDATE_LIMIT: Duration = Duration::from_secs(6); // from the return of discovery until its list must apply

fn limited(sockets: u64, memory_mb: u64, log: &Log) -> Daemon {
    Daemon::start_with(PROGRAM, &[("s-1", echo("b1", log))], |config| {
        without_health_checks(config);
        config["limits"]["sockets"] = sockets.into();
        config["limits"]["memory_mb"] = memory_mb.into();
    })
}

fn is_open(client: &Client) -> bool {
    let stream = client.stream();
    stream.set_nonblocking(true).expect("a socket");
    let open = stream
        .peek(&mut [0])
        .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("a socket");
    open
}

fn ask(daemon: &Daemon, id: &str) -> Client {
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

/// Thousands of connections without a request or with half of one: an RPC on a new one is served promptly, limits hold
/// all the time, and SIGTERM works meanwhile.
#[test]
fn thousands_of_idle_connections_delay_no_rpc_and_exceed_no_limit() {
    let log = Log::new(vec![]);
    let mut daemon = limited(192, 24, &log);
    let half_body =
        rpc("POST", "/book", "half", "body").replace("Content-Length: 4", "Content-Length: 9");
    let mut crowd = VecDeque::new();
    let (mut descriptors, mut memory, mut slowest) = (0, 0, Duration::ZERO);
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
            let begun = Instant::now();
            ask(&daemon, &format!("n{n}"));
            slowest = slowest.max(begun.elapsed());
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
    let begun = Instant::now();
    assert!(daemon.await_exit().success());
    assert!(begun.elapsed() < Duration::from_secs(5));
}

/// A birchhubd with this limit of descriptors.
fn capped(descriptors: u64) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("birchhubd-capped-{}-{number}", std::process::id()));
    let text = format!("#!/bin/sh\nulimit -n {descriptors}\nexec {PROGRAM} \"$@\"\n");
    std::fs::write(&path, text).expect("a file");
    std::fs::set_permissions(&path, Permissions::from_mode(0o755)).expect("a program");
    path
}

/// The program before one backend, with a budget of so many sockets.
fn start_with_sockets(program: &Path, backend: SocketAddr, sockets: u64) -> Daemon {
    let program = program.to_str().expect("a path");
    Daemon::start_with(program, &[("s-1", backend)], |config| {
        without_health_checks(config);
        config["limits"]["sockets"] = sockets.into();
    })
}

/// How far idle clients have got on their connections.
#[derive(Clone, Copy, Debug)]
enum Idle {
    /// They have had a response.
    BetweenRequests,
    /// They have sent half a head.
    HalfHead,
    /// They have sent nothing.
    Fresh,
}

const IDLE_STATES: [Idle; 3] = [Idle::BetweenRequests, Idle::HalfHead, Idle::Fresh];

/// So many idle clients, as far as they are accepted.
fn crowd(daemon: &Daemon, idle: Idle, clients: usize, name: &str) -> Vec<Client> {
    let mut all: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in all.iter_mut().enumerate() {
        // Connections that were evicted meanwhile say nothing.
        match idle {
            Idle::BetweenRequests => {
                drop(client.call(&rpc("POST", "/book", &format!("{name}{n}"), "")))
            }
            Idle::HalfHead => drop(client.send("POST /book HTTP/1.1\r\nRequest-")),
            Idle::Fresh => {}
        }
    }
    all
}

/// Idle clients use up the descriptors before an outage of discovery and during it. Once discovery is back its list and
/// the new backends are reached in time; clients with an RPC are served all the time.
fn check_with_descriptors_used_up(allowed: u64, sockets: u64, idle: Idle) {
    let log = Log::new(vec![]);
    let program = capped(allowed);
    let at = echo("b1", &log);
    let daemon = start_with_sockets(&program, at, sockets);
    ask(&daemon, "begins");
    let clients = allowed as usize * 6 / 5;
    let mut all = crowd(&daemon, idle, clients, "before");
    ask(&daemon, "before-it");
    daemon.discovery.respond_with(None);
    all.extend(crowd(&daemon, idle, clients, "while"));
    ask(&daemon, "meanwhile");
    let back = Instant::now();
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
    let took = back.elapsed();
    let mut client = daemon.client();
    assert_eq!(
        client
            .call(&rpc("POST", "/book", "after", ""))
            .map(|a| a.text())
            .as_deref(),
        Some("b2:")
    );
    assert!(
        took < UPDATE_LIMIT,
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
fn idle_clients_use_up_256_descriptors() {
    for idle in IDLE_STATES {
        check_with_descriptors_used_up(256, 256, idle);
    }
}

#[test]
fn idle_clients_use_up_1024_descriptors() {
    for idle in IDLE_STATES {
        check_with_descriptors_used_up(1024, 1024, idle);
    }
}

/// The limit of the machine is below that of the configuration.
#[test]
fn idle_clients_use_up_fewer_descriptors_than_configured() {
    for idle in IDLE_STATES {
        check_with_descriptors_used_up(128, 1024, idle);
    }
}

/// A new process starts without a list and without discovery; it is ready in time after the return of discovery.
#[test]
fn a_new_process_starts_among_many_idle_clients() {
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
    let crowds = [Idle::Fresh, Idle::HalfHead].map(|idle| crowd(&daemon, idle, 300, "first"));
    let back = Instant::now();
    daemon
        .discovery
        .publish(&[endpoint_entry("s-1", at, "Ready")]);
    daemon.await_ready(200);
    assert!(
        back.elapsed() < UPDATE_LIMIT,
        "ready after {:?}",
        back.elapsed()
    );
    ask(&daemon, "after");
    drop(crowds);
}

/// New connections arrive all the time, before, during and after an outage of discovery.
#[test]
fn a_flood_of_connections_does_not_delay_the_endpoint_list() {
    let log = Log::new(vec![]);
    let program = capped(256);
    let daemon = start_with_sockets(&program, echo("b1", &log), 256);
    let (ends, at) = (Shared::new(false), daemon.at);
    let ended = ends.clone();
    let flood = spawn(move || {
        let mut all = VecDeque::new();
        let mut opened = 0;
        // A thousand or two in a second.
        while !ended.wait(Duration::from_micros(500), |ended| *ended) {
            all.extend(Client::open(at));
            opened += 1;
            if all.len() > 400 {
                all.pop_front();
            }
        }
        opened
    });
    (0..20).for_each(|n| drop(ask(&daemon, &format!("before{n}"))));
    daemon.discovery.respond_with(None);
    (0..20).for_each(|n| drop(ask(&daemon, &format!("while{n}"))));
    let back = Instant::now();
    daemon
        .discovery
        .publish_and_wait(&[endpoint_entry("s-2", echo("b2", &log), "Ready")]);
    let took = back.elapsed();
    (0..20).for_each(|n| drop(ask(&daemon, &format!("after{n}"))));
    ends.change(|ends| *ends = true);
    let opened = flood.join().expect("a flood");
    assert!(
        took < UPDATE_LIMIT && opened > 256,
        "{opened} connections, the list was applied after {took:?}"
    );
    assert!(log.count("b2 got POST /book HTTP/1.1 after") > 0);
    std::fs::remove_file(program).expect("the program");
}

/// Many more connections than the budget has sockets, seen at once: clients with an RPC are served among idle ones.
#[test]
fn a_burst_of_idle_connections_evicts_no_client_with_an_rpc() {
    let log = Log::new(vec![]);
    let daemon = limited(256, 1024, &log);
    ask(&daemon, "before");
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

/// RPCs on all idle connections, seen at once with as many new clients that need their sockets. None is lost, whichever
/// came first.
#[test]
fn rpcs_that_cross_with_the_eviction_of_their_connections_are_answered() {
    for rpcs_first in [true, false] {
        let log = Log::new(vec![]);
        let daemon = limited(74, 1024, &log); // ten for clients
        let mut idle: Vec<_> = (0..10).map(|n| ask(&daemon, &format!("idle{n}"))).collect();
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

/// New connections do not evict one another while others have been idle for longer.
#[test]
fn new_connections_evict_idle_ones_and_not_each_other() {
    for idle in [Idle::BetweenRequests, Idle::HalfHead] {
        let log = Log::new(vec![]);
        let daemon = limited(74, 1024, &log); // ten for clients
        let _crowd = crowd(&daemon, idle, 10, "crowd");
        ask(&daemon, "before");
        let mut new: Vec<_> = (0..5).map(|_| daemon.client()).collect();
        ask(&daemon, "after-those");
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

/// The order of eviction: fresh connections, then those between requests, then those with half a head.
#[test]
fn connections_are_evicted_in_order() {
    let log = Log::new(vec![]);
    let daemon = limited(74, 1024, &log); // ten for clients
    let between: Vec<_> = (0..3)
        .map(|n| ask(&daemon, &format!("between{n}")))
        .collect();
    let fresh: Vec<_> = (0..4).map(|_| daemon.client()).collect();
    sleep(Duration::from_millis(500)); // longer than a new connection is spared
    let mut half: Vec<_> = (0..3).map(|_| daemon.client()).collect();
    half.iter_mut()
        .for_each(|client| assert!(client.send("POST /book HTTP/1.1\r\nRequest-")));
    let open = |clients: &[Client]| clients.iter().filter(|client| is_open(client)).count();
    let mut served: Vec<_> = (0..4).map(|n| ask(&daemon, &format!("first{n}"))).collect();
    eventually(EVENT_TIMEOUT, "the fresh connections stay", || {
        open(&fresh) == 0
    });
    assert_eq!((open(&between), open(&half)), (3, 3));
    served.extend((0..3).map(|n| ask(&daemon, &format!("second{n}"))));
    eventually(
        EVENT_TIMEOUT,
        "the connections between requests stay",
        || open(&between) == 0,
    );
    assert_eq!((open(&half), open(&served)), (3, 7));
}
