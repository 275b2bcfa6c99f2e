//! The list as it is followed: silence, broken answers, older news, moves, and an agent to which lists are pushed. Stand-ins
//! that answer by a script force what crosses; what went out to them is seen by their notes.
#[path = "../../../tests/common/mod.rs"]
mod common;
use birchhub_audit::Event;
use birchhub_rehearsal::{Options, Plan, Scenario, rehearse};
use common::sockets::{
    Act, Daemon, Log, Message, PATIENCE, Shared, Slow, backend, blind, config, echo, eventually,
    line, reply, rpc,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

fn told(version: u64, all: bool, lines: &[Value]) -> Act {
    Act::Write(reply(
        "200 OK",
        &json!({"rev": version, "all": all, "targets": lines}).to_string(),
    ))
}

/// A list service whose answer to each call is a script's, by the call's number. Notes `list got FIRST-LINE `.
fn scripted(
    log: &Log,
    answer: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let calls = AtomicUsize::new(0);
    backend("list", log, move |call| {
        answer(calls.fetch_add(1, Ordering::SeqCst), call)
    })
}

fn is_whole(call: &Message) -> bool {
    !call.first.contains("from=")
}

/// Follows this list service from now on.
fn move_to(daemon: &Daemon, at: SocketAddr, change: impl FnOnce(&mut Value)) {
    let mut config = config(daemon.at, at, &[]);
    change(&mut config);
    daemon.reload(&config.to_string());
}

/// Whatever comes now goes to the backend that answers as `b2`.
fn goes_to_the_new_one(daemon: &Daemon) {
    for n in 0..10 {
        assert_eq!(
            daemon
                .client()
                .call(&rpc("POST", "/book", &format!("n{n}"), ""))
                .unwrap()
                .text(),
            "b2:"
        );
    }
}

/// An older list does not undo a newer one: the whole list is asked for, and that counts.
#[test]
fn an_older_list_undoes_nothing() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], blind);
    let (gone, here) = (line("s-1", old, "Ready"), line("s-2", new, "Ready"));
    let at = scripted(&log, move |_, call| match call.first.as_str() {
        first if first.contains("from=9&") => told(3, true, std::slice::from_ref(&gone)),
        _ if is_whole(call) => told(9, true, std::slice::from_ref(&here)),
        _ => Act::Hang,
    });
    move_to(&daemon, at, |_| {});
    let asked = |events: &Vec<String>| {
        events
            .iter()
            .filter(|e| e.contains("list got") && !e.contains("from="))
            .count()
    };
    assert!(
        log.wait(PATIENCE, |events| asked(events) == 2),
        "the whole list was not asked for again: {:?}",
        log.all()
    );
    assert_eq!(log.count("from=3&"), 0, "the older list was taken over");
    goes_to_the_new_one(&daemon);
}

/// What is told in an answer that breaks off counts as told: the next call goes out at once and does not wait.
fn broken_off(broken: impl Fn(Vec<u8>) -> Act + Send + Sync + 'static) {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], blind);
    let lines = move |state: &str| [line("s-1", old, state), line("s-2", new, "Ready")];
    let at = scripted(&log, move |number, call| match number {
        0 => told(1, true, &lines("Ready")),
        1 => match told(2, false, &lines("Terminating")) {
            Act::Write(bytes) => broken(bytes),
            other => other,
        },
        _ if call.first.contains("from=1&hold_ms=0 ") => told(2, false, &lines("Terminating")),
        _ => Act::Hang,
    });
    move_to(&daemon, at, |_| {});
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
    goes_to_the_new_one(&daemon);
}

#[test]
fn an_answer_cut_between_head_and_end_is_asked_for_again_at_once() {
    broken_off(|bytes| Act::Cut(bytes[..bytes.len() - 20].to_vec()));
}

#[test]
fn an_answer_that_is_no_list_is_asked_for_again_at_once() {
    broken_off(|_| {
        Act::Write(reply(
            "200 OK",
            "{\"rev\": 2, \"all\": false, \"targets\": [{",
        ))
    });
}

/// The call after silence shows at once what there is, on another connection, and the next one waits again.
#[test]
fn the_call_after_silence_does_not_wait() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], blind);
    let here = line("s-1", at, "Ready");
    let list = scripted(&log, move |number, _| match number {
        0 | 2 => told(1, true, std::slice::from_ref(&here)),
        _ => Act::Hang,
    });
    move_to(&daemon, list, |_| {});
    log.await_event("list got GET /registry/instances?from=1&hold_ms=3500 HTTP/1.1 ");
    log.await_event("list closed ");
    log.await_event("list got GET /registry/instances?from=1&hold_ms=0 HTTP/1.1 ");
    let waits =
        |events: &Vec<String>| events.iter().filter(|e| e.contains("hold_ms=3500")).count() == 2;
    assert!(log.wait(PATIENCE, waits), "{:?}", log.all());
}

/// A connection to it that is swallowed is given up long before the call that it is for.
#[test]
fn a_swallowed_connection_costs_no_call() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], blind);
    let slow = Slow::start();
    move_to(&daemon, slow.at, |_| {});
    // Three connections of 0.75 s; by the call's own time it would be 6 s.
    eventually(
        Duration::from_secs(4),
        "the call was held to its end",
        || {
            sleep(Duration::from_millis(20));
            daemon
                .logged()
                .contains("list call failed: no answer in time")
        },
    );
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "id", ""))
            .unwrap()
            .text(),
        "b1:"
    );
}

/// What discovery has to tell counts as told after this, whatever the calls before met.
const TOLD: Duration = Duration::from_secs(6);

/// The longest of what deployments give for asking: no pause may follow from it.
fn asks_seldom(config: &mut Value) {
    blind(config);
    config["settings"]["contract"]["ask-within-ns"] = 20e9.into();
}

/// A lone proxy meets these faults in a row, after a first answer if the list is not to be `whole`; the last call
/// is answered. How long that took from the first of them on.
fn told_after(whole: bool, faults: Vec<fn() -> Act>) -> (Duration, Vec<String>) {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], asks_seldom);
    let times = Shared::new(vec![]);
    let (noted, first) = (times.clone(), usize::from(!whole));
    let here = line("s-1", old, "Ready");
    let drained = [line("s-1", old, "Terminating"), line("s-2", new, "Ready")];
    let at = scripted(&log, move |number, _| {
        noted.change(|times| times.push(Instant::now()));
        match number.checked_sub(first).map(|fault| faults.get(fault)) {
            None => told(1, true, std::slice::from_ref(&here)),
            Some(Some(fault)) => fault(),
            Some(None) => told(2, true, &drained),
        }
    });
    move_to(&daemon, at, asks_seldom);
    let long = PATIENCE * 2; // without the mend it takes this long or longer
    log.wait(long, |events| {
        events
            .iter()
            .any(|e| e.contains("list got") && e.contains("from=2&"))
    });
    goes_to_the_new_one(&daemon);
    let calls = log
        .all()
        .into_iter()
        .filter(|e| e.starts_with("list got"))
        .collect();
    let times = times.change(|times| times.clone());
    (times[times.len() - 2] - times[first], calls)
}

/// A watch falls silent, and the call after it on another connection too.
#[test]
fn two_silences_in_a_row_leave_time_to_be_told() {
    let (took, calls) = told_after(false, vec![|| Act::Hang, || Act::Hang]);
    assert!(took < TOLD, "{took:?}: {calls:?}");
}

/// The whole list of a service that was moved to is silent, and once more.
#[test]
fn two_silent_whole_lists_leave_time_to_be_told() {
    let (took, calls) = told_after(true, vec![|| Act::Hang, || Act::Hang]);
    assert!(took < TOLD, "{took:?}: {calls:?}");
}

/// After silence in a row, also beyond a pause, calls show at once what there is: a watch would be given up late.
#[test]
fn no_call_waits_before_silence_is_over() {
    let (_, calls) = told_after(
        false,
        vec![|| Act::Hang, || Act::Hang, || Act::Hang, || Act::Hang],
    );
    assert!(
        calls[2..6]
            .iter()
            .all(|call| call.contains("from=1&hold_ms=0 ")),
        "{calls:?}"
    );
}

/// A crowded service refuses call after call, and says nothing to one: pauses do not grow with what the deployment
/// gives for asking.
#[test]
fn refusals_in_a_row_lengthen_no_pause() {
    let refused = || Act::Write(reply("503 Service Unavailable", ""));
    // Each pause 1 s at the most, 0.5 s in the mean; they once took 10 s each.
    let (took, calls) = told_after(false, vec![refused; 10]);
    assert!(took < Duration::from_secs(10), "{took:?}: {calls:?}");
}

/// Broken answers, older ones and refusals, each followed by another: the pauses between leave time to be told.
#[test]
fn faults_that_answer_leave_time_to_be_told() {
    let broken = || {
        Act::Write(reply(
            "200 OK",
            "{\"rev\": 2, \"all\": false, \"targets\": [{",
        ))
    };
    let refused = || Act::Write(reply("503 Service Unavailable", ""));
    let (took, calls) = told_after(
        false,
        vec![broken, broken, refused, || told(0, true, &[]), refused],
    );
    assert!(took < TOLD, "{took:?}: {calls:?}");
}

/// Changes that come in one turn with an RPC: whatever was picked by then is withdrawn if nothing of it was sent.
#[test]
fn a_drain_that_comes_with_rpcs_holds_for_them() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], blind);
    daemon.earn_credit();
    let version = daemon.list.tell_heard(&[line("s-1", old, "Ready")]);
    let mut clients: Vec<_> = (0..50).map(|_| daemon.client()).collect();
    daemon.signal("STOP");
    daemon
        .list
        .tell(&[line("s-1", old, "Terminating"), line("s-2", new, "Ready")]);
    assert!(
        daemon.list.told.wait(PATIENCE, |told| *told == version + 1),
        "no watch was open"
    );
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
    }
    daemon.signal("CONT");
    assert!(
        clients
            .iter_mut()
            .all(|client| client.answer().is_some_and(|answer| answer.status() == 200))
    );
    // They may be read before the list is, but not past the drain's grace.
    let mut later = daemon.client();
    eventually(PATIENCE, "the list was never heard", || {
        later
            .call(&rpc("POST", "/book", "later", ""))
            .unwrap()
            .text()
            == "b2:"
    });
    let sent = log.count("b1 got");
    for n in 0..20 {
        assert_eq!(
            later
                .call(&rpc("POST", "/book", &format!("m{n}"), ""))
                .unwrap()
                .text(),
            "b2:"
        );
    }
    assert_eq!(log.count("b1 got"), sent);
}

/// A line whose address can't be read is a backend that takes nothing new, and not one that goes on where it was.
#[test]
fn a_line_that_makes_no_sense_takes_its_backend_out() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], blind);
    let mut bad = line("s-1", old, "Ready");
    bad["endpoint"] = "nowhere".into();
    let first = [line("s-1", old, "Ready")];
    let then = [bad, line("s-2", new, "Ready")];
    let at = scripted(&log, move |number, _| match number {
        0 => told(1, true, &first),
        1 => told(2, false, &then),
        _ => Act::Hang,
    });
    move_to(&daemon, at, |_| {});
    log.await_event("list got GET /registry/instances?from=2&hold_ms=3500 HTTP/1.1 ");
    goes_to_the_new_one(&daemon);
}

/// The list service moves while an answer of the old one is half there: nothing of that is taken over.
#[test]
fn a_move_drops_what_is_half_read() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], blind);
    let stale = line("s-1", old, "Ready");
    let first = scripted(&log, move |number, _| {
        match (number, told(7, true, std::slice::from_ref(&stale))) {
            (0, whole) => whole,
            // The rest comes once the new service was asked.
            (_, Act::Write(bytes)) => {
                let (half, rest) = bytes.split_at(bytes.len() - 9);
                Act::Late(
                    half.to_vec(),
                    Log::new(vec![]),
                    "never".to_owned(),
                    rest.to_vec(),
                )
            }
            (_, other) => other,
        }
    });
    move_to(&daemon, first, |_| {});
    log.await_event("list got GET /registry/instances?from=7&hold_ms=3500 HTTP/1.1 ");
    let here = line("s-2", new, "Ready");
    let second = scripted(&log, move |number, _| match number {
        0 => told(1, true, std::slice::from_ref(&here)),
        _ => Act::Hang,
    });
    move_to(&daemon, second, |_| {});
    log.await_event("list got GET /registry/instances?from=1&hold_ms=3500 HTTP/1.1 ");
    goes_to_the_new_one(&daemon);
}

/// Lists are pushed.
fn pushed(config: &mut Value) {
    config["settings"]["membership-mode"] = "pushed".into();
    blind(config);
}

/// What the agent has counts as told from the first moment of a process, whatever list that was started with.
#[test]
fn a_new_process_begins_with_what_the_agent_has() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let mut daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], pushed);
    daemon
        .list
        .tell_heard(&[line("s-1", old, "Terminating"), line("s-2", new, "Ready")]);
    // It is started again with the list that it was started with first.
    daemon.restart(PROGRAM);
    goes_to_the_new_one(&daemon);
    assert_eq!(log.count("b1 got"), 0);
}

/// An agent that says nothing learns nothing: the process starts all the same, with the list that it was handed.
#[test]
fn a_new_process_does_not_wait_for_a_silent_agent() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let silent = scripted(&log, |_, _| Act::Hang);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], |config| {
        pushed(config);
        config["discovery"] = silent.to_string().into();
    });
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "id", ""))
            .unwrap()
            .text(),
        "b1:"
    );
}

/// While the agent is down calls go on, closer together than any drain's grace: what it gets counts at once.
#[test]
fn an_agent_that_is_back_is_heard_at_once() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], pushed);
    daemon.list.tell_text(None);
    let calls = |daemon: &Daemon| daemon.list.calls.change(|calls| *calls);
    let before = calls(&daemon);
    // By the pauses of a list that is asked for, so many calls would take over a minute.
    assert!(
        daemon
            .list
            .calls
            .wait(PATIENCE, |calls| *calls >= before + 50),
        "{} calls",
        calls(&daemon) - before
    );
    daemon
        .list
        .tell_heard(&[line("s-1", old, "Terminating"), line("s-2", new, "Ready")]);
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "id", ""))
            .unwrap()
            .text(),
        "b2:"
    );
    let warnings = daemon.logged().matches("list call failed").count();
    assert!(warnings <= 3, "{warnings} lines of one outage");
}

/// An agent that is slower than usual is heard out all the same.
#[test]
fn a_slow_agent_is_heard_out() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let lines = [line("s-1", old, "Terminating"), line("s-2", new, "Ready")];
    let list = scripted(&log, move |_, call| {
        // Longer than the first calls wait, and than the first of a whole list.
        sleep(Duration::from_millis(
            if call.first.contains("hold_ms=2000") {
                3000
            } else {
                450
            },
        ));
        told(2, true, &lines)
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], |config| {
        pushed(config);
        config["discovery"] = list.to_string().into();
    });
    log.await_event("list got GET /registry/instances?from=2&hold_ms=2000 HTTP/1.1 ");
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "id", ""))
            .unwrap()
            .text(),
        "b2:"
    );
}

/// A watch of a pushed list that falls silent is opened anew.
#[test]
fn a_silent_watch_of_a_pushed_list_is_opened_anew() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let drained = [line("s-1", old, "Terminating"), line("s-2", new, "Ready")];
    let here = line("s-1", old, "Ready");
    let hung = Shared::new(0);
    let counted = hung.clone();
    let list = scripted(&log, move |_, call| match call.first.as_str() {
        first if first.contains("from=0&hold_ms=0 ") && counted.change(|n| *n) > 0 => {
            told(2, true, &drained)
        }
        first if first.contains("from=0&hold_ms=0 ") => told(0, false, std::slice::from_ref(&here)),
        first if first.contains("from=0&") => {
            counted.change(|n| *n += 1);
            Act::Hang
        }
        _ => Act::Hang,
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", old)], |config| {
        pushed(config);
        config["discovery"] = list.to_string().into();
    });
    log.await_event("list got GET /registry/instances?from=2&hold_ms=2000 HTTP/1.1 ");
    assert_eq!(hung.change(|n| *n), 1);
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "id", ""))
            .unwrap()
            .text(),
        "b2:"
    );
}

/// An outage of the list service into a release, and then twelve callers of a service that works on one call at a time,
/// 0.1 s each, and refuses the rest.
const CROWD: &str = r#"
name = "crowd"
about = "Many callers of a service that takes few."
length = "18s"
[rules]
ask-within = "20s"
[fleet]
zones = ["a"]
[[fleet.machine]]
name = "m"
count = 8
[list]
calls = 1
call-takes = "100ms"
[[method]]
name = "read"
kind = "idempotent"
work = "1ms"
target = "250ms"
deadline = "800ms"
[proxies]
count = 12
[traffic]
rate = 20
[[trouble]]
name = "down"
kind = "list-down"
at = "2s"
for = "8s"
[[trouble]]
name = "release"
kind = "deploy"
at = "9s"
batch = 4
every = "5s"
stop-after = "1s"
nodes = { share = 0.5 }
"#;

#[test]
fn each_of_a_crowd_is_told_in_time_after_an_outage() {
    let scenario = Scenario::read("crowd", CROWD).expect("a scenario");
    let plan = Plan::draw(&scenario, 5, "crowd", CROWD).expect("a plan");
    let out = std::env::temp_dir().join(format!("birchhubd-crowd-{}", std::process::id()));
    let options = Options {
        seed: 5,
        out: out.clone(),
        program: PROGRAM.into(),
        progress: false,
    };
    rehearse(&scenario, &plan, &options).expect("a report");
    let (_, entries) = birchhub_rehearsal::run::open(&out.join("ledger")).expect("a ledger");
    let _ = std::fs::remove_dir_all(out);
    let back = 10.0; // s, from when on the service can be reached
    let drains = entries.iter().filter_map(|entry| match entry.event {
        Event::Changed { node, .. } if (2.0..back).contains(&entry.at) => Some((node, entry.at)),
        _ => None,
    });
    let drains: Vec<_> = drains.collect();
    assert_eq!(drains.len(), 4, "drains in the outage");
    for proxy in 0..12 {
        for (drained, at) in &drains {
            // Whatever was told of it later held this, or what is newer.
            let told = entries.iter().find(|entry| {
                entry.at > *at && matches!(entry.event, Event::Told { proxy: to, node, .. } if to == proxy && node == *drained)
            });
            let told = told.map_or(f64::INFINITY, |entry| entry.at - back);
            assert!(
                told < TOLD.as_secs_f64(),
                "proxy {proxy} was told of node {drained} {told:.1} s after the outage"
            );
        }
    }
}
