//! The list service: which nodes there are and how they do, told whole or as changes, to each proxy at an address of its
//! own, so that it knows to whom it has told what.
use crate::event_log::EventLog;
use crate::wire::{Message, MessageKind, Peer, listen, response};
use birchhub_audit::{EndpointState, Event};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::{Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

const BACKLOG: u32 = 64;
const HOLD_MOST: u64 = 60_000; // ms that a call may wait
const BUSY: Duration = Duration::from_millis(5); // before accepting again when descriptors are out

/// What the list says of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub zone: String,
    pub rack: u64,
    pub machine: String,
    pub capacity: f64,
    /// Its address for each proxy.
    pub addresses: Vec<SocketAddr>,
    pub state: EndpointState,
    pub incarnation: u32,
    /// When it last started, Unix time in ms; 0 for long ago.
    pub boot_ms: f64,
}

impl Endpoint {
    /// As it is told to a proxy.
    pub fn to_json(&self, proxy: u16) -> Value {
        let state = match self.state {
            EndpointState::Ready => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Gone => "Gone",
        };
        let endpoint = self
            .addresses
            .get(proxy as usize)
            .map(ToString::to_string)
            .unwrap_or_default();
        json!({"uid": self.name, "endpoint": endpoint, "az": self.zone, "model": self.machine,
            "pod_group": self.rack, "state": state, "capacity_hint": self.capacity, "boot_ms": self.boot_ms})
    }
}

/// The list at one version.
#[derive(Clone, Debug, Default)]
struct EndpointListSnapshot {
    version: u64,
    /// Every node that ever was, with the version at which it last changed.
    lines: BTreeMap<u32, (u64, Endpoint)>,
}

/// How the service fares, for all proxies or for one.
#[derive(Default)]
struct FaultState {
    down: usize,
    /// Proxies that get an old copy, each with the copy and how often that was asked for.
    stale: HashMap<u16, (usize, EndpointListSnapshot)>,
}

/// How many calls the service works on at a time, and how long on each. It refuses more with 503; a watch that waits
/// for something new is none of them, and is answered in its turn.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    slots: Rc<Semaphore>,
    call: Duration,
    line: Duration,
}

impl ServiceCapacity {
    /// `calls` at a time, of `call` each and `line` more for each line that is told.
    pub fn new(calls: usize, call: Duration, line: Duration) -> Self {
        Self {
            slots: Rc::new(Semaphore::new(calls)),
            call,
            line,
        }
    }
}

pub struct DiscoveryService {
    event_log: EventLog,
    addresses: Vec<SocketAddr>,
    now: RefCell<EndpointListSnapshot>,
    fault_state: RefCell<FaultState>,
    /// What each proxy was told last of each node.
    told: RefCell<HashMap<(u16, u32), (u32, EndpointState)>>,
    changed: watch::Sender<u64>,
    calls: Cell<u64>,
    refused: Cell<u64>,
    capacity: RefCell<Option<ServiceCapacity>>,
}

impl DiscoveryService {
    /// Begins to listen, on the IP that is given for each proxy.
    pub fn start(event_log: EventLog, addresses: &[IpAddr]) -> io::Result<Rc<Self>> {
        let listeners = addresses
            .iter()
            .map(|ip| listen((*ip, 0).into(), BACKLOG))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let service = Rc::new(Self {
            event_log,
            addresses,
            now: RefCell::default(),
            fault_state: RefCell::default(),
            told: RefCell::default(),
            changed: watch::channel(0).0,
            calls: Cell::new(0),
            refused: Cell::new(0),
            capacity: RefCell::default(),
        });
        for (proxy, listener) in listeners.into_iter().enumerate() {
            spawn_local(service.clone().accept(proxy as u16, listener));
        }
        Ok(service)
    }

    pub fn address(&self, proxy: u16) -> Option<SocketAddr> {
        self.addresses.get(proxy as usize).copied()
    }

    /// Calls answered so far.
    pub fn answered_calls(&self) -> u64 {
        self.calls.get()
    }

    /// Calls refused so far for want of room.
    pub fn rejected_calls(&self) -> u64 {
        self.refused.get()
    }

    /// It takes only so many calls at a time from now on.
    pub fn set_capacity(&self, capacity: ServiceCapacity) {
        self.capacity.replace(Some(capacity));
    }

    fn wake(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// A node is now so. Proxies that watch are told.
    pub fn update_endpoint(&self, node: u32, line: Endpoint) {
        self.event_log.record(Event::EndpointChanged {
            backend: node,
            incarnation: line.incarnation,
            state: line.state,
        });
        let mut now = self.now.borrow_mut();
        now.version += 1;
        let version = now.version;
        now.lines.insert(node, (version, line));
        drop(now);
        self.wake();
    }

    /// It fails every call from now on, or answers again.
    pub fn set_down(&self, down: bool) {
        let mut fault_state = self.fault_state.borrow_mut();
        fault_state.down = if down {
            fault_state.down + 1
        } else {
            fault_state.down.saturating_sub(1)
        };
        drop(fault_state);
        self.wake();
    }

    /// A proxy gets the copy of this moment from now on, or the true list again.
    pub fn set_stale(&self, proxy: u16, stale: bool) {
        let mut fault_state = self.fault_state.borrow_mut();
        if stale {
            let copy = self.now.borrow().clone();
            fault_state.stale.entry(proxy).or_insert((0, copy)).0 += 1;
        } else if let Some(slot) = fault_state.stale.get_mut(&proxy) {
            slot.0 -= 1;
            if slot.0 == 0 {
                fault_state.stale.remove(&proxy);
            }
        }
        drop(fault_state);
        self.wake();
    }

    fn is_down(&self) -> bool {
        self.fault_state.borrow().down > 0
    }

    /// The list as a proxy gets it.
    fn copy<R>(&self, proxy: u16, look: impl FnOnce(&EndpointListSnapshot) -> R) -> R {
        match self.fault_state.borrow().stale.get(&proxy) {
            Some((_, copy)) => look(copy),
            None => look(&self.now.borrow()),
        }
    }

    /// The whole list for a proxy that starts, noted as told.
    pub fn initial_snapshot(&self, proxy: u16) -> Value {
        let (body, told) = self.body(proxy, None);
        self.note(proxy, true, told);
        body
    }

    /// What an answer to a proxy says: all of it, or what has changed since a version.
    fn body(&self, proxy: u16, from: Option<u64>) -> (Value, Vec<(u32, u32, EndpointState)>) {
        self.copy(proxy, |copy| {
            let wanted = |(_, (version, line)): &(&u32, &(u64, Endpoint))| match from {
                None => line.state != EndpointState::Gone,
                Some(from) => *version > from,
            };
            let lines: Vec<_> = copy.lines.iter().filter(wanted).collect();
            let targets: Vec<_> = lines
                .iter()
                .map(|(_, (_, line))| line.to_json(proxy))
                .collect();
            let told = lines
                .iter()
                .map(|(node, (_, line))| (**node, line.incarnation, line.state))
                .collect();
            (
                json!({"rev": copy.version, "all": from.is_none(), "targets": targets}),
                told,
            )
        })
    }

    /// The proxy has been told this; what a whole list leaves out is gone.
    fn note(&self, proxy: u16, whole: bool, told: Vec<(u32, u32, EndpointState)>) {
        let mut known = self.told.borrow_mut();
        let mut news = told;
        if whole {
            let left_out = |((p, node), (incarnation, _)): (&(u16, u32), &(u32, EndpointState))| {
                let missing = *p == proxy && news.iter().all(|(n, ..)| n != node);
                missing.then_some((*node, *incarnation, EndpointState::Gone))
            };
            let gone: Vec<_> = known.iter().filter_map(left_out).collect();
            news.extend(gone);
        }
        for (node, incarnation, state) in news {
            if known.insert((proxy, node), (incarnation, state)) != Some((incarnation, state)) {
                self.event_log.record(Event::ProxyNotified {
                    proxy,
                    backend: node,
                    incarnation,
                    state,
                });
            }
        }
    }

    /// A proxy starts again and remembers nothing.
    pub fn forget_proxy(&self, proxy: u16) {
        self.told.borrow_mut().retain(|(p, _), _| *p != proxy);
    }

    async fn accept(self: Rc<Self>, proxy: u16, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.is_down() => Peer::new(stream).reset(),
                Ok((stream, _)) => drop(spawn_local(
                    self.clone().connection(proxy, Peer::new(stream)),
                )),
                Err(fault) => {
                    log::warn!("list service: no connection accepted: {fault}");
                    sleep(BUSY).await;
                }
            }
        }
    }

    #[expect(clippy::too_many_lines)]
    async fn connection(self: Rc<Self>, proxy: u16, mut peer: Peer) {
        let clock = self.event_log.clock;
        loop {
            let message = select! {
                message = peer.read(MessageKind::Request, &clock) => message,
                () = self.until_down() => return peer.reset(),
            };
            let Ok(message) = message else { return };
            let Some((from, hold)) = asked(&message) else {
                let _ = peer.write(&response(404, &[], b"no such list\n")).await;
                return;
            };
            let capacity = self.capacity.borrow().clone();
            let mut slot = match capacity
                .as_ref()
                .map(|capacity| capacity.slots.try_acquire())
            {
                Some(Err(_)) => {
                    self.refused.set(self.refused.get() + 1);
                    if peer
                        .write(&response(503, &[], b"too many calls\n"))
                        .await
                        .is_err()
                    {
                        return;
                    }
                    continue;
                }
                slot => slot.and_then(Result::ok),
            };
            if let Some(from) = from {
                if self.copy(proxy, |copy| copy.version == from) {
                    slot = None;
                }
                select! {
                    () = self.until_newer(proxy, from, hold) => {}
                    () = self.until_down() => return peer.reset(),
                    () = peer.closed() => return,
                }
            }
            // A version it never gave is one of another service, or of the future: then all is told.
            let from = from.filter(|from| self.copy(proxy, |copy| *from <= copy.version));
            if let Some(capacity) = &capacity {
                if slot.is_none() {
                    slot = capacity.slots.acquire().await.ok();
                }
                let lines = self.body(proxy, from).1.len() as u32;
                select! {
                    () = sleep(capacity.call + capacity.line * lines) => {}
                    () = self.until_down() => return peer.reset(),
                }
            }
            let (body, told) = self.body(proxy, from);
            drop(slot);
            let bytes = response(
                200,
                &[("Content-Type", "application/json")],
                body.to_string().as_bytes(),
            );
            if peer.write(&bytes).await.is_err() {
                return;
            }
            self.calls.set(self.calls.get() + 1);
            self.note(proxy, from.is_none(), told);
        }
    }

    async fn until_down(&self) {
        let mut changed = self.changed.subscribe();
        while !self.is_down() {
            let _ = changed.changed().await;
        }
    }

    async fn until_newer(&self, proxy: u16, from: u64, hold: Duration) {
        let until = Instant::now() + hold;
        let mut changed = self.changed.subscribe();
        while self.copy(proxy, |copy| copy.version == from) {
            select! {
                _ = changed.changed() => {}
                () = sleep_until(until) => return,
            }
        }
    }
}

/// The version a call starts from, if it is a watch, and how long it may wait.
fn asked(message: &Message) -> Option<(Option<u64>, Duration)> {
    let (path, query) = message.path.split_once('?').unwrap_or((&message.path, ""));
    if path != "/registry/instances" {
        return None;
    }
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let hold = number("hold_ms").unwrap_or(0).min(HOLD_MOST);
    Some((number("from"), Duration::from_millis(hold)))
}
