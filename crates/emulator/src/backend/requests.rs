//! Requests at an emulated backend: admission of RPCs, their execution, and health checks.
use super::EmulatedBackend;
use super::connection_slot::{ConnectionSlot, NextStep};
use super::incarnation::Completion;
use super::responses::{load_report_text, write_response};
use crate::faults::Fault;
use crate::protocol::{
    IDEMPOTENCY_KEY, LOAD_REPORT_PATH, NOT_STARTED, REQUEST_ID, REQUEST_TIMEOUT,
};
use crate::wire::{Message, Peer};
use birchhub_audit::Event;
use birchhub_audit::event::{Admission, AttemptEnd, ReceivedAttempt};
use birchhub_backend_model::{
    AttemptId, BackendEvent, IdempotencyKey, IncomingWork, RejectionReason,
};
use tokio::select;
use tokio::sync::oneshot;

/// A request as a connection received it.
pub(super) struct ReceivedRequest {
    pub message: Message,
    pub proxy: u16,
    /// When the proxy closed the connection, in seconds, if it did so while a stall kept the backend from processing the
    /// request.
    pub closed_at: Option<f64>,
}

/// An RPC with its cost at this backend.
struct Rpc {
    request_id: u64,
    /// Work in seconds of a standard core.
    work: f64,
    idempotency_key: Option<IdempotencyKey>,
}

/// Error response to a request that is not an RPC of a known method.
struct BadRequest {
    status: u16,
    body: &'static [u8],
}

/// Decision of the model on an RPC.
struct AdmissionDecision {
    result: Result<(), RejectionReason>,
    /// Recent work of a cold backend as a fraction of the work at which it collapses; 0 for a warm backend.
    overload: f64,
    events: Vec<BackendEvent>,
}

impl AdmissionDecision {
    /// The decision in the form that the ledger records.
    fn admission(&self) -> Admission {
        match self.result {
            Ok(()) => Admission::Admitted,
            Err(RejectionReason::Down) => Admission::Dropped,
            Err(_) => Admission::Rejected,
        }
    }
}

/// An attempt at this backend. Its end is recorded once, when it is dropped.
struct Attempt<'a> {
    backend: &'a EmulatedBackend,
    incarnation: u32,
    attempt_id: AttemptId,
    end: AttemptEnd,
    /// When the proxy cancelled the attempt, in seconds, if it did so before the backend processed it.
    closed_at: Option<f64>,
}

impl Attempt<'_> {
    /// Time of the attempt's events in the ledger. An attempt that was cancelled before it was processed is recorded at the
    /// time of the cancellation.
    fn event_time(&self) -> f64 {
        self.closed_at
            .unwrap_or_else(|| self.backend.fleet.event_log.clock.now())
    }

    fn record_received(
        &self,
        request: &ReceivedRequest,
        rpc: &Rpc,
        admission: Admission,
        overload: f64,
    ) {
        let event_log = &self.backend.fleet.event_log;
        let received = ReceivedAttempt {
            incarnation: self.incarnation,
            attempt_id: self.attempt_id,
            request_id: rpc.request_id,
            proxy: request.proxy,
            first_byte_at: request.message.first_byte_at,
            work: rpc.work as f32,
            overload: overload as f32,
            admission,
        };
        event_log.record_at(self.event_time(), Event::AttemptReceived(received));
        if let Some(seconds) = forwarded_timeout(&request.message) {
            event_log.record(Event::TimeoutForwarded {
                attempt_id: self.attempt_id,
                seconds,
            });
        }
    }

    /// Cancels the attempt after the proxy closed the connection. The model's parameters say whether its execution stops.
    fn cancel(mut self) {
        self.end = AttemptEnd::Cancelled;
        self.backend
            .update_incarnation(self.incarnation, |incarnation, now, fleet, events| {
                incarnation.completion_senders.remove(&self.attempt_id);
                let mut deduplication = fleet.deduplication.borrow_mut();
                let model = &mut incarnation.model;
                model.cancel(now, self.attempt_id, &mut deduplication, events);
            });
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let ended = Event::AttemptEnded {
            attempt_id: self.attempt_id,
            how: self.end,
        };
        let event_log = &self.backend.fleet.event_log;
        event_log.record_at(self.event_time(), ended);
    }
}

impl EmulatedBackend {
    /// Serves an attempt of an RPC, or rejects it.
    pub(super) async fn serve_rpc(
        &self,
        peer: &mut Peer,
        request: &ReceivedRequest,
        slot: &ConnectionSlot,
    ) -> NextStep {
        let incarnation = slot.incarnation;
        let rpc = match self.parse_rpc(&request.message) {
            Ok(rpc) => rpc,
            Err(BadRequest { status, body }) => {
                return self.respond(peer, incarnation, status, &[], body).await;
            }
        };
        let mut attempt = Attempt {
            backend: self,
            incarnation,
            attempt_id: self.fleet.new_attempt_id(),
            end: AttemptEnd::Broken,
            closed_at: request.closed_at,
        };
        let fault = self
            .faults
            .select(|number, share| self.fleet.is_selected(number, rpc.request_id, share));
        match fault {
            Some(Fault::NoResponse { .. }) => {
                attempt.record_received(request, &rpc, Admission::Dropped, 0.0);
                peer.closed().await;
                attempt.end = AttemptEnd::Cancelled;
                NextStep::Close
            }
            Some(Fault::ErrorResponse { .. }) => {
                attempt.record_received(request, &rpc, Admission::Failed, 0.0);
                attempt.end = AttemptEnd::Replied;
                self.respond(peer, incarnation, 500, &[], b"failed\n").await
            }
            _ => self.execute(peer, request, rpc, attempt, slot, fault).await,
        }
    }

    /// Parses the request id of an RPC and looks up its cost. Fails with status 404 if there is no id or the method is
    /// unknown, and with 400 if the id is malformed.
    fn parse_rpc(&self, message: &Message) -> Result<Rpc, BadRequest> {
        let id = message.header(REQUEST_ID);
        let request_id = id
            .and_then(|id| u64::from_str_radix(id, 16).ok())
            .ok_or(BadRequest {
                status: if id.is_some() { 400 } else { 404 },
                body: b"no such RPC\n",
            })?;
        let key = message.header(IDEMPOTENCY_KEY);
        let cost = self
            .fleet
            .cost(
                message.rpc_method(),
                request_id,
                key,
                self.spec.zone,
                self.spec.rack,
            )
            .ok_or(BadRequest {
                status: 404,
                body: b"no such method\n",
            })?;
        Ok(Rpc {
            request_id,
            work: cost.work,
            idempotency_key: cost.idempotency_key,
        })
    }

    /// Submits an RPC to the model, waits for its execution if it is admitted, and responds.
    async fn execute(
        &self,
        peer: &mut Peer,
        request: &ReceivedRequest,
        rpc: Rpc,
        mut attempt: Attempt<'_>,
        slot: &ConnectionSlot,
        fault: Option<Fault>,
    ) -> NextStep {
        let incarnation = slot.incarnation;
        let incoming = IncomingWork {
            attempt_id: attempt.attempt_id,
            work: rpc.work,
            idempotency_key: rpc.idempotency_key,
            first_on_connection: peer.messages_read == 1,
        };
        let (completion, mut completed) = oneshot::channel();
        let decision = self.admit(slot, incoming, completion);
        attempt.record_received(request, &rpc, decision.admission(), decision.overload);
        self.record_model_events(incarnation, decision.events);
        self.timer_changed.notify_one();
        match decision.result {
            Ok(()) => {}
            Err(RejectionReason::Down) => return NextStep::Reset,
            Err(_) => {
                attempt.end = AttemptEnd::Replied;
                return self.reject(peer, slot).await;
            }
        }
        select! {
            biased;
            // The sender is dropped when the incarnation ends.
            completion = &mut completed => if completion.is_err() { return NextStep::Reset },
            () = peer.closed() => {
                attempt.cancel();
                return NextStep::Close;
            }
        }
        let body = format!("{:016x} {}\n", rpc.request_id, self.spec.name);
        let bytes = self.encode_response(incarnation, 200, &[], body.as_bytes());
        let written = write_response(peer, &bytes, fault).await;
        attempt.end = written.end;
        written.next
    }

    /// Submits an RPC to the model. If it is admitted, `completion` is sent when its execution ends.
    fn admit(
        &self,
        slot: &ConnectionSlot,
        incoming: IncomingWork,
        completion: oneshot::Sender<Completion>,
    ) -> AdmissionDecision {
        let now = self.fleet.event_log.clock.now();
        let mut events = Vec::new();
        let attempt_id = incoming.attempt_id;
        let decided = self.with_incarnation(slot.incarnation, |incarnation| {
            if !slot.is_granted {
                return (
                    Err(RejectionReason::QueueFull),
                    incarnation.model.overload(),
                );
            }
            let mut deduplication = self.fleet.deduplication.borrow_mut();
            let model = &mut incarnation.model;
            let result = model.receive(now, incoming, &mut deduplication, &mut events);
            if result.is_ok() {
                incarnation
                    .completion_senders
                    .insert(attempt_id, completion);
            }
            (result, model.overload())
        });
        let (result, overload) = decided.unwrap_or((Err(RejectionReason::Down), 0.0));
        AdmissionDecision {
            result,
            overload,
            events,
        }
    }

    /// Responds with a rejection that tells the proxy that the RPC was not started. A connection without a granted slot is
    /// then closed.
    async fn reject(&self, peer: &mut Peer, slot: &ConnectionSlot) -> NextStep {
        let not_started = [(NOT_STARTED, "1")];
        let next = self
            .respond(peer, slot.incarnation, 503, &not_started, b"not started\n")
            .await;
        if slot.is_granted {
            next
        } else {
            NextStep::Close
        }
    }

    /// Responds to a health check or a request for the load report.
    pub(super) async fn serve_health_check(
        &self,
        peer: &mut Peer,
        message: &Message,
        incarnation: u32,
    ) -> NextStep {
        if !self.fleet.answers_health_checks {
            let body = b"no probes here\n";
            return self.respond(peer, incarnation, 404, &[], body).await;
        }
        if self.fleet.health_check_work_seconds > 0.0 {
            self.execute_health_check(incarnation);
        }
        let body = if message.path == LOAD_REPORT_PATH {
            load_report_text(&self.load_report(incarnation))
        } else {
            "ok".to_owned()
        };
        self.respond(peer, incarnation, 200, &[], body.as_bytes())
            .await
    }

    /// Submits the work of a health check to the model. The response does not depend on whether it is admitted.
    fn execute_health_check(&self, incarnation: u32) {
        let incoming = IncomingWork {
            attempt_id: self.fleet.new_attempt_id(),
            work: self.fleet.health_check_work_seconds,
            idempotency_key: None,
            first_on_connection: false,
        };
        self.update_incarnation(incarnation, |incarnation, now, fleet, events| {
            let mut deduplication = fleet.deduplication.borrow_mut();
            let model = &mut incarnation.model;
            let _ = model.receive(now, incoming, &mut deduplication, events);
        });
    }
}

/// The timeout that the proxy forwarded with a request, in seconds.
fn forwarded_timeout(message: &Message) -> Option<f32> {
    let milliseconds = message.header(REQUEST_TIMEOUT)?.parse::<f32>().ok()?;
    Some(milliseconds / 1e3)
}
