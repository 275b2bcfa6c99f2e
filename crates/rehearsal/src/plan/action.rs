//! The actions that a plan consists of.
use serde::Serialize;

/// A change that the plan makes to the deployment.
///
/// `number` identifies one stall or one injected fault of a backend, so that the action that ends it names the same one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// Marks the beginning of a fault in the ledger; `fault` is its index in the scenario.
    BeginFault { fault: u16 },
    /// Marks the end of a fault in the ledger.
    EndFault { fault: u16 },
    /// Begins or ends a stall of a backend.
    Stall { node: u32, number: u64, on: bool },
    /// Multiplies the speed of a backend's machine.
    ScaleSpeed { node: u32, factor: f64 },
    /// Multiplies the work of a method on all backends.
    SlowMethod { method: usize, factor: f64 },
    /// Kills a backend's process.
    Crash { node: u32 },
    /// Starts a crashed backend again, with a cold cache.
    Restart { node: u32 },
    /// Announces in the endpoint list that a backend is draining.
    AnnounceDrain { node: u32 },
    /// Makes a draining backend reject new work.
    Drain { node: u32 },
    /// Ends a backend when it is idle, at the latest at `by` (s), and starts `successor` `after` seconds later.
    Retire {
        node: u32,
        by: f64,
        successor: u32,
        after: f64,
    },
    /// Begins or ends a fault at a backend's sockets.
    InjectFault {
        node: u32,
        number: u64,
        fault: BackendFault,
        on: bool,
    },
    /// Adds to the delay of all updates of the discovery service, s; negative to take it back.
    DelayDiscovery { by: f64 },
    /// Makes the discovery service unavailable, or available again.
    SetDiscoveryDown { down: bool },
    /// Freezes the endpoint list that a proxy receives, or releases it.
    SetDiscoveryStale { proxy: u16, stale: bool },
    /// Sends SIGKILL to a proxy.
    KillProxy { proxy: u16 },
    /// Sends SIGTERM to a proxy.
    TerminateProxy { proxy: u16 },
    /// Starts a proxy that was killed or terminated.
    StartProxy { proxy: u16 },
    /// Pauses a proxy with SIGSTOP, or resumes it.
    PauseProxy { proxy: u16, on: bool },
    /// Makes a proxy reload its configuration.
    ReloadProxy { proxy: u16 },
}

impl Action {
    /// Returns whether the action concerns a proxy's process rather than backends or discovery.
    pub fn is_of_proxies(&self) -> bool {
        matches!(
            self,
            Self::KillProxy { .. }
                | Self::TerminateProxy { .. }
                | Self::StartProxy { .. }
                | Self::PauseProxy { .. }
                | Self::ReloadProxy { .. }
        )
    }
}

/// A fault injected at the sockets of a backend; `share` is the fraction of attempts that it affects.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum BackendFault {
    /// Executes the request, then resets the connection.
    ConnectionReset { share: f64 },
    /// Executes the request, then sends half of the response.
    TruncatedResponse { share: f64 },
    /// Executes the request, then sends bytes that are not HTTP.
    MalformedResponse { share: f64 },
    /// Reads the request and never responds.
    NoResponse { share: f64 },
    /// Responds with an error without executing the request.
    ErrorResponse { share: f64 },
    /// Sends the response byte by byte, over `extra_seconds`.
    SlowResponse { share: f64, extra_seconds: f64 },
    /// Drops all traffic between the backend and one proxy, or all proxies.
    Partition { proxy: Option<u16> },
}
