//! The errors in a client's message, and the responses to them.
use hyper::StatusCode;

/// A client's message is not a valid RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestError {
    /// The framing of the body is declared twice, or in an unsupported way.
    AmbiguousFraming,
    /// A header field that must have a single value is repeated.
    DuplicateHeader,
    /// `Request-Id` is missing or malformed.
    InvalidRequestId,
    /// `Request-Timeout-Ms` is missing or malformed.
    InvalidTimeout,
    /// The body is malformed or was truncated.
    MalformedBody,
    /// A `GET` request has a body.
    UnexpectedBody,
    /// The body is longer than the protocol permits.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// An RPC with the same `Request-Id` is in flight.
    DuplicateRequestId,
}

impl RequestError {
    /// Returns the status of the response.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::DuplicateRequestId => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the body of the response. Clients may match these texts, so they must not change.
    pub(super) fn message(self) -> &'static str {
        match self {
            Self::AmbiguousFraming => "its length is told twice, or in a way that is not taken\n",
            Self::DuplicateHeader => "a header is there twice\n",
            Self::InvalidRequestId => "Request-Id is missing or malformed\n",
            Self::InvalidTimeout => "Request-Timeout-Ms is missing or malformed\n",
            Self::MalformedBody => "the body is malformed\n",
            Self::UnexpectedBody => "a GET has no body\n",
            Self::BodyTooLarge => "the body is over 32 MB\n",
            Self::BodyTimeout => "the body did not end\n",
            Self::DuplicateRequestId => "an RPC with this Request-Id is open\n",
        }
    }
}
