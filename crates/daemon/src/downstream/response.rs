//! Responses to clients and their encoding.
use crate::config::name_table::MethodError;
use crate::downstream::client_protocol::{FAILED_BODY, NOT_READY_BODY, READY_BODY, REJECTED_BODY};
use crate::downstream::request_error::RequestError;
use crate::net::body::{ResponseBody, StreamedBody};
use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::fmt;

/// A response to a client.
pub(crate) enum ProxyResponse {
    /// The body of a backend's response.
    Ok(Bytes),
    /// The body of a backend's response, streamed.
    Streamed(StreamedBody),
    /// The RPC was rejected: a retry is safe.
    Rejected {
        /// The `Retry-After` in seconds; 0 for none.
        retry_after: f64,
    },
    /// The RPC failed, and may have had an effect.
    Failed,
    /// The client's message is not a valid RPC.
    ClientError {
        /// The status, a 4xx code.
        status: StatusCode,
        /// The body, one line of text.
        message: &'static str,
    },
    /// The result of a readiness check.
    Health(bool),
}

impl fmt::Display for ProxyResponse {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Ok(body) => write!(to, "ok, {} bytes", body.len()),
            Self::Streamed(_) => to.write_str("ok, streamed"),
            Self::Rejected { .. } => to.write_str("rejected"),
            Self::Failed => to.write_str("failed"),
            Self::ClientError { status, .. } => write!(to, "{status}"),
            Self::Health(ready) => write!(to, "ready: {ready}"),
        }
    }
}

impl ProxyResponse {
    /// Creates a rejection without `Retry-After`.
    pub(crate) fn rejected() -> Self {
        Self::Rejected { retry_after: 0.0 }
    }

    /// Encodes the HTTP message, with `Connection: close` if the connection is closed after it.
    pub(crate) fn encode(self, is_closing: bool) -> Response<ResponseBody> {
        let retry_after = self.retry_after();
        let (status, body) = self.into_status_and_body();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        if let Some(value) = retry_after {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        if is_closing {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the value of `Retry-After`, in seconds.
    fn retry_after(&self) -> Option<HeaderValue> {
        match self {
            Self::Rejected { retry_after } if *retry_after > 0.0 => {
                HeaderValue::from_str(&format!("{retry_after:.3}")).ok()
            }
            _ => None,
        }
    }

    fn into_status_and_body(self) -> (StatusCode, ResponseBody) {
        match self {
            Self::Ok(body) => (StatusCode::OK, ResponseBody::buffered(body)),
            Self::Streamed(body) => (StatusCode::OK, ResponseBody::streamed(body)),
            Self::Rejected { .. } => (StatusCode::SERVICE_UNAVAILABLE, text(REJECTED_BODY)),
            Self::Failed => (StatusCode::BAD_GATEWAY, text(FAILED_BODY)),
            Self::ClientError { status, message } => (status, text(message)),
            Self::Health(true) => (StatusCode::OK, text(READY_BODY)),
            Self::Health(false) => (StatusCode::SERVICE_UNAVAILABLE, text(NOT_READY_BODY)),
        }
    }
}

fn text(text: &'static str) -> ResponseBody {
    ResponseBody::buffered(Bytes::from_static(text.as_bytes()))
}

impl From<RequestError> for ProxyResponse {
    fn from(error: RequestError) -> Self {
        Self::ClientError {
            status: error.status(),
            message: error.message(),
        }
    }
}

impl From<MethodError> for ProxyResponse {
    fn from(error: MethodError) -> Self {
        let (status, message) = match error {
            MethodError::UnknownMethod => (StatusCode::NOT_FOUND, "no such method\n"),
            MethodError::WrongHttpMethod => {
                (StatusCode::BAD_REQUEST, "the HTTP method does not fit\n")
            }
            MethodError::MissingIdempotencyKey => (StatusCode::BAD_REQUEST, "no Idempotency-Key\n"),
        };
        Self::ClientError { status, message }
    }
}
