//! Bodies of requests and responses. Short ones are buffered; longer ones are streamed frame by frame, as fast as the
//! receiver reads them.
mod last_byte;
pub(crate) mod request_body;
pub(crate) mod response_body;
pub(crate) mod streamed_body;
pub(crate) mod upload;
pub(crate) mod upload_buffer;
mod upload_state;

pub(crate) use request_body::RequestBody;
pub(crate) use response_body::{DeliveryStatus, ResponseBody};
pub(crate) use streamed_body::{StreamedBody, streamed_body};
pub(crate) use upload::{RequestUpload, UploadSource};
pub(crate) use upload_buffer::UploadMemory;
pub(crate) use upload_state::UploadError;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;

/// Maximum length of a buffered body, in bytes.
pub(crate) const BUFFERED_BODY_LIMIT: usize = 64 << 10;
/// Maximum length of a body in the protocol, in bytes.
pub(crate) const BODY_LIMIT: u64 = 32 << 20;

/// A body ended before its last byte.
#[derive(Debug, Error)]
#[error("the body was truncated")]
pub(crate) struct BodyTruncated;

/// The next frame of a body, as [`Body::poll_frame`] returns it.
type NextFrame = Option<Result<Frame<Bytes>, BodyTruncated>>;

/// Polls a buffered body, which can't fail, for its next frame.
fn poll_buffered(body: &mut Full<Bytes>, cx: &mut Context) -> Poll<NextFrame> {
    Pin::new(body)
        .poll_frame(cx)
        .map_err(|never| match never {})
}
