//! The actions that a plan consists of.
use serde::Serialize;

/// A change that the plan makes to the deployment.
///
/// `number` identifies one stall or one injected fault of a backend, so that the action that ends it names the same one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// Marks the beginning of a fault in the ledger; `fault` is its index in the scenario.
    BeginFault {
        /// Index of the fault in the scenario.
        fault: u16,
    },
    /// Marks the end of a fault in the ledger.
    EndFault {
        /// Index of the fault in the scenario.
        fault: u16,
    },
    /// Begins or ends a stall of a backend.
    Stall {
        /// Index of the backend.
        node: u32,
        /// Number of the stall or injected fault.
        number: u64,
        /// Whether it begins.
        on: bool,
    },
    /// Multiplies the speed of a backend's machine.
    ScaleSpeed {
        /// Index of the backend.
        node: u32,
        /// Factor.
        factor: f64,
    },
    /// Multiplies the work of a method on all backends.
    SlowMethod {
        /// Index of the method.
        method: usize,
        /// Factor.
        factor: f64,
    },
    /// Kills a backend's process.
    Crash {
        /// Index of the backend.
        node: u32,
    },
    /// Starts a crashed backend again, with a cold cache.
    Restart {
        /// Index of the backend.
        node: u32,
    },
    /// Announces in the endpoint list that a backend is draining.
    AnnounceDrain {
        /// Index of the backend.
        node: u32,
    },
    /// Makes a draining backend reject new work.
    Drain {
        /// Index of the backend.
        node: u32,
    },
    /// Ends a backend when it is idle, at the latest at `by` (s), and starts `successor` `after` seconds later.
    Retire {
        /// Index of the backend.
        node: u32,
        /// Latest time of its end, in seconds.
        by: f64,
        /// Index of the successor.
        successor: u32,
        /// Delay of the successor's start, in seconds.
        after: f64,
    },
    /// Begins or ends a fault at a backend's sockets.
    InjectFault {
        /// Index of the backend.
        node: u32,
        /// Number of the stall or injected fault.
        number: u64,
        /// The fault.
        fault: BackendFault,
        /// Whether it begins.
        on: bool,
    },
    /// Adds to the delay of all updates of the discovery service, s; negative to take it back.
    DelayDiscovery {
        /// Additional delay, in seconds.
        by: f64,
    },
    /// Makes the discovery service unavailable, or available again.
    SetDiscoveryDown {
        /// Whether it becomes unavailable.
        down: bool,
    },
    /// Freezes the endpoint list that a proxy receives, or releases it.
    SetDiscoveryStale {
        /// Index of the proxy.
        proxy: u16,
        /// Whether the list is frozen.
        stale: bool,
    },
    /// Sends SIGKILL to a proxy.
    KillProxy {
        /// Index of the proxy.
        proxy: u16,
    },
    /// Sends SIGTERM to a proxy.
    TerminateProxy {
        /// Index of the proxy.
        proxy: u16,
    },
    /// Starts a proxy that was killed or terminated.
    StartProxy {
        /// Index of the proxy.
        proxy: u16,
    },
    /// Pauses a proxy with SIGSTOP, or resumes it.
    PauseProxy {
        /// Index of the proxy.
        proxy: u16,
        /// Whether it is paused, rather than resumed.
        on: bool,
    },
    /// Makes a proxy reload its configuration.
    ReloadProxy {
        /// Index of the proxy.
        proxy: u16,
    },
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
    ConnectionReset {
        /// Fraction of the attempts that it affects.
        share: f64,
    },
    /// Executes the request, then sends half of the response.
    TruncatedResponse {
        /// Fraction of the attempts that it affects.
        share: f64,
    },
    /// Executes the request, then sends bytes that are not HTTP.
    MalformedResponse {
        /// Fraction of the attempts that it affects.
        share: f64,
    },
    /// Reads the request and never responds.
    NoResponse {
        /// Fraction of the attempts that it affects.
        share: f64,
    },
    /// Responds with an error without executing the request.
    ErrorResponse {
        /// Fraction of the attempts that it affects.
        share: f64,
    },
    /// Sends the response byte by byte, over `extra_seconds`.
    SlowResponse {
        /// Fraction of the attempts that it affects.
        share: f64,
        /// Time over which the response is sent.
        extra_seconds: f64,
    },
    /// Drops all traffic between the backend and one proxy, or all proxies.
    Partition {
        /// Index of the proxy; all if absent.
        proxy: Option<u16>,
    },
}
