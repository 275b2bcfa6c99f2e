//! A list service at the size in lines: one thread, one address for all proxies, every answer encoded once for all that ask
//! for the same.
use crate::error::MeasurementError;
use crate::usage;
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{Message, MessageKind, Peer, listen, response};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

const BACKLOG: u32 = 1024; // connections that wait to be accepted: all proxies may come at once
const HOLD_MOST: u64 = 60_000; // ms that a call may wait

/// Lines of the list, and which of them changed when.
struct Lines {
    version: u64,
    endpoints: Vec<SocketAddr>,
    zones: u32,
    draining: Vec<bool>,
    /// Line that changed with each version, the first one with version 1.
    changed: Vec<u32>,
    /// The answer that was encoded last, and the versions it leads from and to.
    encoded: Option<(Option<u64>, u64, Arc<Vec<u8>>)>,
}

impl Lines {
    fn line(&self, number: u32) -> String {
        let endpoint = self.endpoints[number as usize % self.endpoints.len()];
        let state = if self.draining[number as usize] {
            "Terminating"
        } else {
            "Ready"
        };
        format!(
            r#"{{"uid":"s-{number:08x}","endpoint":"{endpoint}","az":"z{}","model":"m","pod_group":{},"state":"{state}","capacity_hint":1.0,"boot_ms":0.0}}"#,
            number % self.zones,
            number / 8
        )
    }

    /// The answer that leads from a version, or from nothing, to the present one.
    fn answer(&mut self, from: Option<u64>) -> Arc<Vec<u8>> {
        if let Some((has_from, to, bytes)) = &self.encoded
            && (*has_from, *to) == (from, self.version)
        {
            return bytes.clone();
        }
        let mut numbers: Vec<u32> = match from {
            None => (0..self.draining.len() as u32).collect(),
            Some(from) => self.changed[from as usize..].to_vec(),
        };
        numbers.sort_unstable();
        numbers.dedup();
        let lines: Vec<_> = numbers
            .into_iter()
            .map(|number| self.line(number))
            .collect();
        let body = format!(
            r#"{{"rev":{},"all":{},"targets":[{}]}}"#,
            self.version,
            from.is_none(),
            lines.join(",")
        );
        let bytes = response(
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        );
        let bytes = Arc::new(bytes);
        self.encoded = Some((from, self.version, bytes.clone()));
        bytes
    }
}

/// What the service has spent.
#[derive(Default)]
struct Spent {
    calls: AtomicU64,
    bytes: AtomicU64,
    connections: AtomicU64,
    /// ns.
    processor: AtomicU64,
}

/// What the service had spent at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bill {
    pub calls: u64,
    pub bytes: u64,
    pub connections: u64,
    /// s.
    pub processor: f64,
}

impl Bill {
    pub fn since(self, before: Self) -> Self {
        Self {
            calls: self.calls - before.calls,
            bytes: self.bytes - before.bytes,
            connections: self.connections - before.connections,
            processor: self.processor - before.processor,
        }
    }
}

struct Shared {
    lines: Mutex<Lines>,
    changed: watch::Sender<u64>,
    spent: Spent,
}

impl Shared {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        // One that panicked holding it left no half line behind: each change is one store.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The service; it ends with its owner.
pub struct ListService {
    shared: Arc<Shared>,
    at: SocketAddr,
    end: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ListService {
    /// A list of so many backends, which share the endpoints in turn and stand in `zones` zones.
    pub fn start(
        backends: u32,
        endpoints: &[SocketAddr],
        zones: u32,
    ) -> Result<Self, MeasurementError> {
        let lines = Lines {
            version: 0,
            endpoints: endpoints.to_vec(),
            zones: zones.max(1),
            draining: vec![false; backends as usize],
            changed: Vec::new(),
            encoded: None,
        };
        let shared = Arc::new(Shared {
            lines: Mutex::new(lines),
            changed: watch::channel(0).0,
            spent: Spent::default(),
        });
        let (end, ended) = oneshot::channel();
        let serve = {
            let shared = shared.clone();
            move |listener: TcpListener| async move {
                let accepting = spawn_local(accept(shared, listener));
                let _ = ended.await;
                accepting.abort();
            }
        };
        let (at, thread) = on_thread("list", serve)?;
        Ok(Self {
            shared,
            at,
            end: Some(end),
            thread: Some(thread),
        })
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// A line is draining now, or ready again if it was. The version that says so.
    pub fn change(&self, number: u32) -> u64 {
        let mut lines = self.shared.lines();
        let place = number as usize % lines.draining.len();
        lines.draining[place] = !lines.draining[place];
        lines.changed.push(place as u32);
        lines.version += 1;
        let version = lines.version;
        drop(lines);
        self.shared.changed.send_replace(version);
        version
    }

    pub fn bill(&self) -> Bill {
        let spent = &self.shared.spent;
        Bill {
            calls: spent.calls.load(Relaxed),
            bytes: spent.bytes.load(Relaxed),
            connections: spent.connections.load(Relaxed),
            processor: spent.processor.load(Relaxed) as f64 / 1e9,
        }
    }
}

impl Drop for ListService {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves on a thread of its own, with a listener on loopback.
pub(crate) fn on_thread<F: Future<Output = ()>>(
    name: &str,
    serve: impl FnOnce(TcpListener) -> F + Send + 'static,
) -> Result<(SocketAddr, std::thread::JoinHandle<()>), MeasurementError> {
    let (tell, told) = std::sync::mpsc::channel();
    let owner = name.to_owned();
    let body = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(source) => {
                let error = MeasurementError::EventLoop(source);
                return drop(tell.send(Err(error)));
            }
        };
        LocalSet::new().block_on(&runtime, async move {
            let listener = listen((Ipv4Addr::LOCALHOST, 0).into(), BACKLOG);
            match listener.and_then(|l| Ok((l.local_addr()?, l))) {
                Ok((at, listener)) => {
                    let _ = tell.send(Ok(at));
                    serve(listener).await;
                }
                Err(source) => {
                    drop(tell.send(Err(MeasurementError::Listener { owner, source })));
                }
            }
        });
    };
    let thread = std::thread::Builder::new()
        .name(name.into())
        .spawn(body)
        .map_err(|source| MeasurementError::ThreadStart {
            name: name.to_owned(),
            source,
        })?;
    let ended_early = |_| MeasurementError::ThreadEnded {
        name: name.to_owned(),
    };
    let at = told.recv().map_err(ended_early)??;
    Ok((at, thread))
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let clock = Clock::starting_in(Duration::ZERO);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                shared.spent.connections.fetch_add(1, Relaxed);
                spawn_local(connection(shared.clone(), Peer::new(stream), clock));
            }
            Err(fault) => {
                log::warn!("list service: no connection accepted: {fault}");
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

async fn connection(shared: Arc<Shared>, mut peer: Peer, clock: Clock) {
    let mut changed = shared.changed.subscribe();
    while let Ok(message) = peer.read(MessageKind::Request, &clock).await {
        let Some((from, hold)) = asked(&message) else {
            let _ = peer.write(&response(404, &[], b"no such list\n")).await;
            return;
        };
        // A version it never gave is one of another service: then all is told.
        let from = from.filter(|from| *from <= shared.lines().version);
        if let Some(from) = from {
            let until = Instant::now() + hold;
            while *changed.borrow_and_update() == from {
                select! {
                    _ = changed.changed() => {}
                    () = sleep_until(until) => break,
                    () = peer.closed() => return,
                }
            }
        }
        let bytes = shared.lines().answer(from);
        if peer.write(&bytes).await.is_err() {
            return;
        }
        let spent = &shared.spent;
        spent.calls.fetch_add(1, Relaxed);
        spent.bytes.fetch_add(bytes.len() as u64, Relaxed);
        spent
            .processor
            .store((usage::thread() * 1e9) as u64, Relaxed);
    }
}

/// The version a call starts from, if it is a watch, and how long it may wait.
fn asked(message: &Message) -> Option<(Option<u64>, Duration)> {
    let (path, query) = message.path.split_once('?').unwrap_or((&message.path, ""));
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let hold = number("hold_ms").unwrap_or(0).min(HOLD_MOST);
    (path == "/registry/instances").then(|| (number("from"), Duration::from_millis(hold)))
}
