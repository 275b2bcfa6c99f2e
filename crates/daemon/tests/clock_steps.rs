//! Steps of the wall clock of the proxy's machine, and skew of the clock by which discovery lists the start times of
//! backends. Neither may affect the proxy, which measures intervals by the monotonic clock.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    BackendAction, Client, Daemon, EVENT_TIMEOUT, Log, backend, echo, endpoint_entry, eventually,
    reply, rpc, unused_address, with_faults, without_health_checks,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
const HOUR_SECONDS: f64 = 3600.0;

/// Service time of an RPC.
const SERVICE_TIME: Duration = Duration::from_millis(20);
const CLIENTS: usize = 8;

/// RPCs of each client, which take it a second.
const RPCS_PER_CLIENT: usize = 50;

/// Longest permitted time from the standby call until idle connections are closed.
const STANDBY_LIMIT: Duration = Duration::from_secs(4);

/// A daemon whose wall clock steps two seconds after its start.
struct DaemonWithClockStep {
    daemon: Daemon,
    admin_address: SocketAddr,
    program: String,
}

/// Starts a daemon whose wall clock steps by this many seconds. The caller removes the program.
fn start_with_clock_step(step: &str, backend: SocketAddr) -> DaemonWithClockStep {
    let program = with_faults(PROGRAM, &format!("clock={step}@1:2-3600"));
    let admin_address = unused_address();
    let daemon = Daemon::start_with(&program, &[("s-1", backend)], |config| {
        config["management"] = admin_address.to_string().into();
        without_health_checks(config);
    });
    DaemonWithClockStep {
        daemon,
        admin_address,
        program,
    }
}

fn open_idle_client(daemon: &Daemon) -> Client {
    let mut client = daemon.client();
    assert_eq!(client.status_of(&rpc("GET", "/read", "idle", "")), 200);
    client
}

#[test]
fn a_standby_closes_idle_connections_in_time_despite_a_clock_step() {
    for step in ["-3600", "+3600"] {
        let log = Log::new(vec![]);
        let started = Instant::now();
        let DaemonWithClockStep {
            daemon,
            admin_address,
            program,
        } = start_with_clock_step(step, echo("b1", &log));
        sleep(Duration::from_millis(1700).saturating_sub(started.elapsed()));
        let mut active = open_idle_client(&daemon);
        let mut idle = open_idle_client(&daemon);
        let standby_call = "POST /standby HTTP/1.1\r\nHost: m\r\n\r\n";
        let mut admin_client = Client::open(admin_address).expect("a connection");
        assert_eq!(admin_client.status_of(standby_call), 200);
        let standby_started = Instant::now();
        // The clock steps during the grace period of a second, in which clients may still send.
        sleep(Duration::from_millis(600));
        assert_eq!(
            active.status_of(&rpc("GET", "/read", "late", "")),
            200,
            "{step}"
        );
        assert!(idle.is_closed(), "{step}");
        assert!(standby_started.elapsed() < STANDBY_LIMIT, "{step}");
        std::fs::remove_file(program).expect("the program");
    }
}

#[test]
fn rpcs_and_the_shutdown_are_not_affected_by_a_clock_step() {
    for step in ["-3600", "+3600"] {
        let log = Log::new(vec![]);
        let DaemonWithClockStep {
            mut daemon,
            program,
            ..
        } = start_with_clock_step(step, echo("b1", &log));
        let mut client = daemon.client();
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < Duration::from_secs(3) {
            let id = format!("n{number}");
            assert_eq!(
                client.status_of(&rpc("GET", "/read", &id, "")),
                200,
                "{step}"
            );
            number += 1;
        }
        daemon.signal("TERM");
        eventually(EVENT_TIMEOUT, "the process does not exit", || {
            daemon.child.try_wait().expect("its state").is_some()
        });
        assert!(daemon.await_exit().success());
        std::fs::remove_file(program).expect("the program");
    }
}

/// Returns the endpoint list entry of a backend that started this many seconds ago by the clock of its machine.
fn entry_with_age(uid: &str, address: SocketAddr, seconds_ago: f64) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let boot_seconds = now.expect("a time after 1970").as_secs_f64() - seconds_ago;
    let mut entry = endpoint_entry(uid, address, "Ready");
    entry["boot_ms"] = json!((boot_seconds * 1e3).round());
    entry
}

/// Starts a backend with a service time of [`SERVICE_TIME`].
fn start_working_backend(name: &'static str, log: &Log) -> SocketAddr {
    backend(name, log, |_| {
        sleep(SERVICE_TIME);
        BackendAction::Respond(reply("200 OK", ""))
    })
}

/// Returns the number of RPCs that a new backend gets in its first second, beside nine warm ones, if discovery lists it
/// as started this many seconds ago.
fn first_rpcs_of_a_new_backend(seconds_ago: f64) -> usize {
    let log = Log::new(vec![]);
    let names: Vec<String> = (0..9).map(|number| format!("s-{number}")).collect();
    let warm_backends = names
        .iter()
        .map(|name| (name.as_str(), start_working_backend("warm", &log)));
    let backends: Vec<_> = warm_backends.collect();
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        without_health_checks(config);
        // With eight proxies, one attempt from each would exceed the slow-start budget.
        config["settings"]["balancers"] = 8.into();
        config["settings"]["contract"]["cold-from"] = 0.05.into();
        config["settings"]["contract"]["cold-ns"] = 20e9.into();
    });
    daemon.fill_retry_budget();
    let mut entries: Vec<_> = backends
        .iter()
        .map(|(uid, address)| endpoint_entry(uid, *address, "Ready"))
        .collect();
    entries.push(entry_with_age(
        "s-new",
        start_working_backend("new", &log),
        seconds_ago,
    ));
    daemon.discovery.publish_and_wait(&entries);
    let send = |client: usize| {
        let mut connection = daemon.client();
        for number in 0..RPCS_PER_CLIENT {
            let id = format!("c{client}-{number}");
            assert_eq!(connection.status_of(&rpc("GET", "/read", &id, "")), 200);
        }
    };
    let send = &send;
    scope(|scope| (0..CLIENTS).for_each(|client| drop(scope.spawn(move || send(client)))));
    log.count("new got")
}

#[test]
fn a_new_backend_gets_a_slow_start_despite_clock_skew() {
    let without_skew = first_rpcs_of_a_new_backend(1.0);
    for seconds_ago in [HOUR_SECONDS, -HOUR_SECONDS] {
        let sent = first_rpcs_of_a_new_backend(seconds_ago);
        assert!(
            sent <= without_skew + 3,
            "listed as started {seconds_ago} s ago: {sent} RPCs, without clock skew {without_skew}"
        );
    }
}
