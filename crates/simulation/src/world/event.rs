//! Simulated events: what the queue holds, and what reaches a proxy's process.
use super::endpoint_list::ListEntry;
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_audit::Answer;

#[derive(Clone, Debug)]
pub(super) enum SimulationEvent {
    PlannedAct(usize),
    RpcDue(u32),
    SendClientAttempt {
        rpc: u32,
        number: u8,
    },
    AttemptAtProxy {
        attempt: u64,
        proxy: u16,
    },
    ToProcess {
        proxy: u16,
        process: u32,
        event: ProcessEvent,
    },
    AttemptAtBackend {
        job: u64,
        begun: f64,
    },
    BackendDue {
        node: u32,
        version: u64,
    },
    /// The proxy has closed the connection of this pick.
    ConnectionClosed {
        job: u64,
    },
    HealthCheckAtBackend {
        proxy: u16,
        process: u32,
        node: u32,
    },
    AnswerAtClient {
        attempt: u64,
        answer: Answer,
    },
    ClientGivesUp {
        attempt: u64,
    },
    ClientDisconnects {
        attempt: u64,
    },
    PublishEndpoint {
        node: u32,
        list_entry: ListEntry,
    },
    ListCallArrives {
        proxy: u16,
        process: u32,
    },
    /// The list service, which takes only so many calls at a time, has worked on one.
    ListCallServed {
        proxy: u16,
        process: u32,
    },
    RetireBackend {
        node: u32,
        by: f64,
        successor: u32,
        after: f64,
    },
    StartBackend {
        node: u32,
    },
    FrontNoticesStop {
        proxy: u16,
        process: u32,
    },
    StopProxyWhenIdle {
        proxy: u16,
        process: u32,
    },
    StartProxy {
        proxy: u16,
        since: f64,
    },
}

/// What reaches a proxy's process.
#[derive(Clone, Debug)]
pub(super) enum ProcessEvent {
    Timer,
    Deadline(u64),
    ClientDisconnected(u64),
    AttemptEnded {
        job: u64,
        how: AttemptOutcome,
        report: Option<LoadReport>,
    },
    AttemptTimeout {
        job: u64,
    },
    HealthChecked {
        node: u32,
        how: AttemptOutcome,
        report: Option<LoadReport>,
    },
    EndpointUpdate(Vec<(u32, ListEntry)>),
    ListFailed,
}
