//! Receives the body of a request: buffers a short one, and prepares a longer one for streaming.
use crate::downstream::request::RequestPayload;
use crate::downstream::request_error::RequestError;
use crate::downstream::response::ProxyResponse;
use crate::net::body::{BODY_LIMIT, BUFFERED_BODY_LIMIT, RequestUpload, UploadSource};
use crate::net::progress_deadline::ProgressDeadline;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// Receives the body of a request with this HTTP method: all of it, or the first part if it is too long to be buffered.
/// Nothing of the body was read from `source` before.
///
/// # Errors
/// The body is too long, malformed, not received in time, or not permitted with `GET`, or too many long ones are open; the
/// error is the response to the client.
pub(super) async fn receive_payload(
    method: &Method,
    source: UploadSource,
    deadline: ProgressDeadline,
) -> Result<RequestPayload, ProxyResponse> {
    if source.remaining.size_hint().lower() > BODY_LIMIT {
        return Err(RequestError::BodyTooLarge.into());
    }
    let payload = buffer_body(source, deadline).await?;
    if *method == Method::GET && !payload.is_empty() {
        return Err(RequestError::UnexpectedBody.into());
    }
    Ok(payload)
}

/// Buffers a body until it ends, or until it exceeds [`BUFFERED_BODY_LIMIT`] and the rest is to be streamed.
async fn buffer_body(
    mut source: UploadSource,
    mut deadline: ProgressDeadline,
) -> Result<RequestPayload, ProxyResponse> {
    let body = &mut source.remaining;
    let declared_length = body.size_hint().lower();
    let capacity = declared_length.min(BUFFERED_BODY_LIMIT as u64) as usize;
    let mut buffered = BytesMut::with_capacity(capacity);
    while !body.is_end_stream() {
        match timeout_at(deadline.expires_at(), body.frame()).await {
            Err(_) => return Err(RequestError::BodyTimeout.into()),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(RequestError::MalformedBody.into()),
            Ok(Some(Ok(frame))) => {
                // Trailers are ignored: their frame has no data.
                buffered.extend_from_slice(&frame.into_data().unwrap_or_default());
                deadline.record(buffered.len() as u64, Instant::now());
            }
        }
        if buffered.len() > BUFFERED_BODY_LIMIT && !body.is_end_stream() {
            let upload = RequestUpload::new(buffered.freeze(), source, deadline);
            return upload
                .map(RequestPayload::Streamed)
                .ok_or_else(ProxyResponse::rejected);
        }
    }
    Ok(RequestPayload::Buffered(buffered.freeze()))
}
