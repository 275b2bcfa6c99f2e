//! Errors of capacity measurements, of stored results and of the generated page.
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

/// The reason for which a measurement ended without a result.
#[derive(Debug, thiserror::Error)]
pub enum MeasurementError {
    /// A file or folder of the run could not be created or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The event loop of a thread could not be started.
    #[error("event loop could not be started: {0}")]
    EventLoop(#[source] io::Error),
    /// The handler of a signal could not be installed.
    #[error("signal handler could not be installed: {0}")]
    SignalHandler(#[source] io::Error),
    /// The run was stopped by a signal.
    #[error("stopped by {signal}: no result is written")]
    Stopped {
        /// The name of the signal.
        signal: &'static str,
    },
    /// A thread could not be started.
    #[error("thread {name} could not be started: {source}")]
    ThreadStart {
        /// The name of the thread.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread ended before it reported its addresses.
    #[error("thread {name} ended before it was ready")]
    ThreadEnded {
        /// The name of the thread.
        name: String,
    },
    /// No listener could be opened on loopback.
    #[error("no listener on loopback for {owner}: {source}")]
    Listener {
        /// What would have listened.
        owner: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The processor clock of a process could not be read.
    #[error("no processor clock of process {pid}: {source}")]
    ProcessorClock {
        /// The process.
        pid: u32,
        /// The error of the operating system.
        source: nix::Error,
    },
    /// The status of a process could not be read.
    #[error("no status of process {pid}: {source}")]
    ProcessStatus {
        /// The process.
        pid: u32,
        /// The error of `/proc`.
        source: procfs::ProcError,
    },
    /// The proxies' program could not be executed.
    #[error("{} can't be started: {source}", program.display())]
    ProxyStart {
        /// The program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A proxy exited before it was ready.
    #[error("{} ended as it started ({status}): {last_log_line}", configuration.display())]
    ProxyExited {
        /// The configuration file of the proxy.
        configuration: PathBuf,
        /// The exit status of the process.
        status: ExitStatus,
        /// The last line of the proxy's log.
        last_log_line: String,
    },
    /// A proxy was not ready in time.
    #[error("{} was not ready within {seconds} s", configuration.display())]
    ProxyNotReady {
        /// The configuration file of the proxy.
        configuration: PathBuf,
        /// The time that was allowed, in seconds.
        seconds: u64,
    },
    /// SIGHUP could not be sent to a proxy.
    #[error("SIGHUP could not be sent to process {pid}: {source}")]
    Reload {
        /// The process of the proxy.
        pid: u32,
        /// The error of the operating system.
        source: nix::Error,
    },
    /// The latency histogram could not be created.
    #[error("latency histogram could not be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The rate of RPCs is no rate of an exponential distribution.
    #[error("{rate} RPCs a second: {source}")]
    RpcRate {
        /// RPCs per second.
        rate: f64,
        /// The error of the distribution.
        source: rand_distr::ExpError,
    },
    /// An RPC was still in flight after all clients had ended.
    #[error("an RPC is still in flight after the clients ended")]
    RpcInFlight,
    /// The task of a group of clients or of a restart panicked or was cancelled.
    #[error("a {task} task failed: {source}")]
    Task {
        /// What the task did.
        task: &'static str,
        /// The error of the runtime.
        source: tokio::task::JoinError,
    },
    /// A method was unknown to a proxy after a restart with a configuration that names it.
    #[error("a changed configuration was not in force after a restart")]
    RestartWithoutEffect,
    /// The settings of the simulated proxies are invalid.
    #[error("settings of the simulated proxies: {0}")]
    Settings(#[from] birchhub_settings::SettingsError),
    /// The thread of the simulated proxies ended.
    #[error("the hollow proxies ended")]
    SimulatedProxiesEnded,
    /// Simulated proxies did not receive a version of the endpoint list in time.
    #[error("{missing} of {count} hollow proxies were not told in time")]
    EndpointListNotReceived {
        /// Proxies without the version.
        missing: u32,
        /// All proxies.
        count: u32,
    },
    /// A point belongs to a series that does not exist.
    #[error(transparent)]
    Series(#[from] SeriesError),
}

/// The reason for which a series gives no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SeriesError {
    /// The report has no series of this name.
    #[error("there is no series {0}")]
    Unknown(String),
    /// The series has points at fewer than two sizes, through which no line can be fitted.
    #[error("{0} has too few points")]
    TooFewPoints(String),
}

/// The reason for which a stored report was not read or written.
#[derive(Debug, thiserror::Error)]
pub enum ReportFileError {
    /// The file could not be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not the JSON of a report.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The error of the parser, with its line.
        source: serde_json::Error,
    },
    /// The file has a form that this version does not read.
    #[error("{}: form is {found}, and only {supported} is read", path.display())]
    UnsupportedForm {
        /// The file.
        path: PathBuf,
        /// The form named in the file, as JSON.
        found: String,
        /// The form that is read.
        supported: u32,
    },
}

/// The reason for which the tables of a page could not be generated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// The page lacks the marker at which a table begins.
    #[error("there is no line {0}")]
    NoBeginMarker(String),
    /// The page lacks the marker at which a table ends, below the marker of its begin.
    #[error("there is no line {0} below its begin")]
    NoEndMarker(String),
    /// An estimate lacks a series.
    #[error(transparent)]
    Series(#[from] SeriesError),
}
