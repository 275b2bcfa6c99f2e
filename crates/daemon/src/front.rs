//! Connections of clients: accepting them, and one RPC at a time on each.
use crate::answer::Answer;
use crate::config::until;
use crate::core::ToCore;
use crate::intake::{Intake, Received};
use crate::sockets::{Budget, Offer, Part, Place, Spare, Watched, Witness, linger};
use crate::standing::Standing;
use bytes::Bytes;
use http_body_util::Full;
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
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

const HEAD_MOST: usize = 16 << 10; // bytes of a message's head
const MESSAGE_TIME: Duration = Duration::from_secs(2); // for a whole message, from its first byte or the connect
const IDLE_TIME: Duration = Duration::from_secs(10); // between messages: usual clients come again far sooner
const LATE_MOST: usize = 16; // connections beyond the budget that are still told to come back
const FRESH: Duration = Duration::from_secs(1); // for a connection's first head before it may be given up
const LINGER_TIME: Duration = Duration::from_millis(500); // for a refused client to read that
const SETTLE: Duration = Duration::from_millis(300); // for a new connection to bring its RPC, also where all are to go
const CLOSE_TIME: Duration = Duration::from_millis(50); // for a given-up connection to end of itself
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

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// It has said nothing yet.
    Fresh,
    /// Between messages.
    Between,
    /// It has brought a part of a head.
    Half,
    /// It has brought a whole head that is not answered yet.
    Busy,
}

/// A client's connection, as its clock, the budget and the end of this proxy see it.
struct Line {
    phase: Cell<Phase>,
    /// It was told that what it sent is no RPC, or that there is no room.
    refused: Cell<bool>,
    /// By when the message at hand is to be whole or, between two, the next one is to begin.
    due: Cell<Instant>,
    /// It may be given up for another.
    offer: RefCell<Option<Offer>>,
    turned: Notify,
    moved: Notify, // with `turned`, for who else waits
    close: Notify,
}

impl Line {
    fn new() -> Rc<Self> {
        let due = Cell::new(Instant::now() + MESSAGE_TIME);
        let (refused, offer, turned, moved, close) = Default::default();
        Rc::new(Self { phase: Phase::Fresh.into(), refused, due, offer, turned, moved, close })
    }

    fn turn(&self, phase: Phase) {
        let time = if phase == Phase::Between { IDLE_TIME } else { MESSAGE_TIME };
        self.due.set(Instant::now() + time);
        self.phase.set(phase);
        self.turned.notify_one();
        self.moved.notify_one();
    }

    fn busy(&self) -> bool {
        self.phase.get() == Phase::Busy
    }

    /// Lets the budget have it, as the one that has been idle for the shortest time.
    fn offer(self: &Rc<Self>, budget: &Rc<Budget>) {
        let offer = budget.offer(Part::Clients, self);
        self.offer.replace(Some(offer));
    }

    /// Ends when a head takes too long, or the next message to begin. Guards against clients that connect and
    /// say nothing, or never come to the end of a head.
    async fn overdue(&self) {
        loop {
            select! {
                () = self.turned.notified() => {}
                () = sleep_until(self.due.get()), if !self.busy() => return,
            }
        }
    }
}

impl Witness for Rc<Line> {
    fn read(&self) {
        match self.phase.get() {
            Phase::Fresh => self.phase.set(Phase::Half),
            Phase::Between => self.turn(Phase::Half),
            Phase::Half | Phase::Busy => {}
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
            while self.budget.over(Part::Clients) > LATE_MOST {
                sleep(BREATHE).await;
            }
        }
    }

    /// One connection, until either side closes it.
    async fn serve(self: Rc<Self>, stream: TcpStream, place: Place, late: bool) {
        // Answers are whole: no reason to wait for more.
        let _ = stream.set_nodelay(true);
        let line = Line::new();
        let service = service_fn(|from: Request<Incoming>| {
            let (front, line) = (self.clone(), line.clone());
            async move {
                let due = line.due.get();
                line.turn(Phase::Busy);
                let answer =
                    if late { Answer::PushedBack { come_back: 0.0 } } else { front.answer(from, due).await };
                line.refused.set(late || matches!(answer, Answer::Refused(..)));
                line.turn(Phase::Between);
                line.offer(&front.budget);
                let last = line.refused.get() || front.standing.borrow().answers_last();
                Ok::<Response<Full<Bytes>>, Infallible>(answer.encode(last))
            }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(Watched { stream, by: line.clone() }), service);
        // One that has brought no RPC is no spare at first: that may be on its way, or have come unread.
        let fresh = async {
            sleep(FRESH).await;
            if !line.busy() {
                line.offer(&self.budget);
            }
            pending().await
        };
        let sent_away = self.sent_away(&line);
        let ended = select! {
            ended = &mut connection => ended,
            () = fresh => Ok(()),
            () = sent_away => Ok(()),
            () = line.overdue() => Ok(()),
            () = line.close.notified() => {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                // A head that never ends would keep it open: guards against given-up sockets that stay.
                loop {
                    match timeout(CLOSE_TIME, &mut connection).await {
                        Err(_) if line.busy() => {}
                        ended => break ended.unwrap_or(Ok(())),
                    }
                }
            }
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
            let due =
                goes.map(
                    |(idle, half)| {
                        if line.phase.get() == Phase::Half { half } else { idle.max(opened + SETTLE) }
                    },
                );
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
        line.offer(&self.budget);
        select! {
            () = linger(stream, LINGER_TIME) => {}
            () = line.close.notified() => {}
        }
    }

    async fn answer(&self, from: Request<Incoming>, due: Instant) -> Answer {
        if from.method() == Method::GET && from.uri().path() == "/health/ready" {
            return Answer::Health(self.standing.borrow().takes_clients());
        }
        match self.intake.read(from, due).await {
            Ok(rpc) => self.decide(rpc).await,
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
        let deadline = rpc.at + rpc.waits;
        let taken = async {
            self.core.send(ToCore::Take { id, rpc: Box::new(rpc), answer: sender }).await.ok()?;
            receiver.await.ok()
        };
        match timeout_at(deadline, taken).await {
            Ok(Some(answer)) => {
                care.permit = None;
                answer
            }
            _ => {
                log::error!("an RPC had no answer by its deadline");
                Answer::Aborted
            }
        }
    }
}
