//! Eviction of a client's connection to make room for another one: which connection goes first, and what becomes of the
//! messages that were received on it.
use crate::downstream::client_protocol::REJECTED_BODY;

/// Number of messages behind the one that is served above which a connection is evicted before idle ones: its client has had
/// more than its share, and rejections are harmless.
const MAX_WAITING_MESSAGES: usize = 8;

/// Order in which connections are evicted: the lowest rank first, and within a rank the one that has been silent for
/// the longest. A connection is never evicted while a message is served, unless others wait behind it.
#[derive(Clone, Copy)]
pub(super) enum EvictionRank {
    /// The client has sent nothing, and its grace period is over.
    AwaitingFirstByte,
    /// More than [`MAX_WAITING_MESSAGES`] messages wait.
    ManyMessages,
    /// Between two messages, or lingering.
    Idle,
    /// Part of a head was received.
    ReadingHead,
    /// Just accepted. Ranked above idle connections, because new connections would evict each other otherwise.
    New,
    /// Part of a body was received.
    ReadingBody,
    /// A message is served, and others that were received wait for it.
    Pipelining,
}

impl EvictionRank {
    /// Returns the rank of a connection on which this number of messages wait, and which has rank `self` without them.
    pub(super) fn with_waiting_messages(self, messages: usize) -> Self {
        if messages > MAX_WAITING_MESSAGES {
            Self::ManyMessages
        } else {
            self
        }
    }
}

/// Whether a connection was evicted, and what becomes of its messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Eviction {
    /// It was not evicted.
    No,
    /// No message was waiting. One that crosses the eviction is served.
    BetweenMessages,
    /// The messages that wait behind the one that is served are rejected.
    WithMessages,
}

/// How a message of a connection that may have been evicted is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EvictedService {
    /// The connection was not evicted.
    Serve,
    /// The message crossed the eviction: it is served, and the connection closed.
    ServeAndClose,
    /// The message waited behind others, or others wait behind it: it is rejected together with them.
    Reject,
}

/// Encodes the rejections of this number of messages; the last one announces the close of the connection. All of them
/// together cost less than a single message that is served.
pub(super) fn encode_rejections(messages: usize) -> Vec<u8> {
    let encode = |connection: &str| {
        let length = REJECTED_BODY.len();
        format!(
            "HTTP/1.1 503 Service Unavailable\r\n{connection}Content-Length: {length}\r\n\r\n{REJECTED_BODY}"
        )
    };
    let mut rejections = encode("").repeat(messages.saturating_sub(1));
    if messages > 0 {
        rejections += &encode("Connection: close\r\n");
    }
    rejections.into_bytes()
}
