//! Wall clocks that step: this machine's while the proxy runs, and that of the machine that tells when backends started.
//! Spans are real time, so neither changes what is done.
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
const HOUR: f64 = 3600.0;
/// What an RPC takes a backend.
const WORK: Duration = Duration::from_millis(20);
const CLIENTS: usize = 8;
/// They take a second.
const RPCS_OF_A_CLIENT: usize = 50;
/// After a standby no connection may be held idle for longer.
const STANDBY_LIMIT: Duration = Duration::from_secs(4);

/// A daemon whose wall clock steps by so many seconds two seconds after its start, and its management address.
fn stepping(step: &str, backend: SocketAddr) -> (Daemon, SocketAddr, String) {
    let program = with_faults(PROGRAM, &format!("clock={step}@1:2-3600"));
    let management = unused_address();
    let daemon = Daemon::start_with(&program, &[("s-1", backend)], |config| {
        config["management"] = management.to_string().into();
        without_health_checks(config);
    });
    (daemon, management, program)
}

fn idle_client(daemon: &Daemon) -> Client {
    let mut client = daemon.client();
    assert_eq!(client.status_of(&rpc("GET", "/read", "idle", "")), 200);
    client
}

/// Standby closes idle connections after its grace, whichever way the clock steps meanwhile.
#[test]
fn a_standby_is_over_in_time_though_the_clock_steps() {
    for step in ["-3600", "+3600"] {
        let log = Log::new(vec![]);
        let started = Instant::now();
        let (daemon, management, program) = stepping(step, echo("b1", &log));
        sleep(Duration::from_millis(1700).saturating_sub(started.elapsed()));
        let (mut idle, mut resting) = (idle_client(&daemon), idle_client(&daemon));
        let call = "POST /standby HTTP/1.1\r\nHost: m\r\n\r\n";
        let mut caller = Client::open(management).expect("a connection");
        assert_eq!(caller.status_of(call), 200);
        let standby = Instant::now();
        // The clock steps in the grace of a second, in which a client may still send.
        sleep(Duration::from_millis(600));
        assert_eq!(
            idle.status_of(&rpc("GET", "/read", "late", "")),
            200,
            "{step}"
        );
        assert!(resting.is_closed(), "{step}");
        assert!(standby.elapsed() < STANDBY_LIMIT, "{step}");
        std::fs::remove_file(program).expect("the program");
    }
}

/// RPCs, idle connections and the shutdown go by spans of real time.
#[test]
fn rpcs_and_the_shutdown_do_not_see_a_step() {
    for step in ["-3600", "+3600"] {
        let log = Log::new(vec![]);
        let (mut daemon, _, program) = stepping(step, echo("b1", &log));
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
        eventually(EVENT_TIMEOUT, "it does not end", || {
            daemon.child.try_wait().expect("its state").is_some()
        });
        assert!(daemon.await_exit().success());
        std::fs::remove_file(program).expect("the program");
    }
}

/// A line of a backend that by the clock of its machine started so many seconds ago.
fn started(uid: &str, at: SocketAddr, seconds_ago: f64) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let boot = now.expect("a time after 1970").as_secs_f64() - seconds_ago;
    let mut line = endpoint_entry(uid, at, "Ready");
    line["boot_ms"] = json!((boot * 1e3).round());
    line
}

/// A backend whose RPCs take a while each.
fn working(name: &'static str, log: &Log) -> SocketAddr {
    backend(name, log, |_| {
        sleep(WORK);
        BackendAction::Respond(reply("200 OK", ""))
    })
}

/// RPCs that a backend gets in its first second, beside nine warm ones, if its start is told as so long ago.
fn first_rpcs_of_a_new_backend(seconds_ago: f64) -> usize {
    let log = Log::new(vec![]);
    let names: Vec<String> = (0..9).map(|number| format!("s-{number}")).collect();
    let warm = names
        .iter()
        .map(|name| (name.as_str(), working("warm", &log)));
    let backends: Vec<_> = warm.collect();
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        without_health_checks(config);
        // Too many for one attempt of each to fit: none is sent just because none is out.
        config["settings"]["balancers"] = 8.into();
        config["settings"]["contract"]["cold-from"] = 0.05.into();
        config["settings"]["contract"]["cold-ns"] = 20e9.into();
    });
    daemon.fill_retry_budget();
    let mut lines: Vec<_> = backends
        .iter()
        .map(|(uid, at)| endpoint_entry(uid, *at, "Ready"))
        .collect();
    lines.push(started("s-new", working("new", &log), seconds_ago));
    daemon.discovery.publish_and_wait(&lines);
    let send = |client: usize| {
        let mut connection = daemon.client();
        for number in 0..RPCS_OF_A_CLIENT {
            let id = format!("c{client}-{number}");
            assert_eq!(connection.status_of(&rpc("GET", "/read", &id, "")), 200);
        }
    };
    let send = &send;
    scope(|scope| (0..CLIENTS).for_each(|client| drop(scope.spawn(move || send(client)))));
    log.count("new got")
}

/// A backend that has just come starts slowly, however long ago its own clock says that it started.
#[test]
fn a_new_backend_starts_slowly_whatever_its_clock_says() {
    let usual = first_rpcs_of_a_new_backend(1.0);
    for seconds_ago in [HOUR, -HOUR] {
        let sent = first_rpcs_of_a_new_backend(seconds_ago);
        assert!(
            sent <= usual + 3,
            "{seconds_ago}: {sent} where {usual} are usual"
        );
    }
}
