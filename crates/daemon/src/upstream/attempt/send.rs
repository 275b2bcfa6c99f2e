//! Sends the request of an exchange and reads the response.
use super::RunningExchange;
use super::connect::Checkout;
use crate::net::body::{BUFFERED_BODY_LIMIT, RequestBody};
use crate::net::outbound_connection::{
    BodyBuffering, ConnectionError, OutboundConnection, ReceivedResponse, ResponseHead,
};
use crate::time_limits::RESPONSE_HOLD_TIMEOUT;
use crate::upstream::backend_protocol::{classify_response, encode_request};
use crate::upstream::endpoint_state::BackendProcess;
use crate::upstream::repeated_responses::ResponseDigest;
use crate::upstream::response_stream::stream_response;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::AttemptOutcome;
use birchhub_invariants::AttemptSend;
use hyper::StatusCode;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

impl RunningExchange<'_> {
    /// Sends the request and reads the response. If a reused connection turns out to be closed, another one is used.
    pub(super) async fn exchange(&self) -> ExchangeResult {
        loop {
            let process = self.endpoint.process();
            let checkout = match self.connect(process.address).await {
                Ok(checkout) => checkout,
                Err(outcome) => return outcome.into(),
            };
            // Checked right before sending, because the connect may have taken long or this process may run late: no
            // backend works for a client that has disconnected. The decision actor will receive that event and cancel
            // the exchange.
            let send = self.attempt_send(self.is_client_disconnected().await);
            if !self.may_send(&send) {
                if send.is_client_disconnected {
                    return wait_for_cancellation().await;
                }
                return AttemptOutcome::NotSent.into();
            }
            // If the backend has another process since the connect began, the connection may lead to the former one, or to
            // another backend at its address.
            if self.endpoint.process() != process {
                continue;
            }
            let Some(body) = self.request.payload.attempt_body() else {
                return AttemptOutcome::NotSent.into();
            };
            if let Some(result) = self.send(checkout, body, process).await {
                return result;
            }
        }
    }

    /// Whether the invariants permit sending the first byte now.
    fn may_send(&self, send: &AttemptSend) -> bool {
        let invariants = &self.endpoint.invariants;
        invariants.may_send(self.request.id_text(), send)
    }

    /// Describes the first byte to be sent now, for the check of the invariants.
    fn attempt_send(&self, is_client_disconnected: bool) -> AttemptSend {
        let now = Instant::now();
        // The client's deadline of a streamed request is not known before its last byte.
        let client_deadline = self.deadlines.client_deadline;
        let client_deadline = client_deadline.filter(|_| self.request.is_handed_over());
        let send_deadline = self.deadlines.send_deadline;
        AttemptSend {
            is_client_disconnected,
            time_left: client_deadline.map(|deadline| deadline.saturating_duration_since(now)),
            past_deadline: client_deadline.map_or(Duration::ZERO, |deadline| {
                now.saturating_duration_since(deadline)
            }),
            forwarded_timeout: self
                .deadlines
                .response_deadline
                .saturating_duration_since(now),
            is_backend_ready: self.endpoint.is_ready(),
            repeat_time_left: send_deadline.map(|deadline| deadline.saturating_duration_since(now)),
        }
    }

    /// Whether the client of this exchange has disconnected, as far as the kernel knows now.
    async fn is_client_disconnected(&self) -> bool {
        match self.client {
            Some(client) => client.is_disconnected().await,
            None => false,
        }
    }

    /// Sends the request on this connection and reads the response. Returns none if a reused connection was closed
    /// before any byte was written, so that another one may be used.
    async fn send(
        &self,
        mut checkout: Checkout,
        body: RequestBody,
        process: BackendProcess,
    ) -> Option<ExchangeResult> {
        let is_reused = checkout.is_reused;
        self.written.observe(&checkout.connection);
        let last_used = checkout.connection.last_used;
        let idle_for = last_used.elapsed();
        let received = self
            .exchange_on(&mut checkout, body, process.address, idle_for)
            .await;
        match received {
            Ok(response) => {
                if is_reused {
                    self.endpoint.idle.extend_reuse_time();
                }
                let digest = self.endpoint.comparison.digest(&response);
                if let Some(repeated) = digest.filter(|_| digest == checkout.last_response) {
                    // The connection is closed, as the response to this request may follow.
                    let idle = &self.endpoint.idle;
                    idle.record_repetition(repeated, last_used.elapsed());
                    return Some(self.connection_failure_outcome().into());
                }
                let digest = digest.filter(|_| !self.request.is_health_check());
                let connection = checkout.connection;
                Some(self.receive(connection, process, response, digest).await)
            }
            Err(ConnectionError::NotSent) if is_reused => None,
            Err(ConnectionError::NotSent) => Some(AttemptOutcome::ConnectFailed.into()),
            Err(ConnectionError::Closed) => {
                if is_reused {
                    self.endpoint.idle.shorten_reuse_time(idle_for);
                }
                Some(self.connection_failure_outcome().into())
            }
            Err(ConnectionError::MalformedResponse) => {
                Some(self.connection_failure_outcome().into())
            }
        }
    }

    /// Sends the request on this connection, which was idle for `idle_for`, and reads the response, or the first part of a
    /// long one.
    async fn exchange_on(
        &self,
        checkout: &mut Checkout,
        body: RequestBody,
        address: SocketAddr,
        idle_for: Duration,
    ) -> Result<ReceivedResponse, ConnectionError> {
        let connection = &mut checkout.connection;
        let sent_at = Instant::now();
        let timeout = self
            .deadlines
            .response_deadline
            .saturating_duration_since(sent_at);
        let request = encode_request(self.request, body, timeout);
        let head = connection
            .send(request, self.completion.sent_flag())
            .await?;
        log::debug!(
            request:% = self.request.id_text(), address:?, is_reused = checkout.is_reused,
            idle_for:?, after:? = sent_at.elapsed(), status:? = head.status, length:? = head.length;
            "response began"
        );
        if head.status == StatusCode::OK && !self.request.is_handed_over() {
            // A backend starts a request with its last byte, so this is no response to it.
            return Err(ConnectionError::MalformedResponse);
        }
        let buffering = self.buffering(&head);
        connection.receive(head, buffering).await
    }

    /// Returns how much of the body of a response with this head is buffered.
    ///
    /// A short body is buffered completely, so that the RPC can be retried if the body is truncated. The timeout of the
    /// attempt ends it too. A long body is streamed, without a timeout for its end. A body of unknown length may be either:
    /// its first part is held back, but never until the attempt's timeout, which would cut off what the backend is still
    /// sending.
    fn buffering(&self, head: &ResponseHead) -> BodyBuffering {
        let limit = BUFFERED_BODY_LIMIT;
        if self.request.is_health_check() || head.status != StatusCode::OK {
            return BodyBuffering::Complete { limit };
        }
        match head.length {
            Some(length) if length > limit as u64 => BodyBuffering::Nothing,
            Some(_) => BodyBuffering::Complete { limit },
            None => {
                self.has_open_ended_response.set(true);
                BodyBuffering::FirstPart {
                    limit,
                    deadline: self.hold_deadline(),
                }
            }
        }
    }

    /// Returns when the first part of a response that begins now must be forwarded at the latest. The other half of the
    /// time left is for its way to the client, however late this process runs.
    fn hold_deadline(&self) -> Instant {
        let now = Instant::now();
        let time_left = self.timeout_at().map_or(Duration::ZERO, |timeout_at| {
            timeout_at.saturating_duration_since(now)
        });
        now + (time_left / 2).min(RESPONSE_HOLD_TIMEOUT)
    }

    /// Streams the rest of a long response, keeps the connection for reuse and classifies the response. `digest` is that of
    /// a response to an RPC, if it can be compared; responses to health checks are equal whenever the backend's load is.
    async fn receive(
        &self,
        mut connection: OutboundConnection,
        process: BackendProcess,
        mut response: ReceivedResponse,
        digest: Option<ResponseDigest>,
    ) -> ExchangeResult {
        if let Some(digest) = digest {
            self.endpoint.comparison.record(digest);
        }
        if response.is_partial
            && let Err(outcome) = stream_response(
                &mut connection,
                &mut response,
                self.completion,
                &self.endpoint.budget,
            )
            .await
        {
            return outcome.into();
        }
        self.endpoint
            .keep(connection, process, &response.headers, digest)
            .await;
        classify_response(response, self.request.is_health_check())
    }

    /// Returns the outcome of an exchange whose connection failed: a backend can't have started a request whose last
    /// byte was not written. If the client has ended the request early, that has ended the connection, and doesn't count
    /// against the backend.
    fn connection_failure_outcome(&self) -> AttemptOutcome {
        match self.request.upload() {
            _ if self.request.is_handed_over() => AttemptOutcome::Reset,
            Some(upload) if upload.has_failed_at_client() => AttemptOutcome::NotSent,
            _ => AttemptOutcome::ConnectFailed,
        }
    }
}

/// Never returns: another branch of the `select!` in [`super::run`] ends the exchange, normally its cancellation.
async fn wait_for_cancellation() -> ExchangeResult {
    pending().await
}
