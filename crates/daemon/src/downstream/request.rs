//! A client's RPC, and its request as it is forwarded to backends.
use crate::config::name_table::NameTable;
use crate::downstream::response::ProxyResponse;
use crate::net::body::{RequestBody, RequestUpload};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Names an RPC; a client's retry of it has another.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the sender waits for the response, in milliseconds.
pub(super) const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");
/// By which a backend recognises a request that it has had already.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The path at which a backend reports its load.
const HEALTH_CHECK_PATH: &str = "/stats";

/// An RPC as a client sent it.
pub(crate) struct ReceivedRpc {
    /// Of the settings by whose names it was read.
    pub version: u64,
    /// Index of its method in the settings.
    pub method: usize,
    /// Index of its tenant in the settings.
    pub tenant: Option<usize>,
    pub(super) tenant_name: Option<HeaderValue>,
    /// When its last byte was seen, or the last buffered one of a streamed request.
    pub received_at: Instant,
    /// How long the client waits from its last byte on.
    pub timeout: Duration,
    /// The client says that it is a retry of its own.
    pub is_client_retry: bool,
    /// The work it is expected to cost, in seconds.
    pub expected_work: Option<f64>,
    /// The entity it is about, as a hash.
    pub key: Option<u64>,
    /// What is forwarded to backends.
    pub request: ParsedRequest,
}

impl ReceivedRpc {
    /// Resolves its names again if other settings were put in force since it was parsed; an error if it is no RPC
    /// by those.
    pub(crate) fn apply_names(&mut self, names: &NameTable) -> Result<(), ProxyResponse> {
        if self.version == names.version {
            return Ok(());
        }
        let request = &self.request;
        let method = names.method(request.uri.path())?;
        method.check_request(&request.method, request.idempotency_key.is_some())?;
        let tenant_name = self.tenant_name.as_ref();
        let tenant_name = tenant_name.and_then(|name| name.to_str().ok());
        self.version = names.version;
        self.method = method.index;
        self.tenant = names.tenant(tenant_name);
        Ok(())
    }
}

/// The part of a request that is forwarded to backends unchanged.
#[derive(Clone)]
pub(crate) struct ParsedRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// None for a health check.
    pub(super) request_id: Option<HeaderValue>,
    pub(super) idempotency_key: Option<HeaderValue>,
    pub(super) payload: RequestPayload,
}

/// The body of a request that may be sent more than once.
#[derive(Clone)]
pub(super) enum RequestPayload {
    /// All of it.
    Buffered(Bytes),
    /// Too long to be buffered.
    Streamed(Rc<RequestUpload>),
}

impl RequestPayload {
    /// There is no byte in it.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }
}

impl ParsedRequest {
    /// Asks a backend for its load report.
    pub(crate) fn health_check() -> Self {
        Self {
            method: Method::GET,
            uri: Uri::from_static(HEALTH_CHECK_PATH),
            request_id: None,
            idempotency_key: None,
            payload: RequestPayload::Buffered(Bytes::new()),
        }
    }

    /// Its `Request-Id`; only for the request of an RPC.
    pub(crate) fn id(&self) -> HeaderValue {
        self.request_id
            .clone()
            .expect("only a health check has no id")
    }

    /// Its `Request-Id` as it stands in the log; empty for a health check.
    pub(crate) fn id_text(&self) -> &str {
        let id = self.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Whether it is a health check, and not of an RPC.
    pub(crate) fn is_health_check(&self) -> bool {
        self.request_id.is_none()
    }

    /// The body that is streamed, if it is too long to be buffered.
    pub(crate) fn upload(&self) -> Option<&Rc<RequestUpload>> {
        match &self.payload {
            RequestPayload::Buffered(_) => None,
            RequestPayload::Streamed(upload) => Some(upload),
        }
    }

    /// Whether a backend may have its last byte, once one byte of it is on its way.
    pub(crate) fn may_be_complete(&self) -> bool {
        self.upload().is_none_or(|upload| upload.is_complete())
    }

    /// The HTTP message to a backend that has this long to respond.
    pub(crate) fn encode(&self, timeout: Duration) -> Request<RequestBody> {
        let mut message = Request::new(match &self.payload {
            RequestPayload::Buffered(bytes) => RequestBody::Buffered(Full::new(bytes.clone())),
            RequestPayload::Streamed(upload) => RequestBody::streamed(upload),
        });
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = self.uri.clone();
        let headers = message.headers_mut();
        if let Some(id) = &self.request_id {
            let timeout_ms = timeout.as_millis().max(1) as u64;
            headers.insert(REQUEST_ID, id.clone());
            headers.insert(REQUEST_TIMEOUT_MS, HeaderValue::from(timeout_ms));
        }
        if let Some(key) = &self.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        // A streamed body has its declared length, or is sent in chunks.
        if let RequestPayload::Buffered(bytes) = &self.payload
            && self.method != Method::GET
        {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
        }
        message
    }
}
