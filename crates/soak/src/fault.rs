//! A plan: what befalls whom, and when.
use birchhub_emulator::relay::Disturbance;
use serde::{Deserialize, Serialize};

/// What a soak plays. The same plan plays the same faults again; only the machine's own timing differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SoakPlan {
    /// All else that is left to chance is drawn from this.
    pub seed: u64,
    /// Time over which requests come, s.
    pub seconds: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// Requests a second, of all clients together.
    pub rate: f64,
    /// Of the requests, the fraction whose client hangs up early.
    pub leaving: f64,
    /// Of the requests, the fraction that is sent slowly.
    pub slow: f64,
    /// The faults, in the order in which they begin.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fault {
    /// Its name; no two faults have the same.
    pub name: String,
    /// When it begins, s.
    pub at: f64,
    /// How long it lasts, s.
    pub lasts: f64,
    /// What happens.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What happens, and to how many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Backends stand still.
    BackendStall {
        /// How many.
        count: usize,
    },
    /// Backends die, and are back, cold, at the end.
    BackendCrash {
        /// How many.
        count: usize,
    },
    /// Backends are replaced, two at a time.
    Deploy {
        /// How many.
        count: usize,
    },
    /// A fraction of the requests at some backends runs, and the connection is reset.
    ResetAnswers {
        /// How many backends.
        count: usize,
        /// The fraction.
        share: f64,
    },
    /// A fraction of the requests at some backends runs, and half of an answer comes, or none that can be read.
    SpoiltAnswers {
        /// How many backends.
        count: usize,
        /// The fraction.
        share: f64,
    },
    /// A fraction of the requests at some backends is never answered.
    NoAnswers {
        /// How many backends.
        count: usize,
        /// The fraction.
        share: f64,
    },
    /// A fraction of the requests at some backends is answered with an error.
    Errors {
        /// How many backends.
        count: usize,
        /// The fraction.
        share: f64,
    },
    /// Backends and proxies don't hear each other.
    Partition {
        /// How many backends.
        count: usize,
    },
    /// The connections of all proxies to some backends are disturbed.
    Network {
        /// How many backends.
        count: usize,
        /// How.
        disturbance: Disturbance,
    },
    /// Discovery fails every call.
    DiscoveryDown,
    /// Discovery tells everything so many seconds later.
    DiscoveryLate {
        /// Seconds.
        by: f64,
    },
    /// Proxies are killed, one after another, and started again.
    ProxyKill {
        /// How many.
        count: usize,
    },
    /// Proxies are told to end, one after another, and started again.
    ProxyRestart {
        /// How many.
        count: usize,
    },
    /// Proxies are stopped for a tenth of a second, again and again.
    ProxyPause {
        /// How many.
        count: usize,
    },
    /// Proxies read their configuration again.
    Reload {
        /// How many.
        count: usize,
    },
    /// Some system calls of some proxies fail, are interrupted or short, as `birchhub-fault-shim` reads it.
    SystemCalls {
        /// How many proxies.
        count: usize,
        /// Such as `recv=EINTR@0.2`; the times are added.
        faults: Vec<String>,
    },
    /// The wall clock of some proxies is off.
    ClockStep {
        /// How many proxies.
        count: usize,
        /// By so many seconds.
        seconds: i64,
    },
    /// Clients stop in the middle of a request and stay.
    StoppedClients {
        /// How many.
        count: usize,
    },
    /// Clients connect and say nothing.
    SilentClients {
        /// How many, at one moment.
        count: usize,
    },
}
