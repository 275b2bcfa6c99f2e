//! Simulated events: what the queue holds, and what a proxy's process receives.
use super::backends::Retirement;
use super::endpoint_list::ListEntry;
use super::process::ProcessId;
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_audit::Answer;

/// An event in the queue. `request_id` is the ledger's number of a client's request, `attempt_id` that of a proxy's attempt at a
/// backend, and `node` the index of a machine.
#[derive(Clone, Debug)]
pub(super) enum SimulationEvent {
    /// The act with this index in the plan is due.
    PlannedAct(usize),
    /// An RPC of the plan begins at its client.
    RpcDue(u32),
    /// A client retries an RPC.
    SendClientRequest { rpc: u32, number: u8 },
    /// A client's request arrives at a proxy.
    RequestAtProxy { request_id: u64, proxy: u16 },
    /// A process receives an event, unless it has ended by then.
    ToProcess {
        process: ProcessId,
        event: ProcessEvent,
    },
    /// A proxy's attempt arrives at its backend; its connection was opened at `first_byte_at`.
    AttemptAtBackend { attempt_id: u64, first_byte_at: f64 },
    /// A backend's own next event is due, unless the machine has had a later version since.
    BackendDue { node: u32, version: u64 },
    /// The backend learns that the proxy has closed the connection of this attempt.
    ConnectionClosed { attempt_id: u64 },
    /// A proxy's health check arrives at a machine.
    HealthCheckAtBackend { process: ProcessId, node: u32 },
    /// An answer arrives at the client.
    AnswerAtClient { request_id: u64, answer: Answer },
    /// The client no longer waits for this request.
    ClientGivesUp { request_id: u64 },
    /// The client closes its connection before it has an answer.
    ClientDisconnects { request_id: u64 },
    /// The endpoint list service learns of a change.
    PublishEndpoint { node: u32, list_entry: ListEntry },
    /// A proxy's call arrives at the endpoint list service.
    ListCallArrives(ProcessId),
    /// The endpoint list service, which serves a limited number of calls at a time, has worked on one.
    ListCallServed(ProcessId),
    /// A machine may be idle, and then its backend is replaced.
    RetireBackend(Retirement),
    /// A backend starts cold on a machine without one.
    StartBackend { node: u32 },
    /// The layer before the proxies notices that a process stops or has ended.
    FrontNoticesStop(ProcessId),
    /// A process that is to stop may have no RPC left.
    StopProxyWhenIdle(ProcessId),
    /// A proxy that was to start at `since` starts once its earlier process has ended.
    StartProxy { proxy: u16, since: f64 },
}

/// What a proxy's process receives.
#[derive(Clone, Debug)]
pub(super) enum ProcessEvent {
    /// A timer of the decision module fires.
    Timer,
    /// The deadline of a client's request has passed.
    Deadline(u64),
    /// The client of an attempt has closed its connection.
    ClientDisconnected(u64),
    /// An attempt at a backend has its outcome.
    AttemptEnded {
        attempt_id: u64,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    },
    /// The time for an attempt at a backend has passed.
    AttemptTimeout { attempt_id: u64 },
    /// A health check has its outcome.
    HealthChecked {
        node: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    },
    /// The endpoint list service sends changed entries, by machine.
    EndpointUpdate(Vec<(u32, ListEntry)>),
    /// A call to the endpoint list service has failed.
    ListFailed,
}
