//! The plan of a soak: its faults with their times, and its file format.
use crate::error::SoakError;
use birchhub_emulator::relay::NetworkFault;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The plan of a soak. Every run of a plan has the same faults; runs differ only in the machine's timing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SoakPlan {
    /// Seed of all random decisions of a run.
    pub seed: u64,
    /// Duration for which clients send requests, in seconds.
    pub seconds: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// Requests per second, over all clients.
    #[serde(rename = "rate")]
    pub requests_per_second: f64,
    /// Fraction of requests that clients cancel before the response.
    #[serde(rename = "leaving")]
    pub cancelled_fraction: f64,
    /// Fraction of requests that are sent slowly.
    #[serde(rename = "slow")]
    pub slow_fraction: f64,
    /// The faults, ordered by their start.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

impl SoakPlan {
    /// Reads a plan from a file.
    pub fn read(path: &Path) -> Result<Self, SoakError> {
        let text = std::fs::read_to_string(path).map_err(SoakError::io(path))?;
        Ok(toml::from_str(&text)?)
    }

    /// Encodes the plan as the contents of its file.
    pub fn to_text(&self) -> String {
        toml::to_string(self).expect("every plan can be written as TOML")
    }
}

/// A fault of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fault {
    /// Name of the fault, unique in the plan.
    pub name: String,
    /// Start of the fault, in seconds.
    #[serde(rename = "at")]
    pub start_seconds: f64,
    /// Duration of the fault, in seconds.
    #[serde(rename = "lasts")]
    pub duration_seconds: f64,
    /// Kind of the fault and its parameters.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// A kind of fault and its parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Backends stall.
    BackendStall {
        /// Number of backends.
        count: usize,
    },
    /// Backends crash, and restart cold when the fault ends.
    BackendCrash {
        /// Number of backends.
        count: usize,
    },
    /// Backends are replaced, two at a time.
    Deploy {
        /// Number of backends.
        count: usize,
    },
    /// Some backends execute a fraction of the requests and reset the connection instead of a response.
    #[serde(rename = "reset-answers")]
    ResetResponses {
        /// Number of backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends execute a fraction of the requests and send a truncated or malformed response.
    #[serde(rename = "spoilt-answers")]
    MalformedResponses {
        /// Number of backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends never respond to a fraction of the requests.
    #[serde(rename = "no-answers")]
    NoResponses {
        /// Number of backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends respond to a fraction of the requests with an error.
    #[serde(rename = "errors")]
    ErrorResponses {
        /// Number of backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends are partitioned from all proxies.
    Partition {
        /// Number of backends.
        count: usize,
    },
    /// The connections of all proxies to some backends go through a relay that applies a network fault.
    Network {
        /// Number of backends.
        count: usize,
        /// The network fault.
        #[serde(rename = "disturbance")]
        fault: NetworkFault,
    },
    /// Discovery is down and resets all connections.
    DiscoveryDown,
    /// Discovery publishes changes late.
    DiscoveryLate {
        /// Delay in seconds.
        #[serde(rename = "by")]
        delay_seconds: f64,
    },
    /// Proxies are killed, one after another, and restarted.
    ProxyKill {
        /// Number of proxies.
        count: usize,
    },
    /// Proxies are shut down gracefully, one after another, and restarted.
    ProxyRestart {
        /// Number of proxies.
        count: usize,
    },
    /// Proxies are paused repeatedly for a tenth of a second.
    ProxyPause {
        /// Number of proxies.
        count: usize,
    },
    /// Proxies reload their configuration.
    #[serde(rename = "reload")]
    ProxyReload {
        /// Number of proxies.
        count: usize,
    },
    /// System calls of some proxies fail, are interrupted or transfer fewer bytes. Uses `birchhub-fault-shim`.
    SystemCalls {
        /// Number of proxies.
        count: usize,
        /// Faults in the syntax of the shim, without their times, such as `recv=EINTR@0.2`.
        faults: Vec<String>,
    },
    /// The wall clock of some proxies is stepped.
    ClockStep {
        /// Number of proxies.
        count: usize,
        /// Size of the step in seconds.
        seconds: i64,
    },
    /// Clients stall within a request and keep the connection open.
    #[serde(rename = "stopped-clients")]
    StalledClients {
        /// Number of clients.
        count: usize,
    },
    /// Clients of one proxy send health checks at full speed.
    FloodingClients {
        /// Number of connections.
        count: usize,
    },
    /// Clients of one proxy write long requests slowly.
    Crowd {
        /// Number of connections.
        count: usize,
    },
    /// Proxies receive SIGHUP, SIGSTOP, SIGCONT, SIGHUP and SIGTERM in short succession, and are restarted.
    SignalSeries {
        /// Number of proxies.
        count: usize,
    },
    /// Clients connect to one proxy and send nothing.
    SilentClients {
        /// Number of clients, which connect at the same time.
        count: usize,
    },
}
