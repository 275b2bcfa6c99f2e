//! Names and codes of the simulator's protocol. Nothing outside this module spells them.

use birchhub::interface::{AttemptOutcome, EndpointUpdateKind, Readiness};

/// Messages from the simulator.
pub(crate) mod message {
    pub(crate) const BATCH_START: &str = "BATCH";
    pub(crate) const BATCH_END: &str = "FLUSH";
    pub(crate) const ENDPOINT_LIST: &str = "TABLE";
    /// First field of each entry of an endpoint list.
    pub(crate) const ENDPOINT_LIST_ENTRY: &str = "M";
    pub(crate) const PROXY_START: &str = "INIT";
    pub(crate) const PROXY_END: &str = "KILLED";
    pub(crate) const ENDPOINT_UPDATE: &str = "TOPOLOGY";
    pub(crate) const RPC: &str = "ORDER";
    pub(crate) const ATTEMPT_END: &str = "REPORT_BACK";
    pub(crate) const RESPONSE_START: &str = "BEGUN";
    pub(crate) const CLIENT_DISCONNECT: &str = "HANGUP";
    pub(crate) const TIMER: &str = "TIMEOUT_FIRED";
    pub(crate) const HEALTH_CHECK_END: &str = "HEALTH_RESULT";
    /// Traffic of other proxies, which the decisions don't use.
    pub(crate) const OVERHEARD: &str = "HEARD";
}

/// Messages to the simulator.
pub(crate) mod command {
    pub(crate) const BATCH_ANSWERED: &str = "YIELD";
    pub(crate) const PROXY_PANICKED: &str = "DIE";
    pub(crate) const START_ATTEMPT: &str = "PLACE";
    pub(crate) const CANCEL_ATTEMPT: &str = "ABORT_ATTEMPT";
    pub(crate) const REJECT: &str = "PUSH_BACK";
    pub(crate) const FAIL: &str = "END_FAILED";
    pub(crate) const HEALTH_CHECK: &str = "PROBE";
    pub(crate) const WATCH_ENDPOINTS: &str = "WATCH";
    pub(crate) const SCHEDULE_TIMER: &str = "SET_ALARM";
}

/// Fields of messages, as errors name them.
pub(crate) mod field {
    pub(crate) const MESSAGE_NAME: &str = "the message name";
    pub(crate) const CLOCK: &str = "at-time-ns";
    pub(crate) const BATCH_SERIAL: &str = "serial";
    pub(crate) const LIST_NUMBER: &str = "bank";
    pub(crate) const LIST_LENGTH: &str = "nodes-list";
    pub(crate) const PROXY: &str = "proxy-id";
    pub(crate) const SEED: &str = "entropy";
    pub(crate) const SETTINGS: &str = "conf";
    pub(crate) const GENERATION: &str = "generation";
    pub(crate) const RPC: &str = "tid";
    pub(crate) const METHOD: &str = "profile";
    pub(crate) const TENANT: &str = "user-group";
    pub(crate) const KEY: &str = "entity";
    pub(crate) const DEADLINE: &str = "expires-ns";
    pub(crate) const EXPECTED_WORK: &str = "cost-guess-ns";
    pub(crate) const OPTIONS: &str = "opts";
    pub(crate) const ATTEMPT: &str = "n";
    pub(crate) const BACKEND: &str = "backend";
    pub(crate) const DURATION: &str = "elapsed-ns";
    pub(crate) const IS_ANSWERED: &str = "over";
    pub(crate) const TIMER: &str = "token";
    pub(crate) const OUTCOME: &str = "state-code";
    pub(crate) const LOAD_REPORT: &str = "metrics";
    pub(crate) const MACHINE_TYPE: &str = "sku";
    pub(crate) const RELATIVE_SIZE: &str = "scale";
    pub(crate) const STARTED_AT: &str = "online-since-ns";
    pub(crate) const CELL: &str = "block";
    pub(crate) const ZONE: &str = "campus";
    pub(crate) const READINESS: &str = "readiness";
    pub(crate) const UPDATE_KIND: &str = "kind";
}

/// Mark of an absent value in a field.
pub(crate) const ABSENT: &str = "-";
/// Value of [`field::TENANT`] of an RPC without one, beside the empty one.
pub(crate) const NO_TENANT: &str = "0";
/// In [`field::OPTIONS`]: the client stated the expected work of the RPC.
pub(crate) const HAS_EXPECTED_WORK: u64 = 1;
/// In [`field::OPTIONS`]: the client has sent the RPC before.
pub(crate) const IS_CLIENT_RETRY: u64 = 2;

/// Bits of the number of an endpoint list.
pub(crate) const LIST_NUMBER_BITS: u32 = 4;
/// Bits of the id of an RPC.
pub(crate) const RPC_BITS: u32 = 52;
/// Bits of the number of a timer.
pub(crate) const TIMER_BITS: u32 = 63;
/// Longest timer that the protocol takes, in seconds.
pub(crate) const MAX_TIMER_SECONDS: f64 = 4000.0;
/// Times of the protocol are in nanoseconds.
pub(crate) const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// What an endpoint update brings.
pub(crate) enum EndpointUpdate {
    /// An endpoint list of this kind.
    List(EndpointUpdateKind),
    /// Nothing: the call to discovery failed.
    Failed,
}

/// Returns the outcome with this code.
pub(crate) fn outcome(code: u32) -> Option<AttemptOutcome> {
    Some(match code {
        0 => AttemptOutcome::Succeeded,
        255 => AttemptOutcome::Failed,
        254 => AttemptOutcome::Rejected,
        253 => AttemptOutcome::TimedOut,
        252 => AttemptOutcome::ConnectFailed,
        251 => AttemptOutcome::Reset,
        250 => AttemptOutcome::Cancelled,
        249 => AttemptOutcome::NotSent,
        _ => return None,
    })
}

/// Returns the readiness with this name.
pub(crate) fn readiness(name: &str) -> Option<Readiness> {
    Some(match name {
        "IN" => Readiness::Ready,
        "LAME" => Readiness::Draining,
        "OUT" => Readiness::Removed,
        _ => return None,
    })
}

/// Returns the kind of endpoint update with this name.
pub(crate) fn update_kind(name: &str) -> Option<EndpointUpdate> {
    Some(match name {
        "patch" => EndpointUpdate::List(EndpointUpdateKind::Incremental),
        "whole" => EndpointUpdate::List(EndpointUpdateKind::Snapshot),
        "stale_copy" => EndpointUpdate::List(EndpointUpdateKind::StaleSnapshot),
        "broken" => EndpointUpdate::Failed,
        _ => return None,
    })
}
