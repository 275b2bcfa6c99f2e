//! A client's RPC, and the part of it that is forwarded to backends.
use crate::config::name_table::NameTable;
use crate::downstream::request_ids::RequestIdGuard;
use crate::downstream::response::ProxyResponse;
use crate::net::body::{RequestBody, RequestUpload};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An RPC as a client sent it.
pub(crate) struct ReceivedRpc {
    /// Version of the settings whose names it was parsed with.
    pub version: u64,
    /// Index of its method in the settings.
    pub method: usize,
    /// Index of its tenant in the settings.
    pub tenant: Option<usize>,
    /// The name of its tenant as the client sent it.
    pub(super) tenant_name: Option<HeaderValue>,
    /// When its last byte was received, or the last buffered byte if it is streamed.
    pub received_at: Instant,
    /// How long the client waits for the response, counted from the last byte of the request.
    pub timeout: Duration,
    /// Whether the client marks it as a retry of its own.
    pub is_client_retry: bool,
    /// The expected work, in seconds.
    pub expected_work: Option<f64>,
    /// Hash of the entity it is about.
    pub key: Option<u64>,
    /// The request that is forwarded to backends.
    pub request: ParsedRequest,
    /// Keeps the `Request-Id` in use until no attempt of the RPC is in flight.
    pub id_guard: RequestIdGuard,
}

impl ReceivedRpc {
    /// Resolves its method and tenant names again if other settings have become active since it was parsed.
    ///
    /// # Errors
    /// It is not a valid RPC with the new settings; the error is the response to the client.
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

/// A request that is forwarded to backends.
#[derive(Clone)]
pub(crate) struct ParsedRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The `Request-Id`; none for a health check.
    pub request_id: Option<HeaderValue>,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub payload: RequestPayload,
}

/// The body of a request that may be forwarded more than once.
#[derive(Clone)]
pub(crate) enum RequestPayload {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is too long to be buffered.
    Streamed(Rc<RequestUpload>),
}

impl RequestPayload {
    /// Returns the body of another attempt; none if the attempt can't have the whole body.
    pub(crate) fn attempt_body(&self) -> Option<RequestBody> {
        match self {
            Self::Buffered(bytes) => Some(RequestBody::buffered(bytes.clone())),
            Self::Streamed(upload) => RequestBody::streamed(upload),
        }
    }

    /// Whether the body is empty.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }
}

impl ParsedRequest {
    /// Returns the `Request-Id` as text for the log; empty for a health check.
    pub(crate) fn id_text(&self) -> &str {
        let id = self.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Whether the request is a health check.
    pub(crate) fn is_health_check(&self) -> bool {
        self.request_id.is_none()
    }

    /// Returns the body if it is streamed.
    pub(crate) fn upload(&self) -> Option<&Rc<RequestUpload>> {
        match &self.payload {
            RequestPayload::Buffered(_) => None,
            RequestPayload::Streamed(upload) => Some(upload),
        }
    }

    /// Whether an attempt may have sent the last byte of the request: it is short, or the last byte of its streamed body was
    /// handed over. Until then, no backend can have the complete request.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.upload().is_none_or(|upload| upload.is_handed_over())
    }
}
