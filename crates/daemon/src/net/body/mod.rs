//! Bodies of requests and responses. Small ones are buffered; longer ones are streamed, a frame at a time, and
//! whoever reads sets the pace of whoever writes.
pub(crate) mod response_body;
pub(crate) mod streamed_body;
pub(crate) mod upload;

pub(crate) use response_body::{DeliveryStatus, ResponseBody};
pub(crate) use streamed_body::{StreamedBody, streamed_body};
pub(crate) use upload::{RequestBody, RequestUpload, UploadError};

use thiserror::Error;

/// Bytes of a body that are buffered; a longer one is streamed.
pub(crate) const BUFFERED_BODY_LIMIT: usize = 64 << 10;
/// Bytes of a body at most, by the protocol.
pub(crate) const BODY_LIMIT: u64 = 32 << 20;

/// A body that ended before its last byte.
#[derive(Debug, Error)]
#[error("the body was cut off")]
pub(crate) struct BodyTruncated;
