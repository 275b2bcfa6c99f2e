//! The responses of the admin API.
//!
//! Status codes and texts are part of the protocol with the operators' tools and must not change.

use crate::event_loop::LoopReport;
use crate::lifecycle::admin_api::call::MemberError;
use crate::lifecycle::admin_state::AdminCommand;
use crate::lifecycle::process_group::ProcessGroupError;
use crate::lifecycle::state::{ProxyState, ServingPhase};
use birchhub_invariants::Report;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use std::fmt;

/// A response with one line of text.
pub(super) type AdminResponse = Response<Full<Bytes>>;

/// Returns a response with this status and line.
fn text_response(status: StatusCode, line: impl fmt::Display) -> AdminResponse {
    let mut response = Response::new(Full::from(format!("{line}\n")));
    *response.status_mut() = status;
    response
}

/// 400: the request's body is malformed or too long.
pub(super) fn invalid_body() -> AdminResponse {
    let text = "the body is malformed or over 64 KiB";
    text_response(StatusCode::BAD_REQUEST, text)
}

/// 400: the `member` parameter is invalid.
pub(super) fn invalid_member(error: MemberError) -> AdminResponse {
    text_response(StatusCode::BAD_REQUEST, error)
}

/// 404: no call has this path.
pub(super) fn unknown_path() -> AdminResponse {
    text_response(StatusCode::NOT_FOUND, "no such call")
}

/// 404: discovery never listed an endpoint of this name.
pub(super) fn unknown_endpoint(name: &str) -> AdminResponse {
    text_response(StatusCode::NOT_FOUND, format!("{name} was never listed"))
}

/// 405: the call has another HTTP method, given in the `Allow` header.
pub(super) fn method_not_allowed(allowed: &Method) -> AdminResponse {
    let text = format!("this call takes {allowed}");
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, text);
    let allowed = HeaderValue::from_str(allowed.as_str()).expect("a method is a header value");
    response.headers_mut().insert(ALLOW, allowed);
    response
}

/// Header of the status in which the measurements of the event loop are reported.
const EVENT_LOOP_HEADER: HeaderName = HeaderName::from_static("event-loop");

/// 200 if this process accepts clients, or else 503: its state, and the invariant report if an invariant was violated. The
/// measurements of the event loop are in a header, since they change with each call and the text must not.
pub(super) fn status(state: &ProxyState, report: Report, event_loop: LoopReport) -> AdminResponse {
    let (status, text) = match state.serving_phase() {
        ServingPhase::ShuttingDown => (StatusCode::SERVICE_UNAVAILABLE, "ends: SIGTERM has come"),
        ServingPhase::AwaitingEndpoints => {
            let text = "takes no clients yet: no list of backends";
            (StatusCode::SERVICE_UNAVAILABLE, text)
        }
        ServingPhase::AwaitingSiblings => {
            let text = "takes no clients yet: another process makes room";
            (StatusCode::SERVICE_UNAVAILABLE, text)
        }
        ServingPhase::Accepting => (StatusCode::OK, "takes clients"),
    };
    let violations = match report.violations() {
        0 => String::new(),
        _ => format!("; invariants: {report}"),
    };
    let mut response = text_response(status, format!("{text}; {state}{violations}"));
    let event_loop = HeaderValue::from_str(&event_loop.to_string());
    let event_loop = event_loop.expect("the measurements are visible ASCII characters");
    response.headers_mut().insert(EVENT_LOOP_HEADER, event_loop);
    response
}

/// 200: version, digest and sizes of the active settings.
pub(super) fn settings(active_config: impl fmt::Display) -> AdminResponse {
    text_response(StatusCode::OK, active_config)
}

/// 200: the command is applied in all processes of this proxy. `state` is the state after the command.
pub(super) fn applied(command: &AdminCommand, state: &ProxyState) -> AdminResponse {
    let text = match command {
        AdminCommand::EnterMaintenance(name) => format!("{name} is banned"),
        AdminCommand::ExitMaintenance(name) => format!("{name} is not banned"),
        AdminCommand::Standby => "on standby, health says no".to_owned(),
        AdminCommand::Activate => {
            let health = if state.is_healthy() { "yes" } else { "no" };
            format!("active, health says {health}")
        }
    };
    text_response(StatusCode::OK, text)
}

/// 500: the command is applied in this process, but could not be stored for its sibling processes.
pub(super) fn applied_here_only(error: &ProcessGroupError) -> AdminResponse {
    let text = format!("in force in this process only: {error}");
    text_response(StatusCode::INTERNAL_SERVER_ERROR, text)
}
