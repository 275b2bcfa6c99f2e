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
    /// Creates the body of an attempt from all of its bytes.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }

    /// Creates the body of an attempt that streams this upload from its first byte on; none if the upload can't be
    /// streamed by this attempt, see [`UploadReader::acquire`].
    pub(crate) fn streamed(upload: &Rc<RequestUpload>) -> Option<Self> {
        UploadReader::acquire(upload).map(Self::Streamed)
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
///
/// An upload has at most one reader at any time, from its first byte on: whoever holds the reader is the only one that
/// takes bytes from the client. It is dropped with the connection of its attempt, before the next attempt starts.
pub(crate) struct UploadReader {
    /// The buffered bytes, until this attempt has sent them.
    first_part: Option<Bytes>,
    upload: Rc<RequestUpload>,
}

impl UploadReader {
    /// Becomes the reader of this upload. None if another attempt still is, or if bytes that are no longer buffered were
    /// sent: what is left would be another request than the client's.
    fn acquire(upload: &Rc<RequestUpload>) -> Option<Self> {
        upload.try_acquire_reader().then(|| Self {
            first_part: Some(upload.first_part()),
            upload: upload.clone(),
        })
    }

    fn poll_frame(&mut self, cx: &mut Context) -> Poll<NextFrame> {
        if let Some(first_part) = self.first_part.take() {
            self.upload.hand_over_if_read();
            return Poll::Ready(Some(Ok(Frame::data(first_part))));
        }
        self.upload
            .poll_remaining(cx)
            .map(|next| next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.first_part.is_none() && self.upload.is_handed_over()
    }
}

/// Allows another attempt to read from the client.
impl Drop for UploadReader {
    fn drop(&mut self) {
        self.upload.release_reader();
    }
}
