//! The times that waits on clients and backends may take, side by side, since they compete: what a stopped peer is owed
//! bounds them from above, what a usual slow peer needs bounds them from below.
//!
//! | from the operators' pages | bounds |
//! | --- | --- |
//! | a client that stops in a request gets an error or a close within 3 s; of a bad client it counts from its connect | all of a message from above |
//! | "a client may take 2 s for a head" | [`HEAD`] from below |
//! | "a body at 64 kB a second", up to 32 MB, in pieces of any size | [`BODY_STALL`], [`MIN_BODY_RATE`] from below |
//! | "a connection on which no request is open may be closed after 2 s" | [`IDLE`] from below |
//! | "peers take seconds to read or write" | [`RESPONSE_STALL`], [`UPLOAD_STALL`] from below |
//! | a proxy is held up for up to 0.15 s | the room between 3 s and what is granted |
//! | a request's own time (`Request-Timeout-Ms`) counts from its last byte | begins where a message's time ends |
//!
//! What SIGTERM and standby set is in `lifecycle/graceful_shutdown.rs` and `lifecycle/state.rs`; it only shortens these.
use std::time::Duration;

/// For a new connection to send its first byte.
pub(crate) const FIRST_BYTE: Duration = Duration::from_millis(2500);
/// For a head, from its first byte.
pub(crate) const HEAD: Duration = Duration::from_millis(2500);
/// For the first head of a connection, from the connect: a late first byte must not add a whole [`HEAD`].
pub(crate) const FIRST_HEAD: Duration = Duration::from_millis(2800);
/// Between messages.
pub(crate) const IDLE: Duration = Duration::from_secs(10);
/// For a new connection to send its RPC, also while the proxy drains or another connection could have its place.
pub(crate) const SETTLE: Duration = Duration::from_millis(300);

/// For the next [`BODY_STEP`] bytes of a request's body, or for its end.
pub(crate) const BODY_STALL: Duration = Duration::from_millis(2500);
/// Bytes of a request's body that count as progress. A usual client sends them in a quarter of a second; single
/// bytes, however regular, keep nothing open.
pub(crate) const BODY_STEP: u64 = 16 << 10;
/// Bytes per second that bound the time of a whole body: half of what a usual client sends.
pub(crate) const MIN_BODY_RATE: u32 = 32_000;

/// For a backend to take a byte of a long request that the client does not hold up.
pub(crate) const UPLOAD_STALL: Duration = Duration::from_secs(2);

/// For a peer to give or to take a byte of a response that has begun.
pub(crate) const RESPONSE_STALL: Duration = Duration::from_secs(30);
/// For a whole response: 32 MB at 64 kB a second, twice.
pub(crate) const RESPONSE: Duration = Duration::from_secs(1024);

/// Beyond the end of an RPC's time, for its response to be written: a connection that is still busy then is closed.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// For a client to read the last response on its connection.
pub(crate) const LINGER: Duration = Duration::from_millis(500);
