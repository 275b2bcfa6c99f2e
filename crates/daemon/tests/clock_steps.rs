//! Steps of the wall clock of this machine, and skew of the clock by which the start times of backends are listed. Neither
//! affects the proxy, which measures intervals by the monotonic clock.
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

/// RPCs of each client, which take a second.
const RPCS_PER_CLIENT: usize = 50;

/// Longest time from a standby until idle connections are closed.
const STANDBY_LIMIT: Duration = Duration::from_secs(4);

/// A daemon whose wall clock steps two seconds after its start.
struct SteppingDaemon {
    daemon: Daemon,
    admin_address: SocketAddr,
    program: String,
}

/// Starts a daemon whose wall clock steps by this many seconds.
fn start_stepping(step: &str, backend: SocketAddr) -> SteppingDaemon {
    let program = with_faults(PROGRAM, &format!("clock={step}@1:2-3600"));
    let admin_address = unused_address();
    let daemon = Daemon::start_with(&program, &[("s-1", backend)], |config| {
        config["management"] = admin_address.to_string().into();
        without_health_checks(config);
    });
    SteppingDaemon {
        daemon,
        admin_address,
        program,
    }
}

fn idle_client(daemon: &Daemon) -> Client {
    let mut client = daemon.client();
    assert_eq!(client.status_of(&rpc("GET", "/read", "idle", "")), 200);
    client
}

#[test]
fn a_standby_closes_idle_connections_in_time_despite_a_clock_step() {
    for step in ["-3600", "+3600"] {
        let log = Log::new(vec![]);
        let started = Instant::now();
        let SteppingDaemon {
            daemon,
            admin_address,
            program,
        } = start_stepping(step, echo("b1", &log));
        sleep(Duration::from_millis(1700).saturating_sub(started.elapsed()));
        let mut active = idle_client(&daemon);
        let mut idle = idle_client(&daemon);
        let call = "POST /standby HTTP/1.1\r\nHost: m\r\n\r\n";
        let mut caller = Client::open(admin_address).expect("a connection");
        assert_eq!(caller.status_of(call), 200);
        let standby = Instant::now();
        // The clock steps within the grace period of a second, in which a client may still send.
        sleep(Duration::from_millis(600));
        assert_eq!(
            active.status_of(&rpc("GET", "/read", "late", "")),
            200,
            "{step}"
        );
        assert!(idle.is_closed(), "{step}");
        assert!(standby.elapsed() < STANDBY_LIMIT, "{step}");
        std::fs::remove_file(program).expect("the program");
    }
}

#[test]
fn rpcs_and_the_shutdown_are_not_affected_by_a_clock_step() {
    for step in ["-3600", "+3600"] {
        let log = Log::new(vec![]);
        let SteppingDaemon {
            mut daemon,
            program,
            ..
        } = start_stepping(step, echo("b1", &log));
        let mut client = daemon.client();
        let begun = Instant::now();
        let mut number = 0;
        while begun.elapsed() < Duration::from_secs(3) {
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

/// Returns the list entry of a backend that started this many seconds ago by the clock of its machine.
fn listed_with_age(uid: &str, at: SocketAddr, seconds_ago: f64) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let boot = now.expect("a time after 1970").as_secs_f64() - seconds_ago;
    let mut line = endpoint_entry(uid, at, "Ready");
    line["boot_ms"] = json!((boot * 1e3).round());
    line
}

/// Starts a backend with a service time of [`SERVICE_TIME`].
fn working(name: &'static str, log: &Log) -> SocketAddr {
    backend(name, log, |_| {
        sleep(SERVICE_TIME);
        BackendAction::Respond(reply("200 OK", ""))
    })
}

/// Returns the number of RPCs that a new backend gets in its first second, beside nine warm ones, if its listed start time
/// is this many seconds ago.
fn first_rpcs_of_a_new_backend(seconds_ago: f64) -> usize {
    let log = Log::new(vec![]);
    let names: Vec<String> = (0..9).map(|number| format!("s-{number}")).collect();
    let warm = names
        .iter()
        .map(|name| (name.as_str(), working("warm", &log)));
    let backends: Vec<_> = warm.collect();
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        without_health_checks(config);
        // Too many proxies for one attempt of each to fit into the slow-start budget.
        config["settings"]["balancers"] = 8.into();
        config["settings"]["contract"]["cold-from"] = 0.05.into();
        config["settings"]["contract"]["cold-ns"] = 20e9.into();
    });
    daemon.fill_retry_budget();
    let mut lines: Vec<_> = backends
        .iter()
        .map(|(uid, at)| endpoint_entry(uid, *at, "Ready"))
        .collect();
    lines.push(listed_with_age("s-new", working("new", &log), seconds_ago));
    daemon.discovery.publish_and_wait(&lines);
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
    let usual = first_rpcs_of_a_new_backend(1.0);
    for seconds_ago in [HOUR_SECONDS, -HOUR_SECONDS] {
        let sent = first_rpcs_of_a_new_backend(seconds_ago);
        assert!(
            sent <= usual + 3,
            "listed as started {seconds_ago} s ago: {sent} RPCs, without clock skew {usual}"
        );
    }
}
