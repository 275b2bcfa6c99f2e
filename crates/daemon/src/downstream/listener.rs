//! Connections of clients: accepting them, and one RPC at a time on each.
use crate::clock::until;
use crate::downstream::head::HeadScan;
use crate::downstream::request::{ReceivedRpc, RequestParser};
use crate::downstream::response::ProxyResponse;
use crate::lifecycle::state::ProxyState;
use crate::messages::Event;
use crate::net::body::DeliveryStatus;
use crate::net::body::ResponseBody;
use crate::net::inbound_stream::{ClientLiveness, InboundStream, ReadAhead};
use crate::net::linger::linger;
use crate::net::observed_stream::{IoObserver, ObservedStream};
use crate::net::socket_budget::{
    Evictable, EvictionCandidate, SocketBudget, SocketClass, SocketPermit,
};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::{Future, pending, poll_fn};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until};

const HEAD_MOST: usize = 16 << 10; // bytes of a message's head, and of a body's frame
const HEAD_TIME: Duration = Duration::from_secs(4); // for a head, from its first byte or the connect: clients take 2
const IDLE_TIME: Duration = Duration::from_secs(10); // between messages: usual clients come again far sooner
const READ_TIME: Duration = Duration::from_secs(30); // for a client that takes no byte of its answer
const LATE_MOST: usize = 16; // connections beyond the budget that are still told to come back
const LINGER_TIME: Duration = Duration::from_millis(500); // for a refused client to read that
// For a new connection to bring its RPC, also where all are to go or another may have its place.
const SETTLE: Duration = Duration::from_millis(300);
const BREATHE: Duration = Duration::from_millis(10); // before accepting again where no socket is to be had

pub(crate) struct Listener {
    intake: RequestParser,
    standing: watch::Receiver<ProxyState>,
    budget: Rc<SocketBudget>,
    core: mpsc::Sender<Event>,
    next: Cell<u64>,
    open: ActiveRequestIds,
}

/// The `Request-Id`s of the RPCs of which a pick may still be out.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// A `Request-Id` that is open until this is dropped.
pub(crate) struct RequestIdGuard {
    name: HeaderValue,
    open: ActiveRequestIds,
}

impl ActiveRequestIds {
    /// Nothing if it is open already.
    fn enter(&self, name: HeaderValue) -> Option<RequestIdGuard> {
        let fresh = self.0.borrow_mut().insert(name.clone());
        fresh.then(|| RequestIdGuard {
            name,
            open: self.clone(),
        })
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.open.0.borrow_mut().remove(&self.name);
    }
}

/// An RPC in the core's care. Dropped before its answer, as when the client hangs up, it tells the core.
struct RpcGuard {
    id: u64,
    permit: Option<OwnedPermit<Event>>,
}

impl Drop for RpcGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(Event::ClientDisconnected(self.id));
        }
    }
}

/// What a client's connection is at. In this order they give way to others, the longest silent first, but one that has
/// just come after half a head; one with an RPC never does.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Phase {
    /// It has said nothing yet.
    Fresh,
    /// Between messages.
    Between,
    /// It has brought a part of a head.
    Half,
    /// It has brought a whole head, and not yet as much of the body as is wanted.
    Body,
    /// An RPC is decided on.
    Busy,
    /// An answer is on its way.
    ResponseBody,
}

/// A client's connection, as its clock, the budget and the end of this proxy see it.
struct ClientConnection {
    phase: Cell<Phase>,
    /// It was told that what it sent is no RPC, or that there is no room, or that this was its last answer.
    refused: Cell<bool>,
    /// By when the head at hand is to be whole, the next one is to begin, or a byte of an answer to be taken.
    due: Cell<Instant>,
    scan: RefCell<HeadScan>,
    /// Set once the answer on its way has been handed over up to its last byte.
    given: RefCell<DeliveryStatus>,
    budget: Rc<SocketBudget>,
    /// It may be given up for another.
    offer: RefCell<Option<EvictionCandidate>>,
    itself: Weak<ClientConnection>,
    /// The budget has given its place away; void once an RPC is under way.
    given_up: Cell<bool>,
    opened: Instant,
    turned: Notify,
}

impl ClientConnection {
    fn new(budget: &Rc<SocketBudget>) -> Rc<Self> {
        let opened = Instant::now();
        let (phase, due, budget) = (
            Phase::Fresh.into(),
            (opened + HEAD_TIME).into(),
            budget.clone(),
        );
        let (refused, scan, given, offer, turned, given_up) = Default::default();
        Rc::new_cyclic(|itself| {
            let itself = itself.clone();
            Self {
                phase,
                refused,
                due,
                scan,
                given,
                budget,
                offer,
                itself,
                given_up,
                opened,
                turned,
            }
        })
    }

    fn turn(&self, phase: Phase) {
        let time = match phase {
            Phase::Between => IDLE_TIME,
            Phase::ResponseBody => READ_TIME,
            _ => HEAD_TIME,
        };
        self.due.set(Instant::now() + time);
        self.phase.set(phase);
        if self.busy() {
            self.offer.take();
            self.given_up.set(false);
        } else {
            self.offer();
        }
        self.turned.notify_one();
    }

    fn busy(&self) -> bool {
        self.phase.get() >= Phase::Busy
    }

    /// Lets the budget have it, as the one of its rank that was silent for the shortest time.
    fn offer(&self) {
        // Guards against new ones that push out each other, and find no place among those that rest.
        let rank = match self.phase.get() {
            Phase::Fresh if self.settles().is_some() => Phase::Half as u8 + 1,
            phase @ (Phase::Fresh | Phase::Between | Phase::Half) => phase as u8,
            phase => phase as u8 + 1,
        };
        if let Some(line) = self.itself.upgrade() {
            let offer = self
                .budget
                .register_evictable(SocketClass::Clients, rank, &line);
            self.offer.replace(Some(offer));
        }
    }

    /// Until when it has just come, as long as it has said nothing.
    fn settles(&self) -> Option<Instant> {
        Some(self.opened + SETTLE)
            .filter(|end| self.phase.get() == Phase::Fresh && Instant::now() < *end)
    }

    /// By when it is to end as it stands now; never by itself with an RPC under way. A head may take too long, or the
    /// next message to begin, or the client to take its answer: guards against clients that say nothing, or never come
    /// to an end. Another may have its place, and clients may have been sent away: `goes` tells by when a connection
    /// ends on which nothing is under way, and by when one whose message is not whole.
    fn ends(&self, goes: Option<(Instant, Instant)>) -> Option<Instant> {
        let own = Some(self.due.get());
        let given_up = self.given_up.get().then_some(self.opened);
        let (own, goes) = match self.phase.get() {
            // What has just come may bring an RPC yet.
            Phase::Fresh | Phase::Between => {
                (own, goes.map(|(idle, _)| idle.max(self.opened + SETTLE)))
            }
            Phase::Half => (own, goes.map(|(_, half)| half)),
            Phase::Body => (None, goes.map(|(_, half)| half)),
            Phase::Busy => return None,
            Phase::ResponseBody => return own,
        };
        [own, goes, given_up].into_iter().flatten().min()
    }
}

impl IoObserver for Rc<ClientConnection> {
    fn on_read(&self, bytes: &[u8]) {
        if matches!(self.phase.get(), Phase::Fresh | Phase::Between) {
            self.scan.replace(HeadScan::default());
            self.turn(Phase::Half);
        }
        match self.phase.get() {
            Phase::Half => {
                self.scan.borrow_mut().feed(bytes);
                self.offer();
            }
            Phase::Body => self.offer(),
            _ => {}
        }
    }

    fn on_write(&self, _bytes: u64) {
        if self.phase.get() == Phase::ResponseBody {
            self.due.set(Instant::now() + READ_TIME);
        }
    }

    fn on_flush(&self) {
        if self.phase.get() == Phase::ResponseBody && self.given.borrow().is_complete() {
            self.turn(Phase::Between);
        }
    }
}

impl Evictable for ClientConnection {
    fn evict(&self) -> bool {
        if !self.busy() {
            self.given_up.set(true);
            self.turned.notify_one();
        }
        !self.busy()
    }
}

impl Listener {
    /// Accepts clients within the budget and hands their RPCs over as events.
    pub(crate) fn new(
        intake: RequestParser,
        standing: watch::Receiver<ProxyState>,
        budget: Rc<SocketBudget>,
        core: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            intake,
            standing,
            budget,
            core,
            next: Cell::new(0),
            open: ActiveRequestIds::default(),
        }
    }

    /// Accepts until this proxy's end is near.
    #[expect(clippy::too_many_lines)]
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut standing = self.standing.clone();
        let (mut looked, mut refused) = (false, false);
        loop {
            let (accepts_until, passed) = {
                let now = standing.borrow_and_update();
                (now.accepts_until(), now.passed)
            };
            // What waits to be accepted on a socket that outlives this process another one takes.
            if passed && accepts_until.is_some_and(|end| end <= Instant::now()) {
                return;
            }
            let accepted = select! {
                biased; // Guards against connections that the machine has accepted, reset as this socket is closed.
                accepted = listener.accept() => accepted,
                _ = standing.changed() => continue,
                () = until(accepts_until) => {
                    if looked {
                        return;
                    }
                    // The clock is heard before the machine is asked what has come.
                    looked = true;
                    yield_now().await;
                    continue;
                }
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(fault) => {
                    if !std::mem::replace(&mut refused, true) {
                        log::warn!("no connection accepted: {fault}");
                    }
                    // Where the machine has fewer sockets than were told, what is idle gives way as well.
                    self.budget.evict_oldest(SocketClass::Clients);
                    sleep(BREATHE).await;
                    continue;
                }
            };
            refused = false;
            let room = self.budget.acquire(SocketClass::Clients);
            let late = room.is_none();
            let place =
                room.unwrap_or_else(|| self.budget.acquire_beyond_limit(SocketClass::Clients));
            spawn_local(self.clone().serve(stream, place, late));
            // What it has brought is read before the next one may push it out.
            yield_now().await;
            while self.budget.excess(SocketClass::Clients) > LATE_MOST {
                sleep(BREATHE).await;
            }
        }
    }

    /// One connection, until either side closes it.
    async fn serve(self: Rc<Self>, stream: TcpStream, place: SocketPermit, late: bool) {
        // Answers are whole, or go on as they come: no reason to wait for more.
        let _ = stream.set_nodelay(true);
        let line = ClientConnection::new(&self.budget);
        line.offer();
        let stream = InboundStream::new(stream);
        let ahead = stream.read_ahead();
        let service = service_fn(|from: Request<Incoming>| {
            let (front, line, client) = (self.clone(), line.clone(), ahead.liveness());
            async move {
                line.turn(Phase::Body);
                let answer = if late {
                    ProxyResponse::Rejected { retry_after: 0.0 }
                } else {
                    front.answer(from, &line, client).await
                };
                let refused = late || matches!(answer, ProxyResponse::ClientError { .. });
                let last = refused || line.refused.get() || front.standing.borrow().answers_last();
                line.refused.set(last);
                let response = answer.encode(last);
                line.given.replace(response.body().delivery());
                line.turn(Phase::ResponseBody);
                Ok::<Response<ResponseBody>, Infallible>(response)
            }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .serve_connection(
                TokioIo::new(ObservedStream::new(stream, line.clone())),
                service,
            );
        if let Err(fault) = self.drive(&mut connection, &line, &ahead).await {
            log::debug!("a client's connection ended: {fault}");
            line.refused.set(true);
        }
        if line.refused.get() {
            self.linger(connection.into_parts().io.into_inner().into_stream(), &line)
                .await;
        }
        drop(place);
    }

    /// Moves a connection on until it ends or is to end: the one place that decides that. What has come is always
    /// read before, and what it is at is looked at after. Guards against an RPC that is read in the very turn in which
    /// its connection is ended as idle, and dropped with it.
    async fn drive<C: Future<Output = hyper::Result<()>> + Unpin>(
        &self,
        connection: &mut C,
        line: &ClientConnection,
        ahead: &ReadAhead,
    ) -> hyper::Result<()> {
        let mut standing = self.standing.clone();
        let mut left = pin!(ahead.disconnected());
        loop {
            // Guards against RPCs that wait, and are sent, for a client that has gone behind further bytes.
            let left = poll_fn(|cx| {
                if line.busy() {
                    left.as_mut().poll(cx)
                } else {
                    Poll::Pending
                }
            });
            let due = line.ends(standing.borrow_and_update().goes());
            let settles = line.settles();
            select! {
                biased;
                ended = &mut *connection => return ended,
                () = left => return Ok(()),
                () = line.turned.notified() => {}
                _ = standing.changed() => {}
                () = until(settles) => line.offer(),
                () = until(due) => {
                    // The machine may hold what came in this moment, also after the event loop was asked.
                    yield_now().await;
                    ahead.read_available();
                    let now = poll_fn(|cx| Poll::Ready(Pin::new(&mut *connection).poll(cx)));
                    if let Poll::Ready(ended) = now.await {
                        return ended;
                    }
                    if line.ends(standing.borrow().goes()).is_some_and(|end| end <= Instant::now()) {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Lets a refused client read what it was told.
    async fn linger(&self, stream: InboundStream, line: &Rc<ClientConnection>) {
        // Its place is wanted as any idle one's: guards against refused clients that crowd out others.
        line.phase.set(Phase::Between);
        line.offer();
        let given_up = async {
            while !line.given_up.get() {
                line.turned.notified().await;
            }
        };
        select! {
            () = linger(stream, LINGER_TIME) => {}
            () = given_up => {}
        }
    }

    async fn answer(
        &self,
        from: Request<Incoming>,
        line: &ClientConnection,
        client: ClientLiveness,
    ) -> ProxyResponse {
        if from.method() == Method::GET && from.uri().path() == "/health/ready" {
            return ProxyResponse::Health(self.standing.borrow().takes_clients());
        }
        let framings = line.scan.take().found();
        match self.intake.read(from, framings).await {
            Ok(rpc) => {
                line.turn(Phase::Busy);
                let upload = rpc.request.upload().cloned();
                let answer = self.decide(rpc, client).await;
                // What it still sends of a long request nobody reads.
                line.refused
                    .set(upload.is_some_and(|upload| !upload.is_complete()));
                answer
            }
            Err(told) => told,
        }
    }

    /// The core's answer to an RPC, and an abort should there be none by its deadline.
    #[expect(clippy::too_many_lines)]
    async fn decide(&self, mut rpc: ReceivedRpc, client: ClientLiveness) -> ProxyResponse {
        // Guards against RPCs that the end of this process finds unanswered.
        let last_call = self.standing.borrow().last_call();
        rpc.timeout = last_call.map_or(rpc.timeout, |end| {
            rpc.timeout
                .min(end.saturating_duration_since(rpc.received_at))
        });
        if rpc.timeout.is_zero() {
            return ProxyResponse::Rejected { retry_after: 0.0 };
        }
        // A place in the mailbox is kept for the hang-up. With none left nothing was sent: it may come again.
        let Ok(permit) = self.core.clone().try_reserve_owned() else {
            return ProxyResponse::Rejected { retry_after: 0.0 };
        };
        let Some(opened) = self.open.enter(rpc.request.id()) else {
            return ProxyResponse::ClientError {
                status: StatusCode::CONFLICT,
                message: "an RPC with this Request-Id is open\n",
            };
        };
        let id = self.next.replace(self.next.get() + 1);
        let mut care = RpcGuard {
            id,
            permit: Some(permit),
        };
        let (sender, receiver) = oneshot::channel();
        let (at, waits, upload) = (rpc.received_at, rpc.timeout, rpc.request.upload().cloned());
        // A client waits from its last byte on.
        let deadline = async {
            let at = match &upload {
                Some(upload) => upload.completed().await,
                None => at,
            };
            sleep_until(at + waits).await;
        };
        let too_long = async {
            match &upload {
                Some(upload) => upload.exceeded_limit().await,
                None => pending().await,
            }
        };
        // Those taken before, whose clients would wait for longer.
        let ends = async {
            let mut standing = self.standing.clone();
            let last_call = standing
                .wait_for(|now| now.last_call().is_some())
                .await
                .map(|now| now.last_call());
            until(last_call.ok().flatten()).await;
        };
        let taken = async {
            let rpc = Box::new(rpc);
            self.core
                .send(Event::RpcReceived {
                    id,
                    rpc,
                    opened,
                    client,
                    answer: sender,
                })
                .await
                .ok()?;
            receiver.await.ok()
        };
        select! {
            biased;
            () = too_long => ProxyResponse::ClientError { status: StatusCode::PAYLOAD_TOO_LARGE, message: "the body is over 32 MB\n" },
            Some(answer) = taken => {
                care.permit = None;
                answer
            }
            () = deadline => {
                log::error!("an RPC had no answer by its deadline");
                ProxyResponse::Failed
            }
            () = ends => ProxyResponse::Failed,
            else => ProxyResponse::Failed,
        }
    }
}
