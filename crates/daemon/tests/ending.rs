//! Graceful shutdown, standby and eviction crossing with RPCs. A stopped process finds at once what came while it was
//! stopped: bytes, connections and deadlines that have passed.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Client, Daemon, HEALTH, Log, PATIENCE, backend, blind, echo, eventually, gated, reply, rpc,
};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
const CLIENTS: usize = 16; // each of them meets the crossing
const READER: &str = "BIRCHHUB_TEST_READER"; // where the reader of the test of interrupted reads connects to

/// Opens connections, each of which has had an answer.
fn idle_clients(daemon: &Daemon) -> Vec<Client> {
    let open = |_| {
        let mut client = daemon.client();
        assert_eq!(client.call(HEALTH).unwrap().status(), 200);
        client
    };
    (0..CLIENTS).map(open).collect()
}

/// What was answered on each, in order.
fn statuses(clients: &mut [Client]) -> Vec<Option<u16>> {
    clients
        .iter_mut()
        .map(|client| client.answer().map(|answer| answer.status()))
        .collect()
}

/// A signal interrupts the reader of a connection, in a process of its own, and then the connection is closed.
#[test]
fn a_close_is_seen_though_signals_interrupt_the_read() {
    if let Ok(at) = std::env::var(READER) {
        let mut client = Client::open(at.parse().expect("an address")).expect("a connection");
        return assert!(client.is_closed());
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let at = listener.local_addr().expect("an address").to_string();
    let mut reader = Command::new(std::env::current_exe().expect("this program"))
        .args([
            "--exact",
            "a_close_is_seen_though_signals_interrupt_the_read",
        ])
        .env(READER, at)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the reader");
    let (connection, _) = listener.accept().expect("the reader's connection");
    for name in ["STOP", "CONT"].repeat(3) {
        sleep(Duration::from_millis(50));
        let kill = format!("kill -{name} {}", reader.id());
        let killed = Command::new("sh").args(["-c", &kill]).status();
        assert!(killed.expect("a shell").success());
    }
    sleep(Duration::from_millis(50));
    drop(connection);
    assert!(reader.wait().expect("its end").success());
}

/// SIGTERM: the deadline of idle connections passes while complete RPCs wait on them unread.
#[test]
fn an_rpc_that_crosses_with_the_end_of_its_idle_connection_is_answered() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], blind);
    let mut clients = idle_clients(&daemon);
    daemon.signal("TERM");
    daemon.await_ready(503);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    sleep(Duration::from_millis(700)); // past the half second for which idle ones are kept
    daemon.signal("CONT");
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(clients.iter_mut().all(Client::is_closed));
    assert!(daemon.await_end().success());
}

/// The same after `/standby`, whose grace of a second passes.
#[test]
fn an_rpc_that_crosses_with_a_standby_is_answered() {
    let log = Log::new(vec![]);
    let second = common::sockets::free();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], |config| {
        config["management"] = second.to_string().into();
        blind(config);
    });
    let mut clients = idle_clients(&daemon);
    let mut staff = Client::open(second).expect("a connection");
    let call = "POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(staff.call(call).unwrap().status(), 200);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    sleep(Duration::from_millis(1200));
    daemon.signal("CONT");
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
}

/// New connections need sockets in the turn of the event loop in which the idle ones to be evicted bring RPCs.
#[test]
fn an_rpc_that_crosses_with_the_eviction_of_its_connection_is_answered() {
    let log = Log::new(vec![]);
    let few = |config: &mut Value| {
        config["limits"]["sockets"] = 74.into(); // room for ten clients
        blind(config);
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
    let mut fresh: Vec<_> = (0..5).map(|_| daemon.client()).collect();
    for (n, client) in fresh.iter_mut().enumerate() {
        client.send(&rpc("GET", "/read", &format!("fresh{n}"), ""));
    }
    daemon.signal("CONT");
    // One that was closed with its RPC unread may send it once more; one that was read has to be answered.
    let read = |n: usize| log.count(&format!(" n{n}")) > 0;
    let told = statuses(&mut clients);
    let lost: Vec<_> = (0..told.len())
        .filter(|n| read(*n) && told[*n] != Some(200))
        .collect();
    assert_eq!(lost, Vec::<usize>::new(), "{told:?}");
    assert!(
        statuses(&mut fresh)
            .iter()
            .all(|answer| matches!(answer, Some(200 | 503)))
    );
}

/// Connections that the machine has accepted, and this process has not, as its time to accept ends.
#[test]
fn connections_that_wait_to_be_accepted_at_the_end_are_served() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], blind);
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
    assert!(daemon.await_end().success());
}

/// A message that is half there at SIGTERM is served when it is whole, if that is in time.
#[test]
fn a_message_that_is_half_there_at_the_end_is_served() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], blind);
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
    sleep(Duration::from_millis(800)); // past the half second for which idle ones are kept
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&message(n)[part(n)..]);
    }
    assert_eq!(statuses(&mut clients), vec![Some(200); CLIENTS]);
    assert!(daemon.await_end().success());
}

/// A backend that answers nothing.
fn backend_that_never_answers(log: &Log) -> SocketAddr {
    backend("b1", log, |_| Act::Hang)
}

/// SIGKILL comes 0.7 s after the longest deadline, as if that were 3 s at the most: what is out by then is answered.
fn all_answered_before_the_kill(hard_limit: Value, kill: Duration) {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", backend_that_never_answers(&log))],
        |config| {
            blind(config);
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
    let (mut before, mut after, mut half) = (daemon.client(), daemon.client(), daemon.client());
    before.send(&long("before"));
    log.await_event("b1 got POST /book HTTP/1.1 before");
    half.send(&long("half")[..50]);
    assert_eq!(after.call(HEALTH).unwrap().status(), 200);
    let term = Instant::now();
    daemon.signal("TERM");
    daemon.await_ready(503);
    after.send(&long("after"));
    let told = (
        before.answer().map(|a| a.status()),
        after.answer().map(|a| a.status()),
    );
    assert_eq!(told, (Some(502), Some(502)), "both may have run");
    assert!(term.elapsed() < kill, "answered after {:?}", term.elapsed());
    assert!(half.is_closed());
    assert!(daemon.await_end().success());
    assert!(term.elapsed() < kill, "ended after {:?}", term.elapsed());
}

#[test]
fn a_long_deadline_does_not_outlast_the_kill() {
    all_answered_before_the_kill(10e9.into(), Duration::from_millis(3700));
}

#[test]
fn clients_that_wait_for_longer_than_settings_say_are_answered_before_the_kill() {
    all_answered_before_the_kill(500e6.into(), Duration::from_millis(1200));
}

#[test]
fn a_deadline_that_is_not_told_ends_nothing_at_once() {
    let log = Log::new(vec![]);
    let (at, gate) = gated("b1", &log, "");
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        blind(config);
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
    // Idle ones are closed after half a second: the time that this guards against has passed by then.
    assert!(daemon.client().is_closed());
    sleep(Duration::from_millis(200));
    gate.change(|open| *open = true);
    assert_eq!(held.answer().map(|answer| answer.status()), Some(200));
    assert!(daemon.await_end().success());
}

/// Signals that cross: SIGTERM twice, SIGHUP during the end, and many at once.
#[test]
fn signals_that_cross_end_it_once() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], blind);
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
    assert!(daemon.await_end().success());
    let ended = daemon
        .logged()
        .matches("exiting with 0 client connections")
        .count();
    assert_eq!(ended, 1);
    eventually(PATIENCE, "somebody still listens", || {
        Client::open(daemon.at).is_none()
    });
}

/// While a quarter of what is out hangs and every connection holds an RPC, each is answered.
#[test]
fn every_connection_holds_an_rpc_at_the_end() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |m| {
        match m.header("request-id").ends_with('0') {
            true => Act::Hang,
            false => Act::Write(reply("200 OK", "")),
        }
    });
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], blind);
    let mut clients = idle_clients(&daemon);
    daemon.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(
            &rpc("POST", "/book", &format!("n{}", n % 4 + 10 * n), "").replace("3000", "400"),
        );
    }
    daemon.signal("TERM");
    daemon.signal("CONT");
    let told = statuses(&mut clients);
    let hung = told.iter().filter(|answer| **answer == Some(502)).count();
    assert_eq!(
        (told.iter().flatten().count(), hung),
        (CLIENTS, CLIENTS / 4),
        "{told:?}"
    );
    assert!(daemon.await_end().success());
}
