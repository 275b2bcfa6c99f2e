//! Answers to clients, each encoded once.
use crate::net::body::{ResponseBody, StreamedBody};
use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The end of an RPC as the client is to see it.
pub(crate) enum ProxyResponse {
    /// A backend's body, unchanged.
    Ok(Bytes),
    /// The same, as it comes.
    Streamed(StreamedBody),
    /// Trying again is harmless; after so many seconds, if not 0.
    Rejected { retry_after: f64 },
    /// Failed, with no promise about what ran.
    Failed,
    /// Not an RPC: what came from the client cannot be one.
    ClientError {
        status: StatusCode,
        message: &'static str,
    },
    /// The word on this proxy's health.
    Health(bool),
}

impl std::fmt::Display for ProxyResponse {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
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
    /// `last`: the connection is closed after it.
    pub(crate) fn encode(self, last: bool) -> Response<ResponseBody> {
        let retry_after = if let Self::Rejected { retry_after } = self {
            retry_after
        } else {
            0.0
        };
        let text = |text: &'static str| ResponseBody::buffered(Bytes::from_static(text.as_bytes()));
        let (status, body) = match self {
            Self::Ok(body) => (StatusCode::OK, ResponseBody::buffered(body)),
            Self::Streamed(body) => (StatusCode::OK, ResponseBody::streamed(body)),
            Self::Rejected { .. } => (StatusCode::SERVICE_UNAVAILABLE, text("pushed back\n")),
            Self::Failed => (StatusCode::BAD_GATEWAY, text("aborted\n")),
            Self::ClientError { status, message } => (status, text(message)),
            Self::Health(true) => (StatusCode::OK, text("ready\n")),
            Self::Health(false) => (StatusCode::SERVICE_UNAVAILABLE, text("not ready\n")),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        if retry_after > 0.0
            && let Ok(value) = HeaderValue::from_str(&format!("{retry_after:.3}"))
        {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        if last {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
