//! `birchhubd`: a reverse proxy that balances RPCs across HTTP backends. It reloads its configuration on SIGHUP and
//! shuts down gracefully on SIGTERM.
mod clock;
mod config;
mod decision;
mod discovery;
mod downstream;
mod end_reason;
mod event_loop;
mod invariants;
mod lifecycle;
mod log_budget;
mod messages;
mod net;
mod proxy;
mod signals;
mod time_limits;
mod upstream;

use crate::config::active_config::ActiveConfig;
use crate::config::cached_endpoints::CachedEndpoints;
use crate::config::file::{self, CachedEndpointsMode, Config};
use crate::config::inherited_listener;
use crate::lifecycle::listeners::Listeners;
use crate::lifecycle::shutdown;
use crate::lifecycle::start_error::StartError;
use crate::proxy::Proxy;
use crate::signals::Signals;
use std::process::ExitCode;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Exit code of a process that could not start.
const EXIT_START_FAILED: u8 = 2;

/// Number of threads for blocking work off the event loop. Each thread reserves its own memory.
const BLOCKING_THREADS: usize = 1;

fn main() -> ExitCode {
    let result = start();
    // Another thread writes the log: without this, the last lines could be lost.
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("birchhubd: {error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Loads the configuration and runs the proxy until it has shut down.
fn start() -> Result<(), StartError> {
    // The inherited descriptor must be taken before another one is opened, which could get its number.
    let inherited = inherited_listener::take()?;
    let config = file::load(CachedEndpointsMode::Decode)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_THREADS)
        .build()
        .map_err(StartError::EventLoop)?;
    LocalSet::new().block_on(&runtime, run(config, inherited))
}

async fn run(config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), StartError> {
    let signals = Signals::subscribe().map_err(StartError::Signals)?;
    let listeners = Listeners::bind(&config, inherited).await?;
    birchhub_logging::start();
    if let CachedEndpoints::Malformed(error) = &config.cached_endpoints {
        log::warn!("ignoring the cached endpoint list, waiting for discovery: {error}");
    }
    let (active_config, settings) = watch::channel(ActiveConfig::new(&config.parsed_settings));
    let proxy = Proxy::new(config, listeners.inherited);
    proxy.spawn_lifecycle(listeners.admin, &settings);
    let events = proxy.spawn_decision_actor(signals.reload, active_config);
    let accepting = proxy.spawn_listener(listeners.clients, events);
    log::info!(
        "{} listens on {}",
        proxy.config.name,
        proxy.config.client_address
    );
    signals.terminate.received().await;
    let longest_deadline = settings
        .borrow()
        .longest_deadline
        .map(Duration::from_secs_f64);
    shutdown::drain(
        &proxy.state_store,
        longest_deadline,
        accepting,
        &proxy.budget,
    )
    .await;
    proxy.invariants.check_exit();
    log::info!("invariants: {}", proxy.invariants.report());
    Ok(())
}
