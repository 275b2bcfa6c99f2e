//! Hollow proxies: each speaks the real protocol to the list service on a connection of its own and decides with the real
//! module when to ask and what stands in the list; all share a thread.
use crate::error::MeasurementError;
use crate::proxy::{Shape, settings};
use crate::usage;
use birchhub::balancer::Balancer;
use birchhub::interface::{Endpoint, EndpointUpdateKind, Platform, Readiness};
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{MessageKind, Peer, ReadError};
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::select;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const HOLD: u64 = 4_000; // ms that a call may wait, as a proxy on sockets asks for
const PATIENCE: Duration = Duration::from_secs(60); // for a whole list beside so many others

/// A line of the list, as far as it counts here.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    uid: Cow<'a, str>,
    az: &'a str,
    pod_group: u64,
    state: &'a str,
}

#[derive(Deserialize)]
struct List<'a> {
    rev: u64,
    all: bool,
    #[serde(borrow)]
    targets: Vec<Line<'a>>,
}

/// What the module asks for here: to be woken, and to be told of the list.
struct Door {
    begun: Instant,
    wake_at: Option<f64>,
    watches: bool,
}

impl Platform for Door {
    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
    fn start_attempt(&mut self, _rpc: u64, _backend: u32, _time_out: f64) {}
    fn cancel_attempt(&mut self, _rpc: u64, _pick: usize) {}
    fn reject(&mut self, _rpc: u64, _come_back: f64) {}
    fn fail(&mut self, _rpc: u64) {}
    fn health_check(&mut self, _backend: u32) {}
    fn watch_endpoints(&mut self) {
        self.watches = true;
    }
    fn schedule_timer(&mut self, delay: f64) {
        self.wake_at = Some(self.now() + delay);
    }
}

/// That a proxy has a version in force.
#[derive(Clone, Copy, Debug)]
pub struct InForce {
    pub proxy: u32,
    pub version: u64,
    pub at: Instant,
}

/// The reason for which a watch of the endpoint list ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// The connection could not be opened or written to.
    #[error("connection to the discovery service failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The discovery service did not respond in time.
    #[error("the discovery service did not respond in time")]
    TimedOut,
    /// The response ended early or was malformed.
    #[error("response of the discovery service: {0:?}")]
    Response(ReadError),
    /// The body is no endpoint list.
    #[error("endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    /// The owner of the simulated proxies has gone.
    #[error("the run has ended")]
    RunEnded,
}

struct Hollow {
    number: u32,
    list: SocketAddr,
    door: Door,
    balancer: Balancer,
    numbers: HashMap<String, u32>,
    version: Option<u64>,
    news: mpsc::UnboundedSender<InForce>,
    clock: Clock,
}

impl Hollow {
    async fn run(mut self) {
        self.balancer
            .update_endpoints(EndpointUpdateKind::StaleSnapshot, &[], &mut self.door);
        loop {
            while !self.door.watches {
                let Some(at) = self.door.wake_at.take() else {
                    return;
                };
                sleep(Duration::from_secs_f64((at - self.door.now()).max(0.0))).await;
                self.balancer.on_timer(&mut self.door);
            }
            self.door.watches = false;
            if let Err(fault) = self.watch().await {
                log::debug!("hollow proxy {}: {fault}", self.number);
            }
            self.balancer.on_discovery_failure(&mut self.door);
        }
    }

    async fn watch(&mut self) -> Result<(), WatchError> {
        let mut peer = Peer::connect(self.list).await?;
        loop {
            let path = match self.version {
                None => "/registry/instances".to_owned(),
                Some(from) => format!("/registry/instances?from={from}&hold_ms={HOLD}"),
            };
            let request = format!("GET {path} HTTP/1.1\r\nHost: list\r\n\r\n");
            peer.write(request.as_bytes()).await?;
            let answer = timeout(PATIENCE, peer.read(MessageKind::Response, &self.clock)).await;
            let answer = answer
                .map_err(|_| WatchError::TimedOut)?
                .map_err(WatchError::Response)?;
            let list: List = serde_json::from_slice(&answer.body)?;
            self.take(&list);
            // A proxy that has gone nowhere to tell it ends with the run.
            let told = InForce {
                proxy: self.number,
                version: list.rev,
                at: Instant::now(),
            };
            self.news.send(told).map_err(|_| WatchError::RunEnded)?;
        }
    }

    fn take(&mut self, list: &List) {
        self.version = Some(list.rev);
        let entry = |line: &Line| {
            let next = self.numbers.len() as u32;
            let backend = *self
                .numbers
                .entry(line.uid.clone().into_owned())
                .or_insert(next);
            let readiness = if line.state == "Ready" {
                Readiness::Ready
            } else {
                Readiness::Draining
            };
            let zone = line.az.trim_start_matches('z').parse().unwrap_or_default();
            Endpoint {
                backend,
                relative_size: 1.0,
                started_at: None,
                cell: line.pod_group,
                zone,
                readiness,
            }
        };
        let entries: Vec<_> = list.targets.iter().map(entry).collect();
        let kind = if list.all {
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Incremental
        };
        self.balancer
            .update_endpoints(kind, &entries, &mut self.door);
    }
}

/// So many of them, on a thread that ends with their owner.
pub struct HollowProxies {
    count: u32,
    news: mpsc::UnboundedReceiver<InForce>,
    processor: Arc<AtomicU64>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl HollowProxies {
    #[expect(clippy::too_many_lines)]
    pub fn start(count: u32, list: SocketAddr, seed: u64) -> Result<Self, MeasurementError> {
        let (tell, news) = mpsc::unbounded_channel();
        let (end, ended) = oneshot::channel::<()>();
        let processor = Arc::new(AtomicU64::new(0));
        let conf = birchhub_settings::parse_value(&settings(Shape::default()))?;
        let spent = processor.clone();
        let body = move || {
            let runtime = match tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            {
                Ok(runtime) => runtime,
                Err(fault) => return log::error!("no event loop: {fault}"),
            };
            LocalSet::new().block_on(&runtime, async move {
                let clock = Clock::starting_in(Duration::ZERO);
                for number in 0..count {
                    let hollow = Hollow {
                        number,
                        list,
                        door: Door {
                            begun: Instant::now(),
                            wake_at: None,
                            watches: false,
                        },
                        balancer: Balancer::new(
                            &conf.settings,
                            seed.wrapping_add(u64::from(number)),
                        ),
                        numbers: HashMap::new(),
                        version: None,
                        news: tell.clone(),
                        clock,
                    };
                    spawn_local(hollow.run());
                }
                drop(tell);
                let count = async {
                    loop {
                        sleep(Duration::from_millis(2)).await;
                        spent.store((usage::thread() * 1e9) as u64, Relaxed);
                    }
                };
                select! {
                    _ = ended => {}
                    () = count => {}
                }
            });
        };
        let thread = std::thread::Builder::new()
            .name("hollow".into())
            .spawn(body);
        let thread = thread.map_err(|source| MeasurementError::ThreadStart {
            name: "hollow".to_owned(),
            source,
        })?;
        Ok(Self {
            count,
            news,
            processor,
            end: Some(end),
            thread: Some(thread),
        })
    }

    /// Processor time of all of them, s.
    pub fn processor(&self) -> f64 {
        self.processor.load(Relaxed) as f64 / 1e9
    }

    /// Waits until all have this version or a later one; when the last did.
    pub async fn all_have(
        &mut self,
        version: u64,
        within: Duration,
    ) -> Result<Instant, MeasurementError> {
        let (mut missing, mut last) = (vec![true; self.count as usize], Instant::now());
        let mut left = self.count;
        let wait = async {
            while left > 0 {
                let news = self.news.recv().await?;
                if news.version >= version && std::mem::take(&mut missing[news.proxy as usize]) {
                    (left, last) = (left - 1, news.at);
                }
            }
            Some(())
        };
        let had = timeout(within, wait).await;
        match had {
            Ok(Some(())) => Ok(last),
            Ok(None) => Err(MeasurementError::SimulatedProxiesEnded),
            Err(_) => Err(MeasurementError::EndpointListNotReceived {
                missing: left,
                count: self.count,
            }),
        }
    }
}

impl Drop for HollowProxies {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
