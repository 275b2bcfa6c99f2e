//! Parses HTTP from a client into a typed RPC, once.
use crate::config::name_table::ActiveNames;
use crate::downstream::head_scan::Framings;
use crate::downstream::request::{
    IDEMPOTENCY_KEY, ParsedRequest, REQUEST_ID, REQUEST_TIMEOUT_MS, ReceivedRpc, RequestPayload,
};
use crate::downstream::request_error::RequestError;
use crate::downstream::response::ProxyResponse;
use crate::net::body::{BODY_LIMIT, BUFFERED_BODY_LIMIT, RequestUpload};
use crate::net::progress_deadline::ProgressDeadline;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Uri};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Bytes of a `Request-Id`: no usual one comes near.
const REQUEST_ID_LIMIT: usize = 128;

const TENANT: HeaderName = HeaderName::from_static("tenant");
/// Is `1` on a client's own retry.
const CLIENT_RETRY: HeaderName = HeaderName::from_static("client-retry");
/// Further facts about an RPC, as `name=value` pairs between commas.
const REQUEST_INFO: HeaderName = HeaderName::from_static("request-info");
/// Of [`REQUEST_INFO`]: the work an RPC is expected to cost, in nanoseconds.
const COST_GUESS: &str = "cost-guess-ns";
/// Of [`REQUEST_INFO`]: the entity an RPC is about.
const ENTITY: &str = "entity";
/// The value of [`ENTITY`] on an RPC that is about none.
const NO_ENTITY: &str = "-";
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Parses requests by the names of methods and tenants that are in force.
pub(crate) struct RequestParser {
    names: ActiveNames,
}

impl RequestParser {
    /// A parser that follows these names.
    pub(crate) fn new(names: ActiveNames) -> Self {
        Self { names }
    }

    /// The RPC in a client's message, or the response if it is none.
    pub(crate) async fn parse(
        &self,
        message: Request<Incoming>,
        framings: Option<Framings>,
        body_deadline: ProgressDeadline,
    ) -> Result<ReceivedRpc, ProxyResponse> {
        let (head, body) = message.into_parts();
        check_framing(&head.headers, framings)?;
        let (version, method) = {
            let names = self.names.borrow();
            (names.version, names.method(head.uri.path())?)
        };
        let request_id = request_id(&head.headers)?;
        let timeout = request_timeout(&head.headers)?;
        let idempotency_key =
            single_value(&head.headers, &IDEMPOTENCY_KEY)?.filter(|key| !key.is_empty());
        method.check_request(&head.method, idempotency_key.is_some())?;
        let payload = receive_payload(&head.method, body, body_deadline).await?;
        let info = RequestInfo::of(&head.headers);
        let path_and_query = head.uri.path_and_query().cloned();
        Ok(ReceivedRpc {
            version,
            method: method.index,
            tenant: self.names.borrow().tenant(text(&head.headers, &TENANT)),
            tenant_name: head.headers.get(TENANT).cloned(),
            received_at: Instant::now(),
            timeout,
            is_client_retry: text(&head.headers, &CLIENT_RETRY) == Some("1"),
            expected_work: info.expected_work(),
            key: info.entity_key(),
            request: ParsedRequest {
                uri: Uri::from(path_and_query.expect("a path with the method in it")),
                request_id: Some(request_id.clone()),
                idempotency_key: idempotency_key.cloned(),
                method: head.method,
                payload,
            },
        })
    }
}

/// Rejects a head that declares its body's framing twice, or in a way that is not supported. hyper drops a
/// `Content-Length` beside a `Transfer-Encoding` and goes by the other: an RPC could be smuggled in the body of what
/// another proxy takes for one message.
fn check_framing(headers: &HeaderMap, framings: Option<Framings>) -> Result<(), RequestError> {
    let coding = single_value(headers, &TRANSFER_ENCODING)?;
    let is_supported =
        coding.is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if framings.is_some_and(Framings::is_clear) && is_supported {
        return Ok(());
    }
    Err(RequestError::AmbiguousFraming)
}

fn request_id(headers: &HeaderMap) -> Result<&HeaderValue, RequestError> {
    let is_well_formed = |id: &&HeaderValue| {
        let has_valid_length = (1..=REQUEST_ID_LIMIT).contains(&id.len());
        has_valid_length && id.as_bytes().iter().all(u8::is_ascii_graphic)
    };
    single_value(headers, &REQUEST_ID)?
        .filter(is_well_formed)
        .ok_or(RequestError::InvalidRequestId)
}

fn request_timeout(headers: &HeaderMap) -> Result<Duration, RequestError> {
    single_value(headers, &REQUEST_TIMEOUT_MS)?
        .and_then(positive_integer)
        .map(|ms| Duration::from_millis(ms.into()))
        .ok_or(RequestError::InvalidTimeout)
}

/// A positive number in decimal digits, without a sign.
fn positive_integer(value: &HeaderValue) -> Option<u32> {
    let digits = value.to_str().ok()?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok().filter(|number| *number > 0)
}

/// The one value of a header field; an error if the field is there more than once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(RequestError::DuplicateHeader);
    }
    Ok(first)
}

/// The first value of a header field, if it is text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The facts of [`REQUEST_INFO`].
struct RequestInfo<'a>(&'a str);

impl<'a> RequestInfo<'a> {
    fn of(headers: &'a HeaderMap) -> Self {
        Self(text(headers, &REQUEST_INFO).unwrap_or_default())
    }

    fn value(&self, name: &str) -> Option<&'a str> {
        self.0
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|(candidate, _)| candidate.trim() == name)
            .map(|(_, value)| value.trim())
    }

    /// In seconds.
    fn expected_work(&self) -> Option<f64> {
        let nanoseconds = self.value(COST_GUESS)?.parse::<f64>().ok()?;
        Some(nanoseconds / NANOSECONDS_PER_SECOND)
    }

    fn entity_key(&self) -> Option<u64> {
        self.value(ENTITY)
            .filter(|entity| *entity != NO_ENTITY)
            .map(birchhub_settings::hash_key)
    }
}

/// The body of a request of this HTTP method, as far as it is buffered.
async fn receive_payload(
    method: &Method,
    body: Incoming,
    deadline: ProgressDeadline,
) -> Result<RequestPayload, RequestError> {
    if body.size_hint().lower() > BODY_LIMIT {
        return Err(RequestError::BodyTooLarge);
    }
    let payload = buffer_body(body, deadline).await?;
    if *method == Method::GET && !payload.is_empty() {
        return Err(RequestError::UnexpectedBody);
    }
    Ok(payload)
}

/// Buffers a body up to its end, or up to the limit where the rest is to be streamed.
async fn buffer_body(
    mut body: Incoming,
    mut deadline: ProgressDeadline,
) -> Result<RequestPayload, RequestError> {
    let declared_length = body.size_hint().lower();
    let capacity = declared_length.min(BUFFERED_BODY_LIMIT as u64) as usize;
    let mut buffered = BytesMut::with_capacity(capacity);
    while !body.is_end_stream() {
        match timeout_at(deadline.at(), body.frame()).await {
            Err(_) => return Err(RequestError::BodyTimeout),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(RequestError::MalformedBody),
            Ok(Some(Ok(frame))) => {
                // A frame of trailers has no data.
                buffered.extend_from_slice(&frame.into_data().unwrap_or_default());
                deadline.record(buffered.len() as u64, Instant::now());
            }
        }
        if buffered.len() > BUFFERED_BODY_LIMIT && !body.is_end_stream() {
            let upload = RequestUpload::new(buffered.freeze(), body, deadline);
            return Ok(RequestPayload::Streamed(upload));
        }
    }
    Ok(RequestPayload::Buffered(buffered.freeze()))
}
