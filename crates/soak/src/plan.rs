//! The plan of a soak: which faults occur when, and its file.
use crate::error::SoakError;
use birchhub_emulator::relay::NetworkFault;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// What a soak runs. The same plan has the same faults in each run; only the machine's timing differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SoakPlan {
    /// Seed of all random choices of a run.
    pub seed: u64,
    /// Time for which clients send requests, in seconds.
    pub seconds: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// Requests per second of all clients together.
    #[serde(rename = "rate")]
    pub requests_per_second: f64,
    /// Fraction of requests whose client cancels before the response.
    #[serde(rename = "leaving")]
    pub cancelled_fraction: f64,
    /// Fraction of requests that are sent slowly.
    #[serde(rename = "slow")]
    pub slow_fraction: f64,
    /// The faults in the order in which they begin.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

impl SoakPlan {
    /// Reads a plan from a file.
    pub fn read(path: &Path) -> Result<Self, SoakError> {
        let text = std::fs::read_to_string(path).map_err(SoakError::io(path))?;
        Ok(toml::from_str(&text)?)
    }

    /// The plan in the form of its file.
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
    /// When it begins, in seconds.
    #[serde(rename = "at")]
    pub start_seconds: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "lasts")]
    pub duration_seconds: f64,
    /// What happens, and to how many.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What happens, and to how many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Backends stall.
    BackendStall {
        /// How many.
        count: usize,
    },
    /// Backends crash and restart cold at the end.
    BackendCrash {
        /// How many.
        count: usize,
    },
    /// Backends are replaced, two at a time.
    Deploy {
        /// How many.
        count: usize,
    },
    /// Some backends execute a fraction of the requests and reset the connection in place of a response.
    #[serde(rename = "reset-answers")]
    ResetResponses {
        /// How many backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends execute a fraction of the requests and send a truncated or malformed response.
    #[serde(rename = "spoilt-answers")]
    MalformedResponses {
        /// How many backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends never answer a fraction of the requests.
    #[serde(rename = "no-answers")]
    NoResponses {
        /// How many backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends answer a fraction of the requests with an error.
    #[serde(rename = "errors")]
    ErrorResponses {
        /// How many backends.
        count: usize,
        /// Fraction of the requests, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
    },
    /// Some backends are partitioned from all proxies.
    Partition {
        /// How many backends.
        count: usize,
    },
    /// The connections of all proxies to some backends go through a relay that applies a network fault.
    Network {
        /// How many backends.
        count: usize,
        /// The network fault.
        #[serde(rename = "disturbance")]
        fault: NetworkFault,
    },
    /// Discovery resets all connections.
    DiscoveryDown,
    /// Discovery publishes changes late.
    DiscoveryLate {
        /// Delay in seconds.
        #[serde(rename = "by")]
        delay_seconds: f64,
    },
    /// Proxies are killed, one after another, and restarted.
    ProxyKill {
        /// How many.
        count: usize,
    },
    /// Proxies are shut down gracefully, one after another, and restarted.
    ProxyRestart {
        /// How many.
        count: usize,
    },
    /// Proxies are paused for a tenth of a second, again and again.
    ProxyPause {
        /// How many.
        count: usize,
    },
    /// Proxies reload their configuration.
    #[serde(rename = "reload")]
    ProxyReload {
        /// How many.
        count: usize,
    },
    /// System calls of some proxies fail, are interrupted or transfer fewer bytes, by `birchhub-fault-shim`.
    SystemCalls {
        /// How many proxies.
        count: usize,
        /// Faults in the form of the shim without their times, such as `recv=EINTR@0.2`.
        faults: Vec<String>,
    },
    /// The wall clock of some proxies is stepped.
    ClockStep {
        /// How many proxies.
        count: usize,
        /// Size of the step in seconds.
        seconds: i64,
    },
    /// Clients stall within a request and keep the connection open.
    #[serde(rename = "stopped-clients")]
    StalledClients {
        /// How many.
        count: usize,
    },
    /// Clients connect to one proxy and send nothing.
    SilentClients {
        /// How many, all at once.
        count: usize,
    },
}
