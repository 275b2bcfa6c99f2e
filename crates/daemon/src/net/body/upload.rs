//! The body of a long request as it is received from the client, shared by the attempts that forward it.
use crate::net::body::{BODY_LIMIT, BodyTruncated};
use crate::net::progress_deadline::ProgressDeadline;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// Why the body of a streamed request will never be complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum UploadError {
    /// It exceeds the maximum length.
    LimitExceeded,
    /// It is malformed, or the client's connection failed before the last byte.
    Truncated,
    /// It stalled, or was not complete in time.
    Stalled,
}

/// How much of the body was received from the client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UploadState {
    /// More bytes are expected from the client.
    Receiving,
    /// The last byte was received at this time.
    Complete(Instant),
    /// The body will not be complete, and its rest is not awaited.
    Failed(UploadError),
}

/// The body of a request that is too long to be buffered. Its first part is buffered, the rest is read from the client by
/// one attempt at a time.
pub(crate) struct RequestUpload {
    /// Kept for a retry until bytes that follow it are sent.
    first_part: RefCell<Bytes>,
    remaining: RefCell<Incoming>,
    /// Length of the whole body, if the client declared it.
    declared_length: Option<u64>,
    received_bytes: Cell<u64>,
    state: watch::Sender<UploadState>,
    /// When more bytes must have been received and handed over to an attempt.
    deadline: Cell<ProgressDeadline>,
    is_consumed: Cell<bool>,
    has_reader: Cell<bool>,
    is_waiting_for_client: Cell<bool>,
}

impl RequestUpload {
    /// Creates the upload of a body whose `first_part` was received.
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
            declared_length: remaining_length.map(|length| length + received_bytes),
            received_bytes: received_bytes.into(),
            state: watch::Sender::new(UploadState::Receiving),
            deadline: deadline.into(),
            is_consumed: false.into(),
            has_reader: false.into(),
            is_waiting_for_client: false.into(),
        })
    }

    /// Whether bytes that are not buffered were sent to a backend, so that a retry is impossible.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// Whether the last byte was received and handed over to an attempt.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(*self.state.borrow(), UploadState::Complete(_))
    }

    /// Returns when the last byte was received; none if it was not.
    pub(crate) fn completed_at(&self) -> Option<Instant> {
        match *self.state.borrow() {
            UploadState::Complete(at) => Some(at),
            UploadState::Receiving | UploadState::Failed(_) => None,
        }
    }

    /// Whether an attempt waits for bytes from the client rather than for its backend.
    pub(crate) fn is_waiting_for_client(&self) -> bool {
        self.is_waiting_for_client.get()
    }

    /// Whether the client has ended the body early, or made it too long.
    pub(crate) fn has_failed_at_client(&self) -> bool {
        matches!(
            *self.state.borrow(),
            UploadState::Failed(UploadError::LimitExceeded | UploadError::Truncated)
        )
    }

    /// The latest time at which the body is complete or has failed.
    pub(crate) fn latest_end(&self) -> Instant {
        self.deadline.get().limit()
    }

    /// Waits for the last byte and returns when it was received. If it never is, [`RequestUpload::failed`] returns
    /// instead.
    pub(crate) async fn completed(&self) -> Instant {
        let mut state = self.state.subscribe();
        let completed = state
            .wait_for(|state| matches!(state, UploadState::Complete(_)))
            .await
            .map(|state| *state);
        match completed {
            Ok(UploadState::Complete(at)) => at,
            _ => pending().await,
        }
    }

    /// Waits until the upload fails and returns the reason. Pending forever once the last byte was received.
    pub(crate) async fn failed(&self) -> UploadError {
        loop {
            let deadline = self.deadline.get().expires_at();
            let mut state = self.state.subscribe();
            let ended = state.wait_for(|state| *state != UploadState::Receiving);
            match timeout_at(deadline, ended)
                .await
                .map(|state| state.map(|state| *state))
            {
                Ok(Ok(UploadState::Failed(error))) => return error,
                Ok(_) => return pending().await,
                // Progress has extended the deadline meanwhile.
                Err(_) if self.deadline.get().expires_at() > deadline => {}
                Err(_) => {
                    let _ = self.fail(UploadError::Stalled);
                }
            }
        }
    }

    /// Returns the first part of the body, to be sent by an attempt.
    pub(super) fn first_part(&self) -> Bytes {
        self.first_part.borrow().clone()
    }

    /// Returns the length of the whole body, if the client declared it.
    pub(super) fn declared_length(&self) -> Option<u64> {
        self.declared_length
    }

    /// Makes the calling attempt the only reader; false if there is one already, or if the first part is no longer there.
    pub(super) fn try_acquire_reader(&self) -> bool {
        !self.is_consumed() && !self.has_reader.replace(true)
    }

    /// Allows another attempt to become the reader.
    pub(super) fn release_reader(&self) {
        self.has_reader.set(false);
    }

    /// Reads the next bytes after the first part from the client; none at the end of the body.
    pub(super) fn poll_remaining(
        &self,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, BodyTruncated>>> {
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

    /// Records that the last byte was received now, unless an earlier attempt has received it.
    fn complete(&self) {
        self.state.send_if_modified(|state| {
            let is_first = *state == UploadState::Receiving;
            if is_first {
                *state = UploadState::Complete(Instant::now());
            }
            is_first
        });
    }

    /// Extends the deadline if enough bytes were received.
    fn record_progress(&self) {
        let mut deadline = self.deadline.get();
        deadline.record(self.received_bytes.get(), Instant::now());
        self.deadline.set(deadline);
    }

    /// Records that the body will not be complete.
    fn fail(&self, error: UploadError) -> BodyTruncated {
        self.state.send_replace(UploadState::Failed(error));
        BodyTruncated
    }
}
