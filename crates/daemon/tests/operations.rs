//! Daily operation of birchhubd over loopback sockets: calls at the management address and what they change.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Client, Daemon, HEALTH, Log, Message, PATIENCE, backend, blind, echo, eventually, free,
    line, reply, rpc,
};
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// A proxy with a management address.
fn managed(
    backends: &[(&str, SocketAddr)],
    change: impl FnOnce(&mut Value),
) -> (Daemon, SocketAddr) {
    let at = free();
    let daemon = Daemon::start_with(PROGRAM, backends, |config| {
        config["management"] = at.to_string().into();
        blind(config);
        change(config);
    });
    (daemon, at)
}

/// The status and text of the answer to one call.
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

const NOBODY_BANNED: &str = "takes clients; 0 members banned, 0 other processes\n";
const ONE_BANNED: &str = "takes clients; 1 members banned, 0 other processes\n";

#[test]
fn repeated_calls_are_answered_with_the_state_in_force() {
    let log = Log::new(vec![]);
    let (_daemon, at) = managed(&[("s 1", echo("b1", &log))], |_| {});
    assert_eq!(call(at, "GET /status"), (200, NOBODY_BANNED.into()));
    for _ in 0..2 {
        assert_eq!(
            call(at, "POST /maintenance/enter?member=s%201"),
            (200, "s 1 is banned\n".into())
        );
        assert_eq!(status(at), ONE_BANNED);
    }
    for _ in 0..2 {
        assert_eq!(
            call(at, "POST /maintenance/exit?member=s%201"),
            (200, "s 1 is not banned\n".into())
        );
    }
    // Any legal framing: a body that nobody needs, in chunks and in pieces.
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
        client.answer().expect("an answer").text(),
        "on standby, health says no\n"
    );
}

#[test]
fn bad_calls_are_refused_and_change_nothing() {
    let log = Log::new(vec![]);
    let (_daemon, at) = managed(&[("s 1", echo("b1", &log))], |_| {});
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
    assert_eq!(status(at), NOBODY_BANNED);
}

/// Clients that send RPCs until then without a pause, each on new connections; how many were answered.
fn load(at: SocketAddr, until: Instant) -> Vec<JoinHandle<usize>> {
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

/// Unfinished calls, clients on every socket and a full load delay no other call.
#[test]
fn calls_are_answered_under_a_spent_socket_budget() {
    let log = Log::new(vec![]);
    let (daemon, at) = managed(&[("s-1", echo("b1", &log))], |config| {
        config["limits"]["sockets"] = 96.into()
    });
    let clients: Vec<_> = (0..200)
        .filter_map(|_| TcpStream::connect(daemon.at).ok())
        .collect();
    let mut unfinished: Vec<_> = (0..20)
        .map(|_| Client::open(at).expect("a connection"))
        .collect();
    for client in &mut unfinished {
        assert!(client.send("POST /standby HTTP/1.1\r\n"));
    }
    let load = load(daemon.at, Instant::now() + Duration::from_secs(2));
    let mut slowest = Duration::ZERO;
    for _ in 0..5 {
        for (change, expected) in [
            (enter as fn(_, &str) -> _, ONE_BANNED),
            (exit, NOBODY_BANNED),
        ] {
            let begun = Instant::now();
            assert_eq!(change(at, "s-1"), 200);
            assert_eq!(status(at), expected);
            slowest = slowest.max(begun.elapsed() / 2);
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

/// A backend that takes some time: what one in slow start may be sent counts in work.
fn slow_backend(name: &'static str, log: &Log) -> SocketAddr {
    backend(name, log, |_| {
        sleep(Duration::from_millis(20));
        Act::Write(reply("200 OK", ""))
    })
}

/// How many of twenty RPCs go to the backend `b1`.
fn sent_to_b1(client: &mut Client, log: &Log, round: &str) -> usize {
    let before = log.count("b1 got");
    for n in 0..20 {
        assert_eq!(ask(client, &format!("{round}{n}")).status(), 200);
    }
    log.count("b1 got") - before
}

/// Maintenance: a banned backend gets nothing whatever the endpoint list says, until one exit; then it is used again.
#[test]
fn a_banned_backend_gets_nothing_until_one_exit() {
    let log = Log::new(vec![]);
    let (one, two) = (slow_backend("b1", &log), slow_backend("b2", &log));
    let (daemon, at) = managed(&[("s-1", one), ("s-2", two)], |_| {});
    let mut client = daemon.client();
    assert!(sent_to_b1(&mut client, &log, "before") > 0);
    for _ in 0..2 {
        assert_eq!(enter(at, "s-1"), 200);
    }
    assert_eq!(sent_to_b1(&mut client, &log, "banned"), 0);
    let other = line("s-2", two, "Ready");
    daemon.list.tell_heard(std::slice::from_ref(&other));
    assert_eq!(enter(at, "s-1"), 200, "a removed backend is known");
    let mut restarted = line("s-1", slow_backend("b1", &log), "Ready");
    restarted["boot_ms"] = 1_700_000_000_000_u64.into();
    daemon.list.tell_heard(&[restarted, other]);
    assert_eq!(sent_to_b1(&mut client, &log, "restarted"), 0);
    // All banned: rejected at once, and the ban holds.
    assert_eq!(enter(at, "s-2"), 200);
    let begun = Instant::now();
    assert_eq!(ask(&mut client, "none").status(), 503);
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(exit(at, "s-1"), 200);
    eventually(Duration::from_secs(5), "never used again", || {
        let _ = ask(&mut client, &format!("again{}", log.count("")));
        log.count("b1 got POST /book HTTP/1.1 again") > 0
    });
    check_slow_start(&daemon);
}

/// In slow start since the exit, though the list has a start long ago: the backend does not get all RPCs.
fn check_slow_start(daemon: &Daemon) {
    let mut clients: Vec<_> = (0..40).map(|_| daemon.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(client.send(&rpc("POST", "/book", &format!("burst{n}"), "")));
    }
    let answers = clients.iter_mut().map(|client| client.answer());
    let statuses: Vec<_> = answers.map(|a| a.expect("an answer").status()).collect();
    assert!(statuses.contains(&503), "{statuses:?}");
}

#[test]
fn standby_closes_client_connections_and_ends_with_active() {
    let log = Log::new(vec![]);
    let (mut daemon, at) = managed(&[("s-1", echo("b1", &log))], |_| {});
    assert_eq!(
        call(at, "POST /active"),
        (200, "active, health says yes\n".into())
    );
    let (mut used, mut idle, mut half) = (daemon.client(), daemon.client(), daemon.client());
    assert_eq!(ask(&mut used, "before").header("connection"), "");
    half.send("POST /book HTTP/1.1\r\n");
    let (mut body, message) = (daemon.client(), rpc("POST", "/book", "body", "slow"));
    body.send(&message[..message.len() - 2]);
    let begun = Instant::now();
    for _ in 0..2 {
        assert_eq!(
            call(at, "POST /standby"),
            (200, "on standby, health says no\n".into())
        );
    }
    let answer = daemon.client().call(HEALTH).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, "close")
    );
    assert_eq!(call(at, "GET /status").0, 200, "it serves new RPCs");
    let answer = ask(&mut used, "after");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    // A request that is being sent when idle connections close has more time, until incomplete ones are closed.
    assert!(used.is_closed() && idle.is_closed());
    body.send(&message[message.len() - 2..]);
    assert_eq!(body.answer().map(|answer| answer.status()), Some(200));
    assert!(body.is_closed() && half.is_closed());
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "a connection is open 4 s after the call"
    );
    assert_eq!(call(at, "POST /active").1, "active, health says yes\n");
    let mut again = daemon.client();
    assert_eq!(again.status_of(HEALTH), 200);
    assert_eq!(ask(&mut again, "active").header("connection"), "");
    // SIGTERM during a standby ends the proxy as at any time.
    assert_eq!(call(at, "POST /standby").0, 200);
    daemon.signal("TERM");
    assert!(daemon.await_end().success());
}

#[test]
fn a_proxy_without_an_endpoint_list_is_not_ready_after_active() {
    let (mut child, folder, at, management) = {
        let folder = std::env::temp_dir().join(format!("birchhubd-nolist-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (at, management) = (free(), free());
        let mut config = common::sockets::config(at, free(), &[]);
        config["management"] = management.to_string().into();
        std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
        let mut start = Command::new(PROGRAM);
        start
            .env("LB_CONFIG", folder.join("config.json"))
            .stderr(Stdio::null());
        (start.spawn().expect("birchhubd"), folder, at, management)
    };
    eventually(PATIENCE, "never there", || {
        TcpStream::connect(management).is_ok()
    });
    let order = ["POST /standby", "POST /active"].map(|order| call(management, order).1);
    let health = Client::open(at)
        .and_then(|mut c| c.call(HEALTH))
        .map(|answer| answer.status());
    let status = call(management, "GET /status").0;
    let _ = child.kill().and_then(|()| child.wait());
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(order[1], "active, health says no\n");
    assert_eq!((health, status), (Some(503), 503));
}

#[test]
fn a_bad_management_address_ends_the_start() {
    let folder = std::env::temp_dir().join(format!("birchhubd-second-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let start = |management: Option<&str>, variable: Option<&str>| {
        let mut config = common::sockets::config(free(), free(), &[]);
        management
            .into_iter()
            .for_each(|text| config["management"] = text.into());
        std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
        let mut start = Command::new(PROGRAM);
        start
            .env("LB_CONFIG", folder.join("config.json"))
            .env_remove("LB_MANAGEMENT");
        start.envs(variable.map(|text| ("LB_MANAGEMENT", text)));
        let output = start.output().expect("birchhubd");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).lines().count(),
        )
    };
    let ended = [
        (Some("here"), None),
        (Some("192.0.2.1:1"), None),
        (None, Some("there")),
    ]
    .map(|(management, variable)| start(management, variable));
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(ended, [(Some(2), 1); 3]);
}
