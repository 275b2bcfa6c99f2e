//! Answers to clients, each encoded once.
use crate::net::body::{ResponseBody, StreamedBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The end of an RPC as the client is to see it.
pub(crate) enum ProxyResponse {
    /// A backend's body, unchanged.
    Ok(Bytes),
    /// The same, as it comes.
    Long(StreamedBody),
    /// Trying again is harmless; after so many seconds, if not 0.
    PushedBack { come_back: f64 },
    /// Failed, with no promise about what ran.
    Aborted,
    /// Not an RPC: what came from the client cannot be one.
    Refused(StatusCode, &'static str),
    /// The word on this proxy's health.
    Health(bool),
}

impl std::fmt::Display for ProxyResponse {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Ok(body) => write!(to, "ok, {} bytes", body.len()),
            Self::Long(_) => to.write_str("ok, as it comes"),
            Self::PushedBack { .. } => to.write_str("pushed back"),
            Self::Aborted => to.write_str("aborted"),
            Self::Refused(status, _) => write!(to, "{status}"),
            Self::Health(ready) => write!(to, "ready: {ready}"),
        }
    }
}

impl ProxyResponse {
    /// `last`: the connection is closed after it.
    pub(crate) fn encode(self, last: bool) -> Response<ResponseBody> {
        let come_back = if let Self::PushedBack { come_back } = self {
            come_back
        } else {
            0.0
        };
        let text = |text: &'static str| Ok(Bytes::from_static(text.as_bytes()));
        let (status, body) = match self {
            Self::Ok(body) => (StatusCode::OK, Ok(body)),
            Self::Long(flow) => (StatusCode::OK, Err(flow)),
            Self::PushedBack { .. } => (StatusCode::SERVICE_UNAVAILABLE, text("pushed back\n")),
            Self::Aborted => (StatusCode::BAD_GATEWAY, text("aborted\n")),
            Self::Refused(status, why) => (status, text(why)),
            Self::Health(true) => (StatusCode::OK, text("ready\n")),
            Self::Health(false) => (StatusCode::SERVICE_UNAVAILABLE, text("not ready\n")),
        };
        let mut response = Response::new(ResponseBody::new(body.map(Full::new)));
        *response.status_mut() = status;
        if come_back > 0.0
            && let Ok(value) = HeaderValue::from_str(&format!("{come_back:.3}"))
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
