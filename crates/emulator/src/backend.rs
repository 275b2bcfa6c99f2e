//! One api node on sockets: the model behind a door for each proxy, so that it knows who sends what. Each incarnation of the node
//! has tasks of its own (one that accepts at each door, one a connection, and the one that drives the model), and
//! all of them end with it.
use crate::faults::{ActiveFaults, Fault};
use crate::fleet::Fleet;
use crate::wire::{Message, MessageKind, Peer, listen, response};
use birchhub_audit::Event;
use birchhub_audit::event::{Admission, AttemptEnd, ReceivedAttempt};
use birchhub_backend_model::{
    AttemptId, Backend, BackendEvent, IncomingWork, LoadReport, RejectionReason, Spec, Start,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const BACKLOG: u32 = 256; // connections that wait to be accepted at a door
const BUSY: Duration = Duration::from_millis(5); // before accepting again when descriptors are out

/// What a node is and where.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    pub index: u32,
    pub name: String,
    pub zone: u32,
    pub rack: u32,
    /// Capacity, queue and slow start of its model.
    pub model: Spec,
    /// A connection that stood idle for so long is closed, s.
    pub idle_timeout_seconds: f64,
}

/// How an incarnation ends for those who are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    Running,
    /// Connections are closed.
    Stopped,
    /// Connections are reset.
    Crashed,
}

/// How an attempt ended at the node.
#[derive(Clone, Copy, Debug)]
struct Completion;

struct Incarnation {
    number: u32,
    node: Backend,
    waiting: HashMap<AttemptId, oneshot::Sender<Completion>>,
    shutdown: watch::Sender<Shutdown>,
    /// Stalls that last, by their numbers.
    stalls: BTreeSet<u64>,
}

/// The node. Its addresses stay the same over all its incarnations.
pub struct EmulatedBackend {
    pub spec: BackendSpec,
    fleet: Rc<Fleet>,
    pub faults: ActiveFaults,
    addresses: Vec<SocketAddr>,
    incarnation: RefCell<Option<Incarnation>>,
    /// Part of the machine that neighbours leave.
    machine: Cell<f64>,
    /// The model's next event may have timer_changed.
    timer_changed: Notify,
    /// ActiveFaults or stalls have changed.
    fault_state: watch::Sender<u64>,
}

/// What a connection does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Read,
    Close,
    Reset,
}

/// A connection's spec among those that the node holds, given back when it is dropped.
struct Slot {
    host: Rc<EmulatedBackend>,
    incarnation: u32,
    held: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.held {
            self.host.with(self.incarnation, |incarnation| {
                incarnation.node.disconnect()
            });
        }
    }
}

/// An attempt that the node holds; however it ends, that is told once.
struct Attempt<'a> {
    host: &'a EmulatedBackend,
    incarnation: u32,
    attempt_id: AttemptId,
    how: AttemptEnd,
    /// When the proxy gave it up, if that was before the node could take it.
    closed_at: Option<f64>,
}

impl Attempt<'_> {
    /// The proxy no longer waits: the work is dropped where the model says so.
    fn withdrawn(mut self) {
        self.how = AttemptEnd::Cancelled;
        self.host
            .change(self.incarnation, |incarnation, now, fleet, out| {
                incarnation.waiting.remove(&self.attempt_id);
                incarnation.node.cancel(
                    now,
                    self.attempt_id,
                    &mut fleet.deduplication.borrow_mut(),
                    out,
                );
            });
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let event_log = &self.host.fleet.event_log;
        let at = self.closed_at.unwrap_or_else(|| event_log.clock.now());
        let (attempt_id, how) = (self.attempt_id, self.how);
        event_log.record_at(at, Event::AttemptEnded { attempt_id, how });
    }
}

impl EmulatedBackend {
    /// Reserves an address for each proxy, on the IP that is given for it.
    pub fn new(spec: BackendSpec, fleet: Rc<Fleet>, addresses: &[IpAddr]) -> io::Result<Rc<Self>> {
        let reserve = |ip: &IpAddr| std::net::TcpListener::bind((*ip, 0))?.local_addr();
        let addresses = addresses.iter().map(reserve).collect::<io::Result<_>>()?;
        let (incarnation, faults, timer_changed) =
            (RefCell::new(None), ActiveFaults::default(), Notify::new());
        let machine = Cell::new(1.0);
        Ok(Rc::new(Self {
            spec,
            fleet,
            faults,
            addresses,
            incarnation,
            machine,
            timer_changed,
            fault_state: watch::channel(0).0,
        }))
    }

    /// Its address for a proxy.
    pub fn address(&self, proxy: u16) -> Option<SocketAddr> {
        self.addresses.get(proxy as usize).copied()
    }

    /// Number of the incarnation it is in.
    pub fn incarnation(&self) -> Option<u32> {
        self.incarnation
            .borrow()
            .as_ref()
            .map(|incarnation| incarnation.number)
    }

    /// Whether it holds nothing, or is not there.
    pub fn is_idle(&self) -> bool {
        self.incarnation
            .borrow()
            .as_ref()
            .is_none_or(|incarnation| incarnation.node.in_flight() == 0)
    }

    pub fn in_flight(&self) -> usize {
        self.incarnation
            .borrow()
            .as_ref()
            .map_or(0, |incarnation| incarnation.node.in_flight())
    }

    /// Begins an incarnation; the one before must have ended.
    pub fn start(self: &Rc<Self>, start: Start) -> io::Result<u32> {
        let listeners = self
            .addresses
            .iter()
            .map(|at| listen(*at, BACKLOG))
            .collect::<io::Result<Vec<_>>>()?;
        let number = self.fleet.new_incarnation();
        let now = self.fleet.event_log.clock.now();
        let spec = &self.spec.model;
        let warm_capacity = (spec.cores as f64 * spec.speed) as f32;
        let mut node = Backend::new(spec.clone(), now, start);
        node.scale(
            now,
            self.machine.get(),
            &mut self.fleet.deduplication.borrow_mut(),
            &mut Vec::new(),
        );
        let (shutdown, seen) = watch::channel(Shutdown::Running);
        self.fleet.event_log.record(Event::BackendStarted {
            incarnation: number,
            backend: self.spec.index,
            cold: start == Start::Cold,
            warm_capacity,
        });
        *self.incarnation.borrow_mut() = Some(Incarnation {
            number,
            node,
            waiting: HashMap::new(),
            shutdown,
            stalls: BTreeSet::new(),
        });
        for (proxy, listener) in listeners.into_iter().enumerate() {
            spawn_local(
                self.clone()
                    .accept(number, proxy as u16, listener, seen.clone()),
            );
        }
        spawn_local(self.clone().drive(number, seen));
        Ok(number)
    }

    /// Its process dies: all it held is lost, connections are reset.
    pub fn crash(&self) {
        self.end(Shutdown::Crashed);
    }

    /// Its process ends; what it still holds is lost.
    pub fn stop(&self) {
        self.end(Shutdown::Stopped);
    }

    fn end(&self, how: Shutdown) {
        if let Some(mut incarnation) = self.incarnation.borrow_mut().take() {
            incarnation.node.crash();
            self.fleet.event_log.record(Event::BackendEnded {
                incarnation: incarnation.number,
            });
            incarnation.shutdown.send_replace(how);
        }
    }

    /// It finishes what it has and turns away what is new.
    pub fn drain(&self) {
        if let Some(incarnation) = self.incarnation.borrow_mut().as_mut() {
            incarnation.node.drain();
            self.fleet.event_log.record(Event::BackendDraining {
                incarnation: incarnation.number,
            });
        }
    }

    /// Its process stands still from now on. A process that starts later does not.
    pub fn begin_stall(&self, number: u64) {
        self.stall(|stalls| stalls.insert(number));
    }

    pub fn end_stall(&self, number: u64) {
        self.stall(|stalls| stalls.remove(&number));
    }

    fn stall(&self, turn: impl FnOnce(&mut BTreeSet<u64>) -> bool) {
        let Some(number) = self.incarnation() else {
            return;
        };
        self.change(number, |incarnation, now, fleet, out| {
            let before = incarnation.stalls.is_empty();
            turn(&mut incarnation.stalls);
            let stands = !incarnation.stalls.is_empty();
            if stands == before {
                incarnation
                    .node
                    .stall(now, stands, &mut fleet.deduplication.borrow_mut(), out);
            }
        });
        self.fault_state.send_modify(|n| *n += 1);
    }

    /// Its machine does `factor` of what it did; processes that start later find it so.
    pub fn scale_machine_speed(&self, factor: f64) {
        self.machine.set(self.machine.get() * factor);
        if let Some(number) = self.incarnation() {
            self.change(number, |incarnation, now, fleet, out| {
                incarnation
                    .node
                    .scale(now, factor, &mut fleet.deduplication.borrow_mut(), out);
            });
        }
    }

    pub fn begin_fault(&self, number: u64, fault: Fault) {
        self.faults.begin(number, fault);
        self.fault_state.send_modify(|n| *n += 1);
    }

    pub fn end_fault(&self, number: u64) {
        self.faults.end(number);
        self.fault_state.send_modify(|n| *n += 1);
    }

    /// Looks into an incarnation, if it is still this one.
    fn with<R>(&self, number: u32, look: impl FnOnce(&mut Incarnation) -> R) -> Option<R> {
        self.incarnation
            .borrow_mut()
            .as_mut()
            .filter(|incarnation| incarnation.number == number)
            .map(look)
    }

    /// Changes an incarnation at this moment, then tells what happened by itself.
    fn change<R>(
        &self,
        number: u32,
        change: impl FnOnce(&mut Incarnation, f64, &Fleet, &mut Vec<BackendEvent>) -> R,
    ) -> Option<R> {
        let (now, mut out) = (self.fleet.event_log.clock.now(), Vec::new());
        let result = self.with(number, |incarnation| {
            change(incarnation, now, &self.fleet, &mut out)
        });
        self.record(number, out);
        self.timer_changed.notify_one();
        result
    }

    fn record(&self, number: u32, happened: Vec<BackendEvent>) {
        let event_log = &self.fleet.event_log;
        for event in happened {
            let attempt_id = match event {
                BackendEvent::Started(attempt_id) => {
                    event_log.record(Event::ExecutionStarted { attempt_id });
                    continue;
                }
                BackendEvent::Finished(attempt_id) => {
                    event_log.record(Event::ExecutionFinished { attempt_id });
                    attempt_id
                }
                BackendEvent::DuplicateDropped(attempt_id) => {
                    event_log.record(Event::DuplicateDropped { attempt_id });
                    attempt_id
                }
                BackendEvent::Collapsed => {
                    event_log.record(Event::BackendCollapsed {
                        incarnation: number,
                    });
                    self.end(Shutdown::Crashed);
                    continue;
                }
            };
            // Nobody waits for the work of a health check, nor for a cancelled attempt.
            if let Some(waiter) = self
                .with(number, |incarnation| {
                    incarnation.waiting.remove(&attempt_id)
                })
                .flatten()
            {
                let _ = waiter.send(Completion);
            }
        }
    }

    /// Lets the model's events happen when they are due.
    async fn drive(self: Rc<Self>, number: u32, mut shutdown: watch::Receiver<Shutdown>) {
        let clock = self.fleet.event_log.clock;
        loop {
            let next = self
                .with(number, |incarnation| incarnation.node.next_event())
                .flatten();
            select! {
                biased;
                _ = shutdown.changed() => return,
                () = clock.sleep_until(next.unwrap_or(f64::MAX)), if next.is_some() => {}
                () = self.timer_changed.notified() => continue,
            }
            let (now, mut out) = (clock.now(), Vec::new());
            if let Some(due) = next {
                self.fleet.event_log.record(Event::EmulatorLate {
                    by: (now - due).max(0.0) as f32,
                });
            }
            self.with(number, |incarnation| {
                incarnation
                    .node
                    .advance(now, &mut self.fleet.deduplication.borrow_mut(), &mut out)
            });
            self.record(number, out);
        }
    }

    /// Waits until this proxy is cut off, or no longer.
    async fn until_partitioned(&self, proxy: u16, cut: bool) {
        let mut fault_state = self.fault_state.subscribe();
        while self.faults.is_partitioned(proxy) != cut {
            let _ = fault_state.changed().await;
        }
    }

    /// Waits until the process no longer stands still; tells when the peer closed the connection meanwhile, if it did.
    async fn until_awake(&self, peer: &mut Peer, number: u32) -> Option<f64> {
        let mut fault_state = self.fault_state.subscribe();
        let mut closed_at = None;
        while self
            .with(number, |incarnation| !incarnation.stalls.is_empty())
            .unwrap_or(false)
        {
            select! {
                _ = fault_state.changed() => {}
                () = peer.closed(), if closed_at.is_none() => {
                    closed_at = Some(self.fleet.event_log.clock.now());
                }
            }
        }
        closed_at
    }

    async fn accept(
        self: Rc<Self>,
        number: u32,
        proxy: u16,
        listener: TcpListener,
        mut shutdown: watch::Receiver<Shutdown>,
    ) {
        loop {
            let accepted = select! {
                biased;
                _ = shutdown.changed() => return,
                () = self.until_partitioned(proxy, true) => {
                    self.until_partitioned(proxy, false).await;
                    // What came up while it was cut off never did.
                    while let Poll::Ready(Ok((stream, _))) = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await {
                        Peer::new(stream).reset();
                    }
                    continue;
                }
                // A process that stands still is sent to all the same: the system accepts for it.
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let held = self
                        .with(number, |incarnation| incarnation.node.connect())
                        .unwrap_or(false);
                    let slot = Slot {
                        host: self.clone(),
                        incarnation: number,
                        held,
                    };
                    spawn_local(self.clone().connection(
                        Peer::new(stream),
                        proxy,
                        slot,
                        shutdown.clone(),
                    ));
                }
                Err(fault) => {
                    log::warn!("{}: no connection accepted: {fault}", self.spec.name);
                    sleep(BUSY).await;
                }
            }
        }
    }

    /// One connection, until it ends or the incarnation does. A proxy that is cut off meets silence until that is over,
    /// and a reset then.
    async fn connection(
        self: Rc<Self>,
        mut peer: Peer,
        proxy: u16,
        slot: Slot,
        mut shutdown: watch::Receiver<Shutdown>,
    ) {
        let ended = async {
            let how = shutdown.wait_for(|state| *state != Shutdown::Running).await;
            how.map_or(Shutdown::Crashed, |how| *how)
        };
        let reset = select! {
            biased;
            how = ended => how == Shutdown::Crashed,
            () = self.until_partitioned(proxy, true) => {
                self.until_partitioned(proxy, false).await;
                true
            }
            next = self.serve(&mut peer, proxy, &slot) => next == Next::Reset,
        };
        if reset {
            peer.reset();
        }
    }

    async fn serve(&self, peer: &mut Peer, proxy: u16, slot: &Slot) -> Next {
        let clock = self.fleet.event_log.clock;
        let idle = Duration::from_secs_f64(self.spec.idle_timeout_seconds);
        loop {
            let Ok(Ok(message)) = timeout(idle, peer.read(MessageKind::Request, &clock)).await
            else {
                return Next::Close;
            };
            let closed_at = self.until_awake(peer, slot.incarnation).await;
            let next = match message.path.as_str() {
                "/health/live" | "/stats" => self.probe(peer, &message, slot.incarnation).await,
                _ => self.rpc(peer, &message, proxy, slot, closed_at).await,
            };
            if next != Next::Read || message.is_last() {
                return if next == Next::Reset {
                    Next::Reset
                } else {
                    Next::Close
                };
            }
        }
    }

    fn report(&self, incarnation: u32) -> LoadReport {
        let now = self.fleet.event_log.clock.now();
        self.with(incarnation, |incarnation| incarnation.node.report(now))
            .unwrap_or_default()
    }

    /// Writes an answer, with the load where answers carry it.
    async fn answer(
        &self,
        peer: &mut Peer,
        incarnation: u32,
        status: u16,
        more: &[(&str, &str)],
        body: &[u8],
    ) -> Next {
        let bytes = self.encode(incarnation, status, more, body);
        if peer.write(&bytes).await.is_ok() {
            Next::Read
        } else {
            Next::Close
        }
    }

    fn encode(&self, incarnation: u32, status: u16, more: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let load = load_text(&self.report(incarnation));
        let mut headers = more.to_vec();
        if self.fleet.reports_in_responses {
            headers.push(("Server-Load", &load));
        }
        response(status, &headers, body)
    }

    async fn probe(&self, peer: &mut Peer, message: &Message, incarnation: u32) -> Next {
        if !self.fleet.answers_probes {
            return self
                .answer(peer, incarnation, 404, &[], b"no probes here\n")
                .await;
        }
        if self.fleet.probe_work_seconds > 0.0 {
            let incoming = IncomingWork {
                attempt_id: self.fleet.new_attempt_id(),
                work: self.fleet.probe_work_seconds,
                idempotency_key: None,
                first_on_connection: false,
            };
            // A probe is answered also where its work found no room.
            self.change(incarnation, |incarnation, now, fleet, out| {
                let _ = incarnation.node.receive(
                    now,
                    incoming,
                    &mut fleet.deduplication.borrow_mut(),
                    out,
                );
            });
        }
        let body = if message.path == "/stats" {
            load_text(&self.report(incarnation))
        } else {
            "ok".to_owned()
        };
        self.answer(peer, incarnation, 200, &[], body.as_bytes())
            .await
    }

    #[expect(clippy::too_many_lines)]
    async fn rpc(
        &self,
        peer: &mut Peer,
        message: &Message,
        proxy: u16,
        slot: &Slot,
        closed_at: Option<f64>,
    ) -> Next {
        let (fleet, incarnation) = (&self.fleet, slot.incarnation);
        let id = message.header("request-id");
        let Some(request_id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
            let status = if id.is_some() { 400 } else { 404 };
            return self
                .answer(peer, incarnation, status, &[], b"no such RPC\n")
                .await;
        };
        let key = message.header("idempotency-key");
        let (zone, rack) = (self.spec.zone, self.spec.rack);
        let Some((work, idempotency_key)) =
            fleet.cost(message.class(), request_id, key, zone, rack)
        else {
            return self
                .answer(peer, incarnation, 404, &[], b"no such method\n")
                .await;
        };
        let attempt_id = fleet.new_attempt_id();
        let got = |admission, overload: f64| {
            // An attempt that was given up before the node could take it had come by then.
            let at = closed_at.unwrap_or_else(|| fleet.event_log.clock.now());
            fleet.event_log.record_at(
                at,
                Event::AttemptReceived(ReceivedAttempt {
                    incarnation,
                    attempt_id,
                    request_id,
                    proxy,
                    first_byte_at: message.first_byte_at,
                    work: work as f32,
                    overload: overload as f32,
                    admission,
                }),
            );
            if let Some(seconds) = time_told(message) {
                fleet.event_log.record(Event::TimeoutForwarded {
                    attempt_id,
                    seconds,
                });
            }
        };
        let fault = self
            .faults
            .select(|number, share| fleet.is_selected(number, request_id, share));
        let mut attempt = Attempt {
            host: self,
            incarnation,
            attempt_id,
            how: AttemptEnd::Broken,
            closed_at,
        };
        match fault {
            Some(Fault::NoResponse { .. }) => {
                got(Admission::Dropped, 0.0);
                peer.closed().await;
                attempt.how = AttemptEnd::Cancelled;
                return Next::Close;
            }
            Some(Fault::ErrorResponse { .. }) => {
                got(Admission::Failed, 0.0);
                attempt.how = AttemptEnd::Replied;
                return self.answer(peer, incarnation, 500, &[], b"failed\n").await;
            }
            _ => {}
        }
        let (done, mut ended) = oneshot::channel();
        let incoming = IncomingWork {
            attempt_id,
            work,
            idempotency_key,
            first_on_connection: peer.messages == 1,
        };
        let (now, mut out) = (fleet.event_log.clock.now(), Vec::new());
        let admission = self.with(incarnation, |incarnation| {
            if !slot.held {
                return (Err(RejectionReason::QueueFull), incarnation.node.overload());
            }
            incarnation.waiting.insert(attempt_id, done);
            let admission = incarnation.node.receive(
                now,
                incoming,
                &mut fleet.deduplication.borrow_mut(),
                &mut out,
            );
            if admission.is_err() {
                incarnation.waiting.remove(&attempt_id);
            }
            (admission, incarnation.node.overload())
        });
        let (admission, overload) = admission.unwrap_or((Err(RejectionReason::Down), 0.0));
        got(
            match admission {
                Ok(()) => Admission::Admitted,
                Err(RejectionReason::Down) => Admission::Dropped,
                Err(_) => Admission::Rejected,
            },
            overload,
        );
        self.record(incarnation, out);
        self.timer_changed.notify_one();
        match admission {
            Ok(()) => {}
            Err(RejectionReason::Down) => return Next::Reset,
            Err(_) => {
                attempt.how = AttemptEnd::Replied;
                let next = self
                    .answer(
                        peer,
                        incarnation,
                        503,
                        &[("Not-Started", "1")],
                        b"not started\n",
                    )
                    .await;
                return if slot.held { next } else { Next::Close };
            }
        }
        select! {
            biased;
            // An incarnation that has ended takes the connection with it.
            done = &mut ended => if done.is_err() { return Next::Reset },
            () = peer.closed() => {
                attempt.withdrawn();
                return Next::Close;
            }
        }
        let body = format!("{request_id:016x} {}\n", self.spec.name);
        let bytes = self.encode(incarnation, 200, &[], body.as_bytes());
        let (next, how) = write_with(peer, &bytes, fault).await;
        attempt.how = how;
        next
    }
}

/// How long the proxy waits, s, as far as it tells.
fn time_told(message: &Message) -> Option<f32> {
    let ms = message.header("request-timeout-ms")?.parse::<f32>().ok()?;
    Some(ms / 1e3)
}

fn load_text(report: &LoadReport) -> String {
    format!(
        "inflight={},queue={},util={:.3}",
        report.in_flight, report.queued, report.utilisation
    )
}

/// Writes an answer as the fault will have it.
async fn write_with(peer: &mut Peer, bytes: &[u8], fault: Option<Fault>) -> (Next, AttemptEnd) {
    let whole = |written: io::Result<()>| match written {
        Ok(()) => (Next::Read, AttemptEnd::Replied),
        Err(_) => (Next::Close, AttemptEnd::Broken),
    };
    match fault {
        Some(Fault::ConnectionReset { .. }) => (Next::Reset, AttemptEnd::Broken),
        Some(Fault::TruncatedResponse { .. }) => {
            let _ = peer.write(&bytes[..bytes.len() - bytes.len() / 8]).await;
            (Next::Close, AttemptEnd::Broken)
        }
        Some(Fault::MalformedResponse { .. }) => {
            let _ = peer.write(b"\x00\x01 what?\r\n\r\n").await;
            (Next::Close, AttemptEnd::Broken)
        }
        Some(Fault::SlowResponse { extra_seconds, .. }) => {
            let pause = Duration::from_secs_f64(extra_seconds / bytes.len() as f64);
            for byte in bytes {
                if peer.write(std::slice::from_ref(byte)).await.is_err() {
                    return (Next::Close, AttemptEnd::Broken);
                }
                sleep(pause).await;
            }
            (Next::Read, AttemptEnd::Replied)
        }
        _ => whole(peer.write(bytes).await),
    }
}
