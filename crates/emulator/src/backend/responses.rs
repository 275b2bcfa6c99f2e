//! Responses of an emulated backend: load reports, and faults that truncate, corrupt, delay or drop a response.
use super::EmulatedBackend;
use super::connection_slot::NextStep;
use crate::faults::Fault;
use crate::protocol::LOAD_REPORT;
use crate::wire::{Peer, response};
use birchhub_audit::event::AttemptEnd;
use birchhub_backend_model::LoadReport;
use std::time::Duration;
use tokio::time::sleep;

/// Bytes that [`Fault::MalformedResponse`] sends instead of a response; they are not valid HTTP.
const MALFORMED_RESPONSE: &[u8] = b"\x00\x01 what?\r\n\r\n";
/// [`Fault::TruncatedResponse`] omits the last `1 / TRUNCATION_DIVISOR` of a response.
const TRUNCATION_DIVISOR: usize = 8;

/// Result of writing a response.
pub(super) struct WrittenResponse {
    /// What the connection does next.
    pub next: NextStep,
    /// How the attempt ended.
    pub end: AttemptEnd,
}

impl WrittenResponse {
    const COMPLETE: Self = Self {
        next: NextStep::Read,
        end: AttemptEnd::Replied,
    };

    fn broken(next: NextStep) -> Self {
        Self {
            next,
            end: AttemptEnd::Broken,
        }
    }
}

impl EmulatedBackend {
    /// The current load report of an incarnation; the default report if the incarnation has ended.
    pub(super) fn load_report(&self, incarnation: u32) -> LoadReport {
        let now = self.fleet.event_log.clock.now();
        self.with_incarnation(incarnation, |incarnation| incarnation.model.report(now))
            .unwrap_or_default()
    }

    /// Encodes a response, with the load report as a header if the fleet reports load in responses.
    pub(super) fn encode_response(
        &self,
        incarnation: u32,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        let load = load_report_text(&self.load_report(incarnation));
        let mut headers = headers.to_vec();
        if self.fleet.reports_in_responses {
            headers.push((LOAD_REPORT, &load));
        }
        response(status, &headers, body)
    }

    /// Writes a response that faults do not affect.
    pub(super) async fn respond(
        &self,
        peer: &mut Peer,
        incarnation: u32,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> NextStep {
        let bytes = self.encode_response(incarnation, status, headers, body);
        match peer.write(&bytes).await {
            Ok(()) => NextStep::Read,
            Err(_) => NextStep::Close,
        }
    }
}

/// Formats a load report as the value of its header and as the body of a response.
pub(super) fn load_report_text(report: &LoadReport) -> String {
    format!(
        "inflight={},queue={},util={:.3}",
        report.in_flight, report.queued, report.utilisation
    )
}

/// Writes the response to an RPC with the effect of `fault`.
pub(super) async fn write_response(
    peer: &mut Peer,
    bytes: &[u8],
    fault: Option<Fault>,
) -> WrittenResponse {
    match fault {
        Some(Fault::ConnectionReset { .. }) => WrittenResponse::broken(NextStep::Reset),
        Some(Fault::TruncatedResponse { .. }) => {
            let length = bytes.len() - bytes.len() / TRUNCATION_DIVISOR;
            let _ = peer.write(&bytes[..length]).await;
            WrittenResponse::broken(NextStep::Close)
        }
        Some(Fault::MalformedResponse { .. }) => {
            let _ = peer.write(MALFORMED_RESPONSE).await;
            WrittenResponse::broken(NextStep::Close)
        }
        Some(Fault::SlowResponse { extra_seconds, .. }) => {
            write_slowly(peer, bytes, extra_seconds).await
        }
        _ => match peer.write(bytes).await {
            Ok(()) => WrittenResponse::COMPLETE,
            Err(_) => WrittenResponse::broken(NextStep::Close),
        },
    }
}

/// Writes a response byte by byte, spread evenly over `seconds`.
async fn write_slowly(peer: &mut Peer, bytes: &[u8], seconds: f64) -> WrittenResponse {
    let pause = Duration::from_secs_f64(seconds / bytes.len() as f64);
    for byte in bytes {
        if peer.write(std::slice::from_ref(byte)).await.is_err() {
            return WrittenResponse::broken(NextStep::Close);
        }
        sleep(pause).await;
    }
    WrittenResponse::COMPLETE
}
