//! The conditions that end an exchange before its response. Each future is ready when the exchange has to end, and
//! pending forever if it may complete.
use super::RunningExchange;
use crate::clock;
use crate::time_limits::UPLOAD_STALL_TIMEOUT;
use crate::upstream::exchange::{CancelSignal, WithdrawIfUnsent};
use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between checks for progress of a streamed request.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl RunningExchange<'_> {
    /// Returns if nothing was sent; pending forever if a byte of the request may have been sent.
    async fn pending_if_sent(&self) {
        if self.completion.is_sent() {
            pending::<()>().await;
        }
    }

    /// Waits until the exchange is cancelled, see [`CancelSignal`].
    pub(super) async fn cancelled(&self, cancel: CancelSignal) {
        let Some(cancel) = cancel else {
            return pending().await;
        };
        if let Ok(WithdrawIfUnsent) = cancel.await {
            self.pending_if_sent().await;
        }
    }

    /// Waits until the backend accepts no new requests, if nothing was sent by then.
    pub(super) async fn endpoint_unavailable(&self) {
        self.endpoint.unavailable().await;
        self.pending_if_sent().await;
    }

    /// Waits for the send deadline, if nothing was sent by then.
    pub(super) async fn send_window_closed(&self) {
        clock::until(self.deadlines.send_deadline).await;
        self.pending_if_sent().await;
    }

    /// Waits for the timeout. It no longer applies once a response is being streamed, or will be because its length is
    /// unknown.
    pub(super) async fn timed_out(&self) {
        if let Some(upload) = self.request.upload() {
            upload.handed_over().await;
            self.completion.report_request_sent().await;
        }
        clock::until(self.timeout_at()).await;
        if self.completion.has_response_started() || self.has_open_ended_response.get() {
            pending::<()>().await;
        }
    }

    /// Returns when the exchange times out. The time for a streamed request starts with its last byte; none before that.
    pub(super) fn timeout_at(&self) -> Option<Instant> {
        let deadline = self.deadlines.response_deadline;
        match self.request.upload() {
            None => Some(deadline),
            Some(upload) => Some(upload.received_at()? + (deadline - self.started_at)),
        }
    }

    /// Waits until a streamed request fails before its last byte.
    pub(super) async fn upload_failed(&self) {
        match self.request.upload() {
            Some(upload) => drop(upload.failed().await),
            None => pending().await,
        }
    }

    /// Waits until the backend has read nothing of a streamed request for [`UPLOAD_STALL_TIMEOUT`], although the client
    /// has sent more of it.
    pub(super) async fn backend_stalled(&self) {
        let Some(upload) = self.request.upload() else {
            return pending().await;
        };
        let mut written = self.written.bytes();
        let mut stalled_since = Instant::now();
        while !upload.is_handed_over() {
            sleep(UPLOAD_CHECK_INTERVAL).await;
            if upload.is_waiting_for_client() || self.written.bytes() != written {
                written = self.written.bytes();
                stalled_since = Instant::now();
            }
            if stalled_since.elapsed() >= UPLOAD_STALL_TIMEOUT {
                return;
            }
        }
        pending().await
    }
}
