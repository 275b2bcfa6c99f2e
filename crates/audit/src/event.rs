//! What can happen in a rehearsal. Numbers stand for names; the head of the ledger tells the names.
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a client was told of one try of an RPC, or what it saw instead.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Ok,
    /// Come back after so many seconds, if told.
    #[serde(rename = "PushedBack")]
    Rejected(Option<f32>),
    /// Any other status.
    Aborted(u16),
    /// The connection ended without an answer.
    Lost,
    /// No connection came up, or it was refused: the proxy never had it.
    Unreachable,
    /// The client waited longer than it had said, and nothing came.
    #[serde(rename = "Silence")]
    TimedOut,
    /// The client hung up early, of its own will.
    #[serde(rename = "HungUp")]
    Cancelled,
    /// Bytes behind the answer, or an answer that was none.
    #[serde(rename = "Garbled")]
    Malformed,
}

impl Answer {
    /// Whether it is a final answer of the proxy.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Ok | Self::Rejected(_) | Self::Aborted(_))
    }
}

/// Writes the word of the stored ledger, as `birchhub ledger show` and the report print it.
impl fmt::Display for Answer {
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

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

/// How a node took a pick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    #[serde(rename = "Held")]
    Admitted,
    /// Told the proxy that it never ran: queue full, draining, too many connections.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// Told the proxy nothing: the pick is lost, and for all that the proxy knows it may have run.
    #[serde(rename = "Swallowed")]
    Dropped,
    /// Told the proxy of an error, after no run.
    #[serde(rename = "Error")]
    Failed,
}

/// Writes the word of the stored ledger, as `birchhub ledger show` prints it.
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

/// How a pick left its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Its answer was written.
    Replied,
    /// The proxy closed the connection first.
    #[serde(rename = "Withdrawn")]
    Cancelled,
    /// The node's end of the connection broke: a reset, a spoilt answer, a crash.
    Broken,
}

/// Writes the word of the stored ledger, as `birchhub ledger show` prints it.
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
pub enum End {
    /// Killed by the scenario.
    Killed,
    /// Ended by itself after SIGTERM.
    Stopped,
    /// Killed after SIGTERM, as it would not end.
    Forced,
    /// Ended by itself, unasked.
    Crashed,
    /// The rehearsal is over.
    Over,
}

/// One thing that happened. `request_id` is one request of a client for an RPC (its first or a retry); `incarnation` one run of a backend's process, from its
/// start to its end; `attempt_id` a pick at a node. Times are seconds since the rehearsal began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An RPC was due, whether or not it could be sent.
    #[serde(rename = "Asked")]
    Arrival {
        rpc: u32,
        method: u8,
        tenant: u8,
        #[serde(rename = "within")]
        within_quota: bool,
    },
    /// A client's request: its last byte left at this time.
    #[serde(rename = "Sent")]
    RequestSent {
        #[serde(rename = "attempt")]
        request_id: u64,
        rpc: u32,
        proxy: u16,
        #[serde(rename = "patience")]
        client_timeout: f32,
    },
    #[serde(rename = "Answered")]
    RequestAnswered {
        #[serde(rename = "attempt")]
        request_id: u64,
        answer: Answer,
    },
    /// An incarnation of a node began; `warm_capacity` is what it can do when warm, in standard cores.
    #[serde(rename = "Born")]
    BackendStarted {
        #[serde(rename = "life")]
        incarnation: u32,
        #[serde(rename = "node")]
        backend: u32,
        cold: bool,
        #[serde(rename = "able")]
        warm_capacity: f32,
    },
    #[serde(rename = "Drained")]
    BackendDraining {
        #[serde(rename = "life")]
        incarnation: u32,
    },
    #[serde(rename = "Died")]
    BackendEnded {
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// Pushed over.
    #[serde(rename = "Fell")]
    BackendCollapsed {
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A pick arrived whole; its first byte came at `first_byte_at`. `overload` is how far it pushed a cold node to its fall.
    #[serde(rename = "Got")]
    AttemptReceived {
        #[serde(rename = "life")]
        incarnation: u32,
        #[serde(rename = "job")]
        attempt_id: u64,
        #[serde(rename = "attempt")]
        request_id: u64,
        proxy: u16,
        #[serde(rename = "begun")]
        first_byte_at: f64,
        work: f32,
        #[serde(rename = "pushed")]
        overload: f32,
        #[serde(rename = "taken")]
        admission: Admission,
    },
    #[serde(rename = "Started")]
    ExecutionStarted {
        #[serde(rename = "job")]
        attempt_id: u64,
    },
    /// Dropped as a repeat: answered as done, with no effect.
    #[serde(rename = "Repeated")]
    DuplicateDropped {
        #[serde(rename = "job")]
        attempt_id: u64,
    },
    #[serde(rename = "Finished")]
    ExecutionFinished {
        #[serde(rename = "job")]
        attempt_id: u64,
    },
    #[serde(rename = "Left")]
    AttemptEnded {
        #[serde(rename = "job")]
        attempt_id: u64,
        how: AttemptEnd,
    },
    /// The truth about a node changed and the list service knows.
    #[serde(rename = "Changed")]
    EndpointChanged {
        #[serde(rename = "node")]
        backend: u32,
        #[serde(rename = "life")]
        incarnation: u32,
        state: EndpointState,
    },
    /// The list service wrote it to a proxy, or the proxy started with it.
    #[serde(rename = "Told")]
    ProxyNotified {
        proxy: u16,
        #[serde(rename = "node")]
        backend: u32,
        #[serde(rename = "life")]
        incarnation: u32,
        state: EndpointState,
    },
    /// A proxy's process began, ended, and answered that it is ready.
    ProxyStarted {
        proxy: u16,
    },
    ProxyReady {
        proxy: u16,
    },
    ProxyEnded {
        proxy: u16,
        how: End,
    },
    /// A trouble of the scenario began or ended.
    #[serde(rename = "Trouble")]
    Fault {
        number: u16,
        begins: bool,
    },
    /// The kit itself was late by so much, s: what was due at a time happened later.
    #[serde(rename = "KitLate")]
    ClientLate {
        by: f32,
    },
    /// What was due by itself at a stand-in node happened so much later, s.
    #[serde(rename = "StageLate")]
    EmulatorLate {
        by: f32,
    },
    /// A pick told its node that the proxy waits for so long, s.
    #[serde(rename = "TimeTold")]
    TimeoutForwarded {
        #[serde(rename = "job")]
        attempt_id: u64,
        seconds: f32,
    },
}

/// An event and when it happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: f64,
    pub event: Event,
}
