//! Measures the time and processor cost of a reload with the planned numbers of methods and tenants, in an ignored test.
use crate::common::sockets::{Client, Daemon, EVENT_TIMEOUT, Log, Shared, echo, eventually};
use crate::load::SetOnDrop;
use crate::proxy::{Proxy, call, method, methods};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const METHODS: usize = 2_200;
const TENANTS: usize = 54_000;
const RELOADS: usize = 200;
/// Longest permitted time until a change is active.
const MAX_RELOAD_TIME: Duration = Duration::from_secs(8);

/// Returns the processor time that a process has used, in seconds.
fn processor_time(daemon: &Daemon) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let path = format!("/proc/{}/stat", daemon.child.id());
    let text = std::fs::read_to_string(path).expect("the statistics of the process");
    let fields = text
        .rsplit(") ")
        .next()
        .expect("fields after the command name");
    let fields: Vec<_> = fields.split(' ').collect();
    let ticks = |n: usize| fields[n].parse::<f64>().expect("a number of ticks");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the processor time that an idle process uses, in seconds per second.
fn idle_load(daemon: &Daemon) -> f64 {
    let before = processor_time(daemon);
    let started = Instant::now();
    std::thread::sleep(Duration::from_secs(5));
    (processor_time(daemon) - before) / started.elapsed().as_secs_f64()
}

/// Calls a method until the flag is set, and returns the duration of each call.
fn call_until(address: SocketAddr, stop: &Shared<bool>) -> Vec<Duration> {
    let mut client = Client::open(address).expect("a connection");
    let mut durations = Vec::new();
    while !stop.change(|stop| *stop) {
        let started = Instant::now();
        let status = call(
            &mut client,
            "POST",
            "book",
            &format!("l{}", durations.len()),
        );
        assert_eq!(status, 200);
        durations.push(started.elapsed());
        std::thread::sleep(Duration::from_millis(1));
    }
    durations
}

/// Changes a quota and replaces a method, and returns the time until the change is active.
fn reload(proxy: &mut Proxy, n: usize) -> Duration {
    let settings = &mut proxy.config["settings"];
    settings["accounts"][n * 7]["quota-per-s"] = (1_000 + n).into();
    methods(settings).retain(|m| m["name"] != format!("new-{}", n - 1));
    methods(settings).push(method(&format!("new-{n}"), "non_idempotent"));
    let text = proxy.config.to_string();
    let started = Instant::now();
    proxy.daemon.reload(&text);
    eventually(EVENT_TIMEOUT, "the change did not become active", || {
        std::thread::sleep(Duration::from_millis(1));
        proxy.is_active_version(n)
    });
    let duration = started.elapsed();
    let new = format!("new-{n}");
    assert_eq!(proxy.call("POST", &new, &new), 200);
    if [1, 2, 5, 10, 50, 100, 150, 200].contains(&n) {
        println!(
            "after reload {n}: {} KiB resident",
            proxy.daemon.memory() >> 10
        );
    }
    duration
}

/// Reloads [`RELOADS`] times, prints the processor time of a reload, and returns the duration of each reload.
fn reload_often(proxy: &mut Proxy) -> Vec<Duration> {
    let idle = idle_load(&proxy.daemon);
    println!(
        "{:.1} ms of processor time per second without reloads",
        idle * 1e3
    );
    let before = processor_time(&proxy.daemon);
    let started = Instant::now();
    let durations = (1..=RELOADS).map(|n| reload(proxy, n)).collect();
    let used = processor_time(&proxy.daemon) - before;
    let for_reloads = used - idle * started.elapsed().as_secs_f64();
    println!(
        "{:.1} ms of processor time per reload",
        for_reloads / RELOADS as f64 * 1e3
    );
    durations
}

fn start(log: &Log) -> Proxy {
    let proxy = Proxy::start(&[("s-1", echo("b1", log))], |config| {
        let settings = &mut config["settings"];
        methods(settings)
            .extend((0..METHODS).map(|n| method(&format!("route-{n}"), "non_idempotent")));
        let account = |n| json!({"name": format!("tenant-{n}"), "quota-per-s": 10 + n % 90});
        settings["accounts"] = (0..TENANTS).map(account).collect();
    });
    println!(
        "{} bytes of configuration; {} KiB resident at the start",
        proxy.config.to_string().len(),
        proxy.daemon.memory() >> 10
    );
    proxy
}

#[test]
#[ignore = "a measurement that takes a minute; run with --nocapture"]
fn reload_at_the_planned_size() {
    let log = Log::new(vec![]);
    let mut proxy = start(&log);
    let stop = Shared::new(false);
    let address = proxy.daemon.address;
    let (mut reloads, mut calls) = std::thread::scope(|threads| {
        let calls = threads.spawn(|| call_until(address, &stop));
        let guard = SetOnDrop(stop.clone());
        let reloads = reload_often(&mut proxy);
        drop(guard);
        (
            reloads,
            calls.join().expect("the client thread does not panic"),
        )
    });
    reloads.sort();
    calls.sort();
    let median = reloads[RELOADS / 2];
    let longest = reloads[RELOADS - 1];
    println!("time from SIGHUP until active: median {median:.1?}, maximum {longest:.1?}");
    let quantile = |fraction: f64| calls[((calls.len() - 1) as f64 * fraction) as usize];
    println!(
        "{} RPCs during the reloads: median {:.2?}, 99th percentile {:.2?}, maximum {:.2?}",
        calls.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    let logged = proxy.daemon.logged();
    let mut lines = logged.lines();
    let last = lines.rfind(|line| line.contains("in force after"));
    println!("{}", last.expect("a log line of a reload"));
    assert!(longest < MAX_RELOAD_TIME);
}
