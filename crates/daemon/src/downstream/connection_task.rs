//! The task of a client's connection. It owns the socket and its permit from accept to close.
use crate::downstream::body_deadline::body_deadline;
use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_driver::drive;
use crate::downstream::connection_phase::ConnectionPhase;
use crate::downstream::eviction::{EvictedService, encode_rejections};
use crate::downstream::head_scan::HEAD_LIMIT;
use crate::downstream::response::ProxyResponse;
use crate::downstream::rpc_service::{ReceivedMessage, RpcService};
use crate::end_reason::EndReason;
use crate::event_loop::{Peer, PeerId, WorkQueue};
use crate::invariants::Invariants;
use crate::lifecycle::state::ProxyState;
use crate::net::body::ResponseBody;
use crate::net::inbound_stream::{ClientLiveness, InboundStream};
use crate::net::linger::linger;
use crate::net::observed_stream::ObservedStream;
use crate::net::socket_budget::{SocketBudget, SocketPermit};
use crate::time_limits::{LINGER_TIMEOUT, RESPONSE_GRACE_PERIOD};
use birchhub_invariants::Violation;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::watch;
use tokio::time::timeout;

/// The task of a client's connection, from accept to close.
pub(crate) struct ConnectionTask {
    /// The connection's number in log lines.
    pub id: u64,
    /// Responds to the client's messages.
    pub service: Rc<RpcService>,
    /// The state of this proxy, such as draining.
    pub state: watch::Receiver<ProxyState>,
    /// The budget that issued the permit.
    pub budget: Rc<SocketBudget>,
    /// Shares the event loop among all peers.
    pub work: Rc<WorkQueue>,
    /// Checks that the connection ends in time.
    pub invariants: Rc<Invariants>,
    /// The permit for the socket, returned to the budget once the connection is closed.
    pub permit: SocketPermit,
    /// Whether the connection exceeds the budget. All of its messages are rejected then.
    pub is_beyond_budget: bool,
}

impl ConnectionTask {
    /// Serves the connection until either side closes it.
    pub(crate) async fn run(self, stream: TcpStream) {
        // hyper writes complete responses or chunks, so Nagle's algorithm would only delay them.
        let _ = stream.set_nodelay(true);
        let request_ids = self.service.request_ids();
        let peer = Peer::new(PeerId::Client(self.id), &self.work);
        let client = ClientConnection::new(self.id, peer.clone(), &self.budget, request_ids);
        let stream = InboundStream::new(stream, peer);
        let read_ahead = stream.read_ahead();
        let service = service_fn(|request| {
            let task = &self;
            let client = client.clone();
            let liveness = read_ahead.liveness();
            async move { Ok::<_, Infallible>(task.respond(request, &client, liveness).await) }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(
                TokioIo::new(ObservedStream::new(stream, client.clone())),
                service,
            );
        let reason = drive(&mut connection, &client, &read_ahead, self.state.clone()).await;
        client.log_end(reason);
        let rejected_messages = match reason {
            EndReason::Evicted => client.rejected_messages(&read_ahead.take_buffered()),
            // A response may have been cut off, and nothing must follow it.
            _ => 0,
        };
        client.release_request_ids();
        self.check_end(&client, reason);
        if matches!(
            reason,
            EndReason::ConnectionBroken | EndReason::MalformedMessage
        ) {
            client.set_closing(true);
        }
        if client.is_closing() || rejected_messages > 0 {
            let mut stream = connection.into_parts().io.into_inner().into_stream();
            let rejections = encode_rejections(rejected_messages);
            // A client that reads nothing loses what its socket doesn't take now.
            let _ = timeout(LINGER_TIMEOUT, stream.write_all(&rejections)).await;
            linger_until_evicted(stream, &client).await;
        } else {
            drop(connection);
        }
        // `read_ahead` is the last handle of the socket, which must be closed before its permit is returned.
        drop(read_ahead);
        drop(self.permit);
    }

    /// Checks that the connection ended by the deadline of its phase, and that no RPC was left without a response.
    fn check_end(&self, client: &ClientConnection, reason: EndReason) {
        self.invariants
            .check_close(client.id(), client.phase_deadline());
        if reason == EndReason::ResponseOverdue {
            let connection = format!("connection {}", client.id());
            self.invariants
                .record_violation(&connection, &Violation::NoResponse);
        }
    }

    /// Responds to one message, and decides whether the connection is closed after the response.
    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
        liveness: ClientLiveness,
    ) -> Response<ResponseBody> {
        client.previous_response_written().await;
        let head = client.take_head();
        let body_deadline = body_deadline(request.body());
        let response_deadline = body_deadline.limit() + RESPONSE_GRACE_PERIOD;
        client.enter(ConnectionPhase::AwaitingAdmission { response_deadline });
        let evicted_service = client.evicted_service();
        match evicted_service {
            EvictedService::Serve => {
                let waiting_messages = client.waiting_messages();
                client.peer().admit_message(waiting_messages).await;
            }
            EvictedService::ServeAndClose => {}
            EvictedService::Reject => return await_rejection().await,
        }
        client.enter(ConnectionPhase::ReadingBody { response_deadline });
        let response = if self.is_beyond_budget {
            ProxyResponse::rejected()
        } else {
            let message = ReceivedMessage {
                request,
                head,
                body_deadline,
            };
            self.service.respond(message, client, liveness).await
        };
        let is_closing = self.is_beyond_budget
            || evicted_service == EvictedService::ServeAndClose
            || matches!(response, ProxyResponse::ClientError { .. })
            || client.is_closing()
            || self.state.borrow().closes_after_response();
        client.set_closing(is_closing);
        let response = response.encode(is_closing);
        client.begin_response(response.body().delivery());
        response
    }
}

/// Waits until the task of the connection, which was evicted, rejects all messages that wait.
async fn await_rejection() -> Response<ResponseBody> {
    pending().await
}

/// Gives the client time to read the last response, unless the connection is evicted first.
async fn linger_until_evicted(stream: InboundStream, client: &ClientConnection) {
    client.begin_linger();
    select! {
        biased;
        () = linger(stream, LINGER_TIMEOUT) => {}
        () = client.evicted() => {}
    }
}
