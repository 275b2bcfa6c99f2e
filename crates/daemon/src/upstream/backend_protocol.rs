//! The wire names of the backend protocol. Encodes requests to backends and classifies their responses.
use crate::downstream::request::{ParsedRequest, RequestPayload};
use crate::end_reason::EndReason;
use crate::net::body::RequestBody;
use crate::net::outbound_connection::ReceivedResponse;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_settings::parse_load_report;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use std::time::Duration;

/// The path of a health check, whose response holds a load report.
const HEALTH_CHECK_PATH: &str = "/stats";

/// Identifies the RPC of an attempt.
const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the backend has to respond, in milliseconds.
const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Identifies repeated attempts of one idempotent operation.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Holds the load report of a backend.
const LOAD_REPORT: HeaderName = HeaderName::from_static("server-load");
/// Set to [`NOT_STARTED_SET`] on the response to a request that was rejected before any work on it.
const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
const NOT_STARTED_SET: &str = "1";
/// Separates name and value in a load report.
const LOAD_REPORT_SEPARATOR: char = '=';

/// Creates the request of a health check.
pub(crate) fn health_check_request() -> ParsedRequest {
    ParsedRequest {
        method: Method::GET,
        uri: Uri::from_static(HEALTH_CHECK_PATH),
        request_id: None,
        idempotency_key: None,
        payload: RequestPayload::Buffered(Bytes::new()),
    }
}

/// Encodes a request with this body as the HTTP message to a backend that has `timeout` to respond.
pub(super) fn encode_request(
    request: &ParsedRequest,
    body: RequestBody,
    timeout: Duration,
) -> Request<RequestBody> {
    let mut message = Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    if let Some(id) = &request.request_id {
        let timeout_ms = timeout.as_millis().max(1) as u64;
        headers.insert(REQUEST_ID, id.clone());
        headers.insert(REQUEST_TIMEOUT_MS, HeaderValue::from(timeout_ms));
    }
    if let Some(key) = &request.idempotency_key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    // hyper adds the framing of a streamed body: its declared length, or the chunked coding.
    if let RequestPayload::Buffered(bytes) = &request.payload
        && request.method != Method::GET
    {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    }
    message
}

/// Determines the outcome and the load report of an exchange from the backend's response.
pub(super) fn classify_response(
    response: ReceivedResponse,
    is_health_check: bool,
) -> ExchangeResult {
    let outcome = if response.status == StatusCode::OK {
        AttemptOutcome::Succeeded
    } else if is_rejection(response.status, &response.headers) {
        AttemptOutcome::Rejected
    } else {
        AttemptOutcome::Failed
    };
    let health_check_body = is_health_check.then_some(&response.body[..]);
    let report = load_report(&response.headers, health_check_body);
    ExchangeResult {
        outcome,
        reason: EndReason::Completed,
        report,
        body: response.body,
    }
}

/// Whether a response with this status and these headers says that the request was rejected before any work on it.
pub(super) fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    let may_be_rejection = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    let is_not_started = headers
        .get(NOT_STARTED)
        .is_some_and(|value| value == NOT_STARTED_SET);
    may_be_rejection && is_not_started
}

/// Parses the load report in the headers, or else in the body of a health check's response. The body of an RPC is never
/// parsed as a load report, although it may look like one.
fn load_report(headers: &HeaderMap, health_check_body: Option<&[u8]>) -> Option<LoadReport> {
    let header = headers
        .get(LOAD_REPORT)
        .and_then(|value| value.to_str().ok());
    let body = health_check_body.and_then(|body| std::str::from_utf8(body).ok());
    parse_load_report(header.or(body)?, LOAD_REPORT_SEPARATOR).ok()
}

#[cfg(test)]
mod tests;
