//! The deadlines of an RPC, and the failures of a streamed request before its last byte.
use crate::downstream::request::ReceivedRpc;
use crate::downstream::request_error::RequestError;
use crate::downstream::response::ProxyResponse;
use crate::downstream::rpc_outcome::RpcOutcome;
use crate::end_reason::EndReason;
use crate::net::body::{RequestUpload, UploadError};
use crate::time_limits::RESPONSE_GRACE_PERIOD;
use std::convert::Infallible;
use std::future::pending;
use std::time::Duration;
use tokio::select;
use tokio::time::{Instant, sleep_until};

/// Returns the latest time at which the RPC must have its response, whether the client or a backend delays it: the
/// latest end of its body plus its timeout and the grace period.
pub(super) fn response_deadline(rpc: &ReceivedRpc) -> Instant {
    let upload = rpc.request.upload();
    let body_end = upload.map_or(rpc.received_at, |upload| upload.latest_end());
    body_end + rpc.timeout + RESPONSE_GRACE_PERIOD
}

/// Waits until the client's timeout expires, which starts with the last byte of the request.
pub(super) async fn client_timeout(
    upload: Option<&RequestUpload>,
    received_at: Instant,
    timeout: Duration,
) {
    let received_at = match upload {
        Some(upload) => upload.received().await,
        None => received_at,
    };
    sleep_until(received_at + timeout).await;
}

/// Reads a streamed request ahead of its backend. Returns the outcome of its RPC if it fails before its last byte; pending
/// forever if the request is buffered or completes.
pub(super) async fn incomplete_upload(
    upload: Option<&RequestUpload>,
    timeout: Duration,
) -> RpcOutcome {
    let Some(upload) = upload else {
        return pending().await;
    };
    let error = select! {
        biased;
        error = upload.failed() => error,
        never = read_ahead(upload, timeout) => match never {},
    };
    match error {
        UploadError::LimitExceeded => {
            RpcOutcome::new(RequestError::BodyTooLarge, EndReason::InvalidRequest)
        }
        UploadError::Truncated => {
            RpcOutcome::new(RequestError::MalformedBody, EndReason::InvalidRequest)
        }
        UploadError::Stalled if upload.is_waiting_for_client() => {
            RpcOutcome::new(RequestError::BodyTimeout, EndReason::BodyStalled)
        }
        // No backend has received the complete request, so none has started it.
        UploadError::Stalled => RpcOutcome::new(ProxyResponse::rejected(), EndReason::BodyStalled),
        UploadError::Overdue => {
            RpcOutcome::new(ProxyResponse::rejected(), EndReason::DeadlineExceeded)
        }
    }
}

/// Reads a streamed request ahead of its backend, see [`RequestUpload::read_ahead`].
async fn read_ahead(upload: &RequestUpload, timeout: Duration) -> Infallible {
    upload.read_ahead(timeout).await;
    pending().await
}

/// Returns the outcome of an RPC whose client's timeout has expired. If no backend can have received the complete request,
/// a retry is safe, and from now on none will receive it.
pub(super) fn deadline_exceeded(upload: Option<&RequestUpload>) -> RpcOutcome {
    let response = if upload.is_some_and(RequestUpload::fail_as_overdue) {
        ProxyResponse::rejected()
    } else {
        ProxyResponse::Failed
    };
    RpcOutcome::new(response, EndReason::DeadlineExceeded)
}
