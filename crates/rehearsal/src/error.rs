//! Errors of running a rehearsal and of reading one back. None of them is a verdict on the proxies.
use birchhub_audit::ledger::LedgerError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Reason why a rehearsal could not be run to its report.
#[derive(Debug, Error)]
pub enum RehearsalError {
    /// The proxies' program does not exist.
    #[error("there is no proxy program at {}; build it, or name it with --proxies", program.display())]
    MissingProgram {
        /// Path at which it was expected.
        program: PathBuf,
    },
    /// A file or folder could not be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The ledger could not be read, or a record could not be written.
    #[error("{}: {source}", path.display())]
    Ledger {
        /// The ledger's file.
        path: PathBuf,
        /// Error of the ledger.
        source: LedgerError,
    },
    /// The header of the ledger could not be written.
    #[error(transparent)]
    LedgerHeader(LedgerError),
    /// An event loop could not be created.
    #[error("no event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// The handlers of SIGINT and SIGTERM could not be installed.
    #[error("no signals: {0}")]
    SignalHandler(#[source] io::Error),
    /// A thread could not be started.
    #[error(transparent)]
    SpawnThread(io::Error),
    /// The clients' threads could not be started.
    #[error("the clients can't start: {0}")]
    SpawnClients(#[source] io::Error),
    /// A thread panicked.
    #[error("{0} failed")]
    ThreadPanicked(RehearsalThread),
    /// The emulated backends or the discovery service could not listen.
    #[error("stand-ins can't listen: {0}")]
    EmulatorListen(#[source] io::Error),
    /// The thread of the environment ended before it was ready.
    #[error("the stage ended at once")]
    EnvironmentNotReady,
    /// The thread of the environment ended while a proxy was to start.
    #[error("the stage has ended")]
    EnvironmentEnded,
    /// A port for a proxy could not be reserved; the error names the address.
    #[error("a port for a proxy: {0}")]
    ReservePorts(#[source] io::Error),
    /// A proxy's process could not be started.
    #[error("{} can't be started: {source}", program.display())]
    SpawnProxy {
        /// The proxies' program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A proxy's process ended before it was ready.
    #[error("{proxy} ended as it started ({}): {last_log_line}", program.display())]
    ProxyEnded {
        /// Name of the proxy.
        proxy: String,
        /// The proxies' program.
        program: PathBuf,
        /// Last line of the proxy's log, or a remark that there is none.
        last_log_line: String,
    },
    /// A proxy did not become ready in time.
    #[error("{proxy} was not ready within {seconds} s")]
    ProxyNotReady {
        /// Name of the proxy.
        proxy: String,
        /// Time that it was given, in seconds.
        seconds: u64,
    },
    /// The first RPC became due before all proxies were ready.
    #[error("the proxies took too long to start: this machine is too busy")]
    StartedTooLate,
}

impl RehearsalError {
    /// Returns a conversion that adds the path to an error of the operating system.
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self + use<> {
        let path = path.to_owned();
        move |source| Self::Io { path, source }
    }

    /// Returns a conversion that adds the path to an error of the ledger.
    pub(crate) fn ledger(path: &Path) -> impl FnOnce(LedgerError) -> Self + use<> {
        let path = path.to_owned();
        move |source| Self::Ledger { path, source }
    }
}

/// Thread of a rehearsal that others wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RehearsalThread {
    /// Writes the ledger.
    Ledger,
    /// Sends the clients' requests, or runs beside them.
    Clients,
    /// Emulates the backends and the discovery service.
    Environment,
}

impl std::fmt::Display for RehearsalThread {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Ledger => "the ledger's thread",
            Self::Clients => "a thread of the clients",
            Self::Environment => "the stage's thread",
        })
    }
}
