//! Starts birchhubd and speaks to it over loopback sockets.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Client, Daemon, HEALTH, List, Log, Message, PATIENCE, Shared, Slow, backend, blind,
    config, echo, eventually, free, gated, line, reply, rpc,
};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Method name and verb of each kind: idempotent, non-idempotent, deduplicated.
const KINDS: [(&str, &str); 3] = [("read", "GET"), ("book", "POST"), ("log", "POST")];

#[test]
fn an_rpc_of_each_kind_goes_through_unchanged() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut client = daemon.client();
    for (n, (method, verb)) in KINDS.iter().enumerate() {
        let body = if *verb == "POST" { "x\0y" } else { "" };
        let answer = client.call(&rpc(
            verb,
            &format!("/{method}/7?a=%20b"),
            &format!("id{n}"),
            body,
        ));
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.text()),
            (200, format!("b1:{body}"))
        );
        log.await_event(&format!("b1 got {verb} /{method}/7?a=%20b HTTP/1.1 id{n}"));
    }
}

#[test]
fn the_headers_a_backend_needs_go_on() {
    let log = Log::new(vec![]);
    let noted = log.clone();
    let at = backend("b1", &log, move |m| {
        noted.note(format!(
            "{} {}",
            m.header("idempotency-key"),
            m.header("request-timeout-ms").len()
        ));
        Act::Write(reply("200 OK", ""))
    });
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/log", "id", "b"))
            .unwrap()
            .status(),
        200
    );
    log.await_event("k1 4");
}

/// Rule 2: what may have run is sent again only where its method allows.
#[test]
fn a_reset_is_sent_again_only_where_it_may() {
    let log = Log::new(vec![]);
    let first = Shared::new(true);
    let bad = |name| {
        let first = first.clone();
        backend(name, &log, move |m| {
            let cut = m.header("request-id").starts_with("cut") && first.change(std::mem::take);
            if cut {
                Act::Cut(vec![])
            } else {
                Act::Write(reply("200 OK", name))
            }
        })
    };
    let daemon = Daemon::start(PROGRAM, &[("s-1", bad("b1")), ("s-2", bad("b2"))]);
    daemon.earn_credit();
    let mut client = daemon.client();
    for ((method, verb), (status, sent)) in KINDS.iter().zip([(200, 2), (502, 1), (200, 2)]) {
        first.change(|f| *f = true);
        let id = format!("cut-{method}");
        assert_eq!(
            client
                .call(&rpc(verb, &format!("/{method}"), &id, ""))
                .unwrap()
                .status(),
            status,
            "{method}"
        );
        assert_eq!(log.count(&id), sent, "{method}");
        daemon.earn_credit();
    }
}

/// A pick that found no connection never ran: even what must not run twice goes elsewhere.
#[test]
fn what_found_no_connection_goes_elsewhere() {
    let log = Log::new(vec![]);
    let good = echo("b1", &log);
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", good)], blind);
    daemon.earn_credit();
    let dead = [line("s-2", free(), "Ready"), line("s-3", free(), "Ready")];
    daemon
        .list
        .tell_heard(&[&dead[..], &[line("s-1", good, "Ready")]].concat());
    let mut client = daemon.client();
    for n in 0..20 {
        assert_eq!(
            client
                .call(&rpc("POST", "/book", &format!("n{n}"), ""))
                .unwrap()
                .status(),
            200
        );
    }
    assert_eq!(log.count(" /book "), 20);
}

/// A kept connection that the backend closed is noticed and given back, not written to.
#[test]
fn closed_connections_are_given_back() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |_| Act::Cut(reply("200 OK", "last")));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], blind);
    daemon.list.tell_heard(&[line("s-1", at, "Ready")]);
    let mut client = daemon.client();
    assert_eq!(client.call(HEALTH).unwrap().status(), 200);
    let before = daemon.descriptors();
    for n in 0..5 {
        assert_eq!(
            client
                .call(&rpc("POST", "/book", &format!("n{n}"), ""))
                .unwrap()
                .status(),
            200
        );
        let given_back = || daemon.descriptors() <= before;
        eventually(
            Duration::from_secs(5),
            "the closed connection is still held",
            given_back,
        );
    }
}

/// A path that forgets connections sooner than the settings say is learnt of by one loss, not one each time.
#[test]
fn connections_that_are_lost_while_idle_are_kept_for_less() {
    let log = Log::new(vec![]);
    let last = Shared::new(Instant::now());
    let at = backend("b1", &log, move |m| {
        let idle = last.change(|last| std::mem::replace(last, Instant::now()).elapsed());
        let lost = m.before > 0 && idle > Duration::from_millis(150);
        if lost {
            Act::Cut(vec![])
        } else {
            Act::Write(reply("200 OK", ""))
        }
    });
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], blind);
    let mut client = daemon.client();
    let mut lost = 0;
    for n in 0..6 {
        lost += usize::from(
            client
                .call(&rpc("POST", "/book", &format!("n{n}"), ""))
                .unwrap()
                .status()
                != 200,
        );
        std::thread::sleep(Duration::from_millis(250));
    }
    assert_eq!(lost, 1);
}

#[test]
fn malformed_answers_of_a_backend_are_outcomes() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |m| match m.header("request-id") {
        "garbage" => Act::Write(b"what?\r\n\r\n".to_vec()),
        "half" => Act::Cut(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        "error" => Act::Write(reply("500 No", "")),
        "refuses" => Act::Write(reply("503 No", "")),
        _ => Act::Write(reply("200 OK", &"x".repeat(64 << 10))),
    });
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let mut client = daemon.client();
    for id in ["garbage", "half", "error", "refuses"] {
        // Only the module's word makes a 429 or 503, and it may not push back what may have run.
        assert_eq!(
            client.call(&rpc("POST", "/book", id, "")).unwrap().status(),
            502,
            "{id}"
        );
    }
    assert_eq!(
        client
            .call(&rpc("POST", "/book", "good", ""))
            .unwrap()
            .body
            .len(),
        64 << 10
    );
}

#[test]
fn what_never_started_is_pushed_back() {
    let log = Log::new(vec![]);
    let full = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    let daemon = Daemon::start(
        PROGRAM,
        &[("s-1", backend("b1", &log, |_| Act::Write(full.to_vec())))],
    );
    assert_eq!(
        daemon
            .client()
            .call(&rpc("POST", "/book", "id", ""))
            .unwrap()
            .status(),
        503
    );
}

/// A pick that is given up ends its connection, and its RPC is answered before the client's patience ends.
#[test]
fn a_timed_out_pick_closes_its_socket() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", backend("b1", &log, |_| Act::Hang))]);
    let mut client = daemon.client();
    let message = rpc("POST", "/book", "slow", "").replace("3000", "400");
    assert_eq!(client.call(&message).unwrap().status(), 502);
    log.await_event("b1 closed slow");
    assert_eq!(
        client.call(HEALTH).unwrap().status(),
        200,
        "the client stays"
    );
}

#[test]
fn a_hang_up_ends_the_pick() {
    let log = Log::new(vec![]);
    // The pick would be waited for longer than the test waits.
    let long =
        |config: &mut Value| config["settings"]["methods"][0]["latency-target-ns"] = 60e9.into();
    let daemon = Daemon::start_with(
        PROGRAM,
        &[("s-1", backend("b1", &log, |_| Act::Hang))],
        long,
    );
    let mut client = daemon.client();
    client.send(&rpc("GET", "/read", "gone", "").replace("3000", "60000"));
    log.await_event("b1 got GET /read HTTP/1.1 gone");
    drop(client);
    log.await_event("b1 closed gone");
}

/// Rule 3: a slow connect must not carry a send past the grace.
#[test]
fn a_drain_withdraws_a_pick_that_waits_for_its_connection() {
    let log = Log::new(vec![]);
    let (good, slow) = (echo("b1", &log), Slow::start());
    // The connection would be waited for longer than the test waits.
    let long = |config: &mut Value| {
        config["settings"]["methods"][1]["latency-target-ns"] = 60e9.into();
        config["settings"]["ceilings"]["connect-timeout-ns"] = 60e9.into();
        blind(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", good)], long);
    daemon.earn_credit();
    daemon.list.tell_heard(&[
        line("s-1", good, "Terminating"),
        line("s-2", slow.at, "Ready"),
    ]);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "waits", "").replace("3000", "60000"));
    std::thread::sleep(Duration::from_millis(300)); // the pick is on its way, or the RPC goes the easy way
    assert_eq!(
        log.count("waits"),
        0,
        "the draining backend gets nothing new"
    );
    daemon.list.tell(&[
        line("s-1", good, "Ready"),
        line("s-2", slow.at, "Terminating"),
    ]);
    assert_eq!(client.answer().unwrap().text(), "b1:");
}

/// A backend that moved gets nothing at its old address, also not on a connection that was out meanwhile.
#[test]
fn a_moved_backend_is_followed() {
    let log = Log::new(vec![]);
    let (old, gate) = gated("b1", &log, "old");
    let daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut client = daemon.client();
    client.send(&rpc("POST", "/book", "before", ""));
    log.await_event("b1 got POST /book HTTP/1.1 before");
    daemon
        .list
        .tell_heard(&[line("s-1", echo("b2", &log), "Ready")]);
    gate.change(|open| *open = true);
    assert_eq!(client.answer().unwrap().text(), "old");
    assert_eq!(
        client
            .call(&rpc("POST", "/book", "after", ""))
            .unwrap()
            .text(),
        "b2:"
    );
    daemon
        .list
        .tell_heard(&[line("s-1", echo("b3", &log), "Ready")]);
    assert_eq!(
        client
            .call(&rpc("POST", "/book", "idle", ""))
            .unwrap()
            .text(),
        "b3:"
    );
}

#[test]
fn a_killed_proxy_starts_again_at_its_address() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut client = daemon.client();
    assert_eq!(
        client
            .call(&rpc("GET", "/read", "first", ""))
            .unwrap()
            .status(),
        200
    );
    daemon.restart(PROGRAM);
    assert!(client.is_closed());
    assert_eq!(
        daemon
            .client()
            .call(&rpc("GET", "/read", "again", ""))
            .unwrap()
            .status(),
        200
    );
}

#[test]
fn sigterm_serves_what_is_held_and_what_still_comes() {
    let log = Log::new(vec![]);
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend("b1", &log, move |m| {
        if m.header("request-id") == "held" {
            open.wait(PATIENCE, |open| *open);
        }
        Act::Write(reply("200 OK", "done"))
    });
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let (mut held, mut half, mut idle) = (daemon.client(), daemon.client(), daemon.client());
    held.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let message = rpc("POST", "/book", "half", "body");
    half.send(&message[..message.len() - 2]);
    // A connection answered later than the other two were opened: the half RPC is known by then.
    assert_eq!(daemon.client().call(HEALTH).unwrap().status(), 200);
    daemon.signal("TERM");
    daemon.await_ready(503); // on a new connection
    half.send(&message[message.len() - 2..]);
    let answer = half.answer().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(idle.is_closed());
    gate.change(|open| *open = true);
    let answer = held.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
    assert!(daemon.await_end().success());
}

/// SIGHUP: the list is followed elsewhere, from its beginning, and nothing that is under way is lost.
#[test]
fn sighup_moves_to_another_discovery() {
    let log = Log::new(vec![]);
    let (old, gate) = gated("b1", &log, "old");
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut held = daemon.client();
    held.send(&rpc("POST", "/book", "held", ""));
    log.await_event("b1 got POST /book HTTP/1.1 held");
    let mut client = daemon.client();
    let mut ask = |n: &str| client.call(&rpc("GET", "/read", n, "")).unwrap().text();
    // Each service has come to the version at which the one before was: only a call for all is answered.
    let mut now = line("s-1", old, "Ready");
    for name in ["b2", "b3"] {
        let version = daemon.list.tell_heard(std::slice::from_ref(&now));
        let next = List::start();
        (1..version).for_each(|_| next.tell(&[]));
        now = line("s-2", echo(name, &log), "Ready");
        next.tell(std::slice::from_ref(&now));
        daemon.reload(&config(daemon.at, next.at, &[]).to_string());
        eventually(PATIENCE, "the new list was never heard", || {
            ask(name) == format!("{name}:")
        });
        daemon.list.tell(&[line("s-1", old, "Ready")]); // nobody listens there any more
        daemon.list = next;
    }
    for text in ["", "{\"listen\":", "{}"] {
        daemon.reload(text);
        assert_eq!(ask("kept"), "b3:");
    }
    gate.change(|open| *open = true);
    assert_eq!(held.answer().expect("an answer").text(), "old");
    daemon.signal("TERM");
    daemon.await_ready(503);
    daemon.reload("{}");
    assert!(daemon.await_end().success());
}

/// Time for which this process stood still is not taken for its backends'.
#[test]
fn a_stop_of_the_proxy_is_not_blamed_on_backends() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |_| {
        std::thread::sleep(Duration::from_millis(30));
        Act::Write(reply("200 OK", "done"))
    });
    let tight = |config: &mut Value| {
        config["settings"]["methods"][0]["latency-target-ns"] = 200e6.into();
        blind(config);
    };
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], tight);
    let mut client = daemon.client();
    assert_eq!(
        client
            .call(&rpc("GET", "/read", "before", ""))
            .unwrap()
            .status(),
        200
    );
    client.send(&rpc("GET", "/read", "stopped", ""));
    log.await_event("b1 got GET /read HTTP/1.1 stopped");
    daemon.signal("STOP");
    std::thread::sleep(Duration::from_millis(600));
    daemon.signal("CONT");
    client.answer().expect("an answer, whatever it is");
    assert_eq!(
        client
            .call(&rpc("GET", "/read", "after", ""))
            .unwrap()
            .status(),
        200
    );
}

/// A stop while a wake-up falls due loses none: what waits is answered, not left until its deadline.
#[test]
fn a_stop_of_the_proxy_loses_no_wake_up() {
    let tight =
        |config: &mut Value| config["settings"]["methods"][0]["latency-target-ns"] = 200e6.into();
    let daemon = Daemon::start_with(PROGRAM, &[], tight);
    let mut client = daemon.client();
    for n in 0..5 {
        client.send(&rpc("GET", "/read", &format!("n{n}"), ""));
        std::thread::sleep(Duration::from_millis(5));
        daemon.signal("STOP");
        std::thread::sleep(Duration::from_millis(100));
        daemon.signal("CONT");
        assert_eq!(client.answer().expect("an answer").status(), 503);
    }
}

/// What has gone from the list is forgotten: memory does not grow with all that ever were.
#[test]
fn replaced_backends_are_forgotten() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let replace = |rounds: std::ops::Range<usize>| {
        for round in rounds {
            let lines = (0..2000).map(|n| line(&format!("s-{round}-{n}"), at, "Ready"));
            daemon.list.tell_heard(&lines.collect::<Vec<_>>());
        }
        daemon.memory()
    };
    let (before, after) = (replace(0..8), replace(8..58));
    assert!(
        after < before + (25 << 20),
        "{} MB more for 100,000 that have gone",
        (after - before) >> 20
    );
    assert_eq!(
        daemon
            .client()
            .call(&rpc("GET", "/read", "id", ""))
            .unwrap()
            .status(),
        200
    );
}

/// A call that meets silence is given up soon, and the next one goes out at once.
#[test]
fn a_list_call_into_silence_goes_out_again() {
    let log = Log::new(vec![]);
    let mut daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let next = List::deaf_to(0);
    next.tell(&[line("s-2", echo("b2", &log), "Ready")]);
    daemon.reload(&config(daemon.at, next.at, &[]).to_string());
    daemon.list = next;
    let mut client = daemon.client();
    let mut ask = || client.call(&rpc("GET", "/read", "id", "")).unwrap().text() == "b2:";
    eventually(
        Duration::from_secs(5),
        "one lost call, and the list is not heard",
        &mut ask,
    );
}

#[test]
fn discovery_down_and_back() {
    let log = Log::new(vec![]);
    let (old, new) = (echo("b1", &log), echo("b2", &log));
    let daemon = Daemon::start(PROGRAM, &[("s-1", old)]);
    let mut client = daemon.client();
    let mut ask = |n: &str| client.call(&rpc("GET", "/read", n, "")).unwrap().text();
    assert_eq!(ask("up"), "b1:");
    daemon.list.tell_text(None);
    assert_eq!(ask("down"), "b1:");
    daemon.list.tell_text(Some("{\"rev\": nonsense"));
    assert_eq!(ask("garbage"), "b1:");
    let odd = [
        serde_json::json!({"uid": "s-9", "state": "Dreaming"}),
        serde_json::json!({"state": "Ready"}),
    ];
    daemon
        .list
        .tell(&[&odd[..], &[line("s-2", new, "Ready")]].concat());
    eventually(PATIENCE, "the list came back unseen", || {
        ask("back") == "b2:"
    });
}

/// A list service that never waits must not keep the proxy busy.
#[test]
fn list_calls_keep_a_distance() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let begun = Instant::now();
    let same = serde_json::json!({"rev": 0, "all": true, "targets": [line("s-1", at, "Ready")]});
    daemon.list.tell_text(Some(&same.to_string()));
    std::thread::sleep(Duration::from_millis(300));
    let calls = daemon.list.calls.change(|calls| *calls) as u128;
    assert!(
        calls <= 4 + begun.elapsed().as_millis() / 20,
        "{calls} calls"
    );
}

#[test]
fn spent_descriptors_push_back_and_idle_ones_make_room() {
    let log = Log::new(vec![]);
    let few = |config: &mut Value| {
        blind(config);
        config["limits"]["sockets"] = 74.into();
    };
    let (at, gate) = gated("b1", &log, "done");
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], few);
    let open = |n: usize| {
        let mut client = daemon.client();
        client.send(&rpc("POST", "/book", &format!("n{n}"), ""));
        log.await_event(&format!("b1 got POST /book HTTP/1.1 n{n}"));
        client
    };
    let mut clients: Vec<_> = (0..10).map(open).collect();
    let told = || {
        daemon
            .client()
            .call(&rpc("GET", "/read", "late", ""))
            .map(|a| (a.status(), a.header("connection") == "close"))
    };
    eventually(
        Duration::from_secs(3),
        "no word of the spent budget",
        || told() == Some((503, true)),
    );
    gate.change(|open| *open = true);
    assert!(
        clients
            .iter_mut()
            .all(|client| client.answer().is_some_and(|a| a.status() == 200))
    );
    assert_eq!(told(), Some((200, false)), "an idle connection makes room");
}

/// Clients that never end their heads hold no socket that others need.
#[test]
fn heads_without_end_are_given_up() {
    let log = Log::new(vec![]);
    let few = |config: &mut Value| config["limits"]["sockets"] = 74.into();
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", echo("b1", &log))], few);
    let open = |_| {
        let mut client = daemon.client();
        client.send("GET /read HTTP/1.1\r\nRequest-");
        client
    };
    let mut endless: Vec<_> = (0..10).map(open).collect();
    let mut served = Vec::new();
    // The longest idle goes first: all of them before the later ones of these.
    eventually(
        PATIENCE,
        "heads without end hold on to their sockets",
        || {
            let mut client = daemon.client();
            if client
                .call(&rpc("GET", "/read", "id", ""))
                .is_some_and(|answer| answer.status() == 200)
            {
                served.push(client);
            }
            served.len() >= 30
        },
    );
    assert!(endless.iter_mut().all(Client::is_closed));
}

#[test]
#[expect(clippy::too_many_lines)]
fn bad_input_is_told_so_and_reaches_no_backend() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let good = rpc("GET", "/read", "id", "");
    let keyed = rpc("POST", "/log", "id", "");
    let book = rpc("POST", "/book", "id", "half");
    let framed = |by: &str| book.replace("Content-Length: 4", by);
    for (message, status) in [
        (good.replace("Request-Id: id\r\n", ""), 400),
        (good.replace("Request-Id: id", "Request-Id: "), 400),
        (good.replace("Request-Id: id", "Request-Id: a b"), 400),
        (
            good.replace("Request-Id: id", "Request-Id: id\r\nRequest-Id: id2"),
            400,
        ),
        (good.replace("Request-Timeout-Ms: 3000\r\n", ""), 400),
        (good.replace("3000", "soon"), 400),
        (good.replace("3000", "-1"), 400),
        (good.replace("3000", "+5"), 400),
        (keyed.replace("Idempotency-Key: k1\r\n", ""), 400),
        (good.replace("GET", "POST"), 400),
        (keyed.replace("POST", "GET"), 400),
        (rpc("GET", "/read", "id", "body"), 400),
        (good.replace("/read", "/nothing"), 404),
        (good.replace("/read", "/"), 404),
        (framed("Content-Length: 60000000"), 413),
        (good.replace("acme", &"x".repeat((64 << 10) + 1)), 431),
        (
            good.replace("Content-Length: 0", "Content-Length: many"),
            400,
        ),
        (framed("Content-Length: -4"), 400),
        (framed("Content-Length: 4\r\nContent-Length: 5"), 400),
        (framed("Transfer-Encoding: gzip"), 400),
        // What may hide another in its body, by either order of the two.
        (
            framed("Content-Length: 4\r\nTransfer-Encoding: chunked"),
            400,
        ),
        (
            framed("Transfer-Encoding: chunked\r\nContent-Length: 4"),
            400,
        ),
        (framed("Content-Length: 4\r\ncontent-length: 4"), 400),
        (
            framed("Transfer-Encoding: chunked\r\ntransfer-encoding: chunked"),
            400,
        ),
        (framed("Transfer-Encoding: gzip, chunked"), 400),
        (framed("Transfer-Encoding: chunked"), 400), // "half" is no size of a chunk
        ("what?\r\n\r\n".to_owned(), 400),
    ] {
        let mut client = daemon.client();
        let answer = client.call(&message).map(|answer| answer.status());
        assert_eq!(
            answer,
            Some(status),
            "{}",
            &message[..message.len().min(200)]
        );
        assert!(client.is_closed(), "{}", &message[..message.len().min(200)]);
    }
    assert_eq!(log.all(), Vec::<String>::new());
    let odd = good
        .replace("acme", "nobody")
        .replace("Tenant", "Further: 1\r\nTenant");
    let answer = daemon.client().call(&odd).expect("an answer");
    assert_eq!(
        answer.status(),
        200,
        "unknown tenants and headers are no error"
    );
}

/// Whoever does not come to the end of a message is told so or cut off, and soon.
#[test]
fn what_never_ends_is_ended() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let begun = Instant::now();
    let half = rpc("POST", "/book", "id", "half").replace("Length: 4", "Length: 9");
    let starts = ["", "GET /read HTTP/1.1\r\nRequest-", &half];
    let mut clients = starts.map(|start| {
        let mut client = daemon.client();
        client.send(start);
        client
    });
    // What keeps coming brings no more time.
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        clients[1].send("x");
    }
    assert_eq!(clients[2].answer().map(|answer| answer.status()), Some(408));
    assert!(clients.iter_mut().all(Client::is_closed));
    assert!(
        begun.elapsed() < Duration::from_secs(7),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(log.all(), Vec::<String>::new());
}

/// A refusal is not swallowed by a reset while its client still sends.
#[test]
fn a_refusal_can_be_read_by_who_still_sends() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(PROGRAM, &[("s-1", echo("b1", &log))]);
    let mut client = daemon.client();
    let large = rpc("POST", "/book", "id", &"x".repeat(3 << 20))
        .replace("Length: 3145728", "Length: 40000000");
    assert!(client.send(&large), "reset while sending");
    assert_eq!(client.answer().map(|answer| answer.status()), Some(413));
}

/// The id of an RPC that is open is nobody else's; once that is answered it may come again.
#[test]
fn the_id_of_an_open_rpc_is_refused() {
    let log = Log::new(vec![]);
    let (at, gate) = gated("b1", &log, "done");
    let daemon = Daemon::start(PROGRAM, &[("s-1", at)]);
    let (mut first, message) = (daemon.client(), rpc("POST", "/book", "same", ""));
    first.send(&message);
    log.await_event("b1 got POST /book HTTP/1.1 same");
    assert_eq!(daemon.client().call(&message).unwrap().status(), 409);
    gate.change(|open| *open = true);
    assert_eq!(first.answer().unwrap().status(), 200);
    assert_eq!(daemon.client().call(&message).unwrap().status(), 200);
    assert_eq!(log.count("same"), 2);
}

/// What a backend sends beyond its answer is no answer to the next RPC, also where it comes a moment later.
#[test]
fn bytes_behind_an_answer_answer_nothing() {
    let log = Log::new(vec![]);
    let copy = |m: &Message| reply("200 OK", &m.text());
    let at = backend("b1", &log, move |m| Act::Write([copy(m), copy(m)].concat()));
    let daemon = Daemon::start_with(PROGRAM, &[("s-1", at)], blind);
    let mut client = daemon.client();
    for n in 0..20 {
        let answer = client
            .call(&rpc("POST", "/book", &format!("n{n}"), &format!("body{n}")))
            .unwrap();
        assert_eq!((answer.status(), answer.text()), (200, format!("body{n}")));
    }
    let (seen, noted) = (log.clone(), log.clone());
    let late = backend("b2", &noted, move |m| {
        match m.header("request-id").strip_prefix("first") {
            Some(n) => Act::Late(copy(m), seen.clone(), format!("second{n}"), copy(m)),
            None => Act::Write(copy(m)),
        }
    });
    daemon.list.tell_heard(&[line("s-2", late, "Ready")]);
    let mut tries = 0..;
    // The second may come too late on a slow machine; the connection of the first is in use again by then.
    eventually(
        PATIENCE,
        "the second went where the first was answered",
        || {
            let n = tries.next().expect("one more");
            let [first, second] = ["first", "second"].map(|name| {
                let text = format!("{name}{n}");
                client
                    .call(&rpc("POST", "/book", &text, &text))
                    .is_some_and(|a| a.text() == text)
            });
            first && second
        },
    );
}

#[test]
#[expect(clippy::too_many_lines)]
fn a_bad_start_names_what_is_wrong() {
    let folder = std::env::temp_dir().join(format!("birchhubd-bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = (taken.local_addr().expect("an address"), taken);
    let good = config(taken.0, free(), &[]);
    let without = |key: &str| {
        let mut file = good.clone();
        file.as_object_mut().expect("an object").remove(key);
        file.to_string()
    };
    let odd = |key: &str| {
        let mut file = good.clone();
        file[key] = "odd".into();
        file.to_string()
    };
    let watching = |change: fn(&mut Value)| {
        let mut file = good.clone();
        file["watch"] = file["settings"].clone();
        change(&mut file["watch"]);
        file.to_string()
    };
    for (file, named) in [
        (None, "LB_CONFIG is not set"),
        (Some(String::new()), "LB_CONFIG"),
        (Some(without("listen")), "LB_LISTEN"),
        (Some(odd("discovery")), "LB_DISCOVERY"),
        (Some(odd("seed")), "seed"),
        (Some(without("settings")), "settings"),
        (Some(odd("settings")), "settings"),
        (
            Some(watching(|watch| watch["ceilings"]["probes"] = 1.into())),
            "watch.ceilings.probes",
        ),
        (
            Some(watching(|watch| watch["report"]["fields"] = "depth".into())),
            "watch.report.fields",
        ),
        (
            Some(watching(|watch| watch["extra"] = json!({"warm-keys": 3}))),
            "watch.extra.warm-keys",
        ),
        (
            Some(watching(|watch| {
                watch["goal"] = json!({"nines-wanted": -2})
            })),
            "watch.goal.nines-wanted",
        ),
        (
            Some(watching(|watch| {
                watch["methods"][1]["name"] = "sell".into()
            })),
            "watch.methods",
        ),
        (
            Some(watching(|watch| watch["failure-domains"] = json!(["b"]))),
            "watch.failure-domains",
        ),
        (Some(odd("watch")), "watch"),
        (Some(good.to_string()), "LB_LISTEN cannot be bound"),
    ] {
        let path = folder.join("config.json");
        let mut start = Command::new(PROGRAM);
        if let Some(text) = file {
            std::fs::write(&path, text).expect("a file");
            start.env("LB_CONFIG", &path);
        }
        let end = start.stderr(Stdio::piped()).output().expect("birchhubd");
        let said = String::from_utf8_lossy(&end.stderr);
        assert!(
            end.status.code() == Some(2) && said.contains(named) && said.lines().count() == 1,
            "{named}: {said}"
        );
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// A copy of the list that can't be read is no reason not to start: the first answer of discovery replaces it.
#[test]
fn an_unreadable_known_is_waited_out() {
    let log = Log::new(vec![]);
    for known in [
        serde_json::json!("odd"),
        serde_json::json!({"rev": "x"}),
        serde_json::json!(null),
    ] {
        let backend = [("s-1", echo("b1", &log))];
        let daemon =
            Daemon::start_with(PROGRAM, &backend, |config| config["known"] = known.clone());
        let answer = daemon
            .client()
            .call(&rpc("GET", "/read", "id1", ""))
            .expect("an answer");
        assert_eq!(answer.status(), 200, "started with known {known}");
    }
}

/// Many RPCs at once on many connections: each gets its own answer.
#[test]
fn answers_are_not_mixed_up() {
    let log = Log::new(vec![]);
    let daemon = Daemon::start(
        PROGRAM,
        &[("s-1", echo("b1", &log)), ("s-2", echo("b2", &log))],
    );
    let at = daemon.at;
    let run = move |c: usize| {
        let mut client = Client::open(at).expect("a connection");
        for n in 0..50 {
            let body = format!("{c}-{n}");
            let answer = client
                .call(&rpc("POST", "/log", &format!("id{body}"), &body))
                .expect("an answer");
            assert!(
                answer.status() != 200 || answer.text().ends_with(&format!(":{body}")),
                "{}",
                answer.text()
            );
        }
    };
    let all: Vec<_> = (0..8).map(|c| std::thread::spawn(move || run(c))).collect();
    all.into_iter()
        .for_each(|thread| thread.join().expect("a client without complaint"));
}

/// Sends so many RPCs of each kind in turn, ends the daemon and returns its watcher's last counts.
fn counts_over(mut daemon: Daemon, rpcs: usize) -> String {
    let mut client = daemon.client();
    for n in 0..rpcs {
        let (method, verb) = KINDS[n % KINDS.len()];
        assert!(
            client
                .call(&rpc(verb, &format!("/{method}"), &format!("n{n}"), ""))
                .is_some(),
            "an answer"
        );
    }
    drop(client);
    daemon.signal("TERM");
    daemon.await_end();
    let log = daemon.logged();
    let last = log
        .lines()
        .rev()
        .find(|line| line.contains("ends: "))
        .expect("the counts at the end");
    last.split_once("ends: ").expect("found").1.to_owned()
}

/// Two backends that answer, one that fails now and then, and one that nobody listens at.
fn mixed(log: &Log) -> [(&'static str, SocketAddr); 4] {
    let faulty = backend("b3", log, |m| {
        match m.header("request-id").as_bytes().last() {
            Some(b'3') => Act::Cut(vec![]),
            Some(b'6') => Act::Write(reply("500 No", "")),
            _ => Act::Write(reply("200 OK", "b3")),
        }
    });
    [
        ("s-1", echo("b1", log)),
        ("s-2", echo("b2", log)),
        ("s-3", faulty),
        ("s-4", free()),
    ]
}

#[test]
fn the_same_settings_watched_differ_in_nothing() {
    for change in [|_: &mut Value| {}, blind] {
        let log = Log::new(vec![]);
        let daemon = Daemon::start_with(PROGRAM, &mixed(&log), |config| {
            change(config);
            config["watch"] = config["settings"].clone();
        });
        let counts = counts_over(daemon, 300);
        let none = "300 RPCs compared: queued 0, attempted 0, rejected 0, accepted 0, given up 0, retried 0, \
                    answered differently 0; other backend 0; ";
        let health_checks = counts
            .strip_prefix(none)
            .unwrap_or_else(|| panic!("{counts}"));
        let (sent, would) = health_checks
            .split_once(", would be ")
            .expect("health checks");
        assert_eq!(sent.strip_prefix("health checks "), Some(would), "{counts}");
    }
}

#[test]
fn another_shape_watched_is_counted_and_reaches_nobody() {
    let log = Log::new(vec![]);
    let backends = [("s-1", echo("b1", &log)), ("s-2", echo("b2", &log))];
    // A watcher that may not probe doesn't wait for what probes tell; one that may would wait for them.
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        config["watch"] = config["settings"].clone();
        config["watch"]["ceilings"]["probes"] = false.into();
    });
    let counts = counts_over(daemon, 90);
    assert!(
        !counts.contains(" attempted 0,") && counts.ends_with(", would be 0"),
        "{counts}"
    );
    let before = log.all().len();
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        config["watch"] = config["settings"].clone();
        blind(config);
    });
    let counts = counts_over(daemon, 90);
    assert!(
        !counts.contains(" queued 0,") && counts.contains("; health checks 0, would be "),
        "{counts}"
    );
    assert!(!counts.ends_with("would be 0"), "{counts}");
    assert_eq!(
        log.all().len() - before,
        90,
        "one message an RPC and no probe"
    );
}

/// Guards against keys that a client names and the proxy reads over: no backend would meet one again.
#[test]
fn rpcs_with_a_key_keep_to_few_backends() {
    let log = Log::new(vec![]);
    let names = ["b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9"];
    let uids: Vec<_> = names.iter().map(|name| format!("s-{name}")).collect();
    let backends: Vec<_> = uids
        .iter()
        .zip(names)
        .map(|(uid, name)| (uid.as_str(), echo(name, &log)))
        .collect();
    let daemon = Daemon::start_with(PROGRAM, &backends, |config| {
        config["settings"]["extra"] = json!({"warm-keys": true});
    });
    let in_its_cell = |(n, (uid, at)): (usize, &(&str, SocketAddr))| {
        let mut line = line(uid, *at, "Ready");
        line["pod_group"] = n.into();
        line
    };
    daemon.list.tell_heard(
        &backends
            .iter()
            .enumerate()
            .map(in_its_cell)
            .collect::<Vec<_>>(),
    );
    let mut client = daemon.client();
    for n in 0..60 {
        let plain = rpc("GET", "/read", &format!("n{n}"), "");
        let keyed = plain.replacen(
            "\r\n",
            "\r\nRequest-Info: cost-guess-ns=5000000,entity=0004f4187e9284a5\r\n",
            1,
        );
        assert_eq!(client.call(&keyed).unwrap().status(), 200);
    }
    let met = names
        .iter()
        .filter(|name| log.count(&format!("{name} got GET /read")) > 0)
        .count();
    assert!((1..=3).contains(&met), "{met} of ten backends met the key");
}
