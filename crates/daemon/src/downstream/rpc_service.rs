//! Responds to clients' messages: hands each RPC to the decision actor and waits for its response.
use crate::clock::until;
use crate::downstream::client_protocol::READINESS_PATH;
use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_phase::ConnectionPhase;
use crate::downstream::message_scan::ReceivedHead;
use crate::downstream::request::ReceivedRpc;
use crate::downstream::request_ids::ActiveRequestIds;
use crate::downstream::request_parser::RequestParser;
use crate::downstream::response::ProxyResponse;
use crate::downstream::rpc_deadline::{
    client_timeout, deadline_exceeded, incomplete_upload, response_deadline,
};
use crate::downstream::rpc_guard::RpcGuard;
use crate::downstream::rpc_log::RpcLog;
use crate::downstream::rpc_outcome::RpcOutcome;
use crate::end_reason::EndReason;
use crate::invariants::Invariants;
use crate::lifecycle::state::ProxyState;
use crate::messages::Event;
use crate::net::inbound_stream::ClientLiveness;
use crate::net::progress_deadline::ProgressDeadline;
use hyper::body::Incoming;
use hyper::{Method, Request};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{mpsc, oneshot, watch};

/// A message of a client whose head is complete.
pub(crate) struct ReceivedMessage {
    /// The message as hyper reports it.
    pub request: Request<Incoming>,
    /// Its head as the scanner of the connection found it; none if it found no complete one.
    pub head: Option<ReceivedHead>,
    /// When its body must have been received.
    pub body_deadline: ProgressDeadline,
}

/// Responds to the messages of all clients' connections.
pub(crate) struct RpcService {
    parser: RequestParser,
    state: watch::Receiver<ProxyState>,
    invariants: Rc<Invariants>,
    events: mpsc::Sender<Event>,
    next_rpc: Cell<u64>,
    request_ids: ActiveRequestIds,
}

impl RpcService {
    /// Creates a service that sends RPCs to the decision actor through `events`.
    pub(crate) fn new(
        parser: RequestParser,
        request_ids: ActiveRequestIds,
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
            request_ids,
        }
    }

    /// Returns the ids of all open requests.
    pub(crate) fn request_ids(&self) -> ActiveRequestIds {
        self.request_ids.clone()
    }

    /// Returns the response to one message of a client.
    pub(crate) async fn respond(
        &self,
        message: ReceivedMessage,
        connection: &ClientConnection,
        liveness: ClientLiveness,
    ) -> ProxyResponse {
        let ReceivedMessage {
            request,
            head,
            body_deadline,
        } = message;
        if request.method() == Method::GET && request.uri().path() == READINESS_PATH {
            return ProxyResponse::Health(self.state.borrow().is_healthy());
        }
        let parsed = self.parser.parse(request, head, body_deadline, &liveness);
        match parsed.await {
            Ok(rpc) => self.serve(rpc, connection, liveness).await,
            Err(response) => {
                // The rest of the message is no longer read, so the next one can't be found.
                connection.set_closing(true);
                let reason = EndReason::InvalidRequest;
                log::log!(
                    reason.level(), connection = connection.id(), reason:%;
                    "message is no valid RPC, responding {response}"
                );
                response
            }
        }
    }

    /// Serves one RPC: logs it, waits for its outcome and checks that it is not late.
    async fn serve(
        &self,
        rpc: ReceivedRpc,
        connection: &ClientConnection,
        liveness: ClientLiveness,
    ) -> ProxyResponse {
        connection.enter(ConnectionPhase::RpcInFlight {
            response_deadline: response_deadline(&rpc),
        });
        let upload = rpc.request.upload().cloned();
        let log = RpcLog::start(&rpc, connection.id(), self.invariants.clone());
        let timeout = rpc.timeout;
        let buffered_at = rpc.received_at;
        let outcome = self.wait_for_outcome(rpc, liveness, log.request_id()).await;
        // The timeout of a streamed request starts with its last byte: without it there is no deadline.
        let received_at = match &upload {
            Some(upload) => upload.received_at(),
            None => Some(buffered_at),
        };
        if let Some(received_at) = received_at {
            self.invariants
                .check_response(log.request_id(), received_at + timeout);
        }
        if let Some(upload) = &upload {
            log::debug!(
                request:% = log.request_id(), received_bytes = upload.received_bytes(),
                last_byte_ago:? = upload.received_at().map(|at| at.elapsed()),
                is_handed_over = upload.is_handed_over();
                "streamed request ended"
            );
        }
        log.end(outcome.reason);
        // The rest of a streamed request is no longer read, so the next message can't be found.
        connection.set_closing(upload.is_some_and(|upload| upload.received_at().is_none()));
        outcome.response
    }

    /// Waits for the outcome of an RPC: the decision actor's response, or a failure if there is none by its deadline.
    async fn wait_for_outcome(
        &self,
        mut rpc: ReceivedRpc,
        liveness: ClientLiveness,
        request_id_text: &str,
    ) -> RpcOutcome {
        rpc.timeout = self.timeout_before_shutdown(&rpc);
        if rpc.timeout.is_zero() {
            return RpcOutcome::new(ProxyResponse::rejected(), EndReason::ShuttingDown);
        }
        // Reserves a slot in the mailbox for the report of a disconnect. If there is none, the RPC is not handed over,
        // so a retry is safe.
        let Ok(permit) = self.events.clone().try_reserve_owned() else {
            return RpcOutcome::new(ProxyResponse::rejected(), EndReason::Overloaded);
        };
        let id = self.next_rpc.replace(self.next_rpc.get() + 1);
        let guard = RpcGuard::new(id, permit);
        let upload = rpc.request.upload().cloned();
        let upload = upload.as_deref();
        let timeout = rpc.timeout;
        let expired = client_timeout(upload, rpc.received_at, timeout);
        // An RPC that the decision actor drops without a response ends at one of the deadlines.
        select! {
            biased;
            outcome = incomplete_upload(upload, timeout) => outcome,
            Some(response) = self.submit(id, rpc, liveness) => {
                guard.disarm();
                RpcOutcome::from_decision(response)
            }
            () = expired => {
                let outcome = deadline_exceeded(upload);
                if matches!(outcome.response, ProxyResponse::Failed) {
                    log::error!(request:% = request_id_text; "RPC exceeded its deadline without a response");
                }
                outcome
            }
            () = self.shutdown_deadline() => {
                RpcOutcome::new(ProxyResponse::Failed, EndReason::ShuttingDown)
            }
        }
    }

    /// Returns the RPC's timeout, shortened to the response deadline of a shutdown: no RPC may be without a response by
    /// then.
    fn timeout_before_shutdown(&self, rpc: &ReceivedRpc) -> Duration {
        match self.state.borrow().response_deadline() {
            Some(deadline) => rpc
                .timeout
                .min(deadline.saturating_duration_since(rpc.received_at)),
            None => rpc.timeout,
        }
    }

    /// Hands the RPC to the decision actor and returns its response; none if the actor drops the RPC.
    async fn submit(
        &self,
        id: u64,
        rpc: ReceivedRpc,
        liveness: ClientLiveness,
    ) -> Option<ProxyResponse> {
        let (responder, receiver) = oneshot::channel();
        let event = Event::RpcReceived {
            id,
            rpc: Box::new(rpc),
            liveness,
            responder,
        };
        self.events.send(event).await.ok()?;
        receiver.await.ok()
    }

    /// Waits for the response deadline of a shutdown that begins after the RPC was received. The RPC's own deadline may
    /// be later.
    async fn shutdown_deadline(&self) {
        let mut state = self.state.clone();
        let deadline = state
            .wait_for(|state| state.response_deadline().is_some())
            .await
            .map(|state| state.response_deadline());
        until(deadline.ok().flatten()).await;
    }
}
