//! Connections of clients: accepting them, and one RPC at a time on each.
use crate::answer::Answer;
use crate::core::ToCore;
use crate::intake::{Intake, Received};
use crate::sockets::{Budget, Offer, Part, Place, Spare, Watched, Witness};
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
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

const HEAD_MOST: usize = 16 << 10; // bytes of a message's head
const MESSAGE_TIME: Duration = Duration::from_secs(2); // for a whole message, from its first byte or the connect
const IDLE_TIME: Duration = Duration::from_secs(10); // between messages: usual clients come again far sooner
const LATE_MOST: usize = 16; // connections beyond the budget that are still told to come back
const FRESH: Duration = Duration::from_secs(1); // for a connection's first head before it may be given up
const LINGER_TIME: Duration = Duration::from_millis(500); // for a refused client to read that ...
const LINGER_MOST: usize = 4 << 20; // ... and bytes of what it may go on sending meanwhile
const CLOSE_TIME: Duration = Duration::from_millis(50); // for a given-up connection to end of itself
const BREATHE: Duration = Duration::from_millis(10); // before accepting again where no socket is to be had

/// Where this proxy stands in its life.
#[derive(Default)]
pub struct Life {
    /// RPCs can be decided.
    pub ready: Rc<Cell<bool>>,
    /// SIGTERM has come.
    pub stopping: Cell<bool>,
    /// Used when no more connections come: idle ones are to end.
    pub closing: Notify,
}

pub struct Front {
    pub intake: Intake,
    pub life: Rc<Life>,
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

/// A client's connection, as its clock, the budget and the end of this proxy see it.
struct Line {
    /// It has brought a whole head that is not answered yet.
    busy: Cell<bool>,
    /// Between messages.
    idle: Cell<bool>,
    /// It was told that what it sent is no RPC, or that there is no room.
    refused: Cell<bool>,
    /// By when the message at hand is to be whole or, between two, the next one is to begin.
    due: Cell<Instant>,
    /// It may be given up for another.
    offer: RefCell<Option<Offer>>,
    turned: Notify,
    close: Notify,
}

impl Line {
    fn new() -> Rc<Self> {
        let due = Cell::new(Instant::now() + MESSAGE_TIME);
        let (busy, idle, refused, offer, turned, close) = Default::default();
        Rc::new(Self { busy, idle, refused, due, offer, turned, close })
    }

    fn turn(&self, busy: bool, idle: bool) {
        let time = if idle { IDLE_TIME } else { MESSAGE_TIME };
        self.due.set(Instant::now() + time);
        self.busy.set(busy);
        self.idle.set(idle);
        self.turned.notify_one();
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
                () = sleep_until(self.due.get()), if !self.busy.get() => return,
            }
        }
    }
}

impl Witness for Rc<Line> {
    fn read(&self) {
        if self.idle.get() {
            self.turn(false, false);
        }
    }
}

impl Spare for Line {
    fn give_up(&self) -> bool {
        if !self.busy.get() {
            self.close.notify_one();
        }
        !self.busy.get()
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
                line.turn(true, false);
                let answer =
                    if late { Answer::PushedBack { come_back: 0.0 } } else { front.answer(from, due).await };
                line.refused.set(late || matches!(answer, Answer::Refused(..)));
                line.turn(false, true);
                line.offer(&front.budget);
                let last = line.refused.get() || front.life.stopping.get();
                Ok::<Response<Full<Bytes>>, Infallible>(answer.encode(last))
            }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(Watched { stream, by: line.clone() }), service);
        // One that has brought no RPC is no spare at first: that may be on its way, or have come unread.
        let fresh = async {
            sleep(FRESH).await;
            if !line.busy.get() {
                line.offer(&self.budget);
            }
            pending().await
        };
        let closing = async {
            self.life.closing.notified().await;
            line.give_up();
            pending().await
        };
        let ended = select! {
            ended = &mut connection => ended,
            () = fresh => Ok(()),
            () = closing => Ok(()),
            () = line.overdue() => Ok(()),
            () = line.close.notified() => {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                // A head that never ends would keep it open: guards against given-up sockets that stay.
                loop {
                    match timeout(CLOSE_TIME, &mut connection).await {
                        Err(_) if line.busy.get() => {}
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

    /// Ends a connection such that a client that still sends can read what it was told: closed with bytes
    /// unread it would be reset, and a reset overtakes the answer.
    async fn linger(&self, mut stream: TcpStream, line: &Rc<Line>) {
        let mut left = LINGER_MOST;
        let drain = async {
            let mut bytes = vec![0; HEAD_MOST];
            stream.shutdown().await?;
            while left > 0 {
                match stream.read(&mut bytes).await? {
                    0 => break,
                    some => left = left.saturating_sub(some),
                }
            }
            std::io::Result::Ok(())
        };
        // Its place is wanted as any idle one's: guards against refused clients that crowd out others.
        line.offer(&self.budget);
        select! {
            _ = timeout(LINGER_TIME, drain) => {}
            () = line.close.notified() => {}
        }
    }

    async fn answer(&self, from: Request<Incoming>, due: Instant) -> Answer {
        if from.method() == Method::GET && from.uri().path() == "/health/ready" {
            return Answer::Health(self.life.ready.get() && !self.life.stopping.get());
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
