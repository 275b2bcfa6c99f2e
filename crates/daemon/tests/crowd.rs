//! Crowds of connections under tight limits, over loopback sockets.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Client, Daemon, Log, PATIENCE, blind, echo, eventually, rpc};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

fn limited(sockets: u64, memory_mb: u64, log: &Log) -> Daemon {
    Daemon::start_with(PROGRAM, &[("s-1", echo("b1", log))], |config| {
        blind(config);
        config["limits"]["sockets"] = sockets.into();
        config["limits"]["memory_mb"] = memory_mb.into();
    })
}

fn is_open(client: &Client) -> bool {
    let stream = client.stream();
    stream.set_nonblocking(true).expect("a socket");
    let open = stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("a socket");
    open
}

fn ask(daemon: &Daemon, id: &str) -> Client {
    let mut client = daemon.client();
    assert_eq!(client.call(&rpc("POST", "/book", id, "")).map(|answer| answer.status()), Some(200), "{id}");
    client
}

/// Thousands of connections that say nothing or half of something: an RPC on a new one is served promptly, limits
/// hold all the while, and SIGTERM works in the middle of it.
#[test]
fn a_crowd_holds_up_no_rpc_and_breaks_no_limit() {
    let log = Log::new(vec![]);
    let mut daemon = limited(192, 24, &log);
    let half_body = rpc("POST", "/book", "half", "body").replace("Content-Length: 4", "Content-Length: 9");
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
    assert!(descriptors <= 192 && memory <= 24 << 20, "{descriptors} descriptors, {memory} bytes");
    daemon.signal("TERM");
    let begun = Instant::now();
    assert!(daemon.await_end().success());
    assert!(begun.elapsed() < Duration::from_secs(5));
}

/// What gives way first: nothing said, then between messages, then half a head.
#[test]
fn connections_give_way_in_their_order() {
    let log = Log::new(vec![]);
    let daemon = limited(74, 1024, &log); // ten for clients
    let mut half: Vec<_> = (0..3).map(|_| daemon.client()).collect();
    half.iter_mut().for_each(|client| assert!(client.send("POST /book HTTP/1.1\r\nRequest-")));
    let between: Vec<_> = (0..3).map(|n| ask(&daemon, &format!("between{n}"))).collect();
    let fresh: Vec<_> = (0..4).map(|_| daemon.client()).collect();
    let open = |clients: &[Client]| clients.iter().filter(|client| is_open(client)).count();
    let mut served: Vec<_> = (0..4).map(|n| ask(&daemon, &format!("first{n}"))).collect();
    eventually(PATIENCE, "those that said nothing stay", || open(&fresh) == 0);
    assert_eq!((open(&between), open(&half)), (3, 3));
    served.extend((0..3).map(|n| ask(&daemon, &format!("second{n}"))));
    eventually(PATIENCE, "those between messages stay", || open(&between) == 0);
    assert_eq!((open(&half), open(&served)), (3, 7));
}
