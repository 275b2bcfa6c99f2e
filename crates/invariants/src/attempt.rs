//! The facts about an attempt by which the checker judges it.
use std::time::Duration;

/// Whether an attempt of an RPC may follow one that a backend may have executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatRule {
    /// It may: the method is idempotent.
    Always,
    /// It may not: the method is not idempotent.
    Never,
    /// It may until this long after the start of the first such attempt, while backends recognise duplicates.
    Within(Duration),
}

/// The facts when the decisions start an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptStart {
    /// Whether the RPC already has its response, or its client has disconnected.
    pub is_finished: bool,
    /// Whether the RPC may be repeated.
    pub repeat_rule: RepeatRule,
    /// Time since the start of the first attempt that a backend may have executed.
    pub since_first_execution: Option<Duration>,
}

/// The facts when the first byte of an attempt is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSend {
    /// Whether the client has disconnected.
    pub is_client_disconnected: bool,
    /// Time that the client has left; `None` while its request is incomplete, since its timeout starts afterwards.
    pub time_left: Option<Duration>,
    /// Time since the client's deadline; zero before it.
    pub past_deadline: Duration,
    /// The `Request-Timeout-Ms` that is forwarded to the backend.
    pub forwarded_timeout: Duration,
    /// Whether the backend accepts new requests.
    pub is_backend_ready: bool,
    /// Time left in which backends recognise a duplicate; `None` if the attempt is not limited by that.
    pub repeat_time_left: Option<Duration>,
}
