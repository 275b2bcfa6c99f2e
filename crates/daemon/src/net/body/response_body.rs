//! Responses on their way to a client.
use crate::net::body::{BodyTruncated, StreamedBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Whether a [`ResponseBody`] has handed over its last byte; outlives the body.
#[derive(Clone, Default)]
pub(crate) struct DeliveryStatus(Rc<Cell<bool>>);

impl DeliveryStatus {
    /// The last byte was handed over to the connection.
    pub(crate) fn is_complete(&self) -> bool {
        self.0.get()
    }
}

/// Where a response's bytes come from.
enum Source {
    Buffered(Full<Bytes>),
    Streamed(StreamedBody),
}

/// A response's body on its way to a client.
pub(crate) struct ResponseBody {
    source: Source,
    delivery: DeliveryStatus,
}

impl ResponseBody {
    /// A complete body.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        let body = Full::new(bytes);
        let is_empty = body.is_end_stream();
        Self {
            source: Source::Buffered(body),
            delivery: DeliveryStatus(Rc::new(Cell::new(is_empty))),
        }
    }

    /// A body that is streamed from a backend.
    pub(crate) fn streamed(body: StreamedBody) -> Self {
        Self {
            source: Source::Streamed(body),
            delivery: DeliveryStatus::default(),
        }
    }

    /// Tells when its last byte has been handed over.
    pub(crate) fn delivery(&self) -> DeliveryStatus {
        self.delivery.clone()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        let this = self.get_mut();
        let delivered = &this.delivery.0;
        match &mut this.source {
            Source::Buffered(body) => {
                delivered.set(true);
                Pin::new(body)
                    .poll_frame(cx)
                    .map_err(|never| match never {})
            }
            Source::Streamed(body) => {
                let chunk = ready!(body.poll_chunk(cx));
                delivered.set(match &chunk {
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
