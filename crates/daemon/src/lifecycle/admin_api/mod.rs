//! The admin API: an HTTP server on the second address (`management`) for operators and the platform.
//!
//! A connection carries one call. [`call`] defines the requests, [`response`] the responses.

mod call;
mod response;

use crate::config::active_config::ActiveConfig;
use crate::event_loop::{Peer, PeerId, WorkQueue};
use crate::invariants::Invariants;
use crate::lifecycle::admin_state::AdminCommand;
use crate::lifecycle::state_store::StateStore;
use crate::net::linger::linger;
use crate::net::socket::Socket;
use crate::net::socket_budget::ADMIN_CONNECTIONS;
use call::{AdminCall, AdminPath};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use response::AdminResponse;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Timeout of a call, from accepting its connection to writing its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum size of a request's body, in bytes. No call needs a body, but some clients send one.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Delay before the next `accept` after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Longest time for which a connection stays open after its response, so that a client that still sends can read it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// The server of the admin API.
pub(crate) struct AdminServer {
    /// The state that calls read and change.
    pub state_store: Rc<StateStore>,
    /// The summary of the active configuration, shown by `/settings`.
    pub settings: watch::Receiver<ActiveConfig>,
    /// Counts of violated invariants, shown by `/status`.
    pub invariants: Rc<Invariants>,
    /// Shares the event loop among all peers; its measurements are shown by `/status`.
    pub work: Rc<WorkQueue>,
}

impl AdminServer {
    /// Accepts connections until dropped.
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener) {
        let peer = Peer::new(PeerId::Admin, &self.work);
        let mut connections: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    close_oldest_if_full(&mut connections);
                    let connection = spawn_local(self.clone().serve(stream, peer.clone()));
                    connections.push_back(connection.abort_handle());
                    // One connection in a round of the event loop, however many wait.
                    yield_now().await;
                }
                Err(error) => {
                    log::warn!("accepting an admin connection failed, retrying: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Serves the call of a connection and closes the connection.
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: Rc<Peer>) {
        let service = service_fn(|request: Request<Incoming>| {
            let server = self.clone();
            let peer = peer.clone();
            Box::pin(async move {
                peer.admit_message(0).await;
                Ok::<AdminResponse, Infallible>(server.respond(request).await)
            })
        });
        let stream = Socket::new(stream, peer.clone());
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
        let mut connection = builder.serve_connection(TokioIo::new(stream), service);
        let call = poll_fn(|cx| connection.poll_without_shutdown(cx));
        match timeout(CALL_TIMEOUT, call).await {
            Err(_) => log::debug!("admin call timed out, connection closed"),
            Ok(result) => {
                if let Err(error) = result {
                    log::debug!("admin call failed, connection closed: {error}");
                }
                linger(connection.into_parts().io.into_inner(), LINGER_TIMEOUT).await;
            }
        }
    }

    /// Returns the response to a request.
    async fn respond(&self, request: Request<Incoming>) -> AdminResponse {
        let (head, body) = request.into_parts();
        // The body is read and discarded: closing a connection with unread data resets it, and the response is lost.
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return response::invalid_body();
        }
        let Some(path) = AdminPath::parse(head.uri.path()) else {
            return response::unknown_path();
        };
        if head.method != path.method() {
            return response::method_not_allowed(&path.method());
        }
        match path.with_query(head.uri.query().unwrap_or_default()) {
            Ok(AdminCall::Status) => {
                let event_loop = self.work.monitor().report();
                let state = self.state_store.current();
                response::status(&state, self.invariants.report(), event_loop)
            }
            Ok(AdminCall::Settings) => response::settings(&*self.settings.borrow()),
            Ok(AdminCall::Command(command)) => self.execute(&command).await,
            Err(error) => response::invalid_member(error),
        }
    }

    /// Executes a command, unless it names an endpoint that was never listed.
    async fn execute(&self, command: &AdminCommand) -> AdminResponse {
        if let AdminCommand::EnterMaintenance(name) | AdminCommand::ExitMaintenance(name) = command
            && !self.state_store.knows_name(name)
        {
            return response::unknown_endpoint(name);
        }
        match self.state_store.execute(command).await {
            Ok(()) => response::applied(command, &self.state_store.current()),
            Err(error) => response::applied_here_only(&error),
        }
    }
}

/// Closes the oldest connection if [`ADMIN_CONNECTIONS`] are open. Prevents clients that never complete a call from
/// blocking other clients, which wait for 1 s only.
fn close_oldest_if_full(connections: &mut VecDeque<AbortHandle>) {
    connections.retain(|connection| !connection.is_finished());
    if connections.len() >= ADMIN_CONNECTIONS
        && let Some(oldest) = connections.pop_front()
    {
        oldest.abort();
    }
}
