//! Connections of clients: accepting them, and one RPC at a time on each.
use crate::answer::Answer;
use crate::core::ToCore;
use crate::intake::{Intake, Received};
use crate::sockets::{Budget, Part, Place, Spare};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at};

const HEAD_MOST: usize = 16 << 10; // bytes of a message's head
const HEAD_TIME: Duration = Duration::from_secs(60); // for a whole head, idle time before it included
const LATE_MOST: usize = 16; // connections beyond the budget that are still told to come back
const FRESH: Duration = Duration::from_secs(1); // for a connection's first head before it may be given up
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
}

/// An RPC in the core's care. Dropped before its answer, as when the client hangs up, it tells the core.
struct Care {
    id: u64,
    permit: Option<OwnedPermit<ToCore>>,
}

impl Drop for Care {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(ToCore::HungUp(self.id));
        }
    }
}

/// A client's connection, as the budget and the end of this proxy see it.
#[derive(Default)]
struct Line {
    busy: Cell<bool>,
    close: Notify,
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
        let line = Rc::new(Line::default());
        let service = service_fn(|from: Request<Incoming>| {
            let (front, line) = (self.clone(), line.clone());
            async move {
                line.busy.set(true);
                let answer =
                    if late { Answer::PushedBack { come_back: 0.0 } } else { front.answer(from).await };
                line.busy.set(false);
                front.budget.offer(Part::Clients, &line);
                Ok::<Response<Full<Bytes>>, Infallible>(answer.encode(late || front.life.stopping.get()))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        // One that has brought no RPC is no spare at first: that may be on its way, or have come unread.
        let fresh = async {
            sleep(FRESH).await;
            if !line.busy.get() {
                self.budget.offer(Part::Clients, &line);
            }
            pending().await
        };
        let closing = async {
            self.life.closing.notified().await;
            line.give_up();
            pending().await
        };
        let ended = select! {
            ended = connection.as_mut() => ended,
            () = fresh => Ok(()),
            () = closing => Ok(()),
            () = line.close.notified() => {
                connection.as_mut().graceful_shutdown();
                // A head that never ends would keep it open: guards against given-up sockets that stay.
                loop {
                    match timeout(CLOSE_TIME, connection.as_mut()).await {
                        Err(_) if line.busy.get() => {}
                        ended => break ended.unwrap_or(Ok(())),
                    }
                }
            }
        };
        if let Err(fault) = ended {
            log::debug!("a client's connection ended: {fault}");
        }
        drop(place);
    }

    async fn answer(&self, from: Request<Incoming>) -> Answer {
        if from.method() == Method::GET && from.uri().path() == "/health/ready" {
            return Answer::Health(self.life.ready.get() && !self.life.stopping.get());
        }
        match self.intake.read(from).await {
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
        let id = self.next.replace(self.next.get() + 1);
        let mut care = Care { id, permit: Some(permit) };
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
