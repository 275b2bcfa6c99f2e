//! One process of birchhubd replaces another on a socket that was passed to both.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Client, HEALTH, List, Log, PATIENCE, blind, config, echo, eventually, free, line, rpc,
};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// The platform: it holds the clients' socket, and a folder that is common to all processes of a proxy.
struct Platform {
    socket: TcpListener,
    list: List,
    backends: Vec<(&'static str, SocketAddr)>,
    folder: PathBuf,
    sockets: u64,
}

struct Process {
    child: Child,
    management: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    fn new(test: &str, backends: &[(&'static str, SocketAddr)]) -> Self {
        let folder = std::env::temp_dir().join(format!("birchhubd-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let list = List::start();
        list.tell(
            &backends
                .iter()
                .map(|(uid, at)| line(uid, *at, "Ready"))
                .collect::<Vec<_>>(),
        );
        let socket = TcpListener::bind("127.0.0.1:0").expect("a socket");
        Self {
            socket,
            list,
            backends: backends.to_vec(),
            folder,
            sockets: 1024,
        }
    }

    fn at(&self) -> SocketAddr {
        self.socket.local_addr().expect("an address")
    }

    /// Starts one more process, which finds the socket at descriptor 7, and waits until it takes clients.
    fn start(&self) -> Process {
        let process = self.spawn(|_| {});
        eventually(PATIENCE, "never yes", || {
            process
                .call("GET /status")
                .is_some_and(|(status, _)| status == 200)
        });
        process
    }

    fn spawn(&self, change: impl FnOnce(&mut Value)) -> Process {
        let management = free();
        let known: Vec<_> = self
            .backends
            .iter()
            .map(|(uid, at)| line(uid, *at, "Ready"))
            .collect();
        let mut config = config(self.at(), self.list.at, &known);
        blind(&mut config);
        config["management"] = management.to_string().into();
        config["limits"]["sockets"] = self.sockets.into();
        change(&mut config);
        let file = self.folder.join(format!("{management}.json"));
        std::fs::write(&file, config.to_string()).expect("a file");
        let log =
            std::fs::File::create(self.folder.join(format!("{management}.log"))).expect("a file");
        let mut start = Command::new("sh");
        start.args(["-c", &format!("exec 7<&0 </dev/null; exec {PROGRAM}")]);
        start
            .env("LB_CONFIG", file)
            .env("TMPDIR", &self.folder)
            .env("LB_PASSED_SOCKET", "7");
        start
            .stdin(OwnedFd::from(
                self.socket.try_clone().expect("a second handle"),
            ))
            .stderr(log);
        Process {
            child: start.spawn().expect("birchhubd"),
            management,
        }
    }

    fn client(&self) -> Client {
        Client::open(self.at()).expect("a connection")
    }

    /// The status of one RPC on a new connection.
    fn ask(&self, id: &str) -> u16 {
        self.client()
            .call(&rpc("POST", "/book", id, ""))
            .map_or(0, |answer| answer.status())
    }
}

impl Process {
    fn call(&self, call: &str) -> Option<(u16, String)> {
        let answer =
            Client::open(self.management)?.call(&format!("{call} HTTP/1.1\r\nHost: m\r\n\r\n"))?;
        Some((answer.status(), answer.text()))
    }

    fn says(&self, call: &str) -> String {
        self.call(call).expect("an answer").1
    }

    fn term(&self) {
        self.signal("TERM");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .expect("a shell")
                .success()
        );
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("its descriptors")
            .count()
    }
}

/// No RPC is turned back, on new or open connections, while one process takes over from the other.
#[test]
fn a_replacement_turns_nothing_back() {
    let log = Log::new(vec![]);
    let platform = Platform::new("nothing", &[("s-1", echo("b1", &log))]);
    let mut old = platform.start();
    let mut open: Vec<_> = (0..20).map(|_| platform.client()).collect();
    let call = |client: &mut Client, id: String| {
        client
            .call(&rpc("POST", "/book", &id, ""))
            .expect("an answer")
    };
    for (n, client) in open.iter_mut().enumerate() {
        assert_eq!(call(client, format!("before{n}")).status(), 200);
    }
    let mut new = platform.start();
    assert!((0..50).all(|n| platform.ask(&format!("both{n}")) == 200));
    old.term();
    eventually(PATIENCE, "SIGTERM was never heard", || {
        old.call("GET /status").is_none_or(|told| told.0 == 503)
    });
    assert_eq!(
        platform.client().call(HEALTH).expect("an answer").status(),
        200
    );
    let mut last = 0;
    for (n, client) in open.iter_mut().enumerate() {
        // Those that the old process holds end with their answer; those of the new one stay.
        let answer = call(client, format!("after{n}"));
        assert_eq!(answer.status(), 200);
        last += usize::from(answer.header("connection") == "close");
    }
    assert!(last > 0, "the old process held none");
    assert!((0..50).all(|n| platform.ask(&format!("new{n}")) == 200));
    assert!(old.child.wait().expect("its end").success());
    assert!(new.child.try_wait().expect("its state").is_none());
    assert_eq!(
        platform.ask("alone"),
        200,
        "the socket outlives the old process"
    );
}

/// SIGTERM reaches the old process right after the new one began to accept, sooner than it looks at the others by
/// itself. The new one is stopped meanwhile: who is answered before it goes on was answered by the old one.
#[test]
fn health_stays_ready_when_sigterm_follows_the_takeover_at_once() {
    let log = Log::new(vec![]);
    for round in 0..3 {
        let platform = Platform::new(&format!("at-once{round}"), &[("s-1", echo("b1", &log))]);
        let (mut old, new) = (platform.start(), platform.start());
        new.signal("STOP");
        old.term();
        eventually(PATIENCE, "SIGTERM was never heard", || {
            old.call("GET /status").is_none_or(|told| told.0 == 503)
        });
        let mut clients: Vec<_> = (0..16).map(|_| platform.client()).collect();
        assert!(clients.iter_mut().all(|client| client.send(HEALTH)));
        std::thread::sleep(Duration::from_millis(100)); // the old one has looked at the new one since
        new.signal("CONT");
        let answers: Vec<_> = clients
            .iter_mut()
            .map(|client| client.answer().map(|answer| answer.status()))
            .collect();
        assert_eq!(answers, vec![Some(200); 16]);
        assert!(old.child.wait().expect("its end").success());
    }
}

/// SIGTERM to the old process while the new one still starts, whether that comes up, dies or is ended too: for half a second
/// clients come to somebody.
#[test]
fn one_that_still_starts_takes_nothing_over() {
    let log = Log::new(vec![]);
    let platform = Platform::new("starts", &[("s-1", echo("b1", &log))]);
    let mut old = platform.start();
    let mut new = platform.spawn(|config| {
        // No list, and nobody who tells one.
        (config["known"], config["discovery"]) = (Value::Null, free().to_string().into());
    });
    let lives = |what: &str| eventually(PATIENCE, what, || old.says("GET /status").contains(what));
    lives("1 other");
    new.term();
    old.term();
    assert!((0..5).all(|n| platform.ask(&format!("n{n}")) == 200));
    assert!(old.child.wait().expect("its end").success());
    assert!(new.child.wait().expect("its end").success());
}

/// Both are ended together: neither leaves clients to the other.
#[test]
fn two_that_end_together_go_on_both() {
    let log = Log::new(vec![]);
    let platform = Platform::new("together", &[("s-1", echo("b1", &log))]);
    let (mut old, mut new) = (platform.start(), platform.start());
    old.term();
    new.term();
    let ends = |process: &Process| process.call("GET /status").is_none_or(|told| told.0 == 503);
    eventually(PATIENCE, "SIGTERM was never heard", || {
        ends(&old) && ends(&new)
    });
    std::thread::sleep(Duration::from_millis(150)); // both have looked at each other since
    assert!((0..5).all(|n| platform.ask(&format!("n{n}")) == 200));
    assert!(old.child.wait().expect("its end").success());
    assert!(new.child.wait().expect("its end").success());
}

/// The same once each knows that the other accepts: SIGTERM comes to both before either has looked at the other again.
#[test]
fn two_that_end_together_and_know_each_other_go_on() {
    let log = Log::new(vec![]);
    let platform = Platform::new("acquainted", &[("s-1", echo("b1", &log))]);
    let (mut old, mut new) = (platform.start(), platform.start());
    std::thread::sleep(Duration::from_millis(150)); // both have looked at each other since
    old.signal("STOP");
    new.signal("STOP");
    old.term();
    new.term();
    old.signal("CONT");
    new.signal("CONT");
    assert!((0..5).all(|n| platform.ask(&format!("n{n}")) == 200));
    assert!(old.child.wait().expect("its end").success());
    assert!(new.child.wait().expect("its end").success());
}

/// Bans and standby hold in both processes, whichever was called, and end in both.
#[test]
#[expect(clippy::too_many_lines)]
fn orders_pass_to_the_other_process() {
    let log = Log::new(vec![]);
    let platform = Platform::new(
        "orders",
        &[("s-1", echo("b1", &log)), ("s-2", echo("b2", &log))],
    );
    let old = platform.start();
    assert_eq!(
        old.says("POST /maintenance/enter?member=s-1"),
        "s-1 is banned\n"
    );
    let new = platform.start();
    assert!(
        new.says("GET /status").contains("1 members banned"),
        "it holds from the start"
    );
    assert!((0..40).all(|n| platform.ask(&format!("banned{n}")) == 200));
    assert_eq!(log.count("b1 got"), 0);
    let hears = |process: &Process, what: &str| {
        eventually(Duration::from_secs(1), what, || {
            process.says("GET /status").contains(what)
        });
    };
    new.says("POST /maintenance/enter?member=s-2");
    hears(&old, "2 members");
    assert_eq!(platform.ask("none"), 503);
    old.says("POST /maintenance/exit?member=s-1");
    hears(&new, "1 members");
    new.says("POST /standby");
    hears(&old, "on standby");
    assert_eq!(
        platform.client().call(HEALTH).expect("an answer").status(),
        503
    );
    old.term();
    hears(&new, "0 other");
    assert_eq!(new.says("POST /active"), "active, health says yes\n");
    drop((old, new));
    // One that follows a dead process finds what was ordered; a damaged file is passed over.
    let third = platform.start();
    assert!(third.says("GET /status").contains("1 members"));
    drop(third);
    let file = platform.folder.join("birchhub-n0/birchhub.standing");
    std::fs::write(file, "{").expect("written");
    let fourth = platform.start();
    assert!(fourth.says("GET /status").contains("0 members"));
    fourth.says("POST /maintenance/enter?member=s-2");
    drop(fourth);
    assert!(platform.start().says("GET /status").contains("1 members"));
}

/// Two processes hold no more descriptors together than one may, and the one that is left has all of them.
#[test]
fn two_processes_keep_to_the_limit_of_one() {
    let log = Log::new(vec![]);
    let mut platform = Platform::new("limit", &[("s-1", echo("b1", &log))]);
    platform.sockets = 200;
    let old = platform.start();
    let crowd = |_| Some(platform.client());
    let mut clients: Vec<_> = (0..300).filter_map(crowd).collect();
    eventually(PATIENCE, "the crowd never came in", || {
        old.descriptors() > 70
    });
    let new = platform.start();
    clients.extend((0..300).filter_map(crowd));
    for n in 0..20 {
        assert_eq!(platform.ask(&format!("crowd{n}")), 200);
        assert!(old.descriptors() + new.descriptors() <= 200);
    }
    let shared = new.descriptors();
    old.term();
    drop(old);
    eventually(PATIENCE, "the room never came back", || {
        clients.extend((0..50).filter_map(crowd));
        new.descriptors() > shared + 30
    });
    assert!(new.descriptors() <= 200);
}

#[test]
fn a_bad_passed_socket_ends_the_start() {
    let platform = Platform::new("bad", &[]);
    let file = platform.folder.join("config.json");
    std::fs::write(&file, config(free(), free(), &[]).to_string()).expect("a file");
    let plain = || Stdio::from(std::fs::File::open(&file).expect("a file"));
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let stream = std::net::TcpStream::connect(platform.at()).expect("a connection");
    let cases = [
        ("seven", plain()),
        ("-1", plain()),
        ("", plain()),
        ("99", plain()),
        ("0", plain()),
        ("0", OwnedFd::from(udp).into()),
        ("0", OwnedFd::from(stream).into()),
    ];
    for (name, stdin) in cases {
        let mut start = Command::new(PROGRAM);
        start
            .env("LB_CONFIG", &file)
            .env("LB_PASSED_SOCKET", name)
            .stdin(stdin);
        let output = start.output().expect("birchhubd");
        let fault = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            (output.status.code(), fault.lines().count()),
            (Some(2), 1),
            "{name}: {fault}"
        );
        assert!(fault.contains("LB_PASSED_SOCKET"), "{fault}");
    }
}
