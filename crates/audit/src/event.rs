//! Events that a ledger records during a rehearsal.
//!
//! `#[serde(rename)]` keeps the names that variants and fields had in the first ledgers. `Display` writes the same names
//! in the timeline and in the report.
use serde::{Deserialize, Serialize};
use std::fmt;

/// Outcome of a client request, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// Success.
    Ok,
    /// The proxy rejected the request; holds the Retry-After in seconds if the response had one.
    #[serde(rename = "PushedBack")]
    Rejected(Option<f32>),
    /// The proxy responded with any other status.
    Aborted(u16),
    /// The connection closed before a response arrived.
    Lost,
    /// The connection failed or was refused, so the proxy never received the request.
    Unreachable,
    /// No response arrived within the client's timeout.
    #[serde(rename = "Silence")]
    TimedOut,
    /// The client closed the connection before its timeout.
    #[serde(rename = "HungUp")]
    Cancelled,
    /// The response was malformed or followed by unexpected bytes.
    #[serde(rename = "Garbled")]
    Malformed,
}

impl RequestOutcome {
    /// Whether the client received a well-formed response.
    pub fn is_final_response(self) -> bool {
        matches!(self, Self::Ok | Self::Rejected(_) | Self::Aborted(_))
    }
}

/// Writes the name that the ledger stores.
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
    /// It was removed from the list.
    Gone,
}

/// How a backend handled an attempt that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// It queued or executed the attempt.
    #[serde(rename = "Held")]
    Admitted,
    /// It told the proxy that the attempt did not run: it was draining, or its queue or connections were full.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// It sent no response: as far as the proxy can tell, the attempt may have run.
    #[serde(rename = "Swallowed")]
    Dropped,
    /// It responded with an error and did not run the attempt.
    #[serde(rename = "Error")]
    Failed,
}

/// Writes the name that the ledger stores.
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
    /// The backend sent its response.
    Replied,
    /// The proxy closed the connection first.
    #[serde(rename = "Withdrawn")]
    Cancelled,
    /// The backend reset the connection, sent a malformed response, or crashed.
    Broken,
}

/// Writes the name that the ledger stores.
impl fmt::Display for AttemptEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Replied => "Replied",
            Self::Cancelled => "Withdrawn",
            Self::Broken => "Broken",
        })
    }
}

/// How a proxy process ended.
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
    /// It was still running when the rehearsal ended.
    Over,
}

/// An attempt that a backend received.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceivedAttempt {
    /// The incarnation of the backend that received it.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// The attempt.
    #[serde(rename = "job")]
    pub attempt_id: u64,
    /// The client request that it serves.
    #[serde(rename = "attempt")]
    pub request_id: u64,
    /// The proxy that sent it.
    pub proxy: u16,
    /// When its first byte arrived, in seconds.
    #[serde(rename = "begun")]
    pub first_byte_at: f64,
    /// CPU time that it needs, in seconds of a standard core.
    pub work: f32,
    /// Work that a cold backend received recently, as a share of the work at which it collapses; 0 for a warm backend.
    #[serde(rename = "pushed")]
    pub overload: f32,
    /// How the backend handled it.
    #[serde(rename = "taken")]
    pub admission: Admission,
}

/// An event of a rehearsal.
///
/// - `request_id` identifies a request that a client sent for an RPC: the first one or a retry.
/// - `attempt_id` identifies an attempt that a proxy made at a backend.
/// - `incarnation` identifies one run of a backend process.
/// - `method`, `tenant`, `proxy` and `backend` are indices into the ledger's header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An RPC was due to be sent. It is recorded even if no request could be sent.
    #[serde(rename = "Asked")]
    Arrival {
        /// The RPC.
        rpc: u32,
        /// Its method.
        method: u8,
        /// Its tenant.
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
        /// The RPC that it belongs to.
        rpc: u32,
        /// The proxy that it was sent to.
        proxy: u16,
        /// How long the client waits for the response, in seconds.
        #[serde(rename = "patience")]
        client_timeout: f32,
    },
    /// A client request ended.
    #[serde(rename = "Answered")]
    RequestEnded {
        /// The request.
        #[serde(rename = "attempt")]
        request_id: u64,
        /// Its outcome.
        #[serde(rename = "answer")]
        outcome: RequestOutcome,
    },
    /// A backend process started.
    #[serde(rename = "Born")]
    BackendStarted {
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: u32,
        /// The backend that it belongs to.
        #[serde(rename = "node")]
        backend: u32,
        /// Whether it starts cold, below its full capacity.
        cold: bool,
        /// Its full capacity, in standard cores.
        #[serde(rename = "able")]
        warm_capacity: f32,
    },
    /// A backend process stopped accepting new work.
    #[serde(rename = "Drained")]
    BackendDraining {
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A backend process ended.
    #[serde(rename = "Died")]
    BackendEnded {
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A cold backend process collapsed under overload.
    #[serde(rename = "Fell")]
    BackendCollapsed {
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A backend received a complete attempt.
    #[serde(rename = "Got")]
    AttemptReceived(ReceivedAttempt),
    /// A backend began to execute an attempt, which has its effect from now on.
    #[serde(rename = "Started")]
    ExecutionStarted {
        /// The attempt.
        #[serde(rename = "job")]
        attempt_id: u64,
    },
    /// A backend dropped an attempt as a duplicate: it responds as if the attempt had run, without any effect.
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
    /// The state of an endpoint changed at the discovery service.
    #[serde(rename = "Changed")]
    EndpointChanged {
        /// The backend.
        #[serde(rename = "node")]
        backend: u32,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u32,
        /// Its new state.
        state: EndpointState,
    },
    /// A proxy received the state of an endpoint from the discovery service, or had it when it started.
    #[serde(rename = "Told")]
    ProxyNotified {
        /// The proxy.
        proxy: u16,
        /// The backend.
        #[serde(rename = "node")]
        backend: u32,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u32,
        /// Its state.
        state: EndpointState,
    },
    /// A proxy process started.
    ProxyStarted {
        /// The proxy.
        proxy: u16,
    },
    /// A proxy reported that it is ready.
    ProxyReady {
        /// The proxy.
        proxy: u16,
    },
    /// A proxy process ended.
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
        #[serde(rename = "number")]
        index: u16,
        /// True when it began, false when it ended.
        begins: bool,
    },
    /// An emulated client sent an RPC later than scheduled.
    #[serde(rename = "KitLate")]
    ClientLate {
        /// The delay, in seconds.
        #[serde(rename = "by")]
        delay: f32,
    },
    /// An emulated backend acted later than scheduled.
    #[serde(rename = "StageLate")]
    EmulatorLate {
        /// The delay, in seconds.
        #[serde(rename = "by")]
        delay: f32,
    },
    /// A backend received the timeout that a proxy forwarded with an attempt.
    #[serde(rename = "TimeTold")]
    TimeoutForwarded {
        /// The attempt.
        #[serde(rename = "job")]
        attempt_id: u64,
        /// The timeout, in seconds.
        seconds: f32,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When the event happened, in seconds since the rehearsal began.
    pub at: f64,
    /// The event.
    pub event: Event,
}
