//! The wire names of the client protocol, and the conversion of a request's header fields to typed values.
use crate::downstream::request_error::RequestError;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use std::time::Duration;

/// The path of the readiness check, requested with `GET`.
pub(super) const READINESS_PATH: &str = "/health/ready";
/// The body of the response to a readiness check that succeeds.
pub(super) const READY_BODY: &str = "ready\n";
/// The body of the response to a readiness check that fails.
pub(super) const NOT_READY_BODY: &str = "not ready\n";
/// The body of the response to a rejected RPC.
pub(super) const REJECTED_BODY: &str = "pushed back\n";
/// The body of the response to a failed RPC.
pub(super) const FAILED_BODY: &str = "aborted\n";

/// Identifies an RPC; a client's retry of it has another id.
const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the client waits for the response, in milliseconds.
const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Identifies repeated attempts of one idempotent operation.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The name of the tenant.
const TENANT: HeaderName = HeaderName::from_static("tenant");
/// Set to [`CLIENT_RETRY_SET`] if the request is the client's own retry.
const CLIENT_RETRY: HeaderName = HeaderName::from_static("client-retry");
const CLIENT_RETRY_SET: &str = "1";
/// Further properties of an RPC, as `name=value` pairs separated by commas.
const REQUEST_INFO: HeaderName = HeaderName::from_static("request-info");
/// Property of [`REQUEST_INFO`]: the expected work, in nanoseconds.
const EXPECTED_WORK_NS: &str = "cost-guess-ns";
/// Property of [`REQUEST_INFO`]: the entity that the RPC is about.
const ENTITY: &str = "entity";
/// The value of [`ENTITY`] for an RPC that is about no entity.
const NO_ENTITY: &str = "-";

/// Maximum length of a `Request-Id`, in bytes.
const REQUEST_ID_LIMIT: usize = 128;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Returns the `Request-Id`.
///
/// # Errors
/// It is missing, malformed or repeated.
pub(super) fn request_id(headers: &HeaderMap) -> Result<&HeaderValue, RequestError> {
    let is_well_formed = |id: &&HeaderValue| {
        let has_valid_length = (1..=REQUEST_ID_LIMIT).contains(&id.len());
        has_valid_length && id.as_bytes().iter().all(u8::is_ascii_graphic)
    };
    single_value(headers, &REQUEST_ID)?
        .filter(is_well_formed)
        .ok_or(RequestError::InvalidRequestId)
}

/// Returns the client's timeout.
///
/// # Errors
/// It is missing, malformed or repeated.
pub(super) fn request_timeout(headers: &HeaderMap) -> Result<Duration, RequestError> {
    single_value(headers, &REQUEST_TIMEOUT_MS)?
        .and_then(positive_integer)
        .map(|ms| Duration::from_millis(ms.into()))
        .ok_or(RequestError::InvalidTimeout)
}

/// Returns the idempotency key; an empty one counts as none.
///
/// # Errors
/// It is repeated.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&HeaderValue>, RequestError> {
    let key = single_value(headers, &IDEMPOTENCY_KEY)?;
    Ok(key.filter(|key| !key.is_empty()))
}

/// Returns the name of the tenant.
pub(super) fn tenant(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(TENANT)
}

/// Whether the client marks the request as a retry of its own.
pub(super) fn is_client_retry(headers: &HeaderMap) -> bool {
    text(headers, &CLIENT_RETRY) == Some(CLIENT_RETRY_SET)
}

/// Returns the only value of a header field; none if the field is absent.
///
/// # Errors
/// The field is repeated.
pub(super) fn single_value<'a>(
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

/// Parses a positive integer that consists of decimal digits only.
fn positive_integer(value: &HeaderValue) -> Option<u32> {
    let digits = value.to_str().ok()?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok().filter(|number| *number > 0)
}

/// Returns the first value of a header field, if it is text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The optional properties of an RPC, from [`REQUEST_INFO`].
pub(super) struct RequestInfo<'a>(&'a str);

impl<'a> RequestInfo<'a> {
    /// Reads the properties from the header fields.
    pub(super) fn from_headers(headers: &'a HeaderMap) -> Self {
        Self(text(headers, &REQUEST_INFO).unwrap_or_default())
    }

    fn value(&self, name: &str) -> Option<&'a str> {
        self.0
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|(candidate, _)| candidate.trim() == name)
            .map(|(_, value)| value.trim())
    }

    /// Returns the expected work, in seconds.
    pub(super) fn expected_work(&self) -> Option<f64> {
        let nanoseconds = self.value(EXPECTED_WORK_NS)?.parse::<f64>().ok()?;
        Some(nanoseconds / NANOSECONDS_PER_SECOND)
    }

    /// Returns the hash of the entity that the RPC is about.
    pub(super) fn entity_key(&self) -> Option<u64> {
        self.value(ENTITY)
            .filter(|entity| *entity != NO_ENTITY)
            .map(birchhub_settings::hash_key)
    }
}
