//! The second address: HTTP calls of administrators and of the platform, one to a connection.
//!
//! Paths, status codes and texts of the responses are fixed: scripts read them.

use crate::config::reload::ActiveConfig;
use crate::invariants::Invariants;
use crate::lifecycle::admin_state::AdminCommand;
use crate::lifecycle::state::ProxyState;
use crate::lifecycle::state_store::StateStore;
use crate::net::linger::linger;
use crate::net::socket::Socket;
use crate::net::socket_budget::ADMIN_CONNECTIONS;
use birchhub_invariants::Report;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// For a whole call, from its connection to its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a call's head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Bytes of a body: no call needs one, but some callers send one.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Before connections are accepted again after that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// For a caller that is still sending to read its response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

type AdminResponse = Response<Full<Bytes>>;

/// Why the `member` of a call can't be read.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(crate) enum MemberError {
    /// The query has none.
    #[error("member is missing")]
    Missing,
    /// The query has two.
    #[error("member is there twice")]
    Duplicate,
    /// It is not percent-encoded UTF-8.
    #[error("member is badly escaped")]
    BadEscape,
    /// It is an empty text.
    #[error("member is empty")]
    Empty,
}

/// What a path asks for.
#[derive(Clone, Debug, PartialEq)]
enum AdminCall {
    /// The state of this process.
    Status,
    /// The settings in force.
    Settings,
    /// A change of the administrative state.
    Command(Result<AdminCommand, MemberError>),
}

impl AdminCall {
    /// The call of this path and query; none if there is no such path.
    fn parse(path: &str, query: &str) -> Option<Self> {
        let command = match path {
            "/status" => return Some(Self::Status),
            "/settings" => return Some(Self::Settings),
            "/standby" => Ok(AdminCommand::Standby),
            "/active" => Ok(AdminCommand::Activate),
            "/maintenance/enter" => parse_member(query).map(AdminCommand::EnterMaintenance),
            "/maintenance/exit" => parse_member(query).map(AdminCommand::ExitMaintenance),
            _ => return None,
        };
        Some(Self::Command(command))
    }

    /// The HTTP method that it takes.
    fn method(&self) -> Method {
        match self {
            Self::Status | Self::Settings => Method::GET,
            Self::Command(_) => Method::POST,
        }
    }
}

/// Decodes `%41`; none if an escape is malformed or the bytes are not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut parts = text.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2)?;
        let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
        bytes.push(u8::from_str_radix(digits, 16).ok().filter(|_| is_hex)?);
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(bytes).ok()
}

/// The one member that a query names.
fn parse_member(query: &str) -> Result<String, MemberError> {
    let mut members = query
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .filter(|(name, _)| *name == "member")
        .map(|(_, value)| value);
    let member = members.next().ok_or(MemberError::Missing)?;
    if members.next().is_some() {
        return Err(MemberError::Duplicate);
    }
    let member = percent_decode(member).ok_or(MemberError::BadEscape)?;
    if member.is_empty() {
        return Err(MemberError::Empty);
    }
    Ok(member)
}

fn text_response(status: StatusCode, line: String) -> AdminResponse {
    let mut response = Response::new(Full::from(line + "\n"));
    *response.status_mut() = status;
    response
}

fn method_not_allowed(allowed: &Method) -> AdminResponse {
    let text = format!("this call takes {allowed}");
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, text);
    let allowed = HeaderValue::from_str(allowed.as_str()).expect("a method is a header value");
    response.headers_mut().insert(ALLOW, allowed);
    response
}

/// The text is fixed, and goes on only where an invariant was violated.
fn status_response(state: &ProxyState, report: Report) -> AdminResponse {
    let (status, text) = if state.shutdown.is_some() {
        (StatusCode::SERVICE_UNAVAILABLE, "ends: SIGTERM has come")
    } else if !state.ready {
        let text = "takes no clients yet: no list of backends";
        (StatusCode::SERVICE_UNAVAILABLE, text)
    } else if !state.accepting {
        let text = "takes no clients yet: another process makes room";
        (StatusCode::SERVICE_UNAVAILABLE, text)
    } else {
        (StatusCode::OK, "takes clients")
    };
    let violations = match report.violations() {
        0 => String::new(),
        _ => format!("; invariants: {report}"),
    };
    text_response(status, format!("{text}; {state}{violations}"))
}

/// What holds now that a command is in force.
fn command_text(command: &AdminCommand, state: &ProxyState) -> String {
    match command {
        AdminCommand::EnterMaintenance(name) => format!("{name} is banned"),
        AdminCommand::ExitMaintenance(name) => format!("{name} is not banned"),
        AdminCommand::Standby => "on standby, health says no".to_owned(),
        AdminCommand::Activate => {
            let health = if state.is_healthy() { "yes" } else { "no" };
            format!("active, health says {health}")
        }
    }
}

/// The server of the second address.
pub(crate) struct AdminServer {
    /// What is shown and changed.
    pub state_store: Rc<StateStore>,
    /// The settings in force.
    pub settings: watch::Receiver<ActiveConfig>,
    /// What was violated, which `/status` shows.
    pub invariants: Rc<Invariants>,
}

impl AdminServer {
    /// Accepts connections until dropped.
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut connections: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    connections.retain(|connection| !connection.is_finished());
                    // Callers that connect and never complete a call must not keep others out, who wait for 1 s only.
                    if connections.len() >= ADMIN_CONNECTIONS
                        && let Some(oldest) = connections.pop_front()
                    {
                        oldest.abort();
                    }
                    connections.push_back(spawn_local(self.clone().serve(stream)).abort_handle());
                }
                Err(error) => {
                    log::warn!("no admin connection accepted: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request: Request<Incoming>| {
            let server = self.clone();
            Box::pin(async move { Ok::<AdminResponse, Infallible>(server.respond(request).await) })
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
        let mut connection = builder.serve_connection(TokioIo::new(Socket(stream)), service);
        let call = poll_fn(|cx| connection.poll_without_shutdown(cx));
        match timeout(CALL_TIMEOUT, call).await {
            Err(_) => log::debug!("an admin call was not complete in time"),
            Ok(ended) => {
                if let Err(error) = ended {
                    log::debug!("an admin call failed: {error}");
                }
                linger(connection.into_parts().io.into_inner(), LINGER_TIMEOUT).await;
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> AdminResponse {
        let (head, body) = request.into_parts();
        // A connection that is closed while a body still comes is reset, and its response lost: the body is read.
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            let text = "the body is malformed or over 64 KiB".to_owned();
            return text_response(StatusCode::BAD_REQUEST, text);
        }
        let query = head.uri.query().unwrap_or_default();
        let Some(call) = AdminCall::parse(head.uri.path(), query) else {
            return text_response(StatusCode::NOT_FOUND, "no such call".to_owned());
        };
        if head.method != call.method() {
            return method_not_allowed(&call.method());
        }
        match call {
            AdminCall::Status => {
                status_response(&self.state_store.current(), self.invariants.report())
            }
            AdminCall::Settings => {
                text_response(StatusCode::OK, self.settings.borrow().to_string())
            }
            AdminCall::Command(Ok(command)) => self.execute(&command).await,
            AdminCall::Command(Err(error)) => {
                text_response(StatusCode::BAD_REQUEST, error.to_string())
            }
        }
    }

    async fn execute(&self, command: &AdminCommand) -> AdminResponse {
        if let AdminCommand::EnterMaintenance(name) | AdminCommand::ExitMaintenance(name) = command
            && !self.state_store.knows_name(name)
        {
            return text_response(StatusCode::NOT_FOUND, format!("{name} was never listed"));
        }
        match self.state_store.execute(command).await {
            Ok(()) => {
                let text = command_text(command, &self.state_store.current());
                text_response(StatusCode::OK, text)
            }
            Err(error) => {
                let text = format!("in force in this process only: {error}");
                text_response(StatusCode::INTERNAL_SERVER_ERROR, text)
            }
        }
    }
}

#[cfg(test)]
mod tests;
