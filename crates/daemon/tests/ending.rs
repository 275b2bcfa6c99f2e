//! Graceful shutdown, standby and eviction that coincide with RPCs.
//!
//! The tests stop the process for a while: it then finds bytes, connections and expired deadlines all at once.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Client, Daemon, EVENT_TIMEOUT, HEALTH, Log, backend, echo, eventually,
    gated_backend, reply, rpc, send_signal, without_health_checks,
};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
/// Number of clients, each of which meets the coincidence.
const CLIENTS: usize = 16;
/// Variable with the address to which the reader of the test of interrupted reads connects.
const READER: &str = "BIRCHHUB_TEST_READER";

/// Opens connections, on each of which a response was received.
fn idle_clients(daemon: &Daemon) -> Vec<Client> {
    let open = |_| {
        let mut client = daemon.client();
        assert_eq!(client.call(HEALTH).unwrap().status(), 200);
        client
    };
    (0..CLIENTS).map(open).collect()
}

/// Returns the status of the response on each connection.
fn statuses(clients: &mut [Client]) -> Vec<Option<u16>> {
    clients
        .iter_mut()
        .map(|client| client.response().map(|answer| answer.status()))
        .collect()
}

/// Signals interrupt the reader of a connection, which is a process of its own, before the connection is closed.
#[test]
fn test_client_sees_a_close_after_interrupted_reads() {
    if let Ok(at) = std::env::var(READER) {
        let mut client = Client::open(at.parse().expect("an address")).expect("a connection");
        return assert!(client.is_closed());
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let at = listener.local_addr().expect("an address").to_string();
    let mut reader = Command::new(std::env::current_exe().expect("this program"))
        .args([
            "--exact",
            "test_client_sees_a_close_after_interrupted_reads",
        ])
        .env(READER, at)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the reader");
    let (connection, _) = listener.accept().expect("the reader's connection");
    for name in ["STOP", "CONT"].repeat(3) {
        sleep(Duration::from_millis(50));
        send_signal(&reader, name);
    }
    sleep(Duration::from_millis(50));
    drop(connection);
    assert!(reader.wait().expect("its end").success());
}

/// The deadline of idle connections expires during a graceful shutdown while complete RPCs on them are unread.
#[test]
fn rpc_on_an_idle_connection_is_answered_after_the_idle_deadline() {
    let log = Log::new(vec![]);
    let mut daemon =
        Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let mut clients = idle_clients(&daemon);
    daemon.signal("TERM");
    daemon.await_ready(503);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    sleep(Duration::from_millis(700)); // past the idle deadline, half a second after SIGTERM
    daemon.signal("CONT");
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(clients.iter_mut().all(Client::is_closed));
    assert!(daemon.await_exit().success());
}

/// The deadline of idle connections expires during a standby while complete RPCs on them are unread.
#[test]
fn rpc_on_an_idle_connection_is_answered_on_standby() {
    let log = Log::new(vec![]);
    let management = common::sockets::unused_address();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], |config| {
        config["management"] = management.to_string().into();
        without_health_checks(config);
    });
    let mut clients = idle_clients(&daemon);
    let mut operator = Client::open(management).expect("a connection");
    let call = "POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(operator.call(call).unwrap().status(), 200);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    sleep(Duration::from_millis(1200));
    daemon.signal("CONT");
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
}

/// New connections need sockets in the same turn of the event loop in which RPCs arrive on idle connections.
#[test]
fn rpc_that_was_read_from_an_evicted_connection_is_answered() {
    let log = Log::new(vec![]);
    let few = |config: &mut Value| {
        config["limits"]["sockets"] = 74.into(); // room for ten clients
        without_health_checks(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], few);
    let mut clients: Vec<_> = idle_clients(&daemon).drain(CLIENTS - 10..).collect();
    assert_eq!(
        clients
            .iter_mut()
            .filter_map(|client| client.call(HEALTH))
            .count(),
        10
    );
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    let mut new_clients: Vec<_> = (0..5).map(|_| daemon.client()).collect();
    for (n, client) in new_clients.iter_mut().enumerate() {
        client.send(&rpc("GET", "/read", &format!("new{n}"), ""));
    }
    daemon.signal("CONT");
    // A client whose connection was closed with its RPC unread may send it again. An RPC that was read must be answered.
    let was_read = |n: usize| log.count(&format!(" n{n}")) > 0;
    let answers = statuses(&mut clients);
    let lost: Vec<_> = (0..answers.len())
        .filter(|n| was_read(*n) && answers[*n] != Some(200))
        .collect();
    assert_eq!(lost, Vec::<usize>::new(), "{answers:?}");
    assert!(
        statuses(&mut new_clients)
            .iter()
            .all(|answer| matches!(answer, Some(200 | 503)))
    );
}

/// Connections are in the listen backlog when the accept deadline of a graceful shutdown expires.
#[test]
fn connections_in_the_backlog_are_served_after_the_accept_deadline() {
    let log = Log::new(vec![]);
    let mut daemon =
        Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    daemon.signal("TERM");
    daemon.await_ready(503);
    daemon.signal("STOP");
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| daemon.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    sleep(Duration::from_millis(700));
    daemon.signal("CONT");
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(daemon.await_exit().success());
}

/// A message that is incomplete at SIGTERM is served once it is complete, if the response deadline allows.
#[test]
fn message_that_is_incomplete_at_sigterm_is_served() {
    let log = Log::new(vec![]);
    let mut daemon =
        Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let mut clients = idle_clients(&daemon);
    let message = |n: usize| rpc("POST", "/book", &format!("n{n}"), "body");
    // Half of a head, or half of a body.
    let part = |n: usize| {
        if n.is_multiple_of(2) {
            30
        } else {
            message(n).len() - 2
        }
    };
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&message(n)[..part(n)]);
    }
    daemon.signal("TERM");
    daemon.await_ready(503);
    sleep(Duration::from_millis(800)); // past the idle deadline, half a second after SIGTERM
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&message(n)[part(n)..]);
    }
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(daemon.await_exit().success());
}

/// Starts a backend that never responds.
fn backend_that_never_answers(log: &Log) -> SocketAddr {
    backend("b1", log, |_| BackendAction::Hang)
}

/// All RPCs are answered, and the process exits, before SIGKILL, which follows 0.7 s after the longest deadline or after
/// 3 s, if the deadline is longer.
fn assert_answered_before_the_kill(hard_limit: Value, kill: Duration) {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", backend_that_never_answers(&log))],
        |config| {
            without_health_checks(config);
            for method in config["settings"]["methods"]
                .as_array_mut()
                .expect("methods")
            {
                method["hard-limit-ns"] = hard_limit.clone();
                method["latency-target-ns"] = 60e9.into();
            }
        },
    );
    let long = |id: &str| rpc("POST", "/book", id, "").replace("3000", "60000");
    let mut before = daemon.client();
    let mut after = daemon.client();
    let mut half = daemon.client();
    before.send(&long("before"));
    log.await_event("b1 got POST /book HTTP/1.1 before");
    half.send(&long("half")[..50]);
    assert_eq!(after.call(HEALTH).unwrap().status(), 200);
    let term = Instant::now();
    daemon.signal("TERM");
    daemon.await_ready(503);
    after.send(&long("after"));
    let answers = (
        before.response().map(|a| a.status()),
        after.response().map(|a| a.status()),
    );
    assert_eq!(answers, (Some(502), Some(502)), "both may have run");
    assert!(term.elapsed() < kill, "answered after {:?}", term.elapsed());
    assert!(half.is_closed());
    assert!(daemon.await_exit().success());
    assert!(term.elapsed() < kill, "ended after {:?}", term.elapsed());
}

#[test]
fn a_long_deadline_does_not_outlast_the_kill() {
    assert_answered_before_the_kill(10e9.into(), Duration::from_millis(3700));
}

#[test]
fn rpcs_with_a_longer_timeout_than_the_longest_deadline_are_answered_before_the_kill() {
    assert_answered_before_the_kill(500e6.into(), Duration::from_millis(1200));
}

#[test]
fn missing_deadline_does_not_end_rpcs_at_sigterm() {
    let log = Log::new(vec![]);
    let (at, gate) = gated_backend("b1", &log, "");
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        without_health_checks(config);
        for method in config["settings"]["methods"]
            .as_array_mut()
            .expect("methods")
        {
            method["hard-limit-ns"] = Value::Null;
        }
    });
    let mut held = daemon.client();
    held.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    daemon.signal("TERM");
    // Idle connections are closed half a second after SIGTERM: an early response deadline has expired by then.
    assert!(daemon.client().is_closed());
    sleep(Duration::from_millis(200));
    gate.change(|open| *open = true);
    assert_eq!(held.response().map(|answer| answer.status()), Some(200));
    assert!(daemon.await_exit().success());
}

/// Repeated SIGTERM, and SIGHUP before and after it, cause one graceful shutdown.
#[test]
fn repeated_signals_cause_one_graceful_shutdown() {
    let log = Log::new(vec![]);
    let mut daemon =
        Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let mut clients = idle_clients(&daemon);
    daemon.signal("STOP");
    for name in ["HUP", "TERM", "HUP", "TERM", "HUP"] {
        daemon.signal(name);
    }
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    daemon.signal("CONT");
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
    daemon.signal("TERM");
    assert!(daemon.await_exit().success());
    let ended = daemon
        .logged()
        .matches("exiting with 0 client connections")
        .count();
    assert_eq!(ended, 1);
    eventually(EVENT_TIMEOUT, "the process still listens", || {
        Client::open(daemon.address).is_none()
    });
}

/// Every connection carries an RPC at SIGTERM, and the backend does not respond to a quarter of them.
#[test]
fn rpcs_on_all_connections_are_answered_during_a_graceful_shutdown() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |m| {
        match m.header("request-id").ends_with('0') {
            true => BackendAction::Hang,
            false => BackendAction::Respond(reply("200 OK", "")),
        }
    });
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], without_health_checks);
    let mut clients = idle_clients(&daemon);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(
            &rpc("POST", "/book", &format!("n{}", n % 4 + 10 * n), "").replace("3000", "400"),
        );
    }
    daemon.signal("TERM");
    daemon.signal("CONT");
    let answers = statuses(&mut clients);
    let hung = answers
        .iter()
        .filter(|answer| **answer == Some(502))
        .count();
    assert_eq!(
        (answers.iter().flatten().count(), hung),
        (CLIENTS, CLIENTS / 4),
        "{answers:?}"
    );
    assert!(daemon.await_exit().success());
}
