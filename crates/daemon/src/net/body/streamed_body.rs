//! A response's body that is streamed from a backend's connection to a client's, a chunk at a time.
use crate::net::body::BodyTruncated;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Chunks between the two connections: with one, the client's pace is the backend's.
const CHUNKS_IN_FLIGHT: usize = 1;

/// The backend's end of a streamed body. Dropped without [`BodySender::finish`] it truncates the body.
pub(crate) struct BodySender {
    chunks: mpsc::Sender<Bytes>,
    is_finished: Rc<Cell<bool>>,
}

impl BodySender {
    /// Waits until the client's end takes the chunk; false if the client has disconnected.
    pub(crate) async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Waits until the client has disconnected.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body as complete.
    pub(crate) fn finish(self) {
        self.is_finished.set(true);
    }
}

/// The client's end of a streamed body.
pub(crate) struct StreamedBody {
    first_part: Option<Bytes>,
    chunks: mpsc::Receiver<Bytes>,
    remaining_length: Option<u64>,
    is_finished: Rc<Cell<bool>>,
}

/// Both ends of a body that begins with `first_part`, of this length in all if that was declared.
pub(crate) fn streamed_body(first_part: Bytes, length: Option<u64>) -> (BodySender, StreamedBody) {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let is_finished = Rc::<Cell<bool>>::default();
    let backend_end = BodySender {
        chunks: sender,
        is_finished: is_finished.clone(),
    };
    let client_end = StreamedBody {
        first_part: Some(first_part).filter(|first_part| !first_part.is_empty()),
        chunks: receiver,
        remaining_length: length,
        is_finished,
    };
    (backend_end, client_end)
}

impl StreamedBody {
    /// The next chunk; none where the sender has finished the body, an error where it was dropped before.
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

    /// All of the declared length was taken.
    pub(super) fn is_end_stream(&self) -> bool {
        self.remaining_length == Some(0)
    }

    /// Bytes that are not taken yet, if the length was declared.
    pub(super) fn remaining_length(&self) -> Option<u64> {
        self.remaining_length
    }
}
