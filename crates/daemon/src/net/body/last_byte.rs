//! When a client has sent the last byte of a body.
//!
//! The proxy sees the last byte when it reads it. While it reads nothing, because the backend takes nothing and there is no
//! memory to read ahead, the last byte may lie unread in the machine. What is known then is when the client's socket was
//! last found empty: the last byte was sent after that.
use crate::time_limits::{LAST_BYTE_UNCERTAINTY, MAX_ARRIVAL_DELAY};
use tokio::time::Instant;

/// Number of bytes that lie between a client's write and the proxy's read at most: the send buffer of the client and
/// the receive buffer of the proxy. Linux limits them to 4 MiB and 6 MiB unless it is configured otherwise.
pub(super) const MAX_BYTES_IN_SOCKETS: u64 = 16 << 20;

/// The bounds of the time at which a client sends the last byte of a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastByteBound {
    earliest: Instant,
    /// When the latest bytes were read.
    last_read_at: Instant,
    /// Since when all bytes are read as they come, with the socket found empty in between. None if bytes lay unread: the
    /// client may have more in its send buffer then, although the socket is empty for a moment.
    keeps_up_since: Option<Instant>,
    /// Whether bytes lie unread, or have lain unread, for lack of memory.
    is_starved: bool,
    /// A former time, and how many bytes had been read then.
    mark_at: Instant,
    bytes_at_mark: u64,
}

impl LastByteBound {
    /// Creates the bounds for a body of which `bytes` were read now.
    pub(super) fn new(now: Instant, bytes: u64) -> Self {
        Self {
            earliest: now,
            last_read_at: now,
            keeps_up_since: None,
            is_starved: false,
            mark_at: now,
            bytes_at_mark: bytes,
        }
    }

    /// The time before which the last byte was not sent.
    pub(super) fn earliest(&self) -> Instant {
        self.earliest
    }

    /// Whether the client's socket was found empty, at `drained_at`, since the latest bytes were read.
    pub(super) fn is_drained(&self, drained_at: Instant) -> bool {
        drained_at > self.last_read_at
    }

    /// Records that bytes lie unread for lack of memory.
    pub(super) fn record_starvation(&mut self) {
        self.is_starved = true;
    }

    /// Records that more bytes were read now, `total_bytes` in all, and that at least `unread_bytes` are still to come. The
    /// client's socket was last found empty at `drained_at`.
    pub(super) fn record_read(
        &mut self,
        now: Instant,
        total_bytes: u64,
        unread_bytes: u64,
        drained_at: Instant,
    ) {
        self.record_keeping_up(now, drained_at);
        if self.has_kept_up(now, drained_at) || unread_bytes > MAX_BYTES_IN_SOCKETS {
            self.earliest = now;
            self.is_starved = false;
        }
        self.last_read_at = now;
        if total_bytes - self.bytes_at_mark > MAX_BYTES_IN_SOCKETS {
            // The sockets don't hold as much, so these bytes were sent after the mark.
            self.earliest = self.earliest.max(self.mark_at);
            self.mark_at = now;
            self.bytes_at_mark = total_bytes;
        }
    }

    /// Returns the time from which the client's timeout counts, when the last byte is read now.
    pub(super) fn sent_at(&self, now: Instant, drained_at: Instant) -> Instant {
        if self.is_starved && !self.has_kept_up(now, drained_at) {
            return now.min(self.latest_assumed());
        }
        now
    }

    /// The time from which the client's timeout counts if its last byte may lie unread for lack of memory: no later than
    /// [`LAST_BYTE_UNCERTAINTY`] after it can have been sent.
    pub(super) fn latest_assumed(&self) -> Instant {
        self.earliest + LAST_BYTE_UNCERTAINTY
    }

    fn record_keeping_up(&mut self, now: Instant, drained_at: Instant) {
        if self.is_drained(drained_at) {
            self.keeps_up_since.get_or_insert(drained_at);
        } else if now - self.last_read_at > MAX_ARRIVAL_DELAY {
            self.keeps_up_since = None;
        }
    }

    /// Whether the socket was empty until the present bytes came, and all bytes sent before have arrived.
    fn has_kept_up(&self, now: Instant, drained_at: Instant) -> bool {
        let since = self.keeps_up_since;
        let has_kept_up = since.is_some_and(|since| now - since > MAX_ARRIVAL_DELAY);
        self.is_drained(drained_at) && has_kept_up
    }
}

#[cfg(test)]
mod tests;
