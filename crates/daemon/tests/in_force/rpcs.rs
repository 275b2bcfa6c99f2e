//! RPCs that are in flight or arrive while settings change.
use crate::common::sockets::{
    BackendAction, Client, EVENT_TIMEOUT, Log, Shared, backend, echo, eventually, gated_backend,
    reply, rpc,
};
use crate::proxy::{Proxy, call, method, methods};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Sends an RPC of each of the three methods, and waits until the backend has received them.
fn start_rpcs(proxy: &Proxy, log: &Log) -> Vec<(&'static str, Client)> {
    let start = |name: &'static str| {
        let mut client = proxy.daemon.client();
        let verb = if name == "read" { "GET" } else { "POST" };
        client.send(&rpc(verb, &format!("/{name}"), &format!("held-{name}"), ""));
        log.await_event(&format!("b1 got {verb} /{name} HTTP/1.1 held-{name}"));
        (name, client)
    };
    ["read", "book", "log"].map(start).into()
}

/// Methods are added, removed, reordered and changed: RPCs in flight complete under the old settings, and their connections
/// stay open.
#[test]
fn rpcs_in_flight_complete_under_the_old_methods() {
    let log = Log::new(vec![]);
    let (address, gate) = gated_backend("b1", &log, "done");
    let mut proxy = Proxy::start(&[("s-1", address)], |_| {});
    let mut in_flight = start_rpcs(&proxy, &log);
    proxy.change(1, |settings| {
        let all = methods(settings);
        all.retain(|m| m["name"] != "log");
        all[0] = method("read", "non_idempotent");
        all.insert(0, method("extra", "idempotency_key"));
        all.swap(1, 2);
    });
    // Sent on new connections, as the proxy closes a connection after it rejects a request.
    assert_eq!(proxy.call("POST", "log", "gone"), 404);
    assert_eq!(proxy.call("GET", "read", "wrong"), 400);
    gate.change(|open| *open = true);
    for (name, client) in &mut in_flight {
        let response = client.response().expect("a response");
        assert_eq!(response.status(), 200, "{name}");
        assert_eq!(response.text(), "done", "{name}");
    }
    let mut client = proxy.daemon.client();
    for name in ["read", "book", "extra"] {
        let status = call(&mut client, "POST", name, &format!("new-{name}"));
        assert_eq!(status, 200, "{name}");
    }
    for (name, client) in &mut in_flight {
        let expected = if *name == "log" { 404 } else { 200 };
        let status = call(client, "POST", name, &format!("again-{name}"));
        assert_eq!(status, expected, "{name}");
    }
    proxy.await_log("methods 1 added, 1 changed, 1 removed, 3 in all; tenants 0 added");
    proxy.change(2, |settings| {
        methods(settings).push(method("log", "idempotency_key"))
    });
    assert_eq!(call(&mut client, "POST", "log", "back"), 200);
}

/// Starts two backends that abort the first attempt of each RPC whose id starts with `abort`, once the gate is open.
fn aborting_backends(log: &Log, gate: &Shared<bool>) -> [(&'static str, SocketAddr); 2] {
    let seen = Shared::new(Vec::<String>::new());
    [("s-1", "b1"), ("s-2", "b2")].map(|(uid, name)| {
        let gate = gate.clone();
        let seen = seen.clone();
        let address = backend(name, log, move |message| {
            let id = message.header("request-id").to_owned();
            let is_first = id.starts_with("abort")
                && seen.change(|seen| {
                    let is_first = !seen.contains(&id);
                    seen.push(id.clone());
                    is_first
                });
            if !is_first {
                return BackendAction::Respond(reply("200 OK", name));
            }
            gate.wait(EVENT_TIMEOUT, |open| *open);
            BackendAction::RespondAndClose(vec![])
        });
        (uid, address)
    })
}

/// Whether an RPC may be retried depends on the idempotency that its method had when the RPC was accepted.
#[test]
fn changed_idempotency_applies_from_the_next_rpc_on() {
    let log = Log::new(vec![]);
    let gate = Shared::new(false);
    let mut proxy = Proxy::start(&aborting_backends(&log, &gate), |_| {});
    proxy.daemon.fill_retry_budget();
    let mut client = proxy.daemon.client();
    client.send(&rpc("GET", "/read", "abort-held", ""));
    eventually(EVENT_TIMEOUT, "the attempt was not sent", || {
        log.count("abort-held") == 1
    });
    proxy.change(1, |settings| {
        methods(settings)[0] = method("read", "non_idempotent")
    });
    gate.change(|open| *open = true);
    let status = client.response().expect("a response").status();
    assert_eq!(
        status, 200,
        "the method was idempotent when the RPC was accepted"
    );
    assert_eq!(log.count("abort-held"), 2);
    assert_eq!(proxy.call("POST", "read", "abort-next"), 502);
    assert_eq!(log.count("abort-next"), 1);
}

/// Sends all but the last two bytes of each message on a connection of its own, and waits until the proxy has
/// read the heads.
fn send_incomplete(proxy: &Proxy, messages: &[String]) -> Vec<Client> {
    let send = |message: &String| {
        let mut client = proxy.daemon.client();
        client.send(&message[..message.len() - 2]);
        client
    };
    let clients = messages.iter().map(send).collect();
    // The proxy does not show when it has read a head. Later RPCs that complete over 100 ms give it the time.
    for n in 0..20 {
        assert_eq!(proxy.call("POST", "book", &format!("first{n}")), 200);
        std::thread::sleep(Duration::from_millis(5));
    }
    clients
}

/// A request that is incomplete when settings change is checked by the new settings.
#[test]
fn incomplete_request_is_checked_by_the_new_settings() {
    let log = Log::new(vec![]);
    let mut proxy = Proxy::start(&[("s-1", echo("b1", &log))], |config| {
        methods(&mut config["settings"]).push(method("plain", "non_idempotent"));
    });
    let without_key =
        |path: &str, id: &str| rpc("POST", path, id, "body").replace("Idempotency-Key: k1\r\n", "");
    let messages = [
        without_key("/book", "moved"),
        without_key("/plain", "keyless"),
        rpc("POST", "/log", "gone", "body"),
    ];
    let mut clients = send_incomplete(&proxy, &messages);
    proxy.change(1, |settings| {
        let all = methods(settings);
        all.retain(|m| m["name"] != "log");
        all.reverse();
        all[0] = method("plain", "idempotency_key");
    });
    let complete = |(client, message): (&mut Client, &String)| {
        client.send(&message[message.len() - 2..]);
        client.response().expect("a response").status()
    };
    let statuses: Vec<_> = clients.iter_mut().zip(&messages).map(complete).collect();
    assert_eq!(statuses, [200, 400, 404]);
    assert_eq!(log.count("keyless") + log.count("gone"), 0);
    assert_eq!(log.count("b1 got POST /book HTTP/1.1 moved"), 1);
}

#[test]
fn changed_quota_applies_from_the_next_rpc_on() {
    let log = Log::new(vec![]);
    let address = backend("b1", &log, |_| {
        std::thread::sleep(Duration::from_millis(20));
        BackendAction::Respond(reply("200 OK", ""))
    });
    let mut proxy = Proxy::start(&[("s-1", address)], |config| {
        config["settings"]["accounts"] =
            json!([{"name": "acme", "quota-per-s": 7}, {"name": "other", "quota-per-s": 7}]);
    });
    let mut clients: Vec<_> = (0..80).map(|_| proxy.daemon.client()).collect();
    let mut served = |round: &str| {
        for (n, client) in clients.iter_mut().enumerate() {
            assert!(client.send(&rpc("GET", "/read", &format!("{round}{n}"), "")));
        }
        let responses = clients.iter_mut().filter_map(Client::response);
        responses
            .filter(|response| response.status() == 200)
            .count()
    };
    let limited = served("limited");
    assert!(
        limited < 80,
        "{limited} of 80 concurrent RPCs served under a quota of 7 a second"
    );
    proxy.change(1, |settings| {
        settings["accounts"][0]["quota-per-s"] = 1e6.into()
    });
    assert_eq!(served("all"), 80);
    proxy.change(2, |settings| {
        settings["accounts"] =
            json!([{"name": "other", "quota-per-s": 7}, {"name": "acme", "quota-per-s": 7}]);
    });
    let limited = served("again");
    assert!(
        limited < 80,
        "{limited} of 80 RPCs served under the old quota at another index"
    );
}

/// The shadow evaluation follows reloads and RPCs of the active instance, and ends when it is no longer configured.
#[test]
fn shadow_evaluation_follows_reloads() {
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
            let status = call(&mut client, "POST", &name, &format!("{name}-{n}"));
            assert_eq!(status, 200);
            let status = call(&mut client, "POST", "log", &format!("log-{version}-{n}"));
            assert_eq!(status, 200);
        }
    }
    proxy.config["watch"] = Value::Null;
    proxy.change(4, |settings| drop(methods(settings).remove(0)));
    proxy.await_log("30 RPCs compared");
    assert_eq!(call(&mut client, "POST", "log", "alone"), 200);
    proxy.assert_not_panicked();
}
