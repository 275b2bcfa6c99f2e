//! Responds to clients' messages: parses each, hands an RPC to the decision actor and waits for its response.
use crate::clock::until;
use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_phase::ConnectionPhase;
use crate::downstream::request::ReceivedRpc;
use crate::downstream::request_error::RequestError;
use crate::downstream::request_ids::{ActiveRequestIds, RequestIdGuard};
use crate::downstream::request_parser::RequestParser;
use crate::downstream::response::ProxyResponse;
use crate::downstream::rpc_guard::RpcGuard;
use crate::end_reason::EndReason;
use crate::invariants::Invariants;
use crate::lifecycle::state::ProxyState;
use crate::messages::Event;
use crate::net::body::{RequestUpload, UploadError};
use crate::net::inbound_stream::ClientLiveness;
use crate::net::progress_deadline::ProgressDeadline;
use crate::time_limits::RESPONSE_GRACE_PERIOD;
use hyper::body::Incoming;
use hyper::{Method, Request};
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// The path at which a platform asks whether this proxy is ready for clients.
const READINESS_PATH: &str = "/health/ready";

/// What all connections of clients share.
pub(crate) struct RpcService {
    parser: RequestParser,
    state: watch::Receiver<ProxyState>,
    invariants: Rc<Invariants>,
    events: mpsc::Sender<Event>,
    next_rpc: Cell<u64>,
    active_request_ids: ActiveRequestIds,
}

impl RpcService {
    /// Sends RPCs to the decision actor as `events`.
    pub(crate) fn new(
        parser: RequestParser,
        state: watch::Receiver<ProxyState>,
        invariants: Rc<Invariants>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            parser,
            state,
            invariants,
            events,
            next_rpc: Cell::new(0),
            active_request_ids: ActiveRequestIds::default(),
        }
    }

    /// The response to one message of a client.
    pub(crate) async fn respond(
        &self,
        message: Request<Incoming>,
        body_deadline: ProgressDeadline,
        connection: &ClientConnection,
        client: ClientLiveness,
    ) -> ProxyResponse {
        let framings = connection.take_framings();
        if message.method() == Method::GET && message.uri().path() == READINESS_PATH {
            return ProxyResponse::Health(self.state.borrow().is_healthy());
        }
        let parsed = self.parser.parse(message, framings, body_deadline);
        let rpc = match parsed.await {
            Ok(rpc) => rpc,
            Err(response) => {
                let reason = EndReason::InvalidRequest;
                log::log!(
                    reason.level(), connection = connection.id(), reason:%;
                    "message answered: {response}"
                );
                return response;
            }
        };
        connection.enter(ConnectionPhase::RpcInFlight {
            response_deadline: response_deadline(&rpc),
        });
        let upload = rpc.request.upload().cloned();
        let log = RpcLog::begin(&rpc, connection.id(), self.invariants.clone());
        let (received_at, timeout) = (rpc.received_at, rpc.timeout);
        let (response, reason) = self.decide(rpc, client).await;
        let received_at = match &upload {
            Some(upload) => upload.completed_at(),
            None => Some(received_at),
        };
        // The time of a request whose last byte did not come has not begun.
        if let Some(received_at) = received_at {
            self.invariants
                .check_answer(&log.request, received_at + timeout);
        }
        log.end(reason);
        // Nobody reads what the client still sends of a streamed request.
        connection.set_closing(upload.is_some_and(|upload| !upload.is_complete()));
        response
    }

    /// The decision actor's response to an RPC, or a failure if there is none by the RPC's deadline.
    async fn decide(
        &self,
        mut rpc: ReceivedRpc,
        client: ClientLiveness,
    ) -> (ProxyResponse, EndReason) {
        rpc.timeout = self.timeout_before_shutdown(&rpc);
        if rpc.timeout.is_zero() {
            return (ProxyResponse::rejected(), EndReason::ShuttingDown);
        }
        // Room in the mailbox is reserved for the client's disconnect. Without it nothing is sent: a retry is safe.
        let Ok(permit) = self.events.clone().try_reserve_owned() else {
            return (ProxyResponse::rejected(), EndReason::Overloaded);
        };
        let Some(request_id) = self.active_request_ids.try_insert(rpc.request.id()) else {
            let response = RequestError::DuplicateRequestId.into();
            return (response, EndReason::InvalidRequest);
        };
        let id = self.next_rpc.replace(self.next_rpc.get() + 1);
        let guard = RpcGuard::new(id, permit);
        let upload = rpc.request.upload().cloned();
        let deadline = deadline(upload.as_deref(), rpc.received_at, rpc.timeout);
        select! {
            biased;
            end = incomplete_upload(upload.as_deref()) => end,
            Some(response) = self.submit(id, rpc, request_id, client) => {
                guard.disarm();
                let reason = reason_of_decision(&response);
                (response, reason)
            }
            () = deadline => {
                log::error!("an RPC had no answer by its deadline");
                (ProxyResponse::Failed, EndReason::DeadlineExceeded)
            }
            () = self.shutdown() => (ProxyResponse::Failed, EndReason::ShuttingDown),
            else => (ProxyResponse::Failed, EndReason::LostByDecisions),
        }
    }

    /// The RPC's timeout, or less where this process ends before: its end must find no RPC without a response.
    fn timeout_before_shutdown(&self, rpc: &ReceivedRpc) -> Duration {
        match self.state.borrow().response_deadline() {
            Some(end) => rpc
                .timeout
                .min(end.saturating_duration_since(rpc.received_at)),
            None => rpc.timeout,
        }
    }

    /// Hands the RPC to the decision actor and waits for its response; none if the actor drops it.
    async fn submit(
        &self,
        id: u64,
        rpc: ReceivedRpc,
        request_id: RequestIdGuard,
        client: ClientLiveness,
    ) -> Option<ProxyResponse> {
        let (sender, receiver) = oneshot::channel();
        let event = Event::RpcReceived {
            id,
            rpc: Box::new(rpc),
            request_id,
            client,
            response: sender,
        };
        self.events.send(event).await.ok()?;
        receiver.await.ok()
    }

    /// Waits until this process ends, for RPCs accepted before that was known, whose clients would wait for longer.
    async fn shutdown(&self) {
        let mut state = self.state.clone();
        let end = state
            .wait_for(|state| state.response_deadline().is_some())
            .await
            .map(|state| state.response_deadline());
        until(end.ok().flatten()).await;
    }
}

/// Logs an RPC from the moment it is handed to the decisions to its end. Dropped before, it logs that the client has
/// disconnected: its connection, and with it all that waits for a response, is gone.
struct RpcLog {
    invariants: Rc<Invariants>,
    /// The `Request-Id`.
    request: String,
    connection: u64,
    received_at: Instant,
    reason: Cell<EndReason>,
}

impl RpcLog {
    fn begin(rpc: &ReceivedRpc, connection: u64, invariants: Rc<Invariants>) -> Self {
        invariants.record_rpc();
        let request = rpc.request.id_text().to_owned();
        let streamed = rpc.request.upload().is_some();
        log::debug!(
            request:%, connection, method = rpc.method, timeout:? = rpc.timeout, streamed;
            "RPC received"
        );
        Self {
            invariants,
            request,
            connection,
            received_at: rpc.received_at,
            reason: Cell::new(EndReason::ClientDisconnected),
        }
    }

    fn end(self, reason: EndReason) {
        self.reason.set(reason);
    }
}

impl Drop for RpcLog {
    fn drop(&mut self) {
        self.invariants.record_rpc_end();
        let reason = self.reason.get();
        log::log!(
            reason.level(),
            request:% = self.request, connection = self.connection, reason:%,
            after:? = self.received_at.elapsed();
            "RPC ended"
        );
    }
}

/// The reason that a response of the decision actor stands for.
fn reason_of_decision(response: &ProxyResponse) -> EndReason {
    match response {
        ProxyResponse::Ok(_) | ProxyResponse::Streamed(_) | ProxyResponse::Health(_) => {
            EndReason::Served
        }
        ProxyResponse::Rejected { .. } => EndReason::RejectedByDecision,
        ProxyResponse::Failed => EndReason::FailedByDecision,
        ProxyResponse::ClientError { .. } => EndReason::InvalidRequest,
    }
}

/// Waits until the client waits no longer: it does so from the last byte of its request on.
async fn deadline(upload: Option<&RequestUpload>, received_at: Instant, timeout: Duration) {
    let received_at = match upload {
        Some(upload) => upload.completed().await,
        None => received_at,
    };
    sleep_until(received_at + timeout).await;
}

/// Waits until a streamed request has ended without its last byte, and returns its answer.
async fn incomplete_upload(upload: Option<&RequestUpload>) -> (ProxyResponse, EndReason) {
    let Some(upload) = upload else {
        return pending().await;
    };
    match upload.failed().await {
        UploadError::LimitExceeded => {
            (RequestError::BodyTooLarge.into(), EndReason::InvalidRequest)
        }
        UploadError::Truncated => (
            RequestError::MalformedBody.into(),
            EndReason::InvalidRequest,
        ),
        UploadError::Stalled if upload.is_waiting_for_client() => {
            (RequestError::BodyTimeout.into(), EndReason::BodyStalled)
        }
        // No backend had all of it, so none has begun.
        UploadError::Stalled => (ProxyResponse::rejected(), EndReason::BodyStalled),
    }
}

/// Returns when the RPC must have its response, whoever delays it: its timeout and the grace period, counted from the
/// latest end of its body.
fn response_deadline(rpc: &ReceivedRpc) -> Instant {
    let upload = rpc.request.upload();
    let body_end = upload.map_or(rpc.received_at, |upload| upload.latest_end());
    body_end + rpc.timeout + RESPONSE_GRACE_PERIOD
}
