//! Connections of clients: accepting them, and one RPC at a time on each.
use crate::answer::Answer;
use crate::body::Answering;
use crate::config::until;
use crate::core::ToCore;
use crate::head::HeadScan;
use crate::intake::{Intake, Received};
use crate::sockets::{Budget, Offer, Part, Place, Spare, Watched, Witness, linger};
use crate::standing::Standing;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::pending;
use std::rc::{Rc, Weak};
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
const SETTLE: Duration = Duration::from_millis(300); // for a new connection to bring its RPC, also where all are to go
const BREATHE: Duration = Duration::from_millis(10); // before accepting again where no socket is to be had

pub struct Front {
    pub intake: Intake,
    pub standing: watch::Receiver<Standing>,
    pub budget: Rc<Budget>,
    pub core: mpsc::Sender<ToCore>,
    pub next: Cell<u64>,
    pub open: Open,
}

/// The `Request-Id`s of the RPCs in the core's care.
#[derive(Clone, Default)]
pub struct Open(Rc<RefCell<HashSet<HeaderValue>>>);

/// An RPC in the core's care. Dropped before its answer, as when the client hangs up, it tells the core.
struct Care {
    id: u64,
    name: HeaderValue,
    open: Open,
    permit: Option<OwnedPermit<ToCore>>,
}

impl Drop for Care {
    fn drop(&mut self) {
        self.open.0.borrow_mut().remove(&self.name);
        if let Some(permit) = self.permit.take() {
            permit.send(ToCore::HungUp(self.id));
        }
    }
}

/// What a client's connection is at. In this order they give way to others, the longest silent first; one with
/// an RPC never does.
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
    Answering,
}

/// A client's connection, as its clock, the budget and the end of this proxy see it.
struct Line {
    phase: Cell<Phase>,
    /// It was told that what it sent is no RPC, or that there is no room, or that this was its last answer.
    refused: Cell<bool>,
    /// By when the head at hand is to be whole, the next one is to begin, or a byte of an answer to be taken.
    due: Cell<Instant>,
    scan: RefCell<HeadScan>,
    /// Set once the answer on its way has been handed over up to its last byte.
    given: RefCell<Rc<Cell<bool>>>,
    budget: Rc<Budget>,
    /// It may be given up for another.
    offer: RefCell<Option<Offer>>,
    itself: Weak<Line>,
    turned: Notify,
    moved: Notify, // with `turned`, for who else waits
    close: Notify,
}

impl Line {
    fn new(budget: &Rc<Budget>) -> Rc<Self> {
        let (phase, due, budget) = (Phase::Fresh.into(), (Instant::now() + HEAD_TIME).into(), budget.clone());
        let (refused, scan, given, offer, turned, moved, close) = Default::default();
        Rc::new_cyclic(|itself| {
            let itself = itself.clone();
            Self { phase, refused, due, scan, given, budget, offer, itself, turned, moved, close }
        })
    }

    fn turn(&self, phase: Phase) {
        let time = match phase {
            Phase::Between => IDLE_TIME,
            Phase::Answering => READ_TIME,
            _ => HEAD_TIME,
        };
        self.due.set(Instant::now() + time);
        self.phase.set(phase);
        if self.busy() {
            self.offer.take();
        } else {
            self.offer();
        }
        self.turned.notify_one();
        self.moved.notify_one();
    }

    fn busy(&self) -> bool {
        self.phase.get() >= Phase::Busy
    }

    /// Lets the budget have it, as the one of its phase that was silent for the shortest time.
    fn offer(&self) {
        if let Some(line) = self.itself.upgrade() {
            let offer = self.budget.offer(Part::Clients, self.phase.get() as u8, &line);
            self.offer.replace(Some(offer));
        }
    }

    /// Ends when a head takes too long, the next message to begin, or the client to take its answer. Guards
    /// against clients that connect and say nothing, or never come to an end.
    async fn overdue(&self) {
        loop {
            select! {
                () = self.turned.notified() => {}
                () = sleep_until(self.due.get()), if !matches!(self.phase.get(), Phase::Body | Phase::Busy) => {
                    if Instant::now() >= self.due.get() {
                        return;
                    }
                }
            }
        }
    }
}

impl Witness for Rc<Line> {
    fn read(&self, bytes: &[u8]) {
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

    fn wrote(&self, _bytes: u64) {
        if self.phase.get() == Phase::Answering {
            self.due.set(Instant::now() + READ_TIME);
        }
    }

    fn flushed(&self) {
        if self.phase.get() == Phase::Answering && self.given.borrow().get() {
            self.turn(Phase::Between);
        }
    }
}

impl Spare for Line {
    fn give_up(&self) -> bool {
        if !self.busy() {
            self.close.notify_one();
        }
        !self.busy()
    }
}

impl Front {
    /// Accepts until dropped.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(fault) => {
                    log::warn!("no connection accepted: {fault}");
                    sleep(BREATHE).await;
                    continue;
                }
            };
            let room = self.budget.place(Part::Clients);
            let late = room.is_none();
            let place = room.unwrap_or_else(|| self.budget.place_anyhow(Part::Clients));
            spawn_local(self.clone().serve(stream, place, late));
            // What it has brought is read before the next one may push it out.
            yield_now().await;
            while self.budget.over(Part::Clients) > LATE_MOST {
                sleep(BREATHE).await;
            }
        }
    }

    /// One connection, until either side closes it.
    async fn serve(self: Rc<Self>, stream: TcpStream, place: Place, late: bool) {
        // Answers are whole, or go on as they come: no reason to wait for more.
        let _ = stream.set_nodelay(true);
        let line = Line::new(&self.budget);
        line.offer();
        let service = service_fn(|from: Request<Incoming>| {
            let (front, line) = (self.clone(), line.clone());
            async move {
                line.turn(Phase::Body);
                let answer = if late {
                    Answer::PushedBack { come_back: 0.0 }
                } else {
                    front.answer(from, &line).await
                };
                let refused = late || matches!(answer, Answer::Refused(..));
                let last = refused || line.refused.get() || front.standing.borrow().answers_last();
                line.refused.set(last);
                let response = answer.encode(last);
                line.given.replace(response.body().given());
                line.turn(Phase::Answering);
                Ok::<Response<Answering>, Infallible>(response)
            }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(Watched { stream, by: line.clone() }), service);
        let ended = select! {
            ended = &mut connection => ended,
            () = self.sent_away(&line) => Ok(()),
            () = line.overdue() => Ok(()),
            () = line.close.notified() => Ok(()),
        };
        if let Err(fault) = ended {
            log::debug!("a client's connection ended: {fault}");
            line.refused.set(true);
        }
        if line.refused.get() {
            self.linger(connection.into_parts().io.into_inner().stream, &line).await;
        }
        drop(place);
    }

    /// Ends when clients have been sent away long enough for a connection on which nothing is under way, or whose
    /// message is still not whole. What has just come may bring an RPC yet.
    async fn sent_away(&self, line: &Line) {
        let (mut standing, opened) = (self.standing.clone(), Instant::now());
        loop {
            let goes = standing.borrow_and_update().goes();
            let idle_now = matches!(line.phase.get(), Phase::Fresh | Phase::Between);
            let due = goes.map(|(idle, half)| if idle_now { idle.max(opened + SETTLE) } else { half });
            select! {
                _ = standing.changed() => {}
                () = line.moved.notified() => {}
                () = until(due), if !line.busy() => return,
            }
        }
    }

    /// Lets a refused client read what it was told.
    async fn linger(&self, stream: TcpStream, line: &Rc<Line>) {
        // Its place is wanted as any idle one's: guards against refused clients that crowd out others.
        line.phase.set(Phase::Between);
        line.offer();
        select! {
            () = linger(stream, LINGER_TIME) => {}
            () = line.close.notified() => {}
        }
    }

    async fn answer(&self, from: Request<Incoming>, line: &Line) -> Answer {
        if from.method() == Method::GET && from.uri().path() == "/health/ready" {
            return Answer::Health(self.standing.borrow().takes_clients());
        }
        let framings = line.scan.take().found();
        match self.intake.read(from, framings).await {
            Ok(rpc) => {
                line.turn(Phase::Busy);
                let upload = rpc.message.upload().cloned();
                let answer = self.decide(rpc).await;
                // What it still sends of a long request nobody reads.
                line.refused.set(upload.is_some_and(|upload| !upload.is_whole()));
                answer
            }
            Err(told) => told,
        }
    }

    /// The core's answer to an RPC, and an abort should there be none by its deadline.
    async fn decide(&self, rpc: Received) -> Answer {
        // A place in the mailbox is kept for the hang-up. With none left nothing was sent: it may come again.
        let Ok(permit) = self.core.clone().try_reserve_owned() else {
            return Answer::PushedBack { come_back: 0.0 };
        };
        let (name, open) = (rpc.message.id(), self.open.clone());
        if !open.0.borrow_mut().insert(name.clone()) {
            return Answer::Refused(StatusCode::CONFLICT, "an RPC with this Request-Id is open\n");
        }
        let id = self.next.replace(self.next.get() + 1);
        let mut care = Care { id, name, open, permit: Some(permit) };
        let (sender, receiver) = oneshot::channel();
        let (at, waits, upload) = (rpc.at, rpc.waits, rpc.message.upload().cloned());
        // A client waits from its last byte on.
        let deadline = async {
            let at = match &upload {
                Some(upload) => upload.whole().await,
                None => at,
            };
            sleep_until(at + waits).await;
        };
        let too_long = async {
            match &upload {
                Some(upload) => upload.too_long().await,
                None => pending().await,
            }
        };
        let taken = async {
            self.core.send(ToCore::Take { id, rpc: Box::new(rpc), answer: sender }).await.ok()?;
            receiver.await.ok()
        };
        select! {
            biased;
            () = too_long => Answer::Refused(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MB\n"),
            Some(answer) = taken => {
                care.permit = None;
                answer
            }
            () = deadline => {
                log::error!("an RPC had no answer by its deadline");
                Answer::Aborted
            }
            else => Answer::Aborted,
        }
    }
}
