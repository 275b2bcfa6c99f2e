//! Events of the simulation, and events for a proxy's process.
use super::endpoint_list::ListEntry;
use super::process::ProcessId;
use super::retirement::Retirement;
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_audit::RequestOutcome;

/// An event in the queue. `request_id` identifies a client's request, `attempt_id` a proxy's attempt at a backend, and `node`
/// is the index of a machine.
#[derive(Clone, Debug)]
pub(super) enum SimulationEvent {
    /// The planned action with this index is due.
    PlannedAction(usize),
    /// A planned RPC is due at its client.
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
    /// A proxy's attempt is delivered to its machine, where its first byte arrived at `first_byte_at`.
    AttemptAtBackend { attempt_id: u64, first_byte_at: f64 },
    /// A backend's next event is due, unless it was superseded by a later version.
    BackendDue { node: u32, version: u64 },
    /// The backend learns that the proxy has closed the connection of this attempt.
    ConnectionClosed { attempt_id: u64 },
    /// A proxy's health check arrives at a machine.
    HealthCheckAtBackend { process: ProcessId, node: u32 },
    /// A response arrives at the client.
    ResponseAtClient {
        request_id: u64,
        outcome: RequestOutcome,
    },
    /// The client's timeout for this request, with its grace time, has passed.
    ClientTimeout { request_id: u64 },
    /// The client closes its connection before it has a response.
    ClientDisconnects { request_id: u64 },
    /// The endpoint list service learns of a change.
    PublishEndpoint { node: u32, list_entry: ListEntry },
    /// A proxy's call arrives at the endpoint list service.
    ListCallArrives(ProcessId),
    /// The endpoint list service has finished a call. Only a service with a limit of concurrent calls takes time for one.
    ListCallServed(ProcessId),
    /// A backend that is to be replaced is checked for being idle.
    RetireBackend(Retirement),
    /// A backend starts cold on a machine without one.
    StartBackend { node: u32 },
    /// The load balancer in front of the proxies detects that a process drains or has ended.
    LoadBalancerNoticesStop(ProcessId),
    /// A draining process is checked for RPCs in flight.
    StopProxyWhenIdle(ProcessId),
    /// A proxy whose start was due at `since` starts once its earlier process has ended.
    StartProxy { proxy: u16, since: f64 },
}

/// An event for a proxy's process.
#[derive(Clone, Debug)]
pub(super) enum ProcessEvent {
    /// The decisions' timer fires.
    Timer,
    /// The deadline of a client's request has passed.
    Deadline(u64),
    /// The client of a request has closed its connection.
    ClientDisconnected(u64),
    /// An attempt at a backend has ended.
    AttemptEnded {
        attempt_id: u64,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    },
    /// The timeout of an attempt at a backend has passed.
    AttemptTimeout { attempt_id: u64 },
    /// A health check has ended.
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
