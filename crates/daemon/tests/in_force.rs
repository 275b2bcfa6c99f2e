//! Settings that change while birchhubd runs: in force on SIGHUP for what is taken then, and nothing is lost.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{
    Act, Client, Daemon, Log, PATIENCE, Shared, backend, blind, echo, eventually, free, gated,
    line, reply, rpc,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// A proxy with a second address, and what it was told last.
struct Proxy {
    daemon: Daemon,
    management: SocketAddr,
    config: Value,
}

impl Proxy {
    fn start(backends: &[(&str, SocketAddr)], change: impl FnOnce(&mut Value)) -> Self {
        let (management, mut told) = (free(), Value::Null);
        let daemon = Daemon::start_with(PROGRAM, backends, |config| {
            config["management"] = management.to_string().into();
            blind(config);
            change(config);
            told = config.clone();
        });
        Self {
            daemon,
            management,
            config: told,
        }
    }

    /// What `GET /settings` says.
    fn stands(&self) -> String {
        let mut client = Client::open(self.management).expect("a connection");
        client
            .call("GET /settings HTTP/1.1\r\nHost: m\r\n\r\n")
            .expect("an answer")
            .text()
    }

    fn is_at(&self, version: usize) -> bool {
        self.stands().starts_with(&format!("version {version}, "))
    }

    /// Tells it other settings, and waits until they are in force as this version.
    fn change(&mut self, version: usize, change: impl FnOnce(&mut Value)) {
        change(&mut self.config["settings"]);
        self.daemon.reload(&self.config.to_string());
        eventually(PATIENCE, &format!("never in force: {version}"), || {
            self.is_at(version)
        });
    }

    /// Waits until its log, which is written behind, says this.
    fn logs(&self, words: &str) {
        eventually(PATIENCE, &format!("never logged: {words}"), || {
            self.daemon.logged().contains(words)
        });
    }

    /// Sends what is in the file again, and waits until it was read.
    fn hup(&self) {
        let read = || self.daemon.logged().matches("SIGHUP: ").count();
        let before = read();
        self.daemon.signal("HUP");
        eventually(PATIENCE, "never read", || read() > before);
    }
}

fn method(name: &str, kind: &str) -> Value {
    json!({"name": name, "idempotency": kind, "dedup-scope": "cell", "window-ns": 4e9, "utility": 1.0,
        "latency-target-ns": 3e9, "hard-limit-ns": 3e9})
}

fn methods(settings: &mut Value) -> &mut Vec<Value> {
    settings["methods"].as_array_mut().expect("methods")
}

fn ask(client: &mut Client, verb: &str, method: &str, id: &str) -> u16 {
    client
        .call(&rpc(verb, &format!("/{method}"), id, ""))
        .expect("an answer")
        .status()
}

/// Methods come, go, move and change; those out under the old settings end as they began, on the connections they have.
#[test]
#[expect(clippy::too_many_lines)]
fn methods_change_while_their_rpcs_are_out() {
    let log = Log::new(vec![]);
    let (at, gate) = gated("b1", &log, "done");
    let mut proxy = Proxy::start(&[("s-1", at)], |_| {});
    let mut held: Vec<_> = ["read", "book", "log"]
        .map(|name| (name, proxy.daemon.client()))
        .into();
    for (name, client) in &mut held {
        let verb = if *name == "read" { "GET" } else { "POST" };
        client.send(&rpc(verb, &format!("/{name}"), &format!("held-{name}"), ""));
        log.await_event(&format!("b1 got {verb} /{name} HTTP/1.1 held-{name}"));
    }
    proxy.change(1, |settings| {
        let all = methods(settings);
        all.retain(|m| m["name"] != "log");
        all[0] = method("read", "non_idempotent");
        all.insert(0, method("extra", "idempotency_key"));
        all.swap(1, 2);
    });
    // A refusal is the last word on its connection.
    assert_eq!(ask(&mut proxy.daemon.client(), "POST", "log", "gone"), 404);
    assert_eq!(ask(&mut proxy.daemon.client(), "GET", "read", "wrong"), 400);
    gate.change(|open| *open = true);
    for (name, client) in &mut held {
        let answer = client.answer().expect("an answer");
        assert_eq!(
            (answer.status(), answer.text().as_str()),
            (200, "done"),
            "{name}"
        );
    }
    let mut client = proxy.daemon.client();
    for name in ["read", "book", "extra"] {
        assert_eq!(
            ask(&mut client, "POST", name, &format!("new-{name}")),
            200,
            "{name}"
        );
    }
    for (name, client) in &mut held {
        let told = if *name == "log" { 404 } else { 200 };
        assert_eq!(
            ask(client, "POST", name, &format!("again-{name}")),
            told,
            "{name}"
        );
    }
    let counts = "methods 1 added, 1 changed, 1 removed, 3 in all; tenants 0 added";
    proxy.logs(counts);
    proxy.change(2, |settings| {
        methods(settings).push(method("log", "idempotency_key"))
    });
    assert_eq!(ask(&mut client, "POST", "log", "back"), 200);
}

/// What may run twice is told by the method as it was when the RPC was taken.
#[test]
fn an_effect_binds_from_the_next_rpc_on() {
    let log = Log::new(vec![]);
    let gate = Shared::new(false);
    // Breaks off the first pick of each RPC whose id says so, once the gate is open.
    let (opened, seen) = (gate.clone(), Shared::new(Vec::<String>::new()));
    let stand_in = |name| {
        let (opened, seen) = (opened.clone(), seen.clone());
        backend(name, &log, move |m| {
            let id = m.header("request-id").to_owned();
            let first = id.starts_with("cut")
                && seen.change(|seen| {
                    let first = !seen.contains(&id);
                    seen.push(id.clone());
                    first
                });
            if !first {
                return Act::Write(reply("200 OK", name));
            }
            opened.wait(PATIENCE, |open| *open);
            Act::Cut(vec![])
        })
    };
    let mut proxy = Proxy::start(&[("s-1", stand_in("b1")), ("s-2", stand_in("b2"))], |_| {});
    proxy.daemon.earn_credit();
    let mut held = proxy.daemon.client();
    held.send(&rpc("GET", "/read", "cut-held", ""));
    eventually(PATIENCE, "never sent", || log.count("cut-held") == 1);
    proxy.change(1, |settings| {
        methods(settings)[0] = method("read", "non_idempotent")
    });
    gate.change(|open| *open = true);
    assert_eq!(
        held.answer().expect("an answer").status(),
        200,
        "it was idempotent when it was taken"
    );
    assert_eq!(log.count("cut-held"), 2);
    let mut client = proxy.daemon.client();
    assert_eq!(ask(&mut client, "POST", "read", "cut-next"), 502);
    assert_eq!(log.count("cut-next"), 1);
}

/// A message that is not whole when settings change is read by the new ones: nothing is taken for what it no longer is.
#[test]
#[expect(clippy::too_many_lines)]
fn a_message_on_its_way_is_read_by_the_new_settings() {
    let log = Log::new(vec![]);
    let mut proxy = Proxy::start(&[("s-1", echo("b1", &log))], |config| {
        methods(&mut config["settings"]).push(method("plain", "non_idempotent"));
    });
    let keyless =
        |path: &str, id: &str| rpc("POST", path, id, "body").replace("Idempotency-Key: k1\r\n", "");
    let messages = [
        keyless("/book", "moved"),
        keyless("/plain", "keyless"),
        rpc("POST", "/log", "gone", "body"),
    ];
    let mut clients: Vec<_> = messages
        .iter()
        .map(|message| {
            let mut client = proxy.daemon.client();
            client.send(&message[..message.len() - 2]);
            client
        })
        .collect();
    // Each head has been read once a whole message that came behind it was answered, and some time has passed.
    for n in 0..20 {
        assert_eq!(
            ask(
                &mut proxy.daemon.client(),
                "POST",
                "book",
                &format!("first{n}")
            ),
            200
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    proxy.change(1, |settings| {
        let all = methods(settings);
        all.retain(|m| m["name"] != "log");
        all.reverse();
        all[0] = method("plain", "idempotency_key");
    });
    let told: Vec<_> = clients
        .iter_mut()
        .zip(&messages)
        .map(|(client, message)| {
            client.send(&message[message.len() - 2..]);
            client.answer().expect("an answer").status()
        })
        .collect();
    assert_eq!(told, [200, 400, 404]);
    assert_eq!(log.count("keyless") + log.count("gone"), 0);
    assert_eq!(log.count("b1 got POST /book HTTP/1.1 moved"), 1);
}

#[test]
fn a_quota_binds_from_its_change_on() {
    let log = Log::new(vec![]);
    let at = backend("b1", &log, |_| {
        std::thread::sleep(Duration::from_millis(20));
        Act::Write(reply("200 OK", ""))
    });
    let mut proxy = Proxy::start(&[("s-1", at)], |config| {
        config["settings"]["accounts"] =
            json!([{"name": "acme", "quota-per-s": 7}, {"name": "other", "quota-per-s": 7}]);
    });
    let mut crowd: Vec<_> = (0..80).map(|_| proxy.daemon.client()).collect();
    let mut served = |turn: &str| {
        for (n, client) in crowd.iter_mut().enumerate() {
            assert!(client.send(&rpc("GET", "/read", &format!("{turn}{n}"), "")));
        }
        crowd
            .iter_mut()
            .filter_map(|c| Some(c.answer()?.status()))
            .filter(|status| *status == 200)
            .count()
    };
    let few = served("few");
    assert!(
        few < 80,
        "a quota of 7 a second lets all of 80 at once through"
    );
    proxy.change(1, |settings| {
        settings["accounts"][0]["quota-per-s"] = 1e6.into()
    });
    assert_eq!(served("all"), 80);
    proxy.change(2, |settings| {
        settings["accounts"] =
            json!([{"name": "other", "quota-per-s": 7}, {"name": "acme", "quota-per-s": 7}]);
    });
    let few = served("again");
    assert!(
        few < 80,
        "as before, in another place, yet {few} of 80 were served"
    );
}

/// Set when dropped: guards against clients that go on after a check has failed.
struct Over(Shared<bool>);

impl Drop for Over {
    fn drop(&mut self) {
        self.0.change(|over| *over = true);
    }
}

/// Hundreds of changes in a row under load: every RPC is answered as ever, on the connection its client opened first.
#[test]
#[expect(clippy::too_many_lines)]
fn hundreds_of_changes_lose_no_rpc() {
    let log = Log::new(vec![]);
    let backends = [
        ("s-1", echo("b1", &log)),
        ("s-2", echo("b2", &log)),
        ("s-3", echo("b3", &log)),
    ];
    // Time enough for a machine that stands still for some seconds.
    let mut proxy = Proxy::start(&backends, |config| {
        methods(&mut config["settings"])
            .iter_mut()
            .for_each(|m| m["latency-target-ns"] = 15e9.into());
    });
    let (over, answered) = (Shared::new(false), AtomicUsize::new(0));
    let at = proxy.daemon.at;
    std::thread::scope(|threads| {
        let _guard = Over(over.clone());
        for c in 0..4 {
            let (over, answered) = (&over, &answered);
            threads.spawn(move || {
                let mut client = Client::open(at).expect("a connection");
                for n in 0.. {
                    let (verb, name) = [("GET", "read"), ("POST", "book"), ("POST", "log")][n % 3];
                    let message = rpc(verb, &format!("/{name}"), &format!("l{c}-{n}"), "");
                    let message = message.replace("Timeout-Ms: 3000", "Timeout-Ms: 15000");
                    let status = client.call(&message).map(|answer| answer.status());
                    assert_eq!(status, Some(200), "{name} {n} of client {c}");
                    answered.fetch_add(1, Ordering::SeqCst);
                    if over.change(|over| *over) {
                        return;
                    }
                }
            });
        }
        for n in 1..=300 {
            let settings = &mut proxy.config["settings"];
            methods(settings)
                .retain(|m| ["read", "book", "log"].contains(&m["name"].as_str().unwrap()));
            methods(settings).rotate_left(n % 3);
            methods(settings).insert(n % 4, method(&format!("m{n}"), "non_idempotent"));
            settings["accounts"] = json!([{"name": "x", "quota-per-s": n}, {"name": "acme", "quota-per-s": 1e6 + n as f64}]);
            settings["ceilings"]["most-picks"] = (2 + n % 3).into();
            let before = answered.load(Ordering::SeqCst);
            proxy.daemon.reload(&proxy.config.to_string());
            // RPCs and changes by turns, so that each change meets some.
            eventually(PATIENCE, "no RPC goes on", || {
                answered.load(Ordering::SeqCst) > before
            });
        }
        let conf = birchhub_settings::parse_value(&proxy.config["settings"]).expect("settings");
        let digest = format!("digest {:016x}", conf.digest);
        // Not by RPCs: those refused would fill the proxy's sockets, and idle clients give way to them.
        eventually(PATIENCE, "the last change is never in force", || {
            std::thread::sleep(Duration::from_millis(10));
            proxy
                .daemon
                .logged()
                .lines()
                .any(|line| line.contains("in force") && line.contains(&digest))
        });
    });
    assert_eq!(ask(&mut proxy.daemon.client(), "POST", "m300", "last"), 200);
    assert_eq!(ask(&mut proxy.daemon.client(), "POST", "m299", "past"), 404);
    assert!(
        !proxy.daemon.logged().contains("panicked"),
        "{}",
        proxy.daemon.logged()
    );
}

/// What can't be read changes nothing at all, and what says the same changes nothing either.
#[test]
#[expect(clippy::too_many_lines)]
fn all_or_nothing() {
    let log = Log::new(vec![]);
    let mut proxy = Proxy::start(&[("s-1", echo("b1", &log))], |config| {
        config["settings"]["accounts"] = json!([{"name": "acme", "quota-per-s": 100}]);
    });
    let first = proxy.stands();
    assert!(
        first.starts_with("version 0, digest ") && first.ends_with(", 3 methods, 1 tenants\n"),
        "{first}"
    );
    let good = proxy.config.clone();
    for (place, key, value, named) in [
        (
            "/settings/methods/1",
            "idempotency",
            json!("perhaps"),
            "methods[1].idempotency is not known: perhaps",
        ),
        (
            "/settings/accounts/0",
            "quota-per-s",
            json!("many"),
            "accounts[0].quota-per-s is not a number",
        ),
        (
            "/settings/contract",
            "drain-grace-ns",
            Value::Null,
            "contract.drain-grace-ns is missing",
        ),
        ("/settings", "methods", json!({}), "methods is not a list"),
        ("", "settings", Value::Null, "is missing"),
        ("", "seed", Value::Null, "seed is missing"),
    ] {
        // All else in it is new and good.
        let mut bad = good.clone();
        methods(&mut bad["settings"]).push(method("extra", "read_like"));
        bad["discovery"] = free().to_string().into();
        bad.pointer_mut(place).expect("a place")[key] = value;
        proxy.daemon.reload(&bad.to_string());
        eventually(PATIENCE, &format!("never told: {named}"), || {
            let logged = proxy.daemon.logged();
            let told = logged
                .lines()
                .find(|line| line.contains("stays as it was") && line.contains(named));
            told.is_some()
        });
        assert_eq!(proxy.stands(), first, "{named}");
        assert_eq!(
            ask(
                &mut proxy.daemon.client(),
                "GET",
                "extra",
                named.split(' ').next().unwrap()
            ),
            404
        );
    }
    assert!(!proxy.daemon.logged().contains("SIGHUP: discovery is at"));
    proxy.daemon.reload(&good.to_string());
    proxy.logs("SIGHUP: discovery is at");
    proxy.hup();
    assert_eq!(proxy.stands(), first);
    assert!(
        !proxy.daemon.logged().contains("in force"),
        "{}",
        proxy.daemon.logged()
    );
    proxy.change(1, |settings| {
        settings["accounts"][0]["quota-per-s"] = 200.into()
    });
    assert_ne!(proxy.stands()[10..], first[10..], "another digest");
    proxy.change(2, |settings| {
        settings["accounts"][0]["quota-per-s"] = 100.into()
    });
    assert_eq!(proxy.stands()[10..], first[10..], "the first digest again");
}

/// Keys that can't change in a running process are told, again and again, and nothing comes of them before the start.
#[test]
fn what_waits_for_the_next_start_is_told() {
    let log = Log::new(vec![]);
    let at = echo("b1", &log);
    let mut proxy = Proxy::start(&[("s-1", at)], |_| {});
    let keys = "name, listen, seed, limits, settings.membership-mode, settings.failure-domains, \
        settings.weight-source, settings.ceilings.connect-timeout-ns, settings.ceilings.conn-idle-ns, watch";
    proxy.config["name"] = "n9".into();
    proxy.config["listen"] = free().to_string().into();
    proxy.config["seed"] = "1".into();
    proxy.config["limits"]["sockets"] = 77.into();
    let settings = &mut proxy.config["settings"];
    settings["membership-mode"] = "pushed".into();
    settings["failure-domains"] = json!(["z", "a"]);
    settings["weight-source"] = "nominal".into();
    settings["ceilings"]["connect-timeout-ns"] = 1e9.into();
    settings["ceilings"]["conn-idle-ns"] = 1e9.into();
    proxy.config["watch"] = proxy.config["settings"].clone();
    for turn in 1..=2 {
        proxy.daemon.reload(&proxy.config.to_string());
        let told = format!("these keys take effect at the next start: {keys}");
        eventually(PATIENCE, "never told", || {
            proxy.daemon.logged().matches(&told).count() == turn
        });
        eventually(PATIENCE, "never shown", || {
            proxy
                .stands()
                .ends_with(&format!("at the next start: {keys}\n"))
        });
        assert!(proxy.is_at(0), "{}", proxy.stands());
    }
    assert_eq!(
        ask(&mut proxy.daemon.client(), "POST", "book", "as-ever"),
        200
    );
    // Beside what can change.
    proxy.config["watch"] = Value::Null;
    proxy.change(1, |settings| {
        methods(settings).push(method("extra", "non_idempotent"))
    });
    assert_eq!(ask(&mut proxy.daemon.client(), "POST", "extra", "new"), 200);
    // The list is followed in the way and the zones that it was.
    proxy.daemon.list.tell_heard(&[line("s-1", at, "Ready")]);
    assert_eq!(
        ask(&mut proxy.daemon.client(), "POST", "extra", "listed"),
        200
    );
}

/// Scripts of the operators read these lines: the whole text of `GET /settings`, and what a change logs behind its times.
#[test]
fn the_lines_of_a_change_are_told_to_the_byte() {
    let log = Log::new(vec![]);
    let mut proxy = Proxy::start(&[("s-1", echo("b1", &log))], |_| {});
    let digest = |proxy: &Proxy| {
        let parsed = birchhub_settings::parse_value(&proxy.config["settings"]).expect("settings");
        format!("{:016x}", parsed.digest)
    };
    let expected = format!(
        "version 0, digest {}, 3 methods, 0 tenants\n",
        digest(&proxy)
    );
    assert_eq!(proxy.stands(), expected);
    proxy.config["name"] = "n9".into();
    proxy.change(1, |settings| {
        settings["my-zone"] = "elsewhere".into();
        settings["ceilings"]["most-picks"] = 4.into();
        settings["accounts"] = json!([{"name": "acme", "quota-per-s": 1e6}]);
        methods(settings).push(method("extra", "read_like"));
    });
    let line = format!("version 1, digest {}, 4 methods, 1 tenants", digest(&proxy));
    let waiting = "; at the next start: name, settings.my-zone";
    assert_eq!(proxy.stands(), format!("{line}{waiting}\n"));
    proxy.logs(&format!(
        " of the loop: {line}{waiting}; methods 1 added, 0 changed, 0 removed, 4 in all; \
         tenants 1 added, 0 changed, 0 removed, 1 in all; other keys: ceilings.most-picks\n"
    ));
    proxy.logs("SIGHUP: these keys take effect at the next start: name, settings.my-zone\n");
}

/// The watcher follows what the first instance follows, and ends where it is no longer told.
#[test]
fn a_watcher_follows() {
    let log = Log::new(vec![]);
    let mut proxy = Proxy::start(&[("s-1", echo("b1", &log))], |config| {
        config["watch"] = config["settings"].clone();
    });
    let mut client = proxy.daemon.client();
    for version in 1..=3 {
        let name = format!("m{version}");
        methods(&mut proxy.config["watch"]).insert(0, method(&name, "non_idempotent"));
        proxy.change(version, |settings| {
            methods(settings).insert(0, method(&name, "non_idempotent"))
        });
        for n in 0..5 {
            assert_eq!(ask(&mut client, "POST", &name, &format!("{name}-{n}")), 200);
            assert_eq!(
                ask(&mut client, "POST", "log", &format!("log-{version}-{n}")),
                200
            );
        }
    }
    proxy.config["watch"] = Value::Null;
    proxy.change(4, |settings| drop(methods(settings).remove(0)));
    proxy.logs("30 RPCs compared");
    assert_eq!(ask(&mut client, "POST", "log", "alone"), 200);
    assert!(
        !proxy.daemon.logged().contains("panicked"),
        "{}",
        proxy.daemon.logged()
    );
}

/// What a process has used of the machine's cores, s.
fn used(daemon: &Daemon) -> f64 {
    let text =
        std::fs::read_to_string(format!("/proc/{}/stat", daemon.child.id())).expect("its figures");
    let fields: Vec<_> = text
        .rsplit(") ")
        .next()
        .expect("fields")
        .split(' ')
        .collect();
    let ticks = |n: usize| fields[n].parse::<f64>().expect("ticks");
    (ticks(11) + ticks(12)) / 100.0
}

/// By hand: what a change costs at the planned size. Prints its figures.
#[test]
#[ignore = "measures, with --nocapture, and takes a minute"]
#[expect(clippy::too_many_lines)]
fn a_change_at_the_planned_size() {
    const CHANGES: usize = 200;
    let log = Log::new(vec![]);
    let mut proxy = Proxy::start(&[("s-1", echo("b1", &log))], |config| {
        let settings = &mut config["settings"];
        methods(settings)
            .extend((0..2_200).map(|n| method(&format!("route-{n}"), "non_idempotent")));
        let account = |n| json!({"name": format!("tenant-{n}"), "quota-per-s": 10 + n % 90});
        settings["accounts"] = (0..54_000).map(account).collect();
    });
    let bytes = proxy.config.to_string().len();
    println!(
        "{bytes} bytes of configuration; {} KiB resident at the start",
        proxy.daemon.memory() >> 10
    );
    let (over, at) = (Shared::new(false), proxy.daemon.at);
    let mut waits = Vec::new();
    let mut took = std::thread::scope(|threads| {
        let load = threads.spawn(|| {
            let mut client = Client::open(at).expect("a connection");
            let mut took = Vec::new();
            while !over.change(|over| *over) {
                let asked = Instant::now();
                assert_eq!(
                    ask(&mut client, "POST", "book", &format!("l{}", took.len())),
                    200
                );
                took.push(asked.elapsed());
                std::thread::sleep(Duration::from_millis(1));
            }
            took
        });
        let _guard = Over(over.clone());
        let begun = used(&proxy.daemon);
        let idle = Instant::now();
        std::thread::sleep(Duration::from_secs(5));
        let quiet = (used(&proxy.daemon) - begun) / idle.elapsed().as_secs_f64();
        println!("{:.1} ms of a core a second without changes", quiet * 1e3);
        let (from, changing) = (used(&proxy.daemon), Instant::now());
        for n in 1..=CHANGES {
            let settings = &mut proxy.config["settings"];
            settings["accounts"][n * 7]["quota-per-s"] = (1_000 + n).into();
            methods(settings).retain(|m| m["name"] != format!("new-{}", n - 1));
            methods(settings).push(method(&format!("new-{n}"), "non_idempotent"));
            let text = proxy.config.to_string();
            let told = Instant::now();
            proxy.daemon.reload(&text);
            eventually(PATIENCE, "never in force", || {
                std::thread::sleep(Duration::from_millis(1));
                proxy.is_at(n)
            });
            waits.push(told.elapsed());
            let new = format!("new-{n}");
            assert_eq!(ask(&mut proxy.daemon.client(), "POST", &new, &new), 200);
            if [1, 2, 5, 10, 50, 100, 150, 200].contains(&n) {
                println!("after {n}: {} KiB resident", proxy.daemon.memory() >> 10);
            }
        }
        let spent = used(&proxy.daemon) - from - quiet * changing.elapsed().as_secs_f64();
        println!(
            "{:.1} ms of a core for each change",
            spent / CHANGES as f64 * 1e3
        );
        over.change(|over| *over = true);
        load.join().expect("a client")
    });
    waits.sort();
    took.sort();
    let (half, last) = (waits[CHANGES / 2], waits[CHANGES - 1]);
    println!("in force {half:.1?} after SIGHUP, at the most {last:.1?}");
    let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
    println!(
        "{} RPCs meanwhile: {:.2?}, {:.2?} of 99, {:.2?}",
        took.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
    let logged = proxy.daemon.logged();
    println!(
        "{}",
        logged
            .lines()
            .rfind(|line| line.contains("in force after"))
            .expect("a line")
    );
    assert!(last < Duration::from_secs(8));
}
