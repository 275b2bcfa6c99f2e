//! The body of a response as it is sent to a client.
use crate::net::body::{BodyTruncated, NextFrame, StreamedBody, poll_buffered};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Whether the last byte of a [`ResponseBody`] was handed over to the client's connection. Outlives the body.
#[derive(Clone, Default)]
pub(crate) struct DeliveryStatus(Rc<Cell<bool>>);

impl DeliveryStatus {
    /// Whether the last byte was handed over.
    pub(crate) fn is_complete(&self) -> bool {
        self.0.get()
    }
}

/// The source of a response's bytes.
enum Source {
    Buffered(Full<Bytes>),
    Streamed(StreamedBody),
}

/// The body of a response as it is sent to a client.
pub(crate) struct ResponseBody {
    source: Source,
    delivery: DeliveryStatus,
}

impl ResponseBody {
    /// Creates a body from all of its bytes.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        let body = Full::new(bytes);
        let is_empty = body.is_end_stream();
        Self {
            source: Source::Buffered(body),
            delivery: DeliveryStatus(Rc::new(Cell::new(is_empty))),
        }
    }

    /// Creates a body that is streamed from a backend.
    pub(crate) fn streamed(body: StreamedBody) -> Self {
        Self {
            source: Source::Streamed(body),
            delivery: DeliveryStatus::default(),
        }
    }

    /// Returns the delivery status of this body.
    pub(crate) fn delivery(&self) -> DeliveryStatus {
        self.delivery.clone()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<NextFrame> {
        let this = self.get_mut();
        let is_delivered = &this.delivery.0;
        match &mut this.source {
            Source::Buffered(body) => {
                is_delivered.set(true);
                poll_buffered(body, cx)
            }
            Source::Streamed(body) => {
                let chunk = ready!(body.poll_chunk(cx));
                is_delivered.set(match &chunk {
                    Some(Ok(_)) => body.is_end_stream(),
                    Some(Err(_)) => false,
                    None => true,
                });
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(body) => body.is_end_stream(),
            Source::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(body) => body.size_hint(),
            Source::Streamed(body) => body
                .remaining_length()
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
        }
    }
}
