//! One actor for each backend: its connections, and the picks and probes that go to it. A job owns its
//! connection while it runs, and its `Ticket` tells the core how it ended, once, when it is dropped.
use crate::downstream::request::ParsedRequest;
use crate::messages::Event;
use crate::net::body::{KEPT, MOST, StreamedBody, flow};
use crate::net::sockets::{
    ClientLiveness, Connection, ConnectionError, Evictable, EvictionCandidate, Reply, SocketBudget,
    SocketClass,
};
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_settings::parse_load_report;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::CONNECTION;
use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::select;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const MAILBOX: usize = 256; // jobs not yet begun; beyond, they end as never sent
const KEEP_PART: f64 = 0.6; // of the idle time after which the other side closes: never write to a closed one
const KEEP_LEAST: Duration = Duration::from_millis(50); // most connections are used again sooner
const KEEP_GROW: f64 = 1.001; // times, with each answer on a kept connection: doubled in 700 answers
const STALL: Duration = Duration::from_secs(5); // for a long request that makes no way: peers pause for seconds
const FLOW_STALL: Duration = Duration::from_secs(30); // for a backend that gives nothing of an answer it has begun
// For a connection after an answer: what comes behind that in this time would answer the next.
const QUIET: Duration = Duration::from_millis(5);

/// What the list says of a backend's sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointInfo {
    pub endpoint: SocketAddr,
    pub ready: bool,
}

/// Limits on connections, from the settings.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionLimits {
    pub connect: Duration,
    pub idle: Duration,
}

impl ConnectionLimits {
    /// How long a connection is kept at the most.
    fn keep(&self) -> Duration {
        self.idle.mul_f64(KEEP_PART)
    }
}

/// What a ticket is for.
#[derive(Clone, Copy)]
pub(crate) enum ExchangeKind {
    Attempt { rpc: u64, attempt: usize },
    HealthCheck { backend: u32 },
}

/// How a pick or probe ended, the report that came along, and the answer's body.
type End = (AttemptOutcome, Option<LoadReport>, Bytes);

impl ExchangeKind {
    pub(crate) fn end(self, (outcome, report, body): End) -> Event {
        match self {
            Self::Attempt { rpc, attempt } => Event::AttemptEnded {
                rpc,
                attempt,
                outcome,
                report,
                body,
            },
            Self::HealthCheck { backend } => Event::HealthChecked {
                backend,
                outcome,
                report,
            },
        }
    }
}

/// The duty to tell the core how a pick or probe ended; done when dropped.
pub(crate) struct CompletionGuard {
    errand: ExchangeKind,
    core: mpsc::Sender<Event>,
    permit: Option<OwnedPermit<Event>>,
    /// A byte of it may be on its way.
    sent: Cell<bool>,
    /// Its answer is on its way to the client.
    begun: Cell<bool>,
    end: Option<End>,
}

impl CompletionGuard {
    pub(crate) fn new(
        errand: ExchangeKind,
        core: mpsc::Sender<Event>,
        permit: OwnedPermit<Event>,
    ) -> Self {
        let (sent, begun) = Default::default();
        Self {
            errand,
            core,
            permit: Some(permit),
            sent,
            begun,
            end: None,
        }
    }

    /// The request's last byte was taken.
    async fn tell_whole(&self) {
        if let ExchangeKind::Attempt { rpc, attempt } = self.errand {
            let _ = self.core.send(Event::RequestSent { rpc, attempt }).await;
        }
    }

    /// The answer begins.
    async fn tell_begun(&self, flow: StreamedBody) {
        if let ExchangeKind::Attempt { rpc, attempt } = self.errand {
            let _ = self
                .core
                .send(Event::ResponseStarted { rpc, attempt, flow })
                .await;
        }
        self.begun.set(true);
    }
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        let unfinished = if self.sent.get() {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::NotSent
        };
        let end = self.end.take().unwrap_or((unfinished, None, Bytes::new()));
        let Some(permit) = self.permit.take() else {
            return;
        };
        permit.send(self.errand.end(end));
    }
}

/// The other end stops a job when it is dropped, and withdraws it, if nothing was sent yet, when it is used.
pub(crate) type CancelSignal = Option<oneshot::Receiver<()>>;

/// Until when a job is run, and by when its first byte has to be sent, if that is limited.
#[derive(Clone, Copy)]
pub(crate) struct Times {
    pub until: Instant,
    pub send_by: Option<Instant>,
}

/// A pick or probe to be run until a time, or until it is stopped.
pub(crate) struct Exchange {
    pub message: ParsedRequest,
    /// Of whom it is run for; none for a probe.
    pub client: Option<ClientLiveness>,
    pub times: Times,
    pub stop: CancelSignal,
    pub ticket: CompletionGuard,
}

/// The core's end of a backend.
pub(crate) struct EndpointHandle {
    /// Boxed: a mailbox sets room for 32 aside at once, and most backends of a large fleet have nothing in it.
    pub mailbox: mpsc::Sender<Box<Exchange>>,
    pub facts: watch::Sender<EndpointInfo>,
}

/// An idle connection, which the budget may give up for another, and the task that watches over it.
struct IdleConnection {
    conn: RefCell<Option<Connection>>,
    used: Instant,
    offer: RefCell<Option<EvictionCandidate>>,
    watch: RefCell<Option<JoinHandle<()>>>,
}

impl Evictable for IdleConnection {
    fn give_up(&self) -> bool {
        self.conn.borrow_mut().take().is_some()
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

struct EndpointActor {
    facts: watch::Receiver<EndpointInfo>,
    kept: RefCell<Vec<Rc<IdleConnection>>>, // the latest used last
    keep: Cell<Duration>, // how long a connection may stand idle and still be used
    limits: ConnectionLimits,
    budget: Rc<SocketBudget>,
}

impl EndpointHandle {
    pub(crate) fn start(
        facts: EndpointInfo,
        limits: ConnectionLimits,
        budget: Rc<SocketBudget>,
    ) -> Self {
        let (mailbox, jobs) = mpsc::channel(MAILBOX);
        let (sender, receiver) = watch::channel(facts);
        let (kept, keep) = (RefCell::default(), limits.keep().into());
        let peer = EndpointActor {
            facts: receiver,
            kept,
            keep,
            limits,
            budget,
        };
        spawn_local(Rc::new(peer).run(jobs));
        Self {
            mailbox,
            facts: sender,
        }
    }
}

impl EndpointActor {
    async fn run(self: Rc<Self>, mut jobs: mpsc::Receiver<Box<Exchange>>) {
        let mut facts = self.facts.clone();
        let mut endpoint = facts.borrow_and_update().endpoint;
        loop {
            select! {
                biased;
                told = facts.changed() => {
                    let now = *facts.borrow_and_update();
                    if told.is_err() || !now.ready || now.endpoint != endpoint {
                        self.kept.borrow_mut().clear();
                        endpoint = now.endpoint;
                    }
                    if told.is_err() {
                        return; // Gone from the list. Jobs that run go on by themselves.
                    }
                }
                job = jobs.recv() => match job {
                    Some(job) => drop(spawn_local(self.clone().serve(job))),
                    None => return,
                },
            }
        }
    }

    /// Watches over one idle connection: drops it when the other side closes it or it was kept long enough. A task
    /// for each, woken by its own socket: guards against a look at all of them with every answer.
    async fn watch(self: Rc<Self>, kept: Weak<IdleConnection>, until: Instant) {
        let closed = poll_fn(|cx| {
            let closed = |kept: Rc<IdleConnection>| {
                kept.conn
                    .borrow_mut()
                    .as_mut()
                    .is_none_or(|c| c.poll_closed(cx))
            };
            if kept.upgrade().is_none_or(closed) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        });
        select! {
            () = closed => {}
            () = sleep_until(until) => {}
        }
        if let Some(kept) = kept.upgrade() {
            self.kept.borrow_mut().retain(|k| !Rc::ptr_eq(k, &kept));
        }
    }

    #[expect(clippy::too_many_lines)]
    async fn serve(self: Rc<Self>, job: Box<Exchange>) {
        let Exchange {
            message,
            client,
            times: Times { until, send_by },
            stop,
            mut ticket,
        } = *job;
        let (begun, sent) = (Instant::now(), &ticket.sent);
        let written = Progress::default();
        let stopped = async {
            let dropped = match stop {
                Some(stop) => stop.await.is_err(),
                None => pending().await,
            };
            if !dropped && sent.get() {
                pending::<()>().await;
            }
        };
        // The time of a long request counts from its last byte, and ends where its answer begins to flow.
        let late = async {
            match message.upload() {
                None => sleep_until(until).await,
                Some(upload) => {
                    let whole = upload.whole().await;
                    ticket.tell_whole().await;
                    sleep_until(whole + (until - begun)).await;
                }
            }
            if ticket.begun.get() {
                pending::<()>().await;
            }
        };
        let ended = select! {
            biased;
            () = stopped => Ended::Withdrawn,
            () = self.withdrawn(sent) => Ended::Withdrawn,
            () = too_late(send_by, sent) => Ended::Withdrawn,
            end = self.exchange(&message, &client, until, &ticket, &written) => Ended::Itself(end),
            () = late => Ended::Late,
            () = stalled(&message, &written) => Ended::Stalled,
        };
        // The connection of a pick that was given up is closed by now, before the core hears of it.
        let nothing = |outcome| Some((outcome, None, Bytes::new()));
        ticket.end = match ended {
            Ended::Withdrawn if !message.may_be_whole() => nothing(AttemptOutcome::NotSent),
            Ended::Withdrawn => None,
            Ended::Itself(end) => Some(end),
            Ended::Stalled if message.upload().is_some_and(|upload| upload.is_hungry()) => {
                nothing(AttemptOutcome::NotSent)
            }
            Ended::Late if sent.get() => {
                // A machine that vanished leaves its connections silent.
                self.kept.borrow_mut().retain(|k| k.used > begun);
                nothing(AttemptOutcome::TimedOut)
            }
            Ended::Late | Ended::Stalled => nothing(AttemptOutcome::ConnectFailed),
        };
    }

    /// Ends once the backend takes nothing new, if nothing was sent by then.
    async fn withdrawn(&self, sent: &Cell<bool>) {
        let mut facts = self.facts.clone();
        // An error means that the backend is gone from the list.
        let _ = facts.wait_for(|facts| !facts.ready).await.map(drop);
        if sent.get() {
            pending::<()>().await;
        }
    }

    #[expect(clippy::too_many_lines)]
    async fn exchange(
        self: &Rc<Self>,
        message: &ParsedRequest,
        client: &Option<ClientLiveness>,
        until: Instant,
        ticket: &CompletionGuard,
        written: &Progress,
    ) -> End {
        let nothing = |outcome| (outcome, None, Bytes::new());
        let sent = &ticket.sent;
        // What broke before the last byte of the request was written has not run.
        let broken = || {
            nothing(if message.may_be_whole() {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::ConnectFailed
            })
        };
        loop {
            let endpoint = self.facts.borrow().endpoint;
            let kept = self.take().await;
            let fresh = kept.is_none();
            let conn = match kept {
                Some(conn) => Some(conn),
                None => {
                    let Some(place) = self.budget.place(SocketClass::Backends) else {
                        return nothing(AttemptOutcome::NotSent);
                    };
                    Connection::open(
                        endpoint,
                        Some(place),
                        until.min(Instant::now() + self.limits.connect),
                    )
                    .await
                }
            };
            let Some(mut conn) = conn else {
                return nothing(AttemptOutcome::ConnectFailed);
            };
            // Guards against what begins for a client that has gone, whatever it waited for and however late this
            // process runs. That it hung up is on its way to the core, and withdraws this.
            if let Some(client) = client
                && client.is_over().await
            {
                return pending().await;
            }
            // It moved while this connection came up, or was about to be taken: another may live there by now.
            if self.facts.borrow().endpoint != endpoint {
                continue;
            }
            written.replace(Some(conn.progress()));
            let left = until.saturating_duration_since(Instant::now());
            let idle = conn.used.elapsed();
            match conn
                .exchange(message.encode(left), KEPT, !message.is_probe(), sent)
                .await
            {
                Ok(mut reply) => {
                    if !fresh {
                        self.keep
                            .update(|keep| keep.mul_f64(KEEP_GROW).min(self.limits.keep()));
                    }
                    if reply.goes_on
                        && let Some(fault) = pass_on(&mut conn, &mut reply, ticket).await
                    {
                        return nothing(fault);
                    }
                    self.keep(conn, endpoint, &reply.headers).await;
                    return judge(reply, message.is_probe());
                }
                // A kept connection had ended before anything of this was written: another may be tried.
                Err(ConnectionError::Unsent) if !fresh => {}
                Err(ConnectionError::Unsent) => return nothing(AttemptOutcome::ConnectFailed),
                Err(ConnectionError::Broken) => {
                    // Guards against a path that forgets connections sooner than the settings say.
                    if !fresh {
                        self.keep
                            .update(|keep| (idle / 2).max(KEEP_LEAST).min(keep));
                    }
                    return broken();
                }
                Err(ConnectionError::Spoilt) => return broken(),
            }
        }
    }

    /// The latest used connection that is idle, alive and has been quiet since its answer.
    async fn take(&self) -> Option<Connection> {
        // What has come is to be seen first. Guards against bytes behind an answer that answer the next RPC.
        yield_now().await;
        loop {
            let kept = self.latest()?;
            let conn = kept.conn.borrow_mut().take();
            if let Some(mut conn) = conn
                && conn.usable().await
            {
                return Some(conn);
            }
        }
    }

    /// The latest used one that has been quiet. Those kept for longer than has proved good since go: they are the first.
    fn latest(&self) -> Option<Rc<IdleConnection>> {
        let (now, keep) = (Instant::now(), self.keep.get());
        let mut all = self.kept.borrow_mut();
        let old = all.partition_point(|k| k.used + keep <= now);
        all.drain(..old);
        let place = all.iter().rposition(|k| k.used + QUIET <= now)?;
        Some(all.remove(place))
    }

    /// Keeps a connection for the next job, unless it or its backend ends or the backend has moved meanwhile.
    async fn keep(
        self: &Rc<Self>,
        mut conn: Connection,
        endpoint: SocketAddr,
        headers: &HeaderMap,
    ) {
        let closes = headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let alive = !closes && conn.alive().await;
        let listed = self.facts.has_changed().is_ok();
        if alive
            && listed
            && *self.facts.borrow()
                == (EndpointInfo {
                    endpoint,
                    ready: true,
                })
        {
            let used = conn.used;
            let (offer, watch) = Default::default();
            let kept = Rc::new(IdleConnection {
                conn: RefCell::new(Some(conn)),
                used,
                offer,
                watch,
            });
            kept.offer
                .replace(Some(self.budget.offer(SocketClass::Backends, 0, &kept)));
            let watching = self
                .clone()
                .watch(Rc::downgrade(&kept), used + self.keep.get());
            kept.watch.replace(Some(spawn_local(watching)));
            self.kept.borrow_mut().push(kept);
        }
    }
}

/// Bytes written on the connection that a pick goes out on, once it has one.
type Progress = RefCell<Option<Rc<Cell<u64>>>>;

/// How a job came to its end.
enum Ended {
    Withdrawn,
    Itself(End),
    Late,
    Stalled,
}

/// Ends when it is too late to send anything, if nothing was sent by then.
async fn too_late(send_by: Option<Instant>, sent: &Cell<bool>) {
    crate::clock::until(send_by).await;
    if sent.get() {
        pending::<()>().await;
    }
}

/// Ends when a long request makes no way for too long before its last byte has come.
async fn stalled(message: &ParsedRequest, written: &Progress) {
    let Some(upload) = message.upload() else {
        return pending().await;
    };
    let so_far = || written.borrow().as_ref().map(|bytes| bytes.get());
    loop {
        let before = so_far();
        sleep(STALL).await;
        if upload.is_whole() {
            return pending().await;
        }
        if so_far() == before {
            return;
        }
    }
}

/// Passes a long answer on as it comes, as fast as its client takes it; what went wrong, if it did not end well.
async fn pass_on(
    conn: &mut Connection,
    reply: &mut Reply,
    ticket: &CompletionGuard,
) -> Option<AttemptOutcome> {
    let (source, flow) = flow(std::mem::take(&mut reply.body), reply.length);
    ticket.tell_begun(flow).await;
    let mut left = MOST;
    loop {
        let bytes = select! {
            biased;
            () = source.closed() => return Some(AttemptOutcome::Cancelled),
            next = timeout(FLOW_STALL, conn.next()) => match next {
                // Guards against answers that never end: no body may be longer.
                Ok(Ok(Some(bytes))) if bytes.len() as u64 > left => return Some(AttemptOutcome::Reset),
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) => break,
                Ok(Err(_)) | Err(_) => return Some(AttemptOutcome::Reset),
            },
        };
        left -= bytes.len() as u64;
        if !source.pass(bytes).await {
            return Some(AttemptOutcome::Cancelled);
        }
    }
    source.end();
    None
}

/// What an answer means, as the protocol has it.
fn judge(reply: Reply, probe: bool) -> End {
    let header = reply
        .headers
        .get("server-load")
        .and_then(|value| value.to_str().ok());
    // Only a probe's body is a report: an RPC's may look like one.
    let text = header.or(std::str::from_utf8(&reply.body).ok().filter(|_| probe));
    let report = text.and_then(|text| parse_load_report(text, '=').ok());
    let not_started = reply
        .headers
        .get("not-started")
        .is_some_and(|value| value == "1");
    let outcome = match reply.status.as_u16() {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if not_started => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    };
    (outcome, report, reply.body)
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::StatusCode;

    /// Guards against an RPC's body that reads like a load report.
    #[test]
    fn only_a_probes_body_is_a_report() {
        let (status, headers, goes_on, length) = (StatusCode::OK, HeaderMap::new(), false, None);
        let reply = || Reply {
            status,
            headers: headers.clone(),
            body: "inflight=9".into(),
            goes_on,
            length,
        };
        let report = |probe| judge(reply(), probe).1.and_then(|report| report.in_flight);
        assert_eq!((report(true), report(false)), (Some(9.0), None));
    }
}
