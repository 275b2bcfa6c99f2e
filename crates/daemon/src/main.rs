//! birchhubd: birchhub as a proxy on sockets. Starts the actors, has them follow a new
//! configuration on SIGHUP, and ends them on SIGTERM.
mod clock;
mod config;
mod decision;
mod discovery;
mod downstream;
mod lifecycle;
mod messages;
mod net;
mod upstream;

use crate::clock::{Clock, until};
use crate::config::active::NameTable;
use crate::config::file::{self, CachedEndpoints, Config};
use crate::config::inherited_listener;
use crate::config::reload::{ActiveConfig, Reload};
use crate::decision::actor::{self, DecisionActor};
use crate::discovery::client::DiscoveryClient;
use crate::downstream::listener::Listener;
use crate::downstream::request_parser::RequestParser;
use crate::lifecycle::admin_api::AdminServer;
use crate::lifecycle::siblings::ProcessGroup;
use crate::lifecycle::state_store::{SIBLING_POLL_INTERVAL, StateStore};
use crate::net::socket_budget::{SocketBudget, SocketClass};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::select;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const BACKLOG: u32 = 1024; // connections that wait to be accepted: a burst must not be turned away
// Where lists are pushed, for the agent's first word; one that says nothing learns nothing either.
const AGENT_TIME: Duration = Duration::from_millis(500);
const LEFT_EVERY: Duration = Duration::from_millis(5); // between looks at whether the last client has left

fn main() -> ExitCode {
    let outcome = inherited_listener::take()
        .and_then(|passed| Ok((passed, file::load(CachedEndpoints::Decoded)?)))
        .map_err(|error| error.to_string())
        .and_then(|(passed, config)| {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            // For what stands beside the loop. Guards against memory that each of several threads keeps for itself.
            let runtime = builder.enable_all().max_blocking_threads(1).build();
            let runtime = runtime.map_err(|e| format!("no event loop: {e}"))?;
            LocalSet::new().block_on(&runtime, run(config, passed))
        });
    // Guards against a closing line, and the counts of watching, that go with the process.
    log::logger().flush();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("birchhubd: {fault}");
            ExitCode::from(2)
        }
    }
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart takes its address over at once.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Follows the other processes of this proxy, and keeps to its part of the sockets while they live.
async fn share(budget: Rc<SocketBudget>, standings: Rc<StateStore>) {
    let mut reader = standings.subscribe();
    let divide = async {
        loop {
            let others = reader.borrow_and_update().siblings.alive;
            budget.divide(others + 1);
            if reader
                .wait_for(|now| now.siblings.alive != others)
                .await
                .is_err()
            {
                return;
            }
        }
    };
    tokio::join!(standings.follow_siblings(), divide);
}

/// Accepts clients: at once on an own socket, where health tells what is missing, or else once RPCs can be decided
/// and an older process has made room.
async fn accept(front: Listener, listener: TcpListener, standings: Rc<StateStore>, pushed: bool) {
    let (passed, others) = (
        standings.current().inherited_listener,
        standings.current().siblings.alive,
    );
    if pushed {
        let _ = timeout(AGENT_TIME, standings.subscribe().wait_for(|now| now.ready)).await;
    }
    if passed {
        let _ = standings
            .subscribe()
            .wait_for(|now| now.ready || now.shutdown.is_some())
            .await
            .map(drop);
    }
    if others > 0 {
        sleep(SIBLING_POLL_INTERVAL * 2).await;
    }
    standings.set_accepting();
    Rc::new(front).run(listener).await;
}

#[expect(clippy::too_many_lines)]
async fn run(config: Config, passed: Option<std::net::TcpListener>) -> Result<(), String> {
    let catch = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut term, hup) = (
        catch(SignalKind::terminate())?,
        catch(SignalKind::hangup())?,
    );
    let bound = |at, name| listen(at).map_err(|e| format!("{name} cannot be bound: {at}: {e}"));
    let outlives = passed.is_some();
    let listener = match passed {
        Some(socket) => {
            TcpListener::from_std(socket).map_err(|e| format!("LB_PASSED_SOCKET: {e}"))?
        }
        None => bound(config.listen, "LB_LISTEN")?,
    };
    let management = config
        .management
        .map(|at| bound(at, "LB_MANAGEMENT"))
        .transpose()?;
    birchhub_logging::start();
    if let Some(fault) = &config.cached_endpoints_error {
        log::warn!("known is passed over: {fault}");
    }
    // Only where staff or the platform may have another process of this proxy.
    let shared = (outlives || management.is_some()).then(|| ProcessGroup::open(&config.name));
    let shared = shared.and_then(|shared| {
        shared
            .inspect_err(|fault| log::warn!("nothing is shared with other processes: {fault}"))
            .ok()
    });
    let config = Arc::new(config);
    let names = Rc::new(RefCell::new(Arc::new(NameTable::new(
        0,
        &config.parsed_settings,
    ))));
    let (stand, settings) = watch::channel(ActiveConfig::new(&config.parsed_settings));
    let (clock, budget) = (Clock::start(), SocketBudget::new(config.max_sockets));
    let standings = Rc::new(StateStore::new(shared, outlives));
    spawn_local(share(budget.clone(), standings.clone()));
    if let Some(listener) = management {
        let (standings, settings) = (standings.clone(), settings.clone());
        spawn_local(
            Rc::new(AdminServer {
                state_store: standings,
                settings,
            })
            .run(listener),
        );
    }
    let (sender, mailbox) = mpsc::channel(actor::MAILBOX);
    let wanted = Rc::new(Notify::new());
    let core = DecisionActor::new(
        &config,
        clock,
        budget.clone(),
        sender.clone(),
        wanted.clone(),
        standings.clone(),
        names.clone(),
    );
    spawn_local(core.run(mailbox));
    // A list as last had is enough to decide by; without one the first answer is waited for. Where lists are pushed,
    // what the agent has counts as told from the start on.
    let pushed = !config.parsed_settings.settings.polls_endpoint_list;
    if let Some(known) = config
        .cached_endpoints
        .as_ref()
        .filter(|known| !known.listed.is_empty())
    {
        standings.record_listed_names(known.listed.iter().map(|listed| listed.uid.as_str()));
        let standings = standings.clone();
        spawn_local(async move {
            if pushed {
                sleep(AGENT_TIME).await;
            }
            standings.set_ready();
        });
    }
    let (moves, at) = watch::channel(config.discovery);
    spawn_local(Reload::new(config.clone(), moves, sender.clone(), stand).run(hup));
    let discovery = DiscoveryClient::new(
        at,
        sender.clone(),
        wanted,
        config.cached_endpoints.as_ref().map(|known| known.version),
        pushed,
        standings.clone(),
    );
    spawn_local(discovery.run());
    let front = Listener::new(
        RequestParser::new(names),
        standings.subscribe(),
        budget.clone(),
        sender,
    );
    let accepting = spawn_local(accept(front, listener, standings.clone(), pushed));
    log::info!("{} listens on {}", config.name, config.listen);
    term.recv().await;

    let longest = settings.borrow().longest_deadline;
    standings.begin_shutdown(longest.map_or(Duration::MAX, Duration::from_secs_f64));
    let replaced = standings.current().has_successor();
    let goes_on = if replaced {
        "accepts no more, another process does"
    } else {
        "goes on for what still comes"
    };
    log::info!("SIGTERM: {goes_on}");
    let over = standings.current().exit_deadline();
    let gone = async {
        let _ = accepting.await;
        while budget.open_sockets(SocketClass::Clients) > 0 {
            sleep(LEFT_EVERY).await;
        }
    };
    select! {
        () = gone => {}
        () = until(over) => {}
    }
    log::info!(
        "ends with {} client connections open",
        budget.open_sockets(SocketClass::Clients)
    );
    Ok(())
}
