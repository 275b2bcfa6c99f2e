//! The body of a request as one attempt sends it to a backend.
use crate::net::body::{BodyTruncated, NextFrame, RequestUpload, poll_buffered};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of a request as one attempt sends it to a backend.
pub(crate) enum RequestBody {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A body that is streamed from the client.
    Streamed(UploadReader),
}

impl RequestBody {
    /// Creates the body of another attempt, which starts with the first byte of the upload.
    pub(crate) fn streamed(upload: &Rc<RequestUpload>) -> Self {
        Self::Streamed(UploadReader {
            first_part: Some(upload.first_part()),
            upload: upload.clone(),
            is_reader: false,
        })
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<NextFrame> {
        match self.get_mut() {
            Self::Buffered(body) => poll_buffered(body, cx),
            Self::Streamed(reader) => reader.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(reader) => reader.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(reader) => reader
                .upload
                .declared_length()
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
        }
    }
}

/// One attempt's view of an upload that all attempts of an RPC share.
pub(crate) struct UploadReader {
    /// The buffered bytes, until this attempt has sent them.
    first_part: Option<Bytes>,
    upload: Rc<RequestUpload>,
    /// Whether this attempt is the one that reads the rest from the client.
    is_reader: bool,
}

impl UploadReader {
    fn poll_frame(&mut self, cx: &mut Context) -> Poll<NextFrame> {
        if let Some(first_part) = self.first_part.take() {
            return Poll::Ready(Some(Ok(Frame::data(first_part))));
        }
        // Two attempts must not each send a part of the rest.
        if !self.is_reader && !self.upload.try_acquire_reader() {
            return Poll::Ready(Some(Err(BodyTruncated)));
        }
        self.is_reader = true;
        self.upload
            .poll_remaining(cx)
            .map(|next| next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.first_part.is_none() && self.upload.is_complete()
    }
}

/// Allows another attempt to read from the client.
impl Drop for UploadReader {
    fn drop(&mut self) {
        if self.is_reader {
            self.upload.release_reader();
        }
    }
}
