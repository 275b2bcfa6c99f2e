//! A proxy that violates a rule of the service on purpose, to test that the audit detects it.
//!
//! The name under which the program is started selects the misbehaviour: `resends` retries every failed attempt,
//! `ignores-drains` keeps to the endpoint list of its start, and `floods-cold` sends everything to the backend that
//! started last. Under any other name it keeps the rules. It reads the same configuration as birchhubd.
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

/// Maximum number of attempts for each RPC.
const MAX_ATTEMPTS: usize = 3;
/// Timeout of a client's request, in seconds, if it names none.
const DEFAULT_TIMEOUT_SECONDS: f64 = 1.0;
/// Time before the client's deadline at which an attempt is cancelled, in seconds.
const DEADLINE_MARGIN_SECONDS: f64 = 0.02;
/// Delay after a failed discovery poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 256;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Misbehaviour {
    None,
    Resends,
    IgnoresDrains,
    FloodsCold,
}

/// A backend of the endpoint list.
struct Backend {
    address: SocketAddr,
    ready: bool,
    boot_ms: f64,
}

/// State of the proxy.
struct Proxy {
    misbehaviour: Misbehaviour,
    clock: Clock,
    version: Cell<u64>,
    backends: RefCell<BTreeMap<String, Backend>>,
    /// Position of the round-robin choice.
    turn: Cell<usize>,
}

impl Proxy {
    /// Applies an endpoint list, or the changes since the last one.
    fn apply(&self, list: &Value) {
        let mut backends = self.backends.borrow_mut();
        if list["all"] == true {
            backends.clear();
        }
        for endpoint in list["targets"].as_array().into_iter().flatten() {
            let Some(uid) = endpoint["uid"].as_str() else {
                continue;
            };
            let address = endpoint["endpoint"]
                .as_str()
                .and_then(|text| text.parse().ok());
            match (endpoint["state"].as_str(), address) {
                (Some("Gone"), _) | (_, None) => drop(backends.remove(uid)),
                (state, Some(address)) => {
                    let boot_ms = endpoint["boot_ms"].as_f64().unwrap_or(0.0);
                    let backend = Backend {
                        address,
                        ready: state == Some("Ready"),
                        boot_ms,
                    };
                    backends.insert(uid.to_owned(), backend);
                }
            }
        }
        self.version.set(list["rev"].as_u64().unwrap_or(0));
    }

    /// Polls the discovery service, forever.
    async fn poll_discovery(self: Rc<Self>, discovery: SocketAddr) {
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
                Some(list) if self.misbehaviour == Misbehaviour::IgnoresDrains => {
                    self.version.set(list["rev"].as_u64().unwrap_or(0))
                }
                Some(list) => self.apply(&list),
                None => sleep(POLL_RETRY_DELAY).await,
            }
        }
    }

    /// Chooses ready backends in turn, or only the newest one for the proxy that floods it.
    fn choose(&self) -> Option<SocketAddr> {
        let backends = self.backends.borrow();
        let ready: Vec<_> = backends.values().filter(|backend| backend.ready).collect();
        let newest = ready.iter().max_by(|a, b| a.boot_ms.total_cmp(&b.boot_ms));
        if self.misbehaviour == Misbehaviour::FloodsCold
            && newest.is_some_and(|backend| backend.boot_ms > 0.0)
        {
            return newest.map(|backend| backend.address);
        }
        self.turn.set(self.turn.get() + 1);
        ready
            .get(self.turn.get() % ready.len().max(1))
            .map(|backend| backend.address)
    }

    /// Forwards an RPC and returns the response for the client.
    async fn rpc(&self, message: &Message) -> Vec<u8> {
        let header = |name| message.header(name).unwrap_or_default();
        let left = header("request-timeout-ms")
            .parse::<f64>()
            .map_or(DEFAULT_TIMEOUT_SECONDS, |timeout_ms| timeout_ms / 1e3)
            - DEADLINE_MARGIN_SECONDS;
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
        for _ in 0..MAX_ATTEMPTS {
            let Some(address) = self.choose() else {
                break;
            };
            let left = Duration::from_secs_f64((until - self.clock.now()).max(0.0));
            let Ok(Ok(mut peer)) = timeout(left, Peer::connect(address)).await else {
                continue;
            };
            let left = Duration::from_secs_f64((until - self.clock.now()).max(0.0));
            let attempt = async {
                peer.write(&bytes).await.ok()?;
                peer.read(MessageKind::Response, &self.clock).await.ok()
            };
            match timeout(left, attempt).await {
                Ok(Some(answer)) if answer.status == 200 => {
                    return response(200, &[], &answer.body);
                }
                Ok(Some(answer)) if answer.header("not-started").is_some() => {}
                // The RPC may have run: a proxy that keeps the rules does not retry it.
                _ if self.misbehaviour == Misbehaviour::Resends && self.clock.now() < until => {}
                _ => return response(502, &[], b"aborted\n"),
            }
        }
        match self.misbehaviour {
            Misbehaviour::Resends => response(502, &[], b"aborted\n"),
            _ => response(503, &[], b"pushed back\n"),
        }
    }

    /// Serves one connection of a client.
    async fn serve(self: Rc<Self>, mut peer: Peer) {
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

/// Reads the configuration that the platform names in the environment.
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
    let listen_address = address("listen")?;
    let discovery = address("discovery")?;
    let program = std::env::args().next().unwrap_or_default();
    let misbehaviour = match program.rsplit('/').next() {
        Some("resends") => Misbehaviour::Resends,
        Some("ignores-drains") => Misbehaviour::IgnoresDrains,
        Some("floods-cold") => Misbehaviour::FloodsCold,
        _ => Misbehaviour::None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let proxy = Rc::new(Proxy {
            misbehaviour,
            clock: Clock::starting_in(Duration::ZERO),
            version: Cell::new(0),
            backends: RefCell::default(),
            turn: Cell::new(0),
        });
        proxy.apply(&config["known"]);
        spawn_local(proxy.clone().poll_discovery(discovery));
        let listener = listen(listen_address, LISTEN_BACKLOG)?;
        loop {
            let (stream, _) = listener.accept().await?;
            spawn_local(proxy.clone().serve(Peer::new(stream)));
        }
    })
}
