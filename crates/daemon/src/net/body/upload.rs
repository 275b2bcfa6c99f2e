//! The body of a long request as it is received from the client, shared by the attempts that forward it.
//!
//! An attempt reads the body as fast as its backend takes it, so what the client sends meanwhile waits in the sockets. The
//! client's timeout counts from its last byte, wherever that lies. So the proxy must know when it was sent:
//! [`RequestUpload::read_ahead`] reads what the attempt leaves unread into a bounded memory.
use crate::net::body::last_byte::{LastByteBound, MAX_BYTES_IN_SOCKETS};
use crate::net::body::upload_buffer::{UploadBuffer, UploadMemory};
use crate::net::body::upload_state::{UploadError, UploadState};
use crate::net::body::{BODY_LIMIT, BodyTruncated};
use crate::net::inbound_stream::ClientLiveness;
use crate::net::progress_deadline::ProgressDeadline;
use crate::net::socket_budget::{LongTransferPermit, SocketBudget};
use crate::time_limits::{LAST_BYTE_UNCERTAINTY, READ_AHEAD_DELAY};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Why reading ahead has paused.
#[derive(Debug, PartialEq)]
enum ReadAheadPause {
    /// The body has ended or failed.
    Ended,
    /// The attempt reads by itself.
    AttemptReads,
    /// The memory is exhausted.
    NoMemory,
}

/// Where the bytes of an upload come from.
pub(crate) struct UploadSource {
    /// The bytes that follow the first part.
    pub remaining: Incoming,
    /// Tells when the client's socket was found empty.
    pub client: ClientLiveness,
    /// The memory for bytes that are read ahead.
    pub memory: Rc<UploadMemory>,
    /// Issues the permit for a body that is too long to be buffered.
    pub budget: Rc<SocketBudget>,
}

/// The body of a request that is too long to be buffered. Its first part is buffered, the rest is read from the client by
/// one attempt at a time.
pub(crate) struct RequestUpload {
    /// Kept for a retry until bytes that follow it are sent.
    first_part: RefCell<Bytes>,
    remaining: RefCell<Incoming>,
    client: ClientLiveness,
    /// Bytes that follow the first part, read before an attempt has asked for them.
    read_ahead: RefCell<UploadBuffer>,
    /// Length of the whole body, if the client declared it.
    declared_length: Option<u64>,
    received_bytes: Cell<u64>,
    state: watch::Sender<UploadState>,
    /// When more bytes must have been received.
    deadline: Cell<ProgressDeadline>,
    last_byte: Cell<LastByteBound>,
    is_consumed: Cell<bool>,
    has_reader: Cell<bool>,
    is_waiting_for_client: Cell<bool>,
    _permit: LongTransferPermit,
}

impl RequestUpload {
    /// Creates the upload of a body whose `first_part` was received; none if too many are open.
    pub(crate) fn new(
        first_part: Bytes,
        source: UploadSource,
        deadline: ProgressDeadline,
    ) -> Option<Rc<Self>> {
        let permit = source.budget.acquire_long_transfer()?;
        let received_bytes = first_part.len() as u64;
        let remaining_length = source.remaining.size_hint().exact();
        Some(Rc::new(Self {
            first_part: first_part.into(),
            remaining: source.remaining.into(),
            client: source.client,
            read_ahead: UploadBuffer::new(source.memory).into(),
            declared_length: remaining_length.map(|length| length + received_bytes),
            received_bytes: received_bytes.into(),
            state: watch::Sender::new(UploadState::Receiving),
            deadline: deadline.into(),
            last_byte: LastByteBound::new(Instant::now(), received_bytes).into(),
            is_consumed: false.into(),
            has_reader: false.into(),
            is_waiting_for_client: false.into(),
            _permit: permit,
        }))
    }

    /// Whether bytes that follow the first part were sent to a backend, so that a retry is impossible.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// Whether the last byte was handed over to an attempt.
    pub(crate) fn is_handed_over(&self) -> bool {
        matches!(*self.state.borrow(), UploadState::HandedOver(_))
    }

    /// Returns the time from which the client's timeout counts; none if the last byte was not received.
    pub(crate) fn received_at(&self) -> Option<Instant> {
        match *self.state.borrow() {
            UploadState::Received(at) | UploadState::HandedOver(at) => Some(at),
            UploadState::Receiving | UploadState::Failed(_) => None,
        }
    }

    /// Returns the number of bytes that were received from the client.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
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

    /// Waits for the last byte and returns the time from which the client's timeout counts. If it is never received, [`RequestUpload::failed`] returns
    /// instead.
    pub(crate) async fn received(&self) -> Instant {
        let mut state = self.state.subscribe();
        let is_received = |state: &UploadState| {
            matches!(state, UploadState::Received(_) | UploadState::HandedOver(_))
        };
        let received = state.wait_for(is_received).await.map(|state| *state);
        match received {
            Ok(UploadState::Received(at) | UploadState::HandedOver(at)) => at,
            _ => pending().await,
        }
    }

    /// Waits until the last byte is handed over to an attempt. If it never is, [`RequestUpload::failed`] returns instead.
    pub(crate) async fn handed_over(&self) {
        let mut state = self.state.subscribe();
        let is_handed_over = |state: &UploadState| matches!(state, UploadState::HandedOver(_));
        if state.wait_for(is_handed_over).await.is_err() {
            pending().await
        }
    }

    /// Waits until the upload fails and returns the reason. Pending forever once the last byte was handed over.
    pub(crate) async fn failed(&self) -> UploadError {
        let mut state = self.state.subscribe();
        loop {
            let current = *state.borrow_and_update();
            match current {
                UploadState::Failed(error) => return error,
                UploadState::HandedOver(_) => return pending().await,
                UploadState::Received(_) => drop(state.changed().await),
                UploadState::Receiving => {
                    let deadline = self.deadline.get().expires_at();
                    let is_expired = timeout_at(deadline, state.changed()).await.is_err();
                    // Progress may have extended the deadline meanwhile.
                    if is_expired && self.deadline.get().expires_at() <= deadline {
                        self.fail(UploadError::Stalled);
                    }
                }
            }
        }
    }

    /// Ends the upload because the client's timeout has expired. False, and nothing is changed, if an attempt has the last
    /// byte. Otherwise none will have it: the request has not run and will not.
    pub(crate) fn fail_as_overdue(&self) -> bool {
        self.fail(UploadError::Overdue);
        !self.is_handed_over()
    }

    /// Reads ahead until the body has ended, whenever the attempt has left bytes unread for [`READ_AHEAD_DELAY`].
    ///
    /// If the memory is exhausted, nobody knows whether the client has sent its last byte. The upload then fails
    /// `client_timeout` and [`LAST_BYTE_UNCERTAINTY`] after the earliest time at which it can have.
    pub(crate) async fn read_ahead(&self, client_timeout: Duration) {
        loop {
            let behind_since = self.earliest_last_byte();
            sleep_until(behind_since + READ_AHEAD_DELAY).await;
            if self.earliest_last_byte() > behind_since {
                continue;
            }
            let pause = poll_fn(|cx| self.poll_read_ahead(cx));
            match timeout(READ_AHEAD_DELAY, pause).await {
                Ok(ReadAheadPause::Ended) => return,
                Ok(ReadAheadPause::NoMemory) if self.may_be_overdue(client_timeout) => {
                    self.fail(UploadError::Overdue);
                    return;
                }
                Ok(ReadAheadPause::NoMemory) => {
                    self.record_starvation();
                    sleep(READ_AHEAD_DELAY).await;
                }
                Ok(ReadAheadPause::AttemptReads) => sleep(READ_AHEAD_DELAY).await,
                // All that the client has sent was read.
                Err(_elapsed) => {}
            }
        }
    }

    /// Whether the client's timeout has expired if its last byte was sent as early as possible.
    fn may_be_overdue(&self, client_timeout: Duration) -> bool {
        let earliest = self.earliest_last_byte();
        earliest.elapsed() >= LAST_BYTE_UNCERTAINTY + client_timeout
    }

    /// Returns the time before which the client has not sent the last byte, as far as the proxy knows.
    fn earliest_last_byte(&self) -> Instant {
        let now = Instant::now();
        let unread = self.remaining.borrow().size_hint().lower();
        if self.is_drained() || unread > MAX_BYTES_IN_SOCKETS {
            return now;
        }
        self.last_byte.get().earliest()
    }

    /// Whether the attempt has read all that the client has sent, and waits for more.
    fn is_drained(&self) -> bool {
        self.is_waiting_for_client() && self.last_byte.get().is_drained(self.client.drained_at())
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
        self.is_waiting_for_client.set(false);
    }

    /// Returns the next bytes after the first part to the attempt that reads; none at the end of the body.
    pub(super) fn poll_remaining(
        &self,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, BodyTruncated>>> {
        if matches!(*self.state.borrow(), UploadState::Failed(_)) {
            return Poll::Ready(Some(Err(BodyTruncated)));
        }
        let read_ahead = self.read_ahead.borrow_mut().pop();
        let next = match read_ahead {
            Some(bytes) => Poll::Ready(Some(Ok(bytes))),
            None if self.received_at().is_some() => Poll::Ready(None),
            None => self.poll_client(cx),
        };
        self.is_waiting_for_client.set(next.is_pending());
        let next = ready!(next);
        if matches!(next, Some(Ok(_))) {
            self.is_consumed.set(true);
            self.first_part.take();
        }
        self.hand_over_if_read();
        Poll::Ready(next)
    }

    /// Records that the attempt that reads has the last byte, if it was received and nothing precedes it.
    pub(super) fn hand_over_if_read(&self) {
        if !self.read_ahead.borrow().is_empty() {
            return;
        }
        self.state.send_if_modified(|state| match *state {
            UploadState::Received(at) => {
                *state = UploadState::HandedOver(at);
                true
            }
            _ => false,
        });
    }

    /// Reads from the client into the memory until it has sent no more, or there is a reason to pause.
    fn poll_read_ahead(&self, cx: &mut Context) -> Poll<ReadAheadPause> {
        while *self.state.borrow() == UploadState::Receiving {
            if self.is_waiting_for_client() {
                return Poll::Ready(ReadAheadPause::AttemptReads);
            }
            if !self.read_ahead.borrow().has_space() {
                return Poll::Ready(ReadAheadPause::NoMemory);
            }
            if let Some(Ok(bytes)) = ready!(self.poll_client(cx)) {
                self.read_ahead.borrow_mut().append(bytes);
            }
        }
        Poll::Ready(ReadAheadPause::Ended)
    }

    /// Reads the next bytes from the client; none at the end of the body.
    fn poll_client(&self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyTruncated>>> {
        let mut remaining = self.remaining.borrow_mut();
        loop {
            let bytes = match ready!(Pin::new(&mut *remaining).poll_frame(cx)) {
                None => {
                    self.record_last_byte();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(UploadError::Truncated)))),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_trailers) => continue,
                },
            };
            self.record_read(bytes.len(), remaining.size_hint().lower());
            if self.received_bytes.get() > BODY_LIMIT {
                return Poll::Ready(Some(Err(self.fail(UploadError::LimitExceeded))));
            }
            if remaining.is_end_stream() {
                self.record_last_byte();
            }
            return Poll::Ready(Some(Ok(bytes)));
        }
    }

    /// Records that this number of bytes was read from the client now, and that at least `unread_bytes` follow.
    fn record_read(&self, bytes: usize, unread_bytes: u64) {
        let now = Instant::now();
        let received_bytes = self.received_bytes.get() + bytes as u64;
        self.received_bytes.set(received_bytes);
        let mut deadline = self.deadline.get();
        deadline.record(received_bytes, now);
        self.deadline.set(deadline);
        let mut last_byte = self.last_byte.get();
        last_byte.record_read(now, received_bytes, unread_bytes, self.client.drained_at());
        self.last_byte.set(last_byte);
    }

    /// Records that bytes lie unread for lack of memory.
    fn record_starvation(&self) {
        let mut last_byte = self.last_byte.get();
        last_byte.record_starvation();
        self.last_byte.set(last_byte);
    }

    /// Records that the last byte was read now.
    fn record_last_byte(&self) {
        let last_byte = self.last_byte.get();
        let sent_at = last_byte.sent_at(Instant::now(), self.client.drained_at());
        self.state.send_if_modified(|state| {
            let is_first = *state == UploadState::Receiving;
            if is_first {
                *state = UploadState::Received(sent_at);
            }
            is_first
        });
    }

    /// Records that the body will not be complete, unless an attempt has all of it.
    fn fail(&self, error: UploadError) -> BodyTruncated {
        self.state.send_if_modified(|state| {
            let may_fail = matches!(state, UploadState::Receiving | UploadState::Received(_));
            if may_fail {
                *state = UploadState::Failed(error);
            }
            may_fail
        });
        BodyTruncated
    }
}
