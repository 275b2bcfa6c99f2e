//! Parses a client's HTTP message into a typed RPC.
use crate::config::name_table::ActiveNames;
use crate::downstream::client_protocol::{self, RequestInfo};
use crate::downstream::head_scan::FramingCounts;
use crate::downstream::message_scan::ReceivedHead;
use crate::downstream::request::{ParsedRequest, ReceivedRpc};
use crate::downstream::request_body::receive_payload;
use crate::downstream::request_error::RequestError;
use crate::downstream::request_ids::{RequestIdClaim, RequestIdGuard};
use crate::downstream::response::ProxyResponse;
use crate::net::body::{UploadMemory, UploadSource};
use crate::net::inbound_stream::ClientLiveness;
use crate::net::progress_deadline::ProgressDeadline;
use crate::net::socket_budget::SocketBudget;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::{HeaderMap, Request, Uri};
use std::rc::Rc;
use tokio::time::Instant;

/// Parses requests with the method and tenant names of the active settings.
pub(crate) struct RequestParser {
    names: ActiveNames,
    upload_memory: Rc<UploadMemory>,
    budget: Rc<SocketBudget>,
}

impl RequestParser {
    /// Creates a parser that uses the latest active names. Long bodies need a permit of `budget` and are read ahead into
    /// `upload_memory`.
    pub(crate) fn new(
        names: ActiveNames,
        upload_memory: Rc<UploadMemory>,
        budget: Rc<SocketBudget>,
    ) -> Self {
        Self {
            names,
            upload_memory,
            budget,
        }
    }

    /// Parses a client's message and receives its body, or the first part of a body that is too long to be buffered.
    /// `scanned` is its head as the scanner of the connection found it; none if it found no complete one.
    ///
    /// # Errors
    /// The message is not a valid RPC; the error is the response to the client.
    pub(crate) async fn parse(
        &self,
        message: Request<Incoming>,
        scanned: Option<ReceivedHead>,
        body_deadline: ProgressDeadline,
        client: &ClientLiveness,
    ) -> Result<ReceivedRpc, ProxyResponse> {
        let (head, body) = message.into_parts();
        let scanned = scanned.ok_or(RequestError::AmbiguousFraming)?;
        check_framing(&head.headers, scanned.framing_counts)?;
        let (version, method) = {
            let names = self.names.borrow();
            (names.version, names.method(head.uri.path())?)
        };
        let request_id = client_protocol::request_id(&head.headers)?;
        let timeout = client_protocol::request_timeout(&head.headers)?;
        let idempotency_key = client_protocol::idempotency_key(&head.headers)?;
        method.check_request(&head.method, idempotency_key.is_some())?;
        let id_guard = reserved_id(scanned.request_id)?;
        let source = UploadSource {
            remaining: body,
            client: client.clone(),
            memory: self.upload_memory.clone(),
            budget: self.budget.clone(),
        };
        let payload = receive_payload(&head.method, source, body_deadline).await?;
        let info = RequestInfo::from_headers(&head.headers);
        let path_and_query = head.uri.path_and_query().cloned();
        let tenant_name = client_protocol::tenant(&head.headers);
        let tenant_text = tenant_name.and_then(|name| name.to_str().ok());
        Ok(ReceivedRpc {
            version,
            method: method.index,
            tenant: self.names.borrow().tenant(tenant_text),
            tenant_name: tenant_name.cloned(),
            received_at: Instant::now(),
            timeout,
            is_client_retry: client_protocol::is_client_retry(&head.headers),
            expected_work: info.expected_work(),
            key: info.entity_key(),
            request: ParsedRequest {
                uri: Uri::from(path_and_query.expect("the path of a known method")),
                request_id: Some(request_id.clone()),
                idempotency_key: idempotency_key.cloned(),
                method: head.method,
                payload,
            },
            id_guard,
        })
    }
}

/// Returns the guard of the `Request-Id` that a message has claimed.
///
/// # Errors
/// The id was in use, or the scanner found no valid one.
fn reserved_id(claim: Option<RequestIdClaim>) -> Result<RequestIdGuard, RequestError> {
    match claim {
        Some(RequestIdClaim::Reserved(guard)) => Ok(guard),
        Some(RequestIdClaim::InUse) => Err(RequestError::DuplicateRequestId),
        None => Err(RequestError::InvalidRequestId),
    }
}

/// Checks that a head declares the framing of its body at most once, in a supported way. This prevents request
/// smuggling: hyper ignores a `Content-Length` next to a `Transfer-Encoding`, so a body that another proxy treats as
/// part of a single message could hold a second RPC.
fn check_framing(headers: &HeaderMap, framing_counts: FramingCounts) -> Result<(), RequestError> {
    let coding = client_protocol::single_value(headers, &TRANSFER_ENCODING)?;
    let is_supported =
        coding.is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if framing_counts.is_unambiguous() && is_supported {
        return Ok(());
    }
    Err(RequestError::AmbiguousFraming)
}
