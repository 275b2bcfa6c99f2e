//! The state of an RPC and its backend against which an attempt is checked.
use std::time::Duration;

/// Whether an RPC may be attempted again after a backend may have executed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatRule {
    /// It may: its method is idempotent.
    Always,
    /// It may not: its method is not idempotent.
    Never,
    /// It may until this time has passed since the start of the first attempt that a backend may have executed.
    /// Backends recognise duplicates for that long.
    Within(Duration),
}

/// State at the time when the decision logic starts an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptStart {
    /// Whether the RPC already has its response, or its client has disconnected.
    pub is_finished: bool,
    /// Whether the RPC may be attempted again after a possible execution.
    pub repeat_rule: RepeatRule,
    /// Time since the start of the first attempt that a backend may have executed; `None` if there is no such attempt.
    pub since_first_execution: Option<Duration>,
}

/// State at the time when the first byte of an attempt is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSend {
    /// Whether the client has disconnected.
    pub is_client_disconnected: bool,
    /// Time left until the client's deadline; `None` while the request is incomplete, because the client's timeout
    /// starts when it is complete.
    pub time_left: Option<Duration>,
    /// Time since the client's deadline; zero before it.
    pub past_deadline: Duration,
    /// The `Request-Timeout-Ms` that is forwarded to the backend.
    pub forwarded_timeout: Duration,
    /// Whether the backend accepts new requests.
    pub is_backend_ready: bool,
    /// Time left during which backends recognise a duplicate; `None` if the attempt is not limited by that.
    pub repeat_time_left: Option<Duration>,
}
