//! The body of a response that is streamed chunk by chunk from a backend's connection to a client's.
use crate::net::body::BodyTruncated;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Number of chunks that are buffered between the two connections. With a single one, the backend sends only as fast as
/// the client reads.
const BUFFERED_CHUNKS: usize = 1;

/// The sending end of a streamed body. Dropping it without [`BodySender::finish`] truncates the body.
pub(crate) struct BodySender {
    chunks: mpsc::Sender<Bytes>,
    is_finished: Rc<Cell<bool>>,
}

impl BodySender {
    /// Sends a chunk, and waits until there is space for it; false if the client has disconnected.
    pub(crate) async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Waits until the client disconnects.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Marks the body as complete.
    pub(crate) fn finish(self) {
        self.is_finished.set(true);
    }
}

/// The receiving end of a streamed body.
pub(crate) struct StreamedBody {
    first_part: Option<Bytes>,
    chunks: mpsc::Receiver<Bytes>,
    remaining_length: Option<u64>,
    is_finished: Rc<Cell<bool>>,
}

/// Creates both ends of a body that begins with `first_part`. `length` is the declared length of the whole body.
pub(crate) fn streamed_body(first_part: Bytes, length: Option<u64>) -> (BodySender, StreamedBody) {
    let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let is_finished = Rc::<Cell<bool>>::default();
    let body_sender = BodySender {
        chunks: sender,
        is_finished: is_finished.clone(),
    };
    let body = StreamedBody {
        first_part: Some(first_part).filter(|first_part| !first_part.is_empty()),
        chunks: receiver,
        remaining_length: length,
        is_finished,
    };
    (body_sender, body)
}

impl StreamedBody {
    /// Polls for the next chunk; none once the body is complete.
    ///
    /// # Errors
    /// The sender was dropped before the body was complete.
    pub(super) fn poll_chunk(
        &mut self,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, BodyTruncated>>> {
        let chunk = match self.first_part.take() {
            Some(first_part) => Some(first_part),
            None => ready!(self.chunks.poll_recv(cx)),
        };
        if let Some(chunk) = &chunk {
            self.remaining_length = self
                .remaining_length
                .map(|length| length.saturating_sub(chunk.len() as u64));
        }
        Poll::Ready(match chunk {
            Some(chunk) => Some(Ok(chunk)),
            None if self.is_finished.get() => None,
            None => Some(Err(BodyTruncated)),
        })
    }

    /// Whether all bytes of the declared length were read.
    pub(super) fn is_end_stream(&self) -> bool {
        self.remaining_length == Some(0)
    }

    /// Returns the number of bytes that were not read yet, if the length was declared.
    pub(super) fn remaining_length(&self) -> Option<u64> {
        self.remaining_length
    }
}
