//! The admin API of birchhubd: its calls, and what they change.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Client, Daemon, EVENT_TIMEOUT, FailedStart, HEALTH, Log, Message, TestFolder,
    backend, echo, endpoint_entry, eventually, reply, rpc, unused_address, without_health_checks,
};
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Starts a proxy with an admin API, and returns it with the address of that.
fn start_with_admin_api(
    backends: &[(&str, SocketAddr)],
    change: impl FnOnce(&mut Value),
) -> (Daemon, SocketAddr) {
    let at = unused_address();
    let daemon = Daemon::start_with(PROGRAM, backends, |config| {
        config["management"] = at.to_string().into();
        without_health_checks(config);
        change(config);
    });
    (daemon, at)
}

/// Makes one admin call and returns the status and text of the response.
fn call(at: SocketAddr, call: &str) -> (u16, String) {
    let mut client = Client::open(at).expect("a connection");
    let answer = client
        .call(&format!("{call} HTTP/1.1\r\nHost: m\r\n\r\n"))
        .expect("an answer");
    assert!(client.is_closed(), "one call to a connection");
    (answer.status(), answer.text())
}

fn ask(client: &mut Client, id: &str) -> Message {
    client
        .call(&rpc("POST", "/book", id, ""))
        .expect("an answer")
}

fn enter(at: SocketAddr, member: &str) -> u16 {
    call(at, &format!("POST /maintenance/enter?member={member}")).0
}

fn exit(at: SocketAddr, member: &str) -> u16 {
    call(at, &format!("POST /maintenance/exit?member={member}")).0
}

fn status(at: SocketAddr) -> String {
    call(at, "GET /status").1
}

const NONE_IN_MAINTENANCE: &str = "takes clients; 0 members banned, 0 other processes\n";
const ONE_IN_MAINTENANCE: &str = "takes clients; 1 members banned, 0 other processes\n";

#[test]
fn repeated_admin_calls_change_nothing_and_return_the_current_state() {
    let log = Log::new(vec![]);
    let (_daemon, at) = start_with_admin_api(&[("s 1", echo("b1", &log))], |_| {});
    assert_eq!(call(at, "GET /status"), (200, NONE_IN_MAINTENANCE.into()));
    for _ in 0..2 {
        assert_eq!(
            call(at, "POST /maintenance/enter?member=s%201"),
            (200, "s 1 is banned\n".into())
        );
        assert_eq!(status(at), ONE_IN_MAINTENANCE);
    }
    for _ in 0..2 {
        assert_eq!(
            call(at, "POST /maintenance/exit?member=s%201"),
            (200, "s 1 is not banned\n".into())
        );
    }
    // Any valid framing is accepted: a chunked body, sent in pieces, which no call needs.
    let mut client = Client::open(at).expect("a connection");
    for piece in [
        "POST /standby HTTP/1.1\r\nHost: m\r\nTransfer-",
        "Encoding: chunked\r\n\r\n3;x=y\r\nab",
        "c\r\n0\r\n\r\n",
    ] {
        client.send(piece);
        sleep(Duration::from_millis(20));
    }
    assert_eq!(
        client.response().expect("an answer").text(),
        "on standby, health says no\n"
    );
}

#[test]
fn invalid_admin_calls_are_rejected_and_change_nothing() {
    let log = Log::new(vec![]);
    let (_daemon, at) = start_with_admin_api(&[("s 1", echo("b1", &log))], |_| {});
    for query in [
        "",
        "?member",
        "?member=",
        "?member=%2",
        "?member=%zz",
        "?member=s%201&member=s%201",
    ] {
        let bad = format!("POST /maintenance/enter{query}");
        assert_eq!(call(at, &bad).0, 400, "{query}");
    }
    assert_eq!(enter(at, "s-2"), 404);
    assert_eq!(exit(at, "s-2"), 404);
    assert_eq!(call(at, "POST /elsewhere").0, 404);
    for (wrong, right) in [
        ("GET /standby", "POST"),
        ("POST /status", "GET"),
        ("GET /maintenance/exit", "POST"),
    ] {
        let mut client = Client::open(at).expect("a connection");
        let answer = client.call(&format!("{wrong} HTTP/1.1\r\nHost: m\r\n\r\n"));
        let answer = answer.expect("an answer");
        let seen = (answer.status(), answer.header("allow"));
        assert_eq!(seen, (405, right), "{wrong}");
    }
    let long = "x".repeat(9 << 10);
    let long = format!("POST /maintenance/enter?member={long} HTTP/1.1\r\nHost: m\r\n\r\n");
    let answer = Client::open(at).expect("a connection").call(&long);
    assert!(answer.is_none_or(|answer| answer.status() >= 400));
    assert_eq!(status(at), NONE_IN_MAINTENANCE);
}

/// Starts clients that send RPCs without a pause until a time, each RPC on a new connection. They return the number of
/// responses.
fn start_load(at: SocketAddr, until: Instant) -> Vec<JoinHandle<usize>> {
    let client = |c: usize| {
        let rpc = move |n: usize| rpc("POST", "/book", &format!("load{c}-{n}"), "");
        let ask = move |n| Client::open(at)?.call(&rpc(n));
        spawn(move || {
            let numbers = (0..).take_while(|_| Instant::now() < until);
            numbers.filter_map(ask).count()
        })
    };
    (0..8).map(client).collect()
}

/// Admin calls are answered within a second beside incomplete calls, clients on every socket, and load.
#[test]
fn admin_calls_are_answered_while_the_socket_budget_is_exhausted() {
    let log = Log::new(vec![]);
    let (daemon, at) = start_with_admin_api(&[("s-1", echo("b1", &log))], |config| {
        config["limits"]["sockets"] = 96.into()
    });
    let clients: Vec<_> = (0..200)
        .filter_map(|_| TcpStream::connect(daemon.address).ok())
        .collect();
    let mut unfinished: Vec<_> = (0..20)
        .map(|_| Client::open(at).expect("a connection"))
        .collect();
    for client in &mut unfinished {
        assert!(client.send("POST /standby HTTP/1.1\r\n"));
    }
    let load = start_load(daemon.address, Instant::now() + Duration::from_secs(2));
    let mut slowest = Duration::ZERO;
    for _ in 0..5 {
        for (change, expected) in [
            (enter as fn(_, &str) -> _, ONE_IN_MAINTENANCE),
            (exit, NONE_IN_MAINTENANCE),
        ] {
            let started = Instant::now();
            assert_eq!(change(at, "s-1"), 200);
            assert_eq!(status(at), expected);
            slowest = slowest.max(started.elapsed() / 2);
            sleep(Duration::from_millis(100));
        }
    }
    assert!(slowest < Duration::from_secs(1), "a call took {slowest:?}");
    let answered = load
        .into_iter()
        .map(|client| client.join().expect("a client"));
    let answered: usize = answered.sum();
    assert!(answered > 100, "{answered} RPCs are too small a load");
    let descriptors = daemon.descriptors();
    assert!(descriptors <= 96, "{descriptors} descriptors");
    assert_eq!(clients.len(), 200);
}

/// Starts a backend that takes 20 ms for each RPC: the slow-start budget counts service time.
fn slow_backend(name: &'static str, log: &Log) -> SocketAddr {
    backend(name, log, |_| {
        sleep(Duration::from_millis(20));
        BackendAction::Respond(reply("200 OK", ""))
    })
}

/// Sends twenty RPCs, and returns how many of them went to the backend `b1`.
fn sent_to_b1(client: &mut Client, log: &Log, round: &str) -> usize {
    let before = log.count("b1 got");
    for n in 0..20 {
        assert_eq!(ask(client, &format!("{round}{n}")).status(), 200);
    }
    log.count("b1 got") - before
}

/// A backend in maintenance gets no RPC, whatever the endpoint list contains, until one exit call. Then it is used again.
#[test]
fn backend_in_maintenance_gets_no_rpc_until_one_exit_call() {
    let log = Log::new(vec![]);
    let one = slow_backend("b1", &log);
    let two = slow_backend("b2", &log);
    let (daemon, at) = start_with_admin_api(&[("s-1", one), ("s-2", two)], |_| {});
    let mut client = daemon.client();
    assert!(sent_to_b1(&mut client, &log, "before") > 0);
    for _ in 0..2 {
        assert_eq!(enter(at, "s-1"), 200);
    }
    assert_eq!(sent_to_b1(&mut client, &log, "maintenance"), 0);
    let other = endpoint_entry("s-2", two, "Ready");
    daemon
        .discovery
        .publish_and_wait(std::slice::from_ref(&other));
    assert_eq!(enter(at, "s-1"), 200, "a removed backend is known");
    let mut restarted = endpoint_entry("s-1", slow_backend("b1", &log), "Ready");
    restarted["boot_ms"] = 1_700_000_000_000_u64.into();
    daemon.discovery.publish_and_wait(&[restarted, other]);
    assert_eq!(sent_to_b1(&mut client, &log, "restarted"), 0);
    // With all backends in maintenance RPCs are rejected at once.
    assert_eq!(enter(at, "s-2"), 200);
    let started = Instant::now();
    assert_eq!(ask(&mut client, "none").status(), 503);
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(exit(at, "s-1"), 200);
    eventually(Duration::from_secs(5), "never used again", || {
        let _ = ask(&mut client, &format!("again{}", log.count("")));
        log.count("b1 got POST /book HTTP/1.1 again") > 0
    });
    check_slow_start(&daemon);
}

/// The backend is in slow start since the exit, although the list gives an earlier start: it does not get all RPCs.
fn check_slow_start(daemon: &Daemon) {
    let mut clients: Vec<_> = (0..40).map(|_| daemon.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(client.send(&rpc("POST", "/book", &format!("burst{n}"), "")));
    }
    let answers = clients.iter_mut().map(|client| client.response());
    let statuses: Vec<_> = answers.map(|a| a.expect("an answer").status()).collect();
    assert!(statuses.contains(&503), "{statuses:?}");
}

/// On standby the proxy is not ready, and each response is the last on its connection.
fn assert_standby_serves_rpcs(daemon: &Daemon, at: SocketAddr, used: &mut Client) {
    let answer = daemon.client().call(HEALTH).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, "close")
    );
    assert_eq!(call(at, "GET /status").0, 200, "standby accepts new RPCs");
    let answer = ask(used, "after");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
}

/// Ends the standby: the proxy is ready, and connections stay open after a response.
fn assert_active(daemon: &Daemon, at: SocketAddr) {
    assert_eq!(call(at, "POST /active").1, "active, health says yes\n");
    let mut again = daemon.client();
    assert_eq!(again.status_of(HEALTH), 200);
    assert_eq!(ask(&mut again, "active").header("connection"), "");
}

#[test]
fn standby_closes_client_connections_until_the_proxy_is_activated() {
    let log = Log::new(vec![]);
    let (mut daemon, at) = start_with_admin_api(&[("s-1", echo("b1", &log))], |_| {});
    assert_eq!(
        call(at, "POST /active"),
        (200, "active, health says yes\n".into())
    );
    let mut used = daemon.client();
    let mut idle = daemon.client();
    let mut half = daemon.client();
    assert_eq!(ask(&mut used, "before").header("connection"), "");
    half.send("POST /book HTTP/1.1\r\n");
    let mut body = daemon.client();
    let message = rpc("POST", "/book", "body", "slow");
    body.send(&message[..message.len() - 2]);
    let started = Instant::now();
    for _ in 0..2 {
        assert_eq!(
            call(at, "POST /standby"),
            (200, "on standby, health says no\n".into())
        );
    }
    assert_standby_serves_rpcs(&daemon, at, &mut used);
    // A request that is being sent when idle connections close has more time, until incomplete ones are closed.
    assert!(used.is_closed() && idle.is_closed());
    body.send(&message[message.len() - 2..]);
    assert_eq!(body.response().map(|answer| answer.status()), Some(200));
    assert!(body.is_closed() && half.is_closed());
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "a connection is open 4 s after the call"
    );
    assert_active(&daemon, at);
    // SIGTERM during a standby ends the proxy as at any time.
    assert_eq!(call(at, "POST /standby").0, 200);
    daemon.signal("TERM");
    assert!(daemon.await_exit().success());
}

#[test]
fn activated_proxy_without_an_endpoint_list_is_not_ready() {
    let folder = TestFolder::new("nolist");
    let at = unused_address();
    let management = unused_address();
    let mut config = common::sockets::config(at, unused_address(), &[]);
    config["management"] = management.to_string().into();
    let mut child = Command::new(PROGRAM)
        .env("LB_CONFIG", folder.write_config(&config.to_string()))
        .stderr(Stdio::null())
        .spawn()
        .expect("birchhubd");
    eventually(EVENT_TIMEOUT, "never there", || {
        TcpStream::connect(management).is_ok()
    });
    let commands = ["POST /standby", "POST /active"].map(|command| call(management, command).1);
    let health = Client::open(at)
        .and_then(|mut c| c.call(HEALTH))
        .map(|answer| answer.status());
    let status = call(management, "GET /status").0;
    let _ = child.kill().and_then(|()| child.wait());
    assert_eq!(commands[1], "active, health says no\n");
    assert_eq!((health, status), (Some(503), 503));
}

/// Starts birchhubd, which must fail, with an admin address in the configuration or in the environment.
fn failed_start(folder: &TestFolder, in_file: Option<&str>, variable: Option<&str>) -> FailedStart {
    let mut config = common::sockets::config(unused_address(), unused_address(), &[]);
    if let Some(text) = in_file {
        config["management"] = text.into();
    }
    let mut start = Command::new(PROGRAM);
    start
        .env("LB_CONFIG", folder.write_config(&config.to_string()))
        .env_remove("LB_MANAGEMENT")
        .envs(variable.map(|text| ("LB_MANAGEMENT", text)));
    FailedStart::of(&mut start)
}

#[test]
fn invalid_admin_address_ends_the_start() {
    let folder = TestFolder::new("second");
    failed_start(&folder, Some("here"), None).assert_one_line();
    failed_start(&folder, Some("192.0.2.1:1"), None).assert_one_line();
    failed_start(&folder, None, Some("there")).assert_one_line();
}
