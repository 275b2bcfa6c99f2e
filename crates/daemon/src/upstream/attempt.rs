//! One exchange with a backend, run as a task of its own: it takes or opens a connection, sends the request and
//! reads the response, until that ends or something ends it early. The completion guard reports the end.
use crate::clock;
use crate::downstream::request::ParsedRequest;
use crate::end_reason::EndReason;
use crate::net::body::BUFFERED_BODY_LIMIT;
use crate::net::connection::{ConnectError, Connection, ConnectionError, Reply};
use crate::net::inbound_stream::ClientLiveness;
use crate::net::socket_budget::SocketClass;
use crate::time_limits::UPLOAD_STALL_TIMEOUT;
use crate::upstream::backend_protocol::{classify_response, encode_request};
use crate::upstream::endpoint_state::EndpointState;
use crate::upstream::exchange::{
    CancelSignal, CompletionGuard, Deadlines, Exchange, ExchangeRequest,
};
use crate::upstream::response_stream::stream_response;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::AttemptOutcome;
use birchhub_invariants::SendFacts;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::time::{Instant, sleep, sleep_until};

/// Between looks at whether a long request makes progress.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs an exchange to its end.
pub(super) async fn run(endpoint: Rc<EndpointState>, exchange: Box<Exchange>) {
    let Exchange {
        request:
            ExchangeRequest {
                request,
                client,
                deadlines,
                cancel,
            },
        mut completion,
    } = *exchange;
    let running = RunningExchange {
        endpoint: &endpoint,
        request: &request,
        client: client.as_ref(),
        deadlines,
        completion: &completion,
        started: Instant::now(),
        written: WriteProgress::default(),
    };
    let end = select! {
        biased;
        () = running.cancelled(cancel) => End::Withdrawn(EndReason::Cancelled),
        () = running.endpoint_unavailable() => End::Withdrawn(EndReason::EndpointUnavailable),
        () = running.send_window_closed() => End::Withdrawn(EndReason::SendWindowClosed),
        result = running.exchange() => End::Completed(result),
        () = running.timed_out() => End::TimedOut,
        () = running.upload_failed() => End::Stalled,
        () = running.backend_stalled() => End::Stalled,
    };
    // The connection of an exchange that was cut short is closed by now, before the decision actor hears of it.
    let reason = end.reason();
    let result = running.result(end);
    completion.set_result(result, reason);
}

/// What ended an exchange.
enum End {
    /// It was cancelled, its backend takes nothing more, or it would have been sent too late.
    Withdrawn(EndReason),
    /// It ran to its own end.
    Completed(ExchangeResult),
    /// No response in time.
    TimedOut,
    /// A long request made no progress.
    Stalled,
}

impl End {
    /// What is logged.
    fn reason(&self) -> EndReason {
        match self {
            Self::Withdrawn(reason) => *reason,
            Self::Completed(_) => EndReason::Completed,
            Self::TimedOut => EndReason::TimedOut,
            Self::Stalled => EndReason::UploadStalled,
        }
    }
}

/// Bytes written so far on the connection that the exchange uses, once it has one.
#[derive(Default)]
struct WriteProgress(RefCell<Option<Rc<Cell<u64>>>>);

impl WriteProgress {
    fn observe(&self, connection: &Connection) {
        self.0.replace(Some(connection.bytes_written()));
    }

    fn bytes(&self) -> Option<u64> {
        self.0.borrow().as_ref().map(|bytes| bytes.get())
    }
}

/// A connection for an exchange.
struct Checkout {
    connection: Connection,
    /// Whether it has served another exchange before.
    reused: bool,
}

/// A running exchange.
struct RunningExchange<'a> {
    endpoint: &'a EndpointState,
    request: &'a ParsedRequest,
    /// None for a health check.
    client: Option<&'a ClientLiveness>,
    deadlines: Deadlines,
    completion: &'a CompletionGuard,
    started: Instant,
    written: WriteProgress,
}

/// What ends an exchange early: each of these futures is ready when it has to end, and pending for ever if it may
/// go on to its own end.
impl RunningExchange<'_> {
    /// Goes on waiting for ever if a byte of the request may be on its way.
    async fn unless_sent(&self) {
        if self.completion.is_sent() {
            pending::<()>().await;
        }
    }

    async fn cancelled(&self, cancel: CancelSignal) {
        let dropped = match cancel {
            Some(cancel) => cancel.await.is_err(),
            None => pending().await,
        };
        if !dropped {
            self.unless_sent().await;
        }
    }

    /// The backend takes nothing new, and nothing was sent by then.
    async fn endpoint_unavailable(&self) {
        self.endpoint.unavailable().await;
        self.unless_sent().await;
    }

    /// It is too late to send anything, and nothing was sent by then.
    async fn send_window_closed(&self) {
        clock::until(self.deadlines.send_by).await;
        self.unless_sent().await;
    }

    /// The time of a long request counts from its last byte, and no longer once its response has started.
    async fn timed_out(&self) {
        let until = self.deadlines.until;
        match self.request.upload() {
            None => sleep_until(until).await,
            Some(upload) => {
                let completed = upload.completed().await;
                self.completion.report_request_sent().await;
                sleep_until(completed + (until - self.started)).await;
            }
        }
        if self.completion.has_response_started() {
            pending::<()>().await;
        }
    }

    /// The last byte of a long request will not come.
    async fn upload_failed(&self) {
        match self.request.upload() {
            Some(upload) => drop(upload.failed().await),
            None => pending().await,
        }
    }

    /// The backend takes nothing of a long request for too long, while there is something for it to take.
    async fn backend_stalled(&self) {
        let Some(upload) = self.request.upload() else {
            return pending().await;
        };
        let mut written = self.written.bytes();
        let mut stalled_since = Instant::now();
        while !upload.is_complete() {
            sleep(UPLOAD_CHECK_INTERVAL).await;
            if upload.is_waiting_for_client() || self.written.bytes() != written {
                written = self.written.bytes();
                stalled_since = Instant::now();
            }
            if stalled_since.elapsed() >= UPLOAD_STALL_TIMEOUT {
                return;
            }
        }
        pending().await
    }

    /// What is reported for an end; none leaves it to the completion guard.
    fn result(&self, end: End) -> Option<ExchangeResult> {
        let upload = self.request.upload();
        let outcome = match end {
            End::Completed(result) => return Some(result),
            End::Withdrawn(_) if !self.request.may_be_complete() => AttemptOutcome::NotSent,
            End::Withdrawn(_) => return None,
            End::Stalled if upload.is_some_and(|upload| upload.is_waiting_for_client()) => {
                AttemptOutcome::NotSent
            }
            End::TimedOut if self.completion.is_sent() => {
                // A machine that vanished leaves its connections silent: those unused since then may be dead too.
                self.endpoint.idle.close_unused_since(self.started);
                AttemptOutcome::TimedOut
            }
            End::TimedOut | End::Stalled => AttemptOutcome::ConnectFailed,
        };
        Some(outcome.into())
    }
}

/// The exchange itself.
impl RunningExchange<'_> {
    /// Sends the request, on another connection where a reused one turns out to be closed, and reads the response.
    async fn exchange(&self) -> ExchangeResult {
        loop {
            let address = self.endpoint.address();
            let checkout = match self.connect(address).await {
                Ok(checkout) => checkout,
                Err(outcome) => return outcome.into(),
            };
            // Prevents work for a client that has disconnected, however long it waited and however late this
            // process runs. The event of that is on its way to the decision actor, which withdraws this.
            let facts = self.send_facts(self.client_disconnected().await);
            if !self.may_send(&facts) {
                if facts.is_client_gone {
                    return pending().await;
                }
                return AttemptOutcome::NotSent.into();
            }
            // The backend moved while the connection was opened or taken: another may live at the old address.
            if self.endpoint.address() != address {
                continue;
            }
            if let Some(result) = self.send(checkout, address).await {
                return result;
            }
        }
    }

    /// Whether the guard lets the first byte be sent now.
    fn may_send(&self, facts: &SendFacts) -> bool {
        let invariants = &self.endpoint.invariants;
        invariants.may_send(self.request.id_text(), facts)
    }

    fn send_facts(&self, is_client_gone: bool) -> SendFacts {
        let now = Instant::now();
        // The time of a long request counts from its last byte.
        let deadline = self.deadlines.client;
        let deadline = deadline.filter(|_| self.request.may_be_complete());
        let send_by = self.deadlines.send_by;
        SendFacts {
            is_client_gone,
            time_left: deadline.map(|deadline| deadline.saturating_duration_since(now)),
            late: deadline.map_or(Duration::ZERO, |deadline| {
                now.saturating_duration_since(deadline)
            }),
            forwarded_timeout: self.deadlines.until.saturating_duration_since(now),
            is_backend_ready: self.endpoint.is_ready(),
            repeat_time_left: send_by.map(|at| at.saturating_duration_since(now)),
        }
    }

    /// Whether the client of this exchange has disconnected, by what the machine knows at this moment.
    async fn client_disconnected(&self) -> bool {
        match self.client {
            Some(client) => client.is_disconnected().await,
            None => false,
        }
    }

    /// An idle connection, or else a new one.
    async fn connect(&self, address: SocketAddr) -> Result<Checkout, AttemptOutcome> {
        if let Some(connection) = self.endpoint.idle.take().await {
            return Ok(Checkout {
                connection,
                reused: true,
            });
        }
        let permit = self
            .endpoint
            .budget
            .acquire(SocketClass::Backends)
            .ok_or(AttemptOutcome::NotSent)?;
        let latest = Instant::now() + self.endpoint.connect_timeout;
        let until = self.deadlines.until.min(latest);
        let connection = Connection::open(address, Some(permit), until)
            .await
            .map_err(|error| match error {
                // It says nothing of the backend.
                ConnectError::Local(_) => AttemptOutcome::NotSent,
                _ => AttemptOutcome::ConnectFailed,
            })?;
        Ok(Checkout {
            connection,
            reused: false,
        })
    }

    /// Sends the request on this connection; nothing if the connection had ended before any byte was written and
    /// another may be used.
    async fn send(&self, checkout: Checkout, address: SocketAddr) -> Option<ExchangeResult> {
        let Checkout {
            mut connection,
            reused,
        } = checkout;
        self.written.observe(&connection);
        let time_left = self
            .deadlines
            .until
            .saturating_duration_since(Instant::now());
        let idle_for = connection.last_used.elapsed();
        let may_stream = !self.request.is_health_check();
        let reply = connection
            .exchange(
                encode_request(self.request, time_left),
                BUFFERED_BODY_LIMIT,
                may_stream,
                self.completion.sent_flag(),
            )
            .await;
        match reply {
            Ok(reply) => {
                if reused {
                    self.endpoint.idle.extend_reuse();
                }
                Some(self.receive(connection, address, reply).await)
            }
            Err(ConnectionError::NotSent) if reused => None,
            Err(ConnectionError::NotSent) => Some(AttemptOutcome::ConnectFailed.into()),
            Err(ConnectionError::Closed) => {
                if reused {
                    self.endpoint.idle.shorten_reuse(idle_for);
                }
                Some(self.broken_outcome().into())
            }
            Err(ConnectionError::MalformedResponse) => Some(self.broken_outcome().into()),
        }
    }

    /// Streams the rest of a long response, keeps the connection and classifies the response.
    async fn receive(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        mut reply: Reply,
    ) -> ExchangeResult {
        if reply.is_partial
            && let Err(outcome) =
                stream_response(&mut connection, &mut reply, self.completion).await
        {
            return outcome.into();
        }
        self.endpoint
            .keep(connection, address, &reply.headers)
            .await;
        classify_response(reply, self.request.is_health_check())
    }

    /// The outcome on a connection that broke: what broke before the last byte of the request was written has not
    /// run.
    fn broken_outcome(&self) -> AttemptOutcome {
        if self.request.may_be_complete() {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::ConnectFailed
        }
    }
}
