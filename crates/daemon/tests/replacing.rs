//! Replacement of a birchhubd process by another on a listening socket that both inherit.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Client, DiscoveryService, EVENT_TIMEOUT, FailedStart, HEALTH, Log, TestFolder, config, echo,
    endpoint_entry, eventually, holding_backend, keyed_rpc, open_descriptors, rpc, send_signal,
    unused_address, with_ordered_keys, without_health_checks,
};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// The platform that runs a proxy: it owns the listening socket for clients and the folder that all processes share.
struct Platform {
    socket: TcpListener,
    discovery: DiscoveryService,
    backends: Vec<(&'static str, SocketAddr)>,
    folder: TestFolder,
    /// Socket limit of each process.
    max_sockets: u64,
}

/// A process of the proxy, killed when dropped.
struct Process {
    child: Child,
    admin_address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

impl Platform {
    fn new(test: &str, backends: &[(&'static str, SocketAddr)]) -> Self {
        let folder = TestFolder::new(test);
        let discovery = DiscoveryService::start();
        discovery.publish(
            &backends
                .iter()
                .map(|(uid, address)| endpoint_entry(uid, *address, "Ready"))
                .collect::<Vec<_>>(),
        );
        let socket = TcpListener::bind("127.0.0.1:0").expect("a socket");
        Self {
            socket,
            discovery,
            backends: backends.to_vec(),
            folder,
            max_sockets: 1024,
        }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("an address")
    }

    /// Starts a process and waits until it accepts clients.
    fn start(&self) -> Process {
        self.start_with(|_| {})
    }

    /// Starts a process with a changed configuration, and waits until it accepts clients.
    fn start_with(&self, change: impl FnOnce(&mut Value)) -> Process {
        let process = self.spawn(change);
        eventually(EVENT_TIMEOUT, "the process did not accept clients", || {
            process
                .call("GET /status")
                .is_some_and(|(status, _)| status == 200)
        });
        process
    }

    /// Starts a process, which inherits the listening socket as descriptor 7.
    fn spawn(&self, change: impl FnOnce(&mut Value)) -> Process {
        let admin_address = unused_address();
        let cached_endpoints: Vec<_> = self
            .backends
            .iter()
            .map(|(uid, address)| endpoint_entry(uid, *address, "Ready"))
            .collect();
        let mut config = config(self.address(), self.discovery.address, &cached_endpoints);
        without_health_checks(&mut config);
        config["management"] = admin_address.to_string().into();
        config["limits"]["sockets"] = self.max_sockets.into();
        change(&mut config);
        let folder = self.folder.path();
        let file = folder.join(format!("{admin_address}.json"));
        std::fs::write(&file, config.to_string()).expect("a file");
        let log = folder.join(format!("{admin_address}.log"));
        let log = std::fs::File::create(log).expect("a file");
        let mut start = Command::new("sh");
        start.args(["-c", &format!("exec 7<&0 </dev/null; exec {PROGRAM}")]);
        start
            .env("LB_CONFIG", file)
            .env("TMPDIR", folder)
            .env("LB_PASSED_SOCKET", "7");
        start
            .stdin(OwnedFd::from(
                self.socket.try_clone().expect("a second handle"),
            ))
            .stderr(log);
        Process {
            child: start.spawn().expect("birchhubd"),
            admin_address,
        }
    }

    fn client(&self) -> Client {
        Client::open(self.address()).expect("a connection")
    }

    /// Sends an RPC on a new connection, and returns the status of the response; 0 if there is none.
    fn rpc_status(&self, id: &str) -> u16 {
        self.client()
            .call(&rpc("POST", "/book", id, ""))
            .map_or(0, |response| response.status())
    }
}

impl Process {
    /// Makes an admin call, and returns the status and text of the response.
    fn call(&self, call: &str) -> Option<(u16, String)> {
        let response = Client::open(self.admin_address)?
            .call(&format!("{call} HTTP/1.1\r\nHost: m\r\n\r\n"))?;
        Some((response.status(), response.text()))
    }

    /// Makes an admin call, and returns the text of the response.
    fn text_of(&self, call: &str) -> String {
        self.call(call).expect("a response").1
    }

    fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    fn descriptors(&self) -> usize {
        open_descriptors(&self.child)
    }
}

/// Waits until a process has begun to shut down.
fn await_shutdown(process: &Process) {
    eventually(
        EVENT_TIMEOUT,
        "the process did not begin to shut down",
        || {
            process
                .call("GET /status")
                .is_none_or(|response| response.0 == 503)
        },
    );
}

/// No RPC is rejected, on new or open connections, while one process replaces the other.
#[test]
fn replacement_rejects_no_rpc() {
    let log = Log::new(vec![]);
    let platform = Platform::new("replacement", &[("s-1", echo("b1", &log))]);
    let mut old = platform.start();
    let mut open: Vec<_> = (0..20).map(|_| platform.client()).collect();
    let call = |client: &mut Client, id: String| {
        client
            .call(&rpc("POST", "/book", &id, ""))
            .expect("a response")
    };
    for (n, client) in open.iter_mut().enumerate() {
        assert_eq!(call(client, format!("before{n}")).status(), 200);
    }
    let mut new = platform.start();
    assert!((0..50).all(|n| platform.rpc_status(&format!("both{n}")) == 200));
    old.signal("TERM");
    await_shutdown(&old);
    assert_eq!(
        platform.client().call(HEALTH).expect("a response").status(),
        200
    );
    let mut closing = 0;
    for (n, client) in open.iter_mut().enumerate() {
        // The old process closes each connection after its response, the new one keeps its connections open.
        let response = call(client, format!("after{n}"));
        assert_eq!(response.status(), 200);
        closing += usize::from(response.header("connection") == "close");
    }
    assert!(closing > 0, "the old process had no open connection");
    assert!((0..50).all(|n| platform.rpc_status(&format!("new{n}")) == 200));
    assert!(old.child.wait().expect("an exit status").success());
    assert!(new.child.try_wait().expect("a process state").is_none());
    assert_eq!(
        platform.rpc_status("alone"),
        200,
        "the socket outlives the old process"
    );
}

/// Guards against RPCs of one key that run at the same time, in two processes of which one replaces the other: the new
/// process holds them back until the old one has finished its own.
#[test]
fn rpcs_of_a_key_run_one_at_a_time_during_a_replacement() {
    let log = Log::new(vec![]);
    let (address, gate) = holding_backend("b1", &log, "");
    let platform = Platform::new("ordered", &[("s-1", address)]);
    let mut old = platform.start_with(with_ordered_keys);
    let mut old_client = platform.client();
    assert!(old_client.send(&keyed_rpc("held")));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let new = platform.start_with(with_ordered_keys);
    old.signal("TERM");
    await_shutdown(&old);
    let mut new_client = platform.client();
    assert!(new_client.send(&keyed_rpc("next")));
    let mut other_client = platform.client();
    let other = rpc("POST", "/log", "other", "");
    let other = other_client.call(&other).expect("a response");
    assert_eq!(other.status(), 200, "an RPC without an order has to wait");
    std::thread::sleep(Duration::from_millis(100)); // enough time for the new process to send it
    assert_eq!(
        log.count("b1 got POST /book HTTP/1.1 next"),
        0,
        "both run at the same time"
    );
    gate.change(|open| *open = true);
    for client in [&mut old_client, &mut new_client] {
        let response = client.response().expect("a response");
        assert_eq!(response.status(), 200);
    }
    assert!(old.child.wait().expect("an exit status").success());
    drop(new);
}

/// Guards against a copy of an open request that is served by the other process, so that its id runs twice: the processes
/// are one proxy.
#[test]
fn a_copy_of_an_open_request_is_rejected_by_the_new_process() {
    let log = Log::new(vec![]);
    let (address, gate) = holding_backend("b1", &log, "");
    let platform = Platform::new("copies", &[("s-1", address)]);
    let mut old = platform.start();
    let mut old_client = platform.client();
    assert!(old_client.send(&rpc("POST", "/book", "held", "")));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let _new = platform.start();
    old.signal("TERM");
    await_shutdown(&old);
    assert_eq!(platform.rpc_status("held"), 409);
    gate.change(|open| *open = true);
    assert_eq!(old_client.response().expect("a response").status(), 200);
    assert!(old.child.wait().expect("an exit status").success());
    assert_eq!(platform.rpc_status("held"), 409, "the id ran before");
    assert_eq!(log.count("held"), 1, "the id ran more than once");
}

/// Guards against a key that no process serves after the old process was killed.
#[test]
fn ordered_rpcs_run_in_the_new_process_after_the_old_one_was_killed() {
    let log = Log::new(vec![]);
    let platform = Platform::new("ordered-killed", &[("s-1", echo("b1", &log))]);
    let old = platform.start_with(with_ordered_keys);
    let _new = platform.start_with(with_ordered_keys);
    drop(old);
    let response = platform.client().call(&keyed_rpc("next"));
    assert_eq!(response.expect("a response").status(), 200);
}

/// SIGTERM reaches the old process right after the new one began to accept, before the old one polls its siblings. The new
/// one is stopped in the meantime, so that the old one handles the health calls.
#[test]
fn health_stays_ready_when_sigterm_follows_the_takeover_at_once() {
    let log = Log::new(vec![]);
    for round in 0..3 {
        let platform = Platform::new(&format!("at-once{round}"), &[("s-1", echo("b1", &log))]);
        let mut old = platform.start();
        let new = platform.start();
        new.signal("STOP");
        old.signal("TERM");
        await_shutdown(&old);
        let mut clients: Vec<_> = (0..16).map(|_| platform.client()).collect();
        assert!(clients.iter_mut().all(|client| client.send(HEALTH)));
        std::thread::sleep(Duration::from_millis(100)); // enough time for the old process to poll its siblings
        new.signal("CONT");
        for client in &mut clients {
            assert_eq!(
                client.response().map(|response| response.status()),
                Some(200)
            );
        }
        assert!(old.child.wait().expect("an exit status").success());
    }
}

/// SIGTERM reaches the old process while the new one has no endpoint list yet and then shuts down too. The old process must
/// not rely on a successor, so it accepts clients for another half second.
#[test]
fn starting_process_is_not_taken_for_a_successor() {
    let log = Log::new(vec![]);
    let platform = Platform::new("starts", &[("s-1", echo("b1", &log))]);
    let mut old = platform.start();
    let mut new = platform.spawn(|config| {
        // No cached endpoint list and no discovery service.
        (config["known"], config["discovery"]) = (Value::Null, unused_address().to_string().into());
    });
    eventually(
        EVENT_TIMEOUT,
        "the old process did not detect the new one",
        || old.text_of("GET /status").contains("1 other"),
    );
    new.signal("TERM");
    old.signal("TERM");
    assert!((0..5).all(|n| platform.rpc_status(&format!("n{n}")) == 200));
    assert!(old.child.wait().expect("an exit status").success());
    assert!(new.child.wait().expect("an exit status").success());
}

/// Neither of two processes that shut down at the same time takes the other for its successor.
#[test]
fn processes_that_shut_down_together_both_accept_clients() {
    let log = Log::new(vec![]);
    let platform = Platform::new("together", &[("s-1", echo("b1", &log))]);
    let mut old = platform.start();
    let mut new = platform.start();
    old.signal("TERM");
    new.signal("TERM");
    let is_shutting_down = |process: &Process| {
        process
            .call("GET /status")
            .is_none_or(|response| response.0 == 503)
    };
    eventually(
        EVENT_TIMEOUT,
        "the process did not begin to shut down",
        || is_shutting_down(&old) && is_shutting_down(&new),
    );
    std::thread::sleep(Duration::from_millis(150)); // enough time for both to poll their siblings
    assert!((0..5).all(|n| platform.rpc_status(&format!("n{n}")) == 200));
    assert!(old.child.wait().expect("an exit status").success());
    assert!(new.child.wait().expect("an exit status").success());
}

/// SIGTERM reaches both processes before either polls its siblings again, while each still has the state in which the other
/// accepts clients.
#[test]
fn processes_that_shut_down_between_polls_both_accept_clients() {
    let log = Log::new(vec![]);
    let platform = Platform::new("between-polls", &[("s-1", echo("b1", &log))]);
    let mut old = platform.start();
    let mut new = platform.start();
    std::thread::sleep(Duration::from_millis(150)); // enough time for both to poll their siblings
    old.signal("STOP");
    new.signal("STOP");
    old.signal("TERM");
    new.signal("TERM");
    old.signal("CONT");
    new.signal("CONT");
    assert!((0..5).all(|n| platform.rpc_status(&format!("n{n}")) == 200));
    assert!(old.child.wait().expect("an exit status").success());
    assert!(new.child.wait().expect("an exit status").success());
}

/// Waits until the status of a process contains a text that results from an admin call to its sibling.
fn await_status(process: &Process, text: &str) {
    eventually(Duration::from_secs(1), text, || {
        process.text_of("GET /status").contains(text)
    });
}

/// Maintenance and standby begin and end in both processes, whichever of them gets the admin call.
#[test]
fn admin_state_is_shared_by_both_processes() {
    let log = Log::new(vec![]);
    let platform = Platform::new(
        "admin",
        &[("s-1", echo("b1", &log)), ("s-2", echo("b2", &log))],
    );
    let old = platform.start();
    assert_eq!(
        old.text_of("POST /maintenance/enter?member=s-1"),
        "s-1 is banned\n"
    );
    let new = platform.start();
    assert!(
        new.text_of("GET /status").contains("1 members banned"),
        "the maintenance applies from the start of the process"
    );
    assert!((0..40).all(|n| platform.rpc_status(&format!("maintenance{n}")) == 200));
    assert_eq!(log.count("b1 got"), 0);
    new.text_of("POST /maintenance/enter?member=s-2");
    await_status(&old, "2 members");
    assert_eq!(platform.rpc_status("none"), 503);
    old.text_of("POST /maintenance/exit?member=s-1");
    await_status(&new, "1 members");
    new.text_of("POST /standby");
    await_status(&old, "on standby");
    assert_eq!(
        platform.client().call(HEALTH).expect("a response").status(),
        503
    );
    old.signal("TERM");
    await_status(&new, "0 other");
    assert_eq!(new.text_of("POST /active"), "active, health says yes\n");
    drop((old, new));
    assert_admin_state_outlives_its_processes(&platform);
}

/// Checks that a process that starts after all others were killed reads the maintenance of `s-2` from the stored state,
/// and that a damaged file is ignored.
fn assert_admin_state_outlives_its_processes(platform: &Platform) {
    let third = platform.start();
    assert!(third.text_of("GET /status").contains("1 members"));
    drop(third);
    let file = platform.folder.path().join("birchhub-n0/birchhub.standing");
    std::fs::write(file, "{").expect("a writable state file");
    let fourth = platform.start();
    assert!(fourth.text_of("GET /status").contains("0 members"));
    fourth.text_of("POST /maintenance/enter?member=s-2");
    drop(fourth);
    assert!(
        platform
            .start()
            .text_of("GET /status")
            .contains("1 members")
    );
}

/// Two processes together hold at most the number of descriptors that one process may hold, and the last process may use
/// all of them again.
#[test]
fn processes_share_the_socket_limit_of_one() {
    let log = Log::new(vec![]);
    let mut platform = Platform::new("limit", &[("s-1", echo("b1", &log))]);
    platform.max_sockets = 200;
    let old = platform.start();
    let open_client = |_| Some(platform.client());
    let mut clients: Vec<_> = (0..300).filter_map(open_client).collect();
    eventually(EVENT_TIMEOUT, "the clients were not accepted", || {
        old.descriptors() > 70
    });
    let new = platform.start();
    clients.extend((0..300).filter_map(open_client));
    for n in 0..20 {
        assert_eq!(platform.rpc_status(&format!("crowd{n}")), 200);
        assert!(old.descriptors() + new.descriptors() <= 200);
    }
    let shared = new.descriptors();
    old.signal("TERM");
    drop(old);
    eventually(
        EVENT_TIMEOUT,
        "the process did not use the whole socket limit again",
        || {
            clients.extend((0..50).filter_map(open_client));
            new.descriptors() > shared + 30
        },
    );
    assert!(new.descriptors() <= 200);
}

#[test]
fn invalid_inherited_socket_ends_the_start() {
    let platform = Platform::new("invalid", &[]);
    let config = config(unused_address(), unused_address(), &[]).to_string();
    let file = platform.folder.write_config(&config);
    let config_file = || Stdio::from(std::fs::File::open(&file).expect("a file"));
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let stream = std::net::TcpStream::connect(platform.address()).expect("a connection");
    let cases = [
        ("seven", config_file()),
        ("-1", config_file()),
        ("", config_file()),
        ("99", config_file()),
        ("0", config_file()),
        ("0", OwnedFd::from(udp).into()),
        ("0", OwnedFd::from(stream).into()),
    ];
    for (descriptor, stdin) in cases {
        let mut start = Command::new(PROGRAM);
        start
            .env("LB_CONFIG", &file)
            .env("LB_PASSED_SOCKET", descriptor)
            .stdin(stdin);
        let failure = FailedStart::of(&mut start);
        failure.assert_one_line();
        assert!(
            failure.error.contains("LB_PASSED_SOCKET"),
            "{descriptor}: {failure:?}"
        );
    }
}

/// Guards against RPCs to a draining backend at a replacement during an outage: the new process used the cached list of its
/// configuration, although the old one knew of the drain. A further replacement passes the list on.
fn check_takeover_in_an_outage(name: &str, membership_mode: &str) {
    let log = Log::new(vec![]);
    let (drained, kept) = (echo("b1", &log), echo("b2", &log));
    let platform = Platform::new(name, &[("s-1", drained), ("s-2", kept)]);
    let configure = |config: &mut Value| {
        config["settings"]["membership-mode"] = membership_mode.into();
    };
    let mut old = platform.start_with(configure);
    platform.discovery.publish_and_wait(&[
        endpoint_entry("s-1", drained, "Terminating"),
        endpoint_entry("s-2", kept, "Ready"),
    ]);
    platform.discovery.respond_with(None);
    for replacement in 0..2 {
        let started = Instant::now();
        let new = platform.start_with(configure);
        assert!(started.elapsed() < Duration::from_secs(2));
        old.signal("TERM");
        await_shutdown(&old);
        for n in 0..20 {
            assert_eq!(platform.rpc_status(&format!("{replacement}-{n}")), 200);
        }
        assert!(old.child.wait().expect("an exit status").success());
        old = new;
    }
    assert_eq!(log.count("b1 got"), 0);
}

#[test]
fn a_new_process_takes_over_the_pushed_list_of_the_old_one() {
    check_takeover_in_an_outage("takeover-pushed", "pushed");
}

#[test]
fn a_new_process_takes_over_the_polled_list_of_the_old_one() {
    check_takeover_in_an_outage("takeover-polled", "on_request");
}
