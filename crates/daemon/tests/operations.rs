//! Daily operation of birchhubd over loopback sockets: calls at the second address and what they change.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Client, Daemon, HEALTH, Log, Message, PATIENCE, backend, blind, echo, eventually, free,
    line, reply, rpc,
};
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// A proxy with a second address.
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

/// One call, and the status and text it is answered with.
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

#[test]
#[expect(clippy::too_many_lines)]
fn calls_are_told_what_holds_and_bad_ones_change_nothing() {
    let log = Log::new(vec![]);
    let (_daemon, at) = managed(&[("s 1", echo("b1", &log))], |_| {});
    assert_eq!(
        call(at, "GET /status"),
        (
            200,
            "takes clients; 0 members banned, 0 other processes\n".into()
        )
    );
    for query in [
        "",
        "?member",
        "?member=",
        "?member=%2",
        "?member=%zz",
        "?member=s%201&member=s%201",
    ] {
        assert_eq!(
            call(at, &format!("POST /maintenance/enter{query}")).0,
            400,
            "{query}"
        );
    }
    assert_eq!(call(at, "POST /maintenance/enter?member=s-2").0, 404);
    assert_eq!(call(at, "POST /maintenance/exit?member=s-2").0, 404);
    assert_eq!(call(at, "POST /elsewhere").0, 404);
    for (wrong, right) in [
        ("GET /standby", "POST"),
        ("POST /status", "GET"),
        ("GET /maintenance/exit", "POST"),
    ] {
        let mut client = Client::open(at).expect("a connection");
        let answer = client
            .call(&format!("{wrong} HTTP/1.1\r\nHost: m\r\n\r\n"))
            .expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("allow")),
            (405, right),
            "{wrong}"
        );
    }
    let long = format!(
        "POST /maintenance/enter?member={} HTTP/1.1\r\nHost: m\r\n\r\n",
        "x".repeat(9 << 10)
    );
    let answer = Client::open(at).expect("a connection").call(&long);
    assert!(answer.is_none_or(|answer| answer.status() >= 400));
    assert_eq!(
        call(at, "GET /status").1,
        "takes clients; 0 members banned, 0 other processes\n"
    );
    for _ in 0..2 {
        assert_eq!(
            call(at, "POST /maintenance/enter?member=s%201"),
            (200, "s 1 is banned\n".into())
        );
        assert_eq!(
            call(at, "GET /status").1,
            "takes clients; 1 members banned, 0 other processes\n"
        );
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
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        client.answer().expect("an answer").text(),
        "on standby, health says no\n"
    );
}

/// Callers that finish no call, clients that hold every socket there is and a full load hold up no other call.
#[test]
#[expect(clippy::too_many_lines)]
fn calls_are_answered_under_a_full_budget() {
    let log = Log::new(vec![]);
    let (daemon, at) = managed(&[("s-1", echo("b1", &log))], |config| {
        config["limits"]["sockets"] = 96.into()
    });
    let clients: Vec<_> = (0..200)
        .filter_map(|_| TcpStream::connect(daemon.at).ok())
        .collect();
    let mut stuck: Vec<_> = (0..20)
        .map(|_| Client::open(at).expect("a connection"))
        .collect();
    stuck
        .iter_mut()
        .for_each(|s| assert!(s.send("POST /standby HTTP/1.1\r\n")));
    // Clients that ask without a pause, each over and over on new connections.
    let (end, busy) = (Instant::now() + Duration::from_secs(2), daemon.at);
    let load: Vec<_> = (0..8)
        .map(|c| {
            std::thread::spawn(move || {
                let ask = |n| {
                    Client::open(busy)?.call(&rpc("POST", "/book", &format!("load{c}-{n}"), ""))
                };
                (0..)
                    .take_while(|_| Instant::now() < end)
                    .filter_map(ask)
                    .count()
            })
        })
        .collect();
    let mut slowest = Duration::ZERO;
    for n in 0..10 {
        let begun = Instant::now();
        let (what, member) = if n % 2 == 0 {
            ("enter", 1)
        } else {
            ("exit", 0)
        };
        assert_eq!(
            call(at, &format!("POST /maintenance/{what}?member=s-1")).0,
            200
        );
        assert!(
            call(at, "GET /status")
                .1
                .ends_with(&format!("{member} members banned, 0 other processes\n"))
        );
        slowest = slowest.max(begun.elapsed() / 2);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(slowest < Duration::from_secs(1), "a call took {slowest:?}");
    let served: usize = load
        .into_iter()
        .map(|thread| thread.join().expect("a client"))
        .sum();
    assert!(served > 100, "{served} RPCs are no load");
    assert!(
        daemon.descriptors() <= 96,
        "{} descriptors",
        daemon.descriptors()
    );
    assert_eq!(clients.len(), 200);
}

/// Maintenance: a banned backend gets nothing whatever the list says, until one exit; then it is used again.
#[test]
#[expect(clippy::too_many_lines)]
fn a_banned_backend_gets_nothing_until_one_exit() {
    let log = Log::new(vec![]);
    // What a cold backend may be sent counts in work: it has to take some time.
    let slow = |name| {
        backend(name, &log, |_| {
            std::thread::sleep(Duration::from_millis(20));
            Act::Write(reply("200 OK", ""))
        })
    };
    let (one, two) = (slow("b1"), slow("b2"));
    let (daemon, at) = managed(&[("s-1", one), ("s-2", two)], |_| {});
    let mut client = daemon.client();
    let uses = |client: &mut Client, turn: &str| {
        let before = log.count("b1 got");
        (0..20).for_each(|n| assert_eq!(ask(client, &format!("{turn}{n}")).status(), 200));
        log.count("b1 got") - before
    };
    assert!(uses(&mut client, "before") > 0);
    for _ in 0..2 {
        assert_eq!(call(at, "POST /maintenance/enter?member=s-1").0, 200);
    }
    assert_eq!(uses(&mut client, "banned"), 0);
    daemon.list.tell_heard(&[line("s-2", two, "Ready")]);
    assert_eq!(
        call(at, "POST /maintenance/enter?member=s-1").0,
        200,
        "what is gone is known"
    );
    let mut anew = line("s-1", slow("b1"), "Ready");
    anew["boot_ms"] = 1_700_000_000_000_u64.into();
    daemon
        .list
        .tell_heard(&[anew.clone(), line("s-2", two, "Ready")]);
    assert_eq!(uses(&mut client, "anew"), 0);
    // All banned: refused at once, and the ban holds.
    assert_eq!(call(at, "POST /maintenance/enter?member=s-2").0, 200);
    let begun = Instant::now();
    assert_eq!(ask(&mut client, "none").status(), 503);
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(call(at, "POST /maintenance/exit?member=s-1").0, 200);
    eventually(Duration::from_secs(5), "never used again", || {
        let _ = ask(&mut client, &format!("again{}", log.count("")));
        log.count("b1 got POST /book HTTP/1.1 again") > 0
    });
    // Cold since the exit, though the list tells of a start long ago: it does not get all there is.
    let mut crowd: Vec<_> = (0..40).map(|_| daemon.client()).collect();
    crowd
        .iter_mut()
        .enumerate()
        .for_each(|(n, c)| assert!(c.send(&rpc("POST", "/book", &format!("cold{n}"), ""))));
    let statuses: Vec<_> = crowd
        .iter_mut()
        .map(|c| c.answer().expect("an answer").status())
        .collect();
    assert!(statuses.contains(&503), "{statuses:?}");
}

#[test]
fn a_standby_sends_clients_away_and_ends() {
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
    assert_eq!(call(at, "GET /status").0, 200, "it serves what comes");
    let answer = ask(&mut used, "after");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    // A message that is on its way when idle ones go has until what is not whole goes.
    assert!(used.is_closed() && idle.is_closed());
    body.send(&message[message.len() - 2..]);
    assert_eq!(body.answer().map(|answer| answer.status()), Some(200));
    assert!(body.is_closed() && half.is_closed());
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "nothing is left 4 s after the call"
    );
    assert_eq!(call(at, "POST /active").1, "active, health says yes\n");
    let mut again = daemon.client();
    assert_eq!(again.call(HEALTH).expect("an answer").status(), 200);
    assert_eq!(ask(&mut again, "active").header("connection"), "");
    // SIGTERM during a standby ends the proxy as ever.
    assert_eq!(call(at, "POST /standby").0, 200);
    daemon.signal("TERM");
    assert!(daemon.await_end().success());
}

#[test]
fn without_a_list_it_is_not_ready_after_active() {
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
fn a_bad_second_address_ends_the_start() {
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
