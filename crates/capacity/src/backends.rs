//! Hollow backends: a few listeners that stand for as many backends as the list names. Their work is waited for, and each
//! answer says how long it took, so that it can be taken off what a client waited.
use crate::error::MeasurementError;
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{MessageKind, Peer, listen, response};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const BACKLOG: u32 = 1024; // connections that wait to be accepted: a burst must not be turned away
const LOAD: &str = "inflight=0,queue=0,util=0.1"; // that each reports
const LISTENERS: u32 = 32; // that share the backends: a few descriptors, and no port that a thousand pairs wear out

pub const WORK: Duration = Duration::from_millis(10); // that an RPC takes: as a proxy keeps some under way

/// The name of the backends' thread.
const BACKENDS_THREAD: &str = "backends";

#[derive(Default)]
struct Counts {
    connections: AtomicU64,
    requests: AtomicU64,
    probes: AtomicU64,
}

/// What all of them have met.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Met {
    pub connections: u64,
    pub requests: u64,
    pub probes: u64,
}

impl Met {
    pub fn since(self, before: Self) -> Self {
        Self {
            connections: self.connections - before.connections,
            requests: self.requests - before.requests,
            probes: self.probes - before.probes,
        }
    }
}

/// All of them, on a thread that ends with their owner.
pub struct Backends {
    counts: Arc<Counts>,
    endpoints: Vec<SocketAddr>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Backends {
    /// They close a connection that has stood idle for so long.
    pub fn start(idle: Duration) -> Result<Self, MeasurementError> {
        let counts = Arc::new(Counts::default());
        let (end, ended) = oneshot::channel();
        let (tell, told) = std::sync::mpsc::channel();
        let serve = {
            let counts = counts.clone();
            move |first: TcpListener| async move {
                let more = (1..LISTENERS).map(|_| listen((Ipv4Addr::LOCALHOST, 0).into(), BACKLOG));
                let listeners: Result<Vec<_>, _> = std::iter::once(Ok(first)).chain(more).collect();
                let opened = listeners.and_then(|listeners| {
                    let at = listeners
                        .iter()
                        .map(TcpListener::local_addr)
                        .collect::<Result<Vec<_>, _>>()?;
                    Ok((at, listeners))
                });
                let listeners = match opened {
                    Ok((at, listeners)) => {
                        let _ = tell.send(Ok(at));
                        listeners
                    }
                    Err(source) => {
                        let owner = BACKENDS_THREAD.to_owned();
                        let error = MeasurementError::Listener { owner, source };
                        return drop(tell.send(Err(error)));
                    }
                };
                for listener in listeners {
                    spawn_local(accept(counts.clone(), listener, idle));
                }
                let _ = ended.await;
            }
        };
        let (_, thread) = crate::list::on_thread(BACKENDS_THREAD, serve)?;
        let ended_early = |_| MeasurementError::ThreadEnded {
            name: BACKENDS_THREAD.to_owned(),
        };
        let endpoints = told.recv().map_err(ended_early)??;
        Ok(Self {
            counts,
            endpoints,
            end: Some(end),
            thread: Some(thread),
        })
    }

    pub fn endpoints(&self) -> &[SocketAddr] {
        &self.endpoints
    }

    pub fn met(&self) -> Met {
        Met {
            connections: self.counts.connections.load(Relaxed),
            requests: self.counts.requests.load(Relaxed),
            probes: self.counts.probes.load(Relaxed),
        }
    }
}

impl Drop for Backends {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(counts: Arc<Counts>, listener: TcpListener, idle: Duration) {
    let clock = Clock::starting_in(Duration::ZERO);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                counts.connections.fetch_add(1, Relaxed);
                spawn_local(connection(counts.clone(), Peer::new(stream), clock, idle));
            }
            Err(fault) => {
                log::warn!("hollow backend: no connection accepted: {fault}");
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

/// What an answer's body says that the work took, us.
pub fn served(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body)
        .ok()?
        .strip_prefix("served ")?
        .parse()
        .ok()
}

async fn connection(counts: Arc<Counts>, mut peer: Peer, clock: Clock, idle: Duration) {
    while let Ok(Ok(message)) = timeout(idle, peer.read(MessageKind::Request, &clock)).await {
        let begun = Instant::now();
        let body = if message.path == "/stats" {
            counts.probes.fetch_add(1, Relaxed);
            LOAD.to_owned()
        } else {
            counts.requests.fetch_add(1, Relaxed);
            sleep(WORK).await;
            format!("served {}", begun.elapsed().as_micros())
        };
        let answer = response(200, &[("Server-Load", LOAD)], body.as_bytes());
        if peer.write(&answer).await.is_err() || message.is_last() {
            return;
        }
    }
}
