//! A proxy that breaks rules on purpose, so that the audit can be seen to find it. What it does wrong goes by the name under
//! which it is called: `resends` (sends again whatever failed), `ignores-drains` (keeps to the list of its
//! start), `floods-cold` (sends everything to the node that started last); by any other name it keeps the rules.
//! It takes the platform's configuration like birchhubd, and is no use for anything else.
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{Message, MessageKind, Peer, listen, response};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const PICKS: usize = 3;
const MARGIN: f64 = 0.02; // s before the client's deadline at which a pick is given up
const AGAIN: Duration = Duration::from_millis(50); // after a list call that failed

#[derive(Clone, Copy, PartialEq, Eq)]
enum Wrong {
    Nothing,
    Resends,
    IgnoresDrains,
    FloodsCold,
}

struct Node {
    at: SocketAddr,
    ready: bool,
    boot_ms: f64,
}

struct Proxy {
    wrong: Wrong,
    clock: Clock,
    version: Cell<u64>,
    nodes: RefCell<BTreeMap<String, Node>>,
    turn: Cell<usize>,
}

impl Proxy {
    fn learn(&self, list: &Value) {
        let mut nodes = self.nodes.borrow_mut();
        if list["all"] == true {
            nodes.clear();
        }
        for line in list["targets"].as_array().into_iter().flatten() {
            let Some(uid) = line["uid"].as_str() else {
                continue;
            };
            let at = line["endpoint"].as_str().and_then(|at| at.parse().ok());
            match (line["state"].as_str(), at) {
                (Some("Gone"), _) | (_, None) => drop(nodes.remove(uid)),
                (state, Some(at)) => {
                    let boot_ms = line["boot_ms"].as_f64().unwrap_or(0.0);
                    let node = Node {
                        at,
                        ready: state == Some("Ready"),
                        boot_ms,
                    };
                    nodes.insert(uid.to_owned(), node);
                }
            }
        }
        self.version.set(list["rev"].as_u64().unwrap_or(0));
    }

    async fn follow(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            let call = async {
                let mut peer = Peer::connect(discovery).await.ok()?;
                let from = self.version.get();
                let text = format!(
                    "GET /registry/instances?from={from}&hold_ms=2000 HTTP/1.1\r\nHost: list\r\n\r\n"
                );
                peer.write(text.as_bytes()).await.ok()?;
                let message = peer.read(MessageKind::Response, &self.clock).await.ok()?;
                serde_json::from_slice::<Value>(&message.body).ok()
            };
            match call.await {
                Some(list) if self.wrong == Wrong::IgnoresDrains => {
                    self.version.set(list["rev"].as_u64().unwrap_or(0))
                }
                Some(list) => self.learn(&list),
                None => sleep(AGAIN).await,
            }
        }
    }

    /// The nodes in turn; the newest one only, for the proxy that floods it.
    fn choose(&self) -> Option<SocketAddr> {
        let nodes = self.nodes.borrow();
        let ready: Vec<_> = nodes.values().filter(|node| node.ready).collect();
        let newest = ready.iter().max_by(|a, b| a.boot_ms.total_cmp(&b.boot_ms));
        if self.wrong == Wrong::FloodsCold && newest.is_some_and(|node| node.boot_ms > 0.0) {
            return newest.map(|node| node.at);
        }
        self.turn.set(self.turn.get() + 1);
        ready
            .get(self.turn.get() % ready.len().max(1))
            .map(|node| node.at)
    }

    async fn rpc(&self, message: &Message) -> Vec<u8> {
        let header = |name| message.header(name).unwrap_or_default();
        let left = header("request-timeout-ms")
            .parse::<f64>()
            .unwrap_or(1000.0)
            / 1e3
            - MARGIN;
        let until = self.clock.now() + left;
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: node\r\n",
            message.http_method, message.path
        );
        for name in ["request-id", "idempotency-key"] {
            if let Some(value) = message.header(name) {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", message.body.len()));
        let bytes = [text.as_bytes(), &message.body].concat();
        for _ in 0..PICKS {
            let Some(at) = self.choose() else { break };
            let left = Duration::from_secs_f64((until - self.clock.now()).max(0.0));
            let Ok(Ok(mut peer)) = timeout(left, Peer::connect(at)).await else {
                continue;
            };
            let left = Duration::from_secs_f64((until - self.clock.now()).max(0.0));
            let pick = async {
                peer.write(&bytes).await.ok()?;
                peer.read(MessageKind::Response, &self.clock).await.ok()
            };
            match timeout(left, pick).await {
                Ok(Some(answer)) if answer.status == 200 => {
                    return response(200, &[], &answer.body);
                }
                Ok(Some(answer)) if answer.header("not-started").is_some() => {}
                // It may have run.
                _ if self.wrong == Wrong::Resends && self.clock.now() < until => {}
                _ => return response(502, &[], b"aborted\n"),
            }
        }
        match self.wrong {
            Wrong::Resends => response(502, &[], b"aborted\n"),
            _ => response(503, &[], b"pushed back\n"),
        }
    }

    async fn client(self: Rc<Self>, mut peer: Peer) {
        while let Ok(message) = peer.read(MessageKind::Request, &self.clock).await {
            let answer = match message.path.as_str() {
                "/health/ready" => response(200, &[], b"ready\n"),
                _ => self.rpc(&message).await,
            };
            if peer.write(&answer).await.is_err() || message.is_last() {
                return;
            }
        }
    }
}

fn config() -> Result<Value, Box<dyn std::error::Error>> {
    Ok(serde_json::from_slice(&std::fs::read(std::env::var(
        "LB_CONFIG",
    )?)?)?)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let config = config()?;
    let address = |key: &str| {
        config[key]
            .as_str()
            .unwrap_or_default()
            .parse::<SocketAddr>()
    };
    let (at, discovery) = (address("listen")?, address("discovery")?);
    let called = std::env::args().next().unwrap_or_default();
    let wrong = match called.rsplit('/').next() {
        Some("resends") => Wrong::Resends,
        Some("ignores-drains") => Wrong::IgnoresDrains,
        Some("floods-cold") => Wrong::FloodsCold,
        _ => Wrong::Nothing,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let (version, nodes) = (Cell::new(0), RefCell::default());
        let clock = Clock::starting_in(Duration::ZERO);
        let proxy = Rc::new(Proxy {
            wrong,
            clock,
            version,
            nodes,
            turn: Cell::new(0),
        });
        proxy.learn(&config["known"]);
        spawn_local(proxy.clone().follow(discovery));
        let listener = listen(at, 256)?;
        loop {
            let (stream, _) = listener.accept().await?;
            spawn_local(proxy.clone().client(Peer::new(stream)));
        }
    })
}
