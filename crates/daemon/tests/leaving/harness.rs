//! Clients, the proxy before a backend that holds RPCs, and the ways to disconnect.
use crate::common::sockets::{
    BackendAction, Client, Daemon, EVENT_TIMEOUT, HEALTH, Log, Shared, SlowAccept, backend,
    eventually, reply, rpc, without_health_checks,
};
use serde_json::Value;
use std::collections::HashSet;
use std::net::{Shutdown, SocketAddr};
use std::thread::sleep;
use std::time::Duration;

// After a client has gone: an attempt that begins more than 0.1 s after that breaks the rule.
pub(crate) const LATE: Duration = Duration::from_millis(150);
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// `book` keeps the order of a key.
pub(crate) fn in_order(config: &mut Value) {
    config["settings"]["methods"][1]["keep-order"] = true.into();
    config["settings"]["contract"]["key-quiet-ns"] = 1.into();
    without_health_checks(config);
}

/// An RPC of the one key that all of these tests use.
pub(crate) fn of_key(id: &str) -> String {
    rpc("POST", "/book", id, "")
        .replace("Tenant", "Request-Info: entity=k:7\r\nTenant")
        .replace("3000", "20000")
}

/// A backend of which the RPC named `first` waits for the gate, and a proxy that keeps order before it.
pub(crate) fn behind_a_gate(log: &Log) -> (Daemon, Shared<bool>) {
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", log, move |m| match m.header("request-id") {
        "first" => {
            open.wait(EVENT_TIMEOUT, |open| *open);
            // Noted as done with once the answer is on its way, at once.
            BackendAction::RespondLater {
                first: reply("200 OK", ""),
                log: Log::new(vec![String::new()]),
                event: String::new(),
                rest: b"\r\n".to_vec(),
            }
        }
        _ => BackendAction::Respond(reply("200 OK", "")),
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], in_order);
    daemon.fill_retry_budget(); // and shows that work is short: a queue is no reason to reject what comes
    (daemon, gate)
}

/// How a client disconnects.
pub(crate) enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

/// All disconnect; those that can still read are given back.
pub(crate) fn disconnect(clients: Vec<Client>, how: &Disconnect) -> Vec<Client> {
    let mut kept = Vec::new();
    let mut ends = HashSet::new();
    for client in clients {
        let stream = client.stream();
        match how {
            // Whoever is started by another test may hold a copy of the socket for a moment: a close alone might be late.
            Disconnect::Close => stream.shutdown(Shutdown::Both).expect("ended"),
            Disconnect::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("half closed");
                kept.push(client);
            }
            Disconnect::Reset => {
                ends.insert((entry(stream.local_addr()), entry(stream.peer_addr())));
                client.reset_on_drop();
            }
        }
    }
    while !ends.is_empty() && open_connections().any(|ends_of| ends.contains(&ends_of)) {
        sleep(Duration::from_millis(10));
    }
    kept
}

/// An address as the machine's list of connections has it.
pub(crate) fn entry(at: std::io::Result<SocketAddr>) -> String {
    match at.expect("an address") {
        SocketAddr::V4(at) => format!(
            "{:08X}:{:04X}",
            u32::from_ne_bytes(at.ip().octets()),
            at.port()
        ),
        SocketAddr::V6(at) => panic!("no such address: {at}"),
    }
}

/// Both ends of each open connection.
pub(crate) fn open_connections() -> impl Iterator<Item = (String, String)> {
    let all = std::fs::read_to_string("/proc/net/tcp").expect("connections");
    let open = |line: &str| {
        let mut words = line.split_whitespace().skip(1).map(str::to_owned);
        let (from, to) = (words.next()?, words.next()?);
        (words.next()? == "01").then_some((from, to))
    };
    all.lines().filter_map(open).collect::<Vec<_>>().into_iter()
}

/// Each of so many new clients sends its message.
pub(crate) fn send_from_new_clients(
    daemon: &Daemon,
    clients: usize,
    message: impl Fn(usize) -> String,
) -> Vec<Client> {
    let mut opened: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in opened.iter_mut().enumerate() {
        client.send(&message(n));
    }
    opened
}

/// A client whose connection is accepted, and with it all that were opened before.
pub(crate) fn accepted_client(daemon: &Daemon) -> Client {
    let mut client = daemon.client();
    assert_eq!(client.call(HEALTH).unwrap().status(), 200);
    client
}

/// The backend holds the first RPC of the key from now on.
pub(crate) fn send_first_of_key(daemon: &Daemon, log: &Log) -> Client {
    let mut first = daemon.client();
    first.send(&of_key("first"));
    log.await_event("b1 got POST /book HTTP/1.1 first");
    first
}

/// A proxy that waits for its connections for longer than the test does.
pub(crate) fn proxy_before_a_slow_backend(
    slow: &SlowAccept,
    change: impl Fn(&mut Value),
) -> Daemon {
    Daemon::start_with(PROGRAM, &[("s-1", slow.at)], |config| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        without_health_checks(config);
        change(config);
    })
}

/// The clients disconnect while the proxy is stopped, longer before it continues than an attempt may begin.
pub(crate) fn disconnect_and_continue(
    daemon: &Daemon,
    clients: Vec<Client>,
    how: &Disconnect,
) -> Vec<Client> {
    let kept = disconnect(clients, how);
    sleep(LATE);
    daemon.signal("CONT");
    kept
}

pub(crate) fn await_descriptors(daemon: &Daemon, most: usize, complaint: &str) {
    eventually(EVENT_TIMEOUT, complaint, || daemon.descriptors() <= most);
}

/// An RPC of a client that stays is answered with 200.
pub(crate) fn assert_serves(client: &mut Client) {
    let answer = client.call(&rpc("POST", "/book", "next", ""));
    assert_eq!(answer.unwrap().status(), 200);
}
