//! Crowds of connections under tight limits, over loopback sockets.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Client, Daemon, Log, PATIENCE, Shared, blind, echo, eventually, line, rpc};
use serde_json::Value;
use std::collections::VecDeque;
use std::fs::Permissions;
use std::io::ErrorKind;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
const TERM: Duration = Duration::from_secs(6); // from the return of the list service until all counts as told

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

/// Thousands of connections that say nothing or half of something: an RPC on a new one is served promptly, limits
/// hold all the while, and SIGTERM works in the middle of it.
#[test]
fn a_crowd_holds_up_no_rpc_and_breaks_no_limit() {
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
    assert!(daemon.await_end().success());
    assert!(begun.elapsed() < Duration::from_secs(5));
}

/// A birchhubd that the machine allows so many descriptors.
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

/// How idle clients take the descriptors.
#[derive(Clone, Copy, Debug)]
enum Idle {
    Rest,
    Halves,
    Silent,
}

const EACH: [Idle; 3] = [Idle::Rest, Idle::Halves, Idle::Silent];

/// So many idle clients, as far as they are let in.
fn crowd(daemon: &Daemon, idle: Idle, clients: usize, name: &str) -> Vec<Client> {
    let mut all: Vec<_> = (0..clients).map(|_| daemon.client()).collect();
    for (n, client) in all.iter_mut().enumerate() {
        // What was shut meanwhile tells nothing.
        match idle {
            Idle::Rest => drop(client.call(&rpc("POST", "/book", &format!("{name}{n}"), ""))),
            Idle::Halves => drop(client.send("POST /book HTTP/1.1\r\nRequest-")),
            Idle::Silent => {}
        }
    }
    all
}

/// Idle clients take the descriptors before the list service is down and while it is. As it is back it is reached
/// within its term, and so are the backends that it names; who has work to do gets in all the while.
fn descriptors_are_taken(allowed: u64, sockets: u64, idle: Idle) {
    let log = Log::new(vec![]);
    let program = capped(allowed);
    let at = echo("b1", &log);
    let daemon = Daemon::start_with(
        program.to_str().expect("a path"),
        &[("s-1", at)],
        |config| {
            blind(config);
            config["limits"]["sockets"] = sockets.into();
        },
    );
    ask(&daemon, "begins");
    let clients = allowed as usize * 6 / 5;
    let mut all = crowd(&daemon, idle, clients, "before");
    ask(&daemon, "before-it");
    daemon.list.tell_text(None);
    all.extend(crowd(&daemon, idle, clients, "while"));
    ask(&daemon, "meanwhile");
    let back = Instant::now();
    daemon
        .list
        .tell_heard(&[line("s-2", echo("b2", &log), "Ready")]);
    let told = back.elapsed();
    let mut client = daemon.client();
    assert_eq!(
        client
            .call(&rpc("POST", "/book", "after", ""))
            .map(|a| a.text())
            .as_deref(),
        Some("b2:")
    );
    assert!(told < TERM, "{idle:?}: the list was heard after {told:?}");
    let (open, refused) = (
        daemon.descriptors(),
        daemon.logged().matches("no connection accepted").count(),
    );
    assert!(
        open <= allowed.min(sockets) as usize,
        "{idle:?}: {open} descriptors"
    );
    assert!(refused <= 1, "{idle:?}: {refused} lines of one cause");
    drop(all);
    std::fs::remove_file(program).expect("the program");
}

#[test]
fn idle_clients_take_256_descriptors() {
    for idle in EACH {
        descriptors_are_taken(256, 256, idle);
    }
}

#[test]
fn idle_clients_take_1024_descriptors() {
    for idle in EACH {
        descriptors_are_taken(1024, 1024, idle);
    }
}

/// The machine allows fewer than the configuration says.
#[test]
fn idle_clients_take_fewer_descriptors_than_are_told() {
    for idle in EACH {
        descriptors_are_taken(128, 1024, idle);
    }
}

/// A new process starts into a crowd, with no list and no list service; it is ready within the term of its return.
#[test]
fn a_new_process_starts_into_a_crowd() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        blind(config);
        config["limits"]["sockets"] = 256.into();
        config["known"] = Value::Null;
    });
    daemon.list.tell_text(None);
    daemon
        .child
        .kill()
        .and_then(|()| daemon.child.wait())
        .expect("the end of birchhubd");
    daemon.start_again(PROGRAM);
    daemon.await_ready(503);
    let crowds = [Idle::Silent, Idle::Halves].map(|idle| crowd(&daemon, idle, 300, "first"));
    let back = Instant::now();
    daemon.list.tell(&[line("s-1", at, "Ready")]);
    daemon.await_ready(200);
    assert!(back.elapsed() < TERM, "ready after {:?}", back.elapsed());
    ask(&daemon, "after");
    drop(crowds);
}

/// A flood that goes on from before the outage until after it.
#[test]
fn a_flood_keeps_nobody_from_the_list() {
    let log = Log::new(vec![]);
    let program = capped(256);
    let daemon = Daemon::start_with(
        program.to_str().expect("a path"),
        &[("s-1", echo("b1", &log))],
        |config| {
            blind(config);
            config["limits"]["sockets"] = 256.into();
        },
    );
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
    daemon.list.tell_text(None);
    (0..20).for_each(|n| drop(ask(&daemon, &format!("while{n}"))));
    let back = Instant::now();
    daemon
        .list
        .tell_heard(&[line("s-2", echo("b2", &log), "Ready")]);
    let told = back.elapsed();
    (0..20).for_each(|n| drop(ask(&daemon, &format!("after{n}"))));
    ends.change(|ends| *ends = true);
    let opened = flood.join().expect("a flood");
    assert!(
        told < TERM && opened > 256,
        "{opened} connections, the list was heard after {told:?}"
    );
    assert!(log.count("b2 got POST /book HTTP/1.1 after") > 0);
    std::fs::remove_file(program).expect("the program");
}

/// Many more than there are places, found all at once: who has work gets in among those that say nothing.
#[test]
fn a_burst_crowds_out_nobody_who_has_work() {
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
        .filter_map(Client::answer)
        .filter(|answer| answer.status() == 200)
        .count();
    assert_eq!(answers, busy.len());
}

/// RPCs on all resting connections, found in one turn with as many new clients that want their places. None is lost,
/// whichever came first.
#[test]
fn rpcs_that_cross_with_the_loss_of_their_places() {
    for rpcs_first in [true, false] {
        let log = Log::new(vec![]);
        let daemon = limited(74, 1024, &log); // ten for clients
        let mut rest: Vec<_> = (0..10)
            .map(|n| ask(&daemon, &format!("rests{n}")))
            .collect();
        let send = |name: &str, n: usize, client: &mut Client| {
            client.send(&rpc("POST", "/book", &format!("{name}{n}"), "").replace("3000", "20000"))
        };
        let newcomers = || (0..10).map(|_| daemon.client()).collect::<Vec<_>>();
        daemon.signal("STOP");
        let early = if rpcs_first { vec![] } else { newcomers() };
        rest.iter_mut()
            .enumerate()
            .for_each(|(n, client)| assert!(send("again", n, client)));
        let mut new = if rpcs_first { newcomers() } else { early };
        new.iter_mut()
            .enumerate()
            .for_each(|(n, client)| assert!(send("new", n, client)));
        daemon.signal("CONT");
        let told = |clients: &mut [Client]| {
            clients
                .iter_mut()
                .map(|client| client.answer().map(|a| a.status()))
                .collect::<Vec<_>>()
        };
        let all = [told(&mut rest), told(&mut new)];
        assert!(
            all.iter()
                .flatten()
                .all(|status| matches!(status, Some(200 | 503))),
            "{all:?}"
        );
    }
}

/// Those that have just come push out no one another while others have rested for longer.
#[test]
fn who_rests_gives_way_to_who_has_just_come() {
    for idle in [Idle::Rest, Idle::Halves] {
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
                "{idle:?}: the one that came as {n}"
            );
        }
    }
}

/// What gives way first: nothing said, then between messages, then half a head.
#[test]
fn connections_give_way_in_their_order() {
    let log = Log::new(vec![]);
    let daemon = limited(74, 1024, &log); // ten for clients
    let between: Vec<_> = (0..3)
        .map(|n| ask(&daemon, &format!("between{n}")))
        .collect();
    let fresh: Vec<_> = (0..4).map(|_| daemon.client()).collect();
    sleep(Duration::from_millis(500)); // longer than one that has just come is waited for
    let mut half: Vec<_> = (0..3).map(|_| daemon.client()).collect();
    half.iter_mut()
        .for_each(|client| assert!(client.send("POST /book HTTP/1.1\r\nRequest-")));
    let open = |clients: &[Client]| clients.iter().filter(|client| is_open(client)).count();
    let mut served: Vec<_> = (0..4).map(|n| ask(&daemon, &format!("first{n}"))).collect();
    eventually(PATIENCE, "those that said nothing stay", || {
        open(&fresh) == 0
    });
    assert_eq!((open(&between), open(&half)), (3, 3));
    served.extend((0..3).map(|n| ask(&daemon, &format!("second{n}"))));
    eventually(PATIENCE, "those between messages stay", || {
        open(&between) == 0
    });
    assert_eq!((open(&half), open(&served)), (3, 7));
}
