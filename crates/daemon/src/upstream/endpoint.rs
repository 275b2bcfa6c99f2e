//! One actor for each backend: its connections, and the picks and probes that go to it. A job owns its
//! connection while it runs, and its `Ticket` tells the core how it ended, once, when it is dropped.
use crate::downstream::request::ParsedRequest;
use crate::messages::Event;
use crate::net::body::{BODY_LIMIT, BUFFERED_BODY_LIMIT, StreamedBody, streamed_body};
use crate::net::sockets::{
    ClientLiveness, Connection, ConnectionError, Evictable, EvictionCandidate, Reply, SocketBudget,
    SocketClass,
};
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_settings::load_report;
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
const IDLE_TIMEOUT_FRACTION: f64 = 0.6; // of the idle time after which the other side closes: never write to a closed one
const MIN_REUSE: Duration = Duration::from_millis(50); // most connections are used again sooner
const REUSE_GROWTH: f64 = 1.001; // times, with each answer on a kept connection: doubled in 700 answers
const UPLOAD_STALL: Duration = Duration::from_secs(5); // for a long request that makes no way: peers pause for seconds
const RESPONSE_STALL: Duration = Duration::from_secs(30); // for a backend that gives nothing of an answer it has begun
// For a connection after an answer: what comes behind that in this time would answer the next.
const QUIET_PERIOD: Duration = Duration::from_millis(5);

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
    fn max_reuse(&self) -> Duration {
        self.idle.mul_f64(IDLE_TIMEOUT_FRACTION)
    }
}

/// What a ticket is for.
#[derive(Clone, Copy)]
pub(crate) enum ExchangeKind {
    Attempt { rpc: u64, attempt: usize },
    HealthCheck { backend: u32 },
}

/// How a pick or probe ended, the report that came along, and the answer's body.
type ExchangeResult = (AttemptOutcome, Option<LoadReport>, Bytes);

impl ExchangeKind {
    pub(crate) fn end(self, (outcome, report, body): ExchangeResult) -> Event {
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
    kind: ExchangeKind,
    events: mpsc::Sender<Event>,
    permit: Option<OwnedPermit<Event>>,
    /// A byte of it may be on its way.
    sent: Cell<bool>,
    /// Its answer is on its way to the client.
    started: Cell<bool>,
    end: Option<ExchangeResult>,
}

impl CompletionGuard {
    pub(crate) fn new(
        kind: ExchangeKind,
        events: mpsc::Sender<Event>,
        permit: OwnedPermit<Event>,
    ) -> Self {
        let (sent, started) = Default::default();
        Self {
            kind,
            events,
            permit: Some(permit),
            sent,
            started,
            end: None,
        }
    }

    /// The request's last byte was taken.
    async fn report_request_sent(&self) {
        if let ExchangeKind::Attempt { rpc, attempt } = self.kind {
            let _ = self.events.send(Event::RequestSent { rpc, attempt }).await;
        }
    }

    /// The answer begins.
    async fn report_response_started(&self, flow: StreamedBody) {
        if let ExchangeKind::Attempt { rpc, attempt } = self.kind {
            let _ = self
                .events
                .send(Event::ResponseStarted { rpc, attempt, flow })
                .await;
        }
        self.started.set(true);
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
        permit.send(self.kind.end(end));
    }
}

/// The other end stops a job when it is dropped, and withdraws it, if nothing was sent yet, when it is used.
pub(crate) type CancelSignal = Option<oneshot::Receiver<()>>;

/// Until when a job is run, and by when its first byte has to be sent, if that is limited.
#[derive(Clone, Copy)]
pub(crate) struct Deadlines {
    pub until: Instant,
    pub send_by: Option<Instant>,
}

/// A pick or probe to be run until a time, or until it is stopped.
pub(crate) struct Exchange {
    pub message: ParsedRequest,
    /// Of whom it is run for; none for a probe.
    pub client: Option<ClientLiveness>,
    pub deadlines: Deadlines,
    pub cancel: CancelSignal,
    pub completion: CompletionGuard,
}

/// The core's end of a backend.
pub(crate) struct EndpointHandle {
    /// Boxed: a mailbox sets room for 32 aside at once, and most backends of a large fleet have nothing in it.
    pub mailbox: mpsc::Sender<Box<Exchange>>,
    pub info: watch::Sender<EndpointInfo>,
}

/// An idle connection, which the budget may give up for another, and the task that watches over it.
struct IdleConnection {
    connection: RefCell<Option<Connection>>,
    used: Instant,
    candidate: RefCell<Option<EvictionCandidate>>,
    watch: RefCell<Option<JoinHandle<()>>>,
}

impl Evictable for IdleConnection {
    fn evict(&self) -> bool {
        self.connection.borrow_mut().take().is_some()
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
    info: watch::Receiver<EndpointInfo>,
    idle: RefCell<Vec<Rc<IdleConnection>>>, // the latest used last
    reuse_within: Cell<Duration>, // how long a connection may stand idle and still be used
    limits: ConnectionLimits,
    budget: Rc<SocketBudget>,
}

impl EndpointHandle {
    pub(crate) fn start(
        info: EndpointInfo,
        limits: ConnectionLimits,
        budget: Rc<SocketBudget>,
    ) -> Self {
        let (mailbox, exchanges) = mpsc::channel(MAILBOX);
        let (sender, receiver) = watch::channel(info);
        let (idle, reuse_within) = (RefCell::default(), limits.max_reuse().into());
        let peer = EndpointActor {
            info: receiver,
            idle,
            reuse_within,
            limits,
            budget,
        };
        spawn_local(Rc::new(peer).run(exchanges));
        Self {
            mailbox,
            info: sender,
        }
    }
}

impl EndpointActor {
    async fn run(self: Rc<Self>, mut exchanges: mpsc::Receiver<Box<Exchange>>) {
        let mut info = self.info.clone();
        let mut endpoint = info.borrow_and_update().endpoint;
        loop {
            select! {
                biased;
                told = info.changed() => {
                    let now = *info.borrow_and_update();
                    if told.is_err() || !now.ready || now.endpoint != endpoint {
                        self.idle.borrow_mut().clear();
                        endpoint = now.endpoint;
                    }
                    if told.is_err() {
                        return; // Gone from the list. Jobs that run go on by themselves.
                    }
                }
                exchange_request = exchanges.recv() => match exchange_request {
                    Some(exchange_request) => drop(spawn_local(self.clone().run_exchange(exchange_request))),
                    None => return,
                },
            }
        }
    }

    /// Watches over one idle connection: drops it when the other side closes it or it was kept long enough. A task
    /// for each, woken by its own socket: guards against a look at all of them with every answer.
    async fn watch(self: Rc<Self>, idle: Weak<IdleConnection>, until: Instant) {
        let closed = poll_fn(|cx| {
            let closed = |idle: Rc<IdleConnection>| {
                idle.connection
                    .borrow_mut()
                    .as_mut()
                    .is_none_or(|c| c.poll_closed(cx))
            };
            if idle.upgrade().is_none_or(closed) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        });
        select! {
            () = closed => {}
            () = sleep_until(until) => {}
        }
        if let Some(idle) = idle.upgrade() {
            self.idle.borrow_mut().retain(|k| !Rc::ptr_eq(k, &idle));
        }
    }

    #[expect(clippy::too_many_lines)]
    async fn run_exchange(self: Rc<Self>, exchange_request: Box<Exchange>) {
        let Exchange {
            message,
            client,
            deadlines: Deadlines { until, send_by },
            cancel,
            mut completion,
        } = *exchange_request;
        let (started, sent) = (Instant::now(), &completion.sent);
        let written = WriteProgress::default();
        let stopped = async {
            let dropped = match cancel {
                Some(cancel) => cancel.await.is_err(),
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
                    let whole = upload.completed().await;
                    completion.report_request_sent().await;
                    sleep_until(whole + (until - started)).await;
                }
            }
            if completion.started.get() {
                pending::<()>().await;
            }
        };
        let ended = select! {
            biased;
            () = stopped => Ending::Withdrawn,
            () = self.endpoint_unavailable(sent) => Ending::Withdrawn,
            () = send_window_closed(send_by, sent) => Ending::Withdrawn,
            end = self.exchange(&message, &client, until, &completion, &written) => Ending::Completed(end),
            () = late => Ending::TimedOut,
            () = stalled(&message, &written) => Ending::Stalled,
        };
        // The connection of a pick that was given up is closed by now, before the core hears of it.
        let nothing = |outcome| Some((outcome, None, Bytes::new()));
        completion.end = match ended {
            Ending::Withdrawn if !message.may_be_complete() => nothing(AttemptOutcome::NotSent),
            Ending::Withdrawn => None,
            Ending::Completed(end) => Some(end),
            Ending::Stalled
                if message
                    .upload()
                    .is_some_and(|upload| upload.is_waiting_for_client()) =>
            {
                nothing(AttemptOutcome::NotSent)
            }
            Ending::TimedOut if sent.get() => {
                // A machine that vanished leaves its connections silent.
                self.idle.borrow_mut().retain(|k| k.used > started);
                nothing(AttemptOutcome::TimedOut)
            }
            Ending::TimedOut | Ending::Stalled => nothing(AttemptOutcome::ConnectFailed),
        };
    }

    /// Ends once the backend takes nothing new, if nothing was sent by then.
    async fn endpoint_unavailable(&self, sent: &Cell<bool>) {
        let mut info = self.info.clone();
        // An error means that the backend is gone from the list.
        let _ = info.wait_for(|info| !info.ready).await.map(drop);
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
        completion: &CompletionGuard,
        written: &WriteProgress,
    ) -> ExchangeResult {
        let nothing = |outcome| (outcome, None, Bytes::new());
        let sent = &completion.sent;
        // What broke before the last byte of the request was written has not run.
        let broken = || {
            nothing(if message.may_be_complete() {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::ConnectFailed
            })
        };
        loop {
            let endpoint = self.info.borrow().endpoint;
            let idle = self.take().await;
            let fresh = idle.is_none();
            let connection = match idle {
                Some(connection) => Some(connection),
                None => {
                    let Some(place) = self.budget.acquire(SocketClass::Backends) else {
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
            let Some(mut connection) = connection else {
                return nothing(AttemptOutcome::ConnectFailed);
            };
            // Guards against what begins for a client that has gone, whatever it waited for and however late this
            // process runs. That it hung up is on its way to the core, and withdraws this.
            if let Some(client) = client
                && client.is_disconnected().await
            {
                return pending().await;
            }
            // It moved while this connection came up, or was about to be taken: another may live there by now.
            if self.info.borrow().endpoint != endpoint {
                continue;
            }
            written.replace(Some(connection.bytes_written()));
            let left = until.saturating_duration_since(Instant::now());
            let idle = connection.last_used.elapsed();
            match connection
                .exchange(
                    message.encode(left),
                    BUFFERED_BODY_LIMIT,
                    !message.is_health_check(),
                    sent,
                )
                .await
            {
                Ok(mut reply) => {
                    if !fresh {
                        self.reuse_within.update(|reuse_within| {
                            reuse_within
                                .mul_f64(REUSE_GROWTH)
                                .min(self.limits.max_reuse())
                        });
                    }
                    if reply.is_partial
                        && let Some(fault) =
                            stream_response(&mut connection, &mut reply, completion).await
                    {
                        return nothing(fault);
                    }
                    self.store(connection, endpoint, &reply.headers).await;
                    return classify(reply, message.is_health_check());
                }
                // A kept connection had ended before anything of this was written: another may be tried.
                Err(ConnectionError::NotSent) if !fresh => {}
                Err(ConnectionError::NotSent) => return nothing(AttemptOutcome::ConnectFailed),
                Err(ConnectionError::Closed) => {
                    // Guards against a path that forgets connections sooner than the settings say.
                    if !fresh {
                        self.reuse_within
                            .update(|reuse_within| (idle / 2).max(MIN_REUSE).min(reuse_within));
                    }
                    return broken();
                }
                Err(ConnectionError::MalformedResponse) => return broken(),
            }
        }
    }

    /// The latest used connection that is idle, alive and has been quiet since its answer.
    async fn take(&self) -> Option<Connection> {
        // What has come is to be seen first. Guards against bytes behind an answer that answer the next RPC.
        yield_now().await;
        loop {
            let idle = self.latest()?;
            let connection = idle.connection.borrow_mut().take();
            if let Some(mut connection) = connection
                && connection.is_usable().await
            {
                return Some(connection);
            }
        }
    }

    /// The latest used one that has been quiet. Those kept for longer than has proved good since go: they are the first.
    fn latest(&self) -> Option<Rc<IdleConnection>> {
        let (now, reuse_within) = (Instant::now(), self.reuse_within.get());
        let mut all = self.idle.borrow_mut();
        let old = all.partition_point(|k| k.used + reuse_within <= now);
        all.drain(..old);
        let place = all.iter().rposition(|k| k.used + QUIET_PERIOD <= now)?;
        Some(all.remove(place))
    }

    /// Keeps a connection for the next job, unless it or its backend ends or the backend has moved meanwhile.
    async fn store(
        self: &Rc<Self>,
        mut connection: Connection,
        endpoint: SocketAddr,
        headers: &HeaderMap,
    ) {
        let closes = headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let alive = !closes && connection.is_open().await;
        let listed = self.info.has_changed().is_ok();
        if alive
            && listed
            && *self.info.borrow()
                == (EndpointInfo {
                    endpoint,
                    ready: true,
                })
        {
            let used = connection.last_used;
            let (candidate, watch) = Default::default();
            let idle = Rc::new(IdleConnection {
                connection: RefCell::new(Some(connection)),
                used,
                candidate,
                watch,
            });
            idle.candidate.replace(Some(self.budget.register_evictable(
                SocketClass::Backends,
                0,
                &idle,
            )));
            let watching = self
                .clone()
                .watch(Rc::downgrade(&idle), used + self.reuse_within.get());
            idle.watch.replace(Some(spawn_local(watching)));
            self.idle.borrow_mut().push(idle);
        }
    }
}

/// Bytes written on the connection that a pick goes out on, once it has one.
type WriteProgress = RefCell<Option<Rc<Cell<u64>>>>;

/// How a job came to its end.
enum Ending {
    Withdrawn,
    Completed(ExchangeResult),
    TimedOut,
    Stalled,
}

/// Ends when it is too late to send anything, if nothing was sent by then.
async fn send_window_closed(send_by: Option<Instant>, sent: &Cell<bool>) {
    crate::clock::until(send_by).await;
    if sent.get() {
        pending::<()>().await;
    }
}

/// Ends when a long request makes no way for too long before its last byte has come.
async fn stalled(message: &ParsedRequest, written: &WriteProgress) {
    let Some(upload) = message.upload() else {
        return pending().await;
    };
    let so_far = || written.borrow().as_ref().map(|bytes| bytes.get());
    loop {
        let before = so_far();
        sleep(UPLOAD_STALL).await;
        if upload.is_complete() {
            return pending().await;
        }
        if so_far() == before {
            return;
        }
    }
}

/// Passes a long answer on as it comes, as fast as its client takes it; what went wrong, if it did not end well.
async fn stream_response(
    connection: &mut Connection,
    reply: &mut Reply,
    completion: &CompletionGuard,
) -> Option<AttemptOutcome> {
    let (source, flow) = streamed_body(std::mem::take(&mut reply.body), reply.length);
    completion.report_response_started(flow).await;
    let mut left = BODY_LIMIT;
    loop {
        let bytes = select! {
            biased;
            () = source.closed() => return Some(AttemptOutcome::Cancelled),
            next = timeout(RESPONSE_STALL, connection.next_chunk()) => match next {
                // Guards against answers that never end: no body may be longer.
                Ok(Ok(Some(bytes))) if bytes.len() as u64 > left => return Some(AttemptOutcome::Reset),
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) => break,
                Ok(Err(_)) | Err(_) => return Some(AttemptOutcome::Reset),
            },
        };
        left -= bytes.len() as u64;
        if !source.send(bytes).await {
            return Some(AttemptOutcome::Cancelled);
        }
    }
    source.finish();
    None
}

/// What an answer means, as the protocol has it.
fn classify(reply: Reply, probe: bool) -> ExchangeResult {
    let header = reply
        .headers
        .get("server-load")
        .and_then(|value| value.to_str().ok());
    // Only a probe's body is a report: an RPC's may look like one.
    let text = header.or(std::str::from_utf8(&reply.body).ok().filter(|_| probe));
    let report = text.and_then(|text| load_report(text, '=').ok());
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
        let (status, headers, is_partial, length) = (StatusCode::OK, HeaderMap::new(), false, None);
        let reply = || Reply {
            status,
            headers: headers.clone(),
            body: "inflight=9".into(),
            is_partial,
            length,
        };
        let report = |probe| {
            classify(reply(), probe)
                .1
                .and_then(|report| report.in_flight)
        };
        assert_eq!((report(true), report(false)), (Some(9.0), None));
    }
}
