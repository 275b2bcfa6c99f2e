//! The task of one client's connection: it owns the socket and its permit, and decides when the connection ends.
use crate::clock::until;
use crate::downstream::body_deadline::body_deadline;
use crate::downstream::connection::{ClientConnection, Phase};
use crate::downstream::head_scan::HEAD_LIMIT;
use crate::downstream::response::ProxyResponse;
use crate::downstream::rpc_service::RpcService;
use crate::end_reason::EndReason;
use crate::invariants::Invariants;
use crate::lifecycle::state::ProxyState;
use crate::net::body::ResponseBody;
use crate::net::inbound_stream::{ClientLiveness, InboundStream, ReadAhead};
use crate::net::linger::linger;
use crate::net::observed_stream::ObservedStream;
use crate::net::socket_budget::{SocketBudget, SocketPermit};
use crate::time_limits::{ANSWER_GRACE, LINGER};
use birchhub_invariants::Violation;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// A client's connection from its accept to its close.
pub(crate) struct ConnectionTask {
    /// The connection's number in the log.
    pub id: u64,
    /// Responds to what the client sends.
    pub service: Rc<RpcService>,
    /// Whether this proxy drains.
    pub state: watch::Receiver<ProxyState>,
    /// Of which the permit is.
    pub budget: Rc<SocketBudget>,
    /// Told of the connection's end.
    pub invariants: Rc<Invariants>,
    /// Given back once the connection is closed.
    pub permit: SocketPermit,
    /// The connection is beyond the budget: all it gets is a rejection.
    pub is_beyond_budget: bool,
}

impl ConnectionTask {
    /// Serves the connection until either side closes it.
    pub(crate) async fn run(self, stream: TcpStream) {
        // Responses are written complete, or a chunk as soon as it is there: waiting for more gains nothing.
        let _ = stream.set_nodelay(true);
        let client = ClientConnection::new(self.id, &self.budget);
        let stream = InboundStream::new(stream);
        let read_ahead = stream.read_ahead();
        let service = service_fn(|request| {
            let (task, client, liveness) = (&self, client.clone(), read_ahead.liveness());
            async move { Ok::<_, Infallible>(task.respond(request, &client, liveness).await) }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(
                TokioIo::new(ObservedStream::new(stream, client.clone())),
                service,
            );
        let ended = self.drive(&mut connection, &client, &read_ahead).await;
        client.log_end(ended);
        self.check_end(&client, ended);
        if matches!(
            ended,
            EndReason::ConnectionBroken | EndReason::MalformedMessage
        ) {
            client.set_closing(true);
        }
        if client.is_closing() {
            let stream = connection.into_parts().io.into_inner().into_stream();
            linger_until_evicted(stream, &client).await;
        } else {
            drop(connection);
        }
        // The last handle of the socket: it is closed before its permit is given back.
        drop(read_ahead);
        drop(self.permit);
    }

    /// No connection outlives the deadline of its phase, and none is closed by this proxy over an RPC.
    fn check_end(&self, client: &ClientConnection, reason: EndReason) {
        self.invariants.check_close(client.id(), client.deadline());
        if reason == EndReason::AnswerOverdue {
            let connection = format!("connection {}", client.id());
            self.invariants
                .violated(&connection, &Violation::Unanswered);
        }
    }

    /// The response to one message, and whether the connection is closed after it.
    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
        liveness: ClientLiveness,
    ) -> Response<ResponseBody> {
        let body_deadline = body_deadline(request.body());
        client.enter(Phase::ReadingBody(body_deadline.bound() + ANSWER_GRACE));
        let response = if self.is_beyond_budget {
            ProxyResponse::rejected()
        } else {
            self.service
                .respond(request, body_deadline, client, liveness)
                .await
        };
        let closes = self.is_beyond_budget
            || matches!(response, ProxyResponse::ClientError { .. })
            || client.is_closing()
            || self.state.borrow().closes_after_response();
        client.set_closing(closes);
        let response = response.encode(closes);
        client.begin_response(response.body().delivery());
        response
    }

    /// Moves the connection's bytes until it ends or is to end; the only place that decides the latter. Bytes that
    /// were received are always read before the phase is looked at. Otherwise an RPC could be read in the very turn
    /// in which its connection is closed as idle, and be dropped with it.
    async fn drive<C: Future<Output = hyper::Result<()>> + Unpin>(
        &self,
        connection: &mut C,
        client: &ClientConnection,
        read_ahead: &ReadAhead,
    ) -> EndReason {
        let mut state = self.state.clone();
        let mut disconnected = pin!(read_ahead.disconnected());
        loop {
            // An RPC must not wait, or be sent, for a client that has disconnected behind further bytes.
            let disconnected = poll_fn(|cx| {
                if client.is_busy() {
                    disconnected.as_mut().poll(cx)
                } else {
                    Poll::Pending
                }
            });
            let (ends_at, _) = client.ends_at(state.borrow_and_update().drain_deadlines());
            let settles_at = client.settles_at();
            select! {
                biased;
                result = &mut *connection => return end_of_stream(&result, client),
                () = disconnected => return EndReason::ClientDisconnected,
                () = client.changed() => {}
                _ = state.changed() => {}
                () = until(settles_at) => client.register_evictable(),
                () = sleep_until(ends_at) => {
                    if let Poll::Ready(result) = read_once_more(connection, read_ahead).await {
                        return end_of_stream(&result, client);
                    }
                    let (ends_at, reason) = client.ends_at(state.borrow().drain_deadlines());
                    if ends_at <= Instant::now() {
                        return reason;
                    }
                }
            }
        }
    }
}

/// Why a connection ended whose stream came to an end by itself.
fn end_of_stream(result: &hyper::Result<()>, client: &ClientConnection) -> EndReason {
    match result {
        Ok(()) if client.is_closing() => EndReason::LastResponse,
        Ok(()) => EndReason::ClientClosed,
        Err(error) if error.is_parse() => EndReason::MalformedMessage,
        Err(_) => EndReason::ConnectionBroken,
    }
}

/// Reads what the system received since the event loop polled it; ready if the connection has ended.
async fn read_once_more<C: Future + Unpin>(
    connection: &mut C,
    read_ahead: &ReadAhead,
) -> Poll<C::Output> {
    yield_now().await;
    read_ahead.read_available();
    poll_fn(|cx| Poll::Ready(Pin::new(&mut *connection).poll(cx))).await
}

/// Lets a client read the last response, unless the connection is evicted for another.
async fn linger_until_evicted(stream: InboundStream, client: &ClientConnection) {
    client.begin_linger();
    select! {
        () = linger(stream, LINGER) => {}
        () = client.evicted() => {}
    }
}
