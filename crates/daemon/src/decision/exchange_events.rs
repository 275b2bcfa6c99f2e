//! Events of exchanges with backends: progress and end of attempts, and end of health checks.
use crate::decision::actor::DecisionActor;
use crate::decision::in_flight::InFlightRpc;
use crate::downstream::response::ProxyResponse;
use crate::messages::AttemptId;
use crate::net::body::StreamedBody;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::{AttemptOutcome, LoadReport, PacedBy};

impl DecisionActor {
    /// Reports the end of an attempt to the balancer, and delivers its response if it succeeded.
    pub(super) fn on_attempt_ended(&mut self, attempt: AttemptId, result: ExchangeResult) {
        let AttemptId { rpc: id, index } = attempt;
        let body = result.body;
        let report = result.report;
        let outcome = self.outcome_after_suspension(result.outcome, AttemptOutcome::Cancelled);
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let in_flight = self.platform.in_flight.get(&id);
        log::debug!(
            request:% = in_flight.map(InFlightRpc::request_id).unwrap_or_default(),
            attempt = index, outcome:?, reason:% = result.reason;
            "attempt ended"
        );
        // A successful attempt ends the RPC: its response is sent to the client below.
        let is_over = succeeded || in_flight.is_none_or(|rpc| !rpc.awaits_response());
        let is_upload_consumed = in_flight.is_some_and(InFlightRpc::is_upload_consumed);
        self.call_rpc(id, |rpc, platform| {
            if let Some(in_flight) = platform.in_flight.get_mut(&id) {
                in_flight.record_attempt_end(index, outcome);
            }
            if is_upload_consumed {
                rpc.forbid_retry();
            }
            // The client of a streamed response no longer waits: it has received the head.
            if succeeded && platform.awaits_response(id) {
                platform.respond(id, ProxyResponse::Ok(body));
            }
            rpc.on_attempt_ended(index, outcome, is_over, report, platform);
        });
        if is_upload_consumed && let Some(shadow) = &self.shadow {
            shadow.forbid_retry(id);
        }
        self.replay_to_shadow(|shadow, call| {
            shadow.on_attempt_ended(call, attempt, outcome, is_over, report);
        });
    }

    /// Reports to the balancer that the last byte of a streamed request was sent; the backend's latency counts from it.
    pub(super) fn on_request_sent(&mut self, attempt: AttemptId) {
        self.call_rpc(attempt.rpc, |rpc, platform| {
            rpc.on_request_sent(attempt.index, platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.on_request_sent(call, attempt));
    }

    /// Delivers the head of a streamed response to the client, which receives the body directly from the attempt.
    pub(super) fn on_response_started(&mut self, attempt: AttemptId, body: StreamedBody) {
        self.call_rpc(attempt.rpc, |rpc, platform| {
            if platform.awaits_response(attempt.rpc) {
                platform.respond(attempt.rpc, ProxyResponse::Streamed(body));
            }
            rpc.on_response_started(attempt.index, PacedBy::Client, platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.on_response_started(call, attempt));
    }

    /// Reports the end of a health check to the balancer.
    pub(super) fn on_health_checked(
        &mut self,
        backend: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        log::trace!(backend, outcome:?, report:?; "health check ended");
        let outcome = self.outcome_after_suspension(outcome, AttemptOutcome::NotSent);
        self.call_balancer(|actor| {
            let platform = &mut actor.platform;
            actor
                .balancer
                .on_health_check(backend, outcome, report, platform);
        });
        self.replay_to_shadow(|shadow, call| {
            shadow.on_health_check(call, backend, outcome, report);
        });
    }
}
