//! Requests on their way to a backend: buffered, or streamed from the client.
use crate::net::body::{BODY_LIMIT, BodyTruncated};
use crate::net::progress_deadline::ProgressDeadline;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// Why a streamed request will never be complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum UploadError {
    /// It is longer than any request may be.
    LimitExceeded,
    /// It is malformed, or the client's connection failed before its last byte.
    Truncated,
    /// It made no progress, or was not complete in time.
    Stalled,
}

/// How much of a streamed request was received.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReceivedPart {
    /// Not yet all of it.
    Incomplete,
    /// All of it, with the last byte at this time.
    Complete(Instant),
    /// What is still missing will not be waited for.
    Failed(UploadError),
}

/// A request's body that is too long to be buffered. Its first part is buffered;
/// the rest is read by one attempt at a time.
pub(crate) struct RequestUpload {
    /// Buffered for a further attempt, until more has been sent.
    first_part: RefCell<Bytes>,
    remaining: RefCell<Incoming>,
    /// Of all of it, if the client declared it.
    length: Option<u64>,
    received_bytes: Cell<u64>,
    received: watch::Sender<ReceivedPart>,
    /// By when more of it is to be received and handed over to be sent.
    deadline: Cell<ProgressDeadline>,
    is_consumed: Cell<bool>,
    has_reader: Cell<bool>,
    is_waiting_for_client: Cell<bool>,
}

impl RequestUpload {
    /// A body of which `first_part` was received; the rest is to be received by the deadline.
    pub(crate) fn new(
        first_part: Bytes,
        remaining: Incoming,
        deadline: ProgressDeadline,
    ) -> Rc<Self> {
        let received_bytes = first_part.len() as u64;
        let remaining_length = remaining.size_hint().exact();
        Rc::new(Self {
            first_part: first_part.into(),
            remaining: remaining.into(),
            length: remaining_length.map(|length| length + received_bytes),
            received_bytes: received_bytes.into(),
            received: watch::Sender::new(ReceivedPart::Incomplete),
            deadline: deadline.into(),
            is_consumed: false.into(),
            has_reader: false.into(),
            is_waiting_for_client: false.into(),
        })
    }

    /// Something that is not buffered has been sent to a backend: it can't be sent again.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// Its last byte was received, and handed over to be sent to a backend.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(*self.received.borrow(), ReceivedPart::Complete(_))
    }

    /// When its last byte was received, if it was.
    pub(crate) fn completed_at(&self) -> Option<Instant> {
        match *self.received.borrow() {
            ReceivedPart::Complete(at) => Some(at),
            ReceivedPart::Incomplete | ReceivedPart::Failed(_) => None,
        }
    }

    /// The attempt waits for more from the client; the backend is not what holds it up.
    pub(crate) fn is_waiting_for_client(&self) -> bool {
        self.is_waiting_for_client.get()
    }

    /// When the body is complete or has failed, at the latest.
    pub(crate) fn latest_end(&self) -> Instant {
        self.deadline.get().limit()
    }

    /// Waits for its last byte and returns the time at which it was received. Where that never comes
    /// [`RequestUpload::failed`] is ready instead.
    pub(crate) async fn completed(&self) -> Instant {
        let mut received = self.received.subscribe();
        let completed = received
            .wait_for(|part| matches!(part, ReceivedPart::Complete(_)))
            .await
            .map(|part| *part);
        match completed {
            Ok(ReceivedPart::Complete(at)) => at,
            _ => pending().await,
        }
    }

    /// Waits until it is certain that its last byte will not be waited for any longer, and returns why. Once the last
    /// byte was received this is never ready.
    pub(crate) async fn failed(&self) -> UploadError {
        loop {
            let deadline = self.deadline.get().expires_at();
            let mut received = self.received.subscribe();
            let ended = received.wait_for(|part| *part != ReceivedPart::Incomplete);
            match timeout_at(deadline, ended)
                .await
                .map(|part| part.map(|part| *part))
            {
                Ok(Ok(ReceivedPart::Failed(error))) => return error,
                Ok(_) => return pending().await,
                // It may have moved while this was waited for.
                Err(_) if self.deadline.get().expires_at() > deadline => {}
                Err(_) => {
                    let _ = self.fail(UploadError::Stalled);
                }
            }
        }
    }

    /// The next bytes from the client.
    fn poll_remaining(&self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyTruncated>>> {
        let mut remaining = self.remaining.borrow_mut();
        loop {
            let next = Pin::new(&mut *remaining).poll_frame(cx);
            self.is_waiting_for_client.set(next.is_pending());
            let bytes = match ready!(next) {
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(UploadError::Truncated)))),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_trailers) => continue,
                },
            };
            self.received_bytes
                .update(|received| received + bytes.len() as u64);
            self.record_progress();
            if self.received_bytes.get() > BODY_LIMIT {
                return Poll::Ready(Some(Err(self.fail(UploadError::LimitExceeded))));
            }
            self.is_consumed.set(true);
            self.first_part.take();
            if remaining.is_end_stream() {
                self.complete();
            }
            return Poll::Ready(Some(Ok(bytes)));
        }
    }

    /// Records that the last byte was received now.
    fn complete(&self) {
        let complete = ReceivedPart::Complete(Instant::now());
        self.received.send_replace(complete);
    }

    fn record_progress(&self) {
        let mut deadline = self.deadline.get();
        deadline.record(self.received_bytes.get(), Instant::now());
        self.deadline.set(deadline);
    }

    /// Records why the body will not be complete.
    fn fail(&self, error: UploadError) -> BodyTruncated {
        self.received.send_replace(ReceivedPart::Failed(error));
        BodyTruncated
    }
}

/// A request's body as one attempt sends it to a backend.
pub(crate) enum RequestBody {
    /// All of it.
    Buffered(Full<Bytes>),
    /// Streamed from the client.
    Streamed {
        /// Buffered bytes that this attempt has not sent yet.
        first_part: Option<Bytes>,
        /// What all attempts share.
        upload: Rc<RequestUpload>,
        /// This attempt is the one that reads from the client.
        is_reader: bool,
    },
}

impl RequestBody {
    /// The body of a further attempt, from its first byte.
    pub(crate) fn streamed(upload: &Rc<RequestUpload>) -> Self {
        Self::Streamed {
            first_part: Some(upload.first_part.borrow().clone()),
            upload: upload.clone(),
            is_reader: false,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        let (first_part, upload, is_reader) = match self.get_mut() {
            Self::Buffered(body) => {
                return Pin::new(body)
                    .poll_frame(cx)
                    .map_err(|never| match never {});
            }
            Self::Streamed {
                first_part,
                upload,
                is_reader,
            } => (first_part, upload, is_reader),
        };
        if let Some(first_part) = first_part.take() {
            return Poll::Ready(Some(Ok(Frame::data(first_part))));
        }
        // Two attempts must not each send a part of the rest.
        if !*is_reader && upload.has_reader.replace(true) {
            return Poll::Ready(Some(Err(BodyTruncated)));
        }
        *is_reader = true;
        upload
            .poll_remaining(cx)
            .map(|next| next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed {
                first_part, upload, ..
            } => first_part.is_none() && upload.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed { upload, .. } => {
                upload.length.map(SizeHint::with_exact).unwrap_or_default()
            }
        }
    }
}

/// Lets another attempt read from the client.
impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Self::Streamed {
            upload,
            is_reader: true,
            ..
        } = self
        {
            upload.has_reader.set(false);
        }
    }
}
