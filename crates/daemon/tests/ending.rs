//! Graceful shutdowns, standbys and evictions that coincide with RPCs.
//!
//! The tests suspend the process for a while. When it resumes, it meets received bytes, new connections and expired
//! deadlines all at once.
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
/// Number of clients whose RPCs coincide with the event of a test.
const CLIENTS: usize = 16;
/// Environment variable with the address to which the reader process of
/// [`test_client_sees_a_close_after_interrupted_reads`] connects.
const READER_ADDRESS_VARIABLE: &str = "BIRCHHUB_TEST_READER";

/// Opens idle connections, each of which has received a response.
fn idle_clients(daemon: &Daemon) -> Vec<Client> {
    let open = |_| {
        let mut client = daemon.client();
        assert_eq!(client.call(HEALTH).unwrap().status(), 200);
        client
    };
    (0..CLIENTS).map(open).collect()
}

/// Returns the status of the next response on each connection, or `None` without a response.
fn response_statuses(clients: &mut [Client]) -> Vec<Option<u16>> {
    clients
        .iter_mut()
        .map(|client| client.response().map(|response| response.status()))
        .collect()
}

/// Tests [`Client::is_closed`], on which other tests rely: signals that interrupt its read before the close must not
/// make it fail. The reader is a separate process, which the signals stop and continue.
#[test]
fn test_client_sees_a_close_after_interrupted_reads() {
    if let Ok(address) = std::env::var(READER_ADDRESS_VARIABLE) {
        let mut client = Client::open(address.parse().expect("an address")).expect("a connection");
        return assert!(client.is_closed());
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    let mut reader = Command::new(std::env::current_exe().expect("this program"))
        .args([
            "--exact",
            "test_client_sees_a_close_after_interrupted_reads",
        ])
        .env(READER_ADDRESS_VARIABLE, address)
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

/// During a graceful shutdown the deadline of idle connections expires while the proxy has not yet read the RPCs on
/// them.
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
    assert_eq!(response_statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(clients.iter_mut().all(Client::is_closed));
    assert!(daemon.await_exit().success());
}

/// During a standby the deadline of idle connections expires while the proxy has not yet read the RPCs on them.
#[test]
fn rpc_on_an_idle_connection_is_answered_on_standby() {
    let log = Log::new(vec![]);
    let management = common::sockets::unused_address();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], |config| {
        config["management"] = management.to_string().into();
        without_health_checks(config);
    });
    let mut clients = idle_clients(&daemon);
    let mut admin_client = Client::open(management).expect("a connection");
    let standby_call = "POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(admin_client.call(standby_call).unwrap().status(), 200);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    sleep(Duration::from_millis(1200));
    daemon.signal("CONT");
    assert_eq!(response_statuses(&mut clients), vec![Some(200); CLIENTS]);
}

/// RPCs arrive on idle connections in the same iteration of the event loop as new connections, which need their
/// sockets.
#[test]
fn rpc_that_was_read_from_an_evicted_connection_is_answered() {
    let log = Log::new(vec![]);
    let with_few_sockets = |config: &mut Value| {
        config["limits"]["sockets"] = 74.into(); // room for ten clients
        without_health_checks(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], with_few_sockets);
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
    // If the proxy closes a connection without reading its RPC, the client may safely retry. An RPC that the proxy has
    // read must get a response.
    let was_read = |n: usize| log.count(&format!(" n{n}")) > 0;
    let statuses = response_statuses(&mut clients);
    let lost: Vec<_> = (0..statuses.len())
        .filter(|n| was_read(*n) && statuses[*n] != Some(200))
        .collect();
    assert_eq!(lost, Vec::<usize>::new(), "{statuses:?}");
    assert!(
        response_statuses(&mut new_clients)
            .iter()
            .all(|status| matches!(status, Some(200 | 503)))
    );
}

/// Connections wait in the listen backlog when the accept deadline of a graceful shutdown expires.
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
    assert_eq!(response_statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(daemon.await_exit().success());
}

/// A request that is incomplete at SIGTERM is served once it is complete, if the response deadline permits.
#[test]
fn request_that_is_incomplete_at_sigterm_is_served() {
    let log = Log::new(vec![]);
    let mut daemon =
        Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], without_health_checks);
    let mut clients = idle_clients(&daemon);
    let message = |n: usize| rpc("POST", "/book", &format!("n{n}"), "body");
    // A part of the head, or the head and half of the body.
    let sent_length = |n: usize| {
        if n.is_multiple_of(2) {
            30
        } else {
            message(n).len() - 2
        }
    };
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&message(n)[..sent_length(n)]);
    }
    daemon.signal("TERM");
    daemon.await_ready(503);
    sleep(Duration::from_millis(800)); // past the idle deadline, half a second after SIGTERM
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&message(n)[sent_length(n)..]);
    }
    assert_eq!(response_statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(daemon.await_exit().success());
}

/// Starts a backend that never responds.
fn hanging_backend(log: &Log) -> SocketAddr {
    backend("b1", log, |_| BackendAction::Hang)
}

/// Checks that all RPCs get a response, and that the process exits, before SIGKILL. SIGKILL follows 0.7 s after the
/// longest deadline, counted from SIGTERM, and at most 3.7 s after SIGTERM.
fn assert_responses_before_sigkill(longest_deadline: Value, kill_delay: Duration) {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", hanging_backend(&log))], |config| {
        without_health_checks(config);
        for method in config["settings"]["methods"]
            .as_array_mut()
            .expect("methods")
        {
            method["hard-limit-ns"] = longest_deadline.clone();
            method["latency-target-ns"] = 60e9.into();
        }
    });
    let long_rpc = |id: &str| rpc("POST", "/book", id, "").replace("3000", "60000");
    let mut before = daemon.client();
    let mut after = daemon.client();
    let mut incomplete = daemon.client();
    before.send(&long_rpc("before"));
    log.await_event("b1 got POST /book HTTP/1.1 before");
    incomplete.send(&long_rpc("half")[..50]);
    assert_eq!(after.call(HEALTH).unwrap().status(), 200);
    let terminated_at = Instant::now();
    daemon.signal("TERM");
    daemon.await_ready(503);
    after.send(&long_rpc("after"));
    let statuses = (
        before.response().map(|response| response.status()),
        after.response().map(|response| response.status()),
    );
    assert_eq!(
        statuses,
        (Some(502), Some(502)),
        "both may have been executed"
    );
    assert!(
        terminated_at.elapsed() < kill_delay,
        "responses after {:?}",
        terminated_at.elapsed()
    );
    assert!(incomplete.is_closed());
    assert!(daemon.await_exit().success());
    assert!(
        terminated_at.elapsed() < kill_delay,
        "exit after {:?}",
        terminated_at.elapsed()
    );
}

#[test]
fn a_long_deadline_does_not_delay_the_exit_past_sigkill() {
    assert_responses_before_sigkill(10e9.into(), Duration::from_millis(3700));
}

#[test]
fn rpcs_with_a_longer_timeout_than_the_longest_deadline_are_answered_before_sigkill() {
    assert_responses_before_sigkill(500e6.into(), Duration::from_millis(1200));
}

#[test]
fn missing_deadline_does_not_end_rpcs_at_sigterm() {
    let log = Log::new(vec![]);
    let (address, gate) = gated_backend("b1", &log, "");
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", address)], |config| {
        without_health_checks(config);
        for method in config["settings"]["methods"]
            .as_array_mut()
            .expect("methods")
        {
            method["hard-limit-ns"] = Value::Null;
        }
    });
    let mut held_client = daemon.client();
    held_client.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    daemon.signal("TERM");
    // Idle connections are closed half a second after SIGTERM. A response deadline that is too early has expired by
    // then.
    assert!(daemon.client().is_closed());
    sleep(Duration::from_millis(200));
    gate.change(|open| *open = true);
    assert_eq!(
        held_client.response().map(|response| response.status()),
        Some(200)
    );
    assert!(daemon.await_exit().success());
}

/// Repeated SIGTERM, with SIGHUP before, between and after them, causes one graceful shutdown.
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
    assert_eq!(response_statuses(&mut clients), vec![Some(200); CLIENTS]);
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

/// Every connection carries an RPC at SIGTERM. The backend does not respond to a quarter of them.
#[test]
fn rpcs_on_all_connections_are_answered_during_a_graceful_shutdown() {
    let log = Log::new(vec![]);
    let address = backend("b1", &log, |request| {
        match request.header("request-id").ends_with('0') {
            true => BackendAction::Hang,
            false => BackendAction::Respond(reply("200 OK", "")),
        }
    });
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", address)], without_health_checks);
    let mut clients = idle_clients(&daemon);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(
            &rpc("POST", "/book", &format!("n{}", n % 4 + 10 * n), "").replace("3000", "400"),
        );
    }
    daemon.signal("TERM");
    daemon.signal("CONT");
    let statuses = response_statuses(&mut clients);
    let timed_out = statuses
        .iter()
        .filter(|status| **status == Some(502))
        .count();
    assert_eq!(
        (statuses.iter().flatten().count(), timed_out),
        (CLIENTS, CLIENTS / 4),
        "{statuses:?}"
    );
    assert!(daemon.await_exit().success());
}
