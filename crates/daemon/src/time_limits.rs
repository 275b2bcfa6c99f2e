//! Timeouts for clients and backends. They are defined in one place because they constrain each other: the protocol's
//! guarantees about stalled peers are upper bounds, the needs of ordinary slow peers are lower bounds.
//!
//! | requirement | constrains |
//! | --- | --- |
//! | a client that stalls inside a request gets an error or a close within 3 s, counted from its connect if it is malicious | all timeouts of a message (upper bound) |
//! | a client may take 2 s to send a head | [`HEAD_TIMEOUT`] (lower bound) |
//! | a client may send a body of up to 32 MB at 64 kB/s, in pieces of any size | [`BODY_STALL_TIMEOUT`], [`MIN_BODY_BYTES_PER_SECOND`] (lower bound) |
//! | a connection without an RPC in flight may be closed after 2 s | [`IDLE_TIMEOUT`] (lower bound) |
//! | peers may take seconds to read or write | [`RESPONSE_STALL_TIMEOUT`], [`UPLOAD_STALL_TIMEOUT`] (lower bound) |
//! | the proxy's process may be suspended for up to 0.15 s | the margin between these timeouts and 3 s |
//! | `Request-Timeout-Ms` counts from the request's last byte, which may lie unread in the machine | starts when the timeouts of the message end; [`READ_AHEAD_DELAY`] |
//! | a response may come half a second after the client's timeout | [`LAST_BYTE_UNCERTAINTY`], [`READ_AHEAD_DELAY`], [`MAX_ARRIVAL_DELAY`] (upper bound of their sum) |
//!
//! Deadlines set by SIGTERM and standby are in `lifecycle/graceful_shutdown.rs` and `lifecycle/state.rs`; they only
//! shorten these.
use std::time::Duration;

/// Maximum time from the connect to the first byte.
pub(crate) const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time from the first byte of a head to its last.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time from the connect to the last byte of the first head: a late first byte must not add a whole
/// [`HEAD_TIMEOUT`].
pub(crate) const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2800);
/// Maximum time from the end of a response to the first byte of the next message.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Period after the connect in which a connection is neither drained nor evicted before older idle ones, because its
/// client is about to send an RPC.
pub(crate) const NEW_CONNECTION_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// Maximum time from one step of [`BODY_PROGRESS_BYTES`] of a request's body to the next, or to the end of the body.
pub(crate) const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Number of bytes of a request's body that count as progress. At 64 kB/s they take a quarter of a second; single
/// bytes, however regular, don't keep a connection open.
pub(crate) const BODY_PROGRESS_BYTES: u64 = 16 << 10;
/// Rate from which the time limit of a whole body is computed: half of the slowest ordinary client's 64 kB/s.
pub(crate) const MIN_BODY_BYTES_PER_SECOND: u32 = 32_000;

/// Time for which bytes of a streamed request wait in the sockets for a slower backend before the proxy reads ahead.
pub(crate) const READ_AHEAD_DELAY: Duration = Duration::from_millis(100);
/// Maximum time by which the proxy takes the last byte of a streamed request for later than it can have been sent, if bytes
/// lay unread.
pub(crate) const LAST_BYTE_UNCERTAINTY: Duration = Duration::from_millis(200);
/// Maximum time in which bytes that a client has sent arrive, while the proxy reads all that comes.
pub(crate) const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum time without a byte of a streamed request being written to its backend while the client has sent more.
pub(crate) const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time for which the first part of a response of unknown length is held back. Clients accept twice as much.
pub(crate) const RESPONSE_HOLD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time without a byte of a response being received from its backend, or read by its client.
pub(crate) const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of bytes of a response that count as progress: any byte does.
pub(crate) const RESPONSE_PROGRESS_BYTES: u64 = 1;
/// Maximum time for a whole response: twice the time of 32 MB at 64 kB/s.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1024);

/// Time from the deadline of an RPC to the close of its connection if there is still no response.
pub(crate) const RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time for a client to read the last response on its connection.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
