//! Events of a rehearsal, as the ledger stores them.
//!
//! The stored words of variants and fields are those of the first ledgers; `#[serde(rename)]` maps them to the names
//! used here, and `Display` writes the stored words for the timeline and the report.
use serde::{Deserialize, Serialize};
use std::fmt;

/// Outcome of a client request, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// Success.
    Ok,
    /// Rejected by the proxy, with the Retry-After in seconds if it sent one.
    #[serde(rename = "PushedBack")]
    Rejected(Option<f32>),
    /// Any other status.
    Aborted(u16),
    /// The connection ended without an answer.
    Lost,
    /// No connection was established, or it was refused: the proxy never had the request.
    Unreachable,
    /// No answer arrived within the client's timeout.
    #[serde(rename = "Silence")]
    TimedOut,
    /// The client closed the connection before its timeout.
    #[serde(rename = "HungUp")]
    Cancelled,
    /// The answer was malformed, or further bytes followed it.
    #[serde(rename = "Garbled")]
    Malformed,
}

impl RequestOutcome {
    /// Whether it is a final answer of the proxy.
    pub fn is_final_response(self) -> bool {
        matches!(self, Self::Ok | Self::Rejected(_) | Self::Aborted(_))
    }
}

/// Writes the stored word.
impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ok => formatter.write_str("Ok"),
            Self::Rejected(retry_after) => write!(formatter, "PushedBack({retry_after:?})"),
            Self::Aborted(status) => write!(formatter, "Aborted({status})"),
            Self::Lost => formatter.write_str("Lost"),
            Self::Unreachable => formatter.write_str("Unreachable"),
            Self::TimedOut => formatter.write_str("Silence"),
            Self::Cancelled => formatter.write_str("HungUp"),
            Self::Malformed => formatter.write_str("Garbled"),
        }
    }
}

/// State of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts new work.
    Ready,
    /// It finishes its work and accepts no new work.
    Draining,
    /// It is no longer in the list.
    Gone,
}

/// What a backend did with an attempt that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// It queued or executed the attempt.
    #[serde(rename = "Held")]
    Admitted,
    /// It told the proxy that the attempt did not run: full queue, draining, or too many connections.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// It never answered: as far as the proxy knows, the attempt may have run.
    #[serde(rename = "Swallowed")]
    Dropped,
    /// It answered with an error and did not run the attempt.
    #[serde(rename = "Error")]
    Failed,
}

/// Writes the stored word.
impl fmt::Display for Admission {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Admitted => "Held",
            Self::Rejected => "TurnedAway",
            Self::Dropped => "Swallowed",
            Self::Failed => "Error",
        })
    }
}

/// How an attempt at a backend ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The backend wrote its answer.
    Replied,
    /// The proxy closed the connection first.
    #[serde(rename = "Withdrawn")]
    Cancelled,
    /// The backend's side failed: a reset, a malformed answer, or a crash.
    Broken,
}

/// Writes the stored word.
impl fmt::Display for AttemptEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Replied => "Replied",
            Self::Cancelled => "Withdrawn",
            Self::Broken => "Broken",
        })
    }
}

/// How a proxy's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyEnd {
    /// The scenario killed it.
    Killed,
    /// It exited after SIGTERM.
    Stopped,
    /// It was killed because it did not exit after SIGTERM.
    Forced,
    /// It exited without a signal.
    Crashed,
    /// The rehearsal ended.
    Over,
}

/// An attempt as its backend received it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceivedAttempt {
    /// The backend's process.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// The attempt.
    #[serde(rename = "job")]
    pub attempt_id: u64,
    /// The client request that it serves.
    #[serde(rename = "attempt")]
    pub request_id: u64,
    /// The proxy that made it.
    pub proxy: u16,
    /// When its first byte arrived, in seconds.
    #[serde(rename = "begun")]
    pub first_byte_at: f64,
    /// Its work, in seconds of a standard core.
    pub work: f32,
    /// Recent work for the cold backend as a share of the work at which it collapses; 0 for a warm one.
    #[serde(rename = "pushed")]
    pub overload: f32,
    /// What the backend did with it.
    #[serde(rename = "taken")]
    pub admission: Admission,
}

/// An event of a rehearsal.
///
/// - `request_id` identifies one request of a client for an RPC: its first one or a retry.
/// - `attempt_id` identifies an attempt of a proxy at a backend.
/// - `incarnation` identifies one run of a backend's process.
/// - `method`, `tenant`, `proxy` and `backend` are indices in the ledger's header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An RPC was due, whether or not it could be sent.
    #[serde(rename = "Asked")]
    Arrival {
        /// The RPC.
        rpc: u32,
        /// Its method.
        method: u8,
        /// The tenant that it belongs to.
        tenant: u8,
        /// Whether it is within its tenant's quota.
        #[serde(rename = "within")]
        within_quota: bool,
    },
    /// A client sent the last byte of a request.
    #[serde(rename = "Sent")]
    RequestSent {
        /// The request.
        #[serde(rename = "attempt")]
        request_id: u64,
        /// The RPC that it is for.
        rpc: u32,
        /// The proxy that it was sent to.
        proxy: u16,
        /// How long the client waits for the answer, in seconds.
        #[serde(rename = "patience")]
        client_timeout: f32,
    },
    /// A client request has an outcome.
    #[serde(rename = "Answered")]
    RequestEnded {
        /// The request.
        #[serde(rename = "attempt")]
        request_id: u64,
        /// Its outcome.
        #[serde(rename = "answer")]
        outcome: RequestOutcome,
    },
    /// A backend's process started.
    #[serde(rename = "Born")]
    BackendStarted {
        /// The process.
        #[serde(rename = "life")]
        incarnation: u32,
        /// The backend that it belongs to.
        #[serde(rename = "node")]
        backend: u32,
        /// Whether it starts without its full capacity.
        cold: bool,
        /// Its full capacity, in standard cores.
        #[serde(rename = "able")]
        warm_capacity: f32,
    },
    /// A backend's process accepts no new work from now on.
    #[serde(rename = "Drained")]
    BackendDraining {
        /// The process.
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A backend's process ended.
    #[serde(rename = "Died")]
    BackendEnded {
        /// The process.
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A cold backend's process collapsed under overload.
    #[serde(rename = "Fell")]
    BackendCollapsed {
        /// The process.
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A backend received a complete attempt.
    #[serde(rename = "Got")]
    AttemptReceived(ReceivedAttempt),
    /// A backend began to execute an attempt: its effect counts from now on.
    #[serde(rename = "Started")]
    ExecutionStarted {
        /// The attempt.
        #[serde(rename = "job")]
        attempt_id: u64,
    },
    /// A backend dropped an attempt as a duplicate: it answers as if it had run, without an effect.
    #[serde(rename = "Repeated")]
    DuplicateDropped {
        /// The attempt.
        #[serde(rename = "job")]
        attempt_id: u64,
    },
    /// A backend finished the execution of an attempt.
    #[serde(rename = "Finished")]
    ExecutionFinished {
        /// The attempt.
        #[serde(rename = "job")]
        attempt_id: u64,
    },
    /// An attempt ended at its backend.
    #[serde(rename = "Left")]
    AttemptEnded {
        /// The attempt.
        #[serde(rename = "job")]
        attempt_id: u64,
        /// How it ended.
        how: AttemptEnd,
    },
    /// The discovery service learnt of a change of an endpoint.
    #[serde(rename = "Changed")]
    EndpointChanged {
        /// The backend.
        #[serde(rename = "node")]
        backend: u32,
        /// Its process.
        #[serde(rename = "life")]
        incarnation: u32,
        /// Its new state.
        state: EndpointState,
    },
    /// The discovery service sent the state of an endpoint to a proxy, or the proxy started with it.
    #[serde(rename = "Told")]
    ProxyNotified {
        /// The proxy.
        proxy: u16,
        /// The backend.
        #[serde(rename = "node")]
        backend: u32,
        /// The backend's process.
        #[serde(rename = "life")]
        incarnation: u32,
        /// The backend's state.
        state: EndpointState,
    },
    /// A proxy's process started.
    ProxyStarted {
        /// The proxy.
        proxy: u16,
    },
    /// A proxy answered that it is ready.
    ProxyReady {
        /// The proxy.
        proxy: u16,
    },
    /// A proxy's process ended.
    ProxyEnded {
        /// The proxy.
        proxy: u16,
        /// How it ended.
        how: ProxyEnd,
    },
    /// A planned fault began or ended.
    #[serde(rename = "Trouble")]
    Fault {
        /// Index of the fault in the ledger's header.
        number: u16,
        /// Whether it begins.
        begins: bool,
    },
    /// The emulated clients sent an RPC later than it was due.
    #[serde(rename = "KitLate")]
    ClientLate {
        /// By how much, in seconds.
        by: f32,
    },
    /// An emulated backend did something later than it was due.
    #[serde(rename = "StageLate")]
    EmulatorLate {
        /// By how much, in seconds.
        by: f32,
    },
    /// A proxy forwarded to a backend how long it waits for an attempt.
    #[serde(rename = "TimeTold")]
    TimeoutForwarded {
        /// The attempt.
        #[serde(rename = "job")]
        attempt_id: u64,
        /// The timeout, in seconds.
        seconds: f32,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, in seconds since the rehearsal began.
    pub at: f64,
    /// What happened.
    pub event: Event,
}
