//! One call to the discovery service: its connection, its request and the update that answers it.

use crate::discovery::error::DiscoveryError;
use crate::discovery::timing::{CONNECT_TIMEOUT, MAX_BODY};
use crate::discovery::update::EndpointUpdate;
use crate::net::body::RequestBody;
use crate::net::connect::ConnectError;
use crate::net::connection::{Connection, ConnectionError};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// A call to be made.
pub(super) struct Call {
    /// Path and query.
    pub path: String,
    /// It waits at the service until there is something new.
    pub is_watch: bool,
    /// Time to wait for its response before the next call is made.
    pub timeout: Duration,
}

/// How a call ended, and its connection, if that can be used for the next.
pub(super) struct CallEnd {
    /// What it brought.
    pub result: Result<EndpointUpdate, DiscoveryError>,
    /// The connection it was made on.
    pub connection: Option<Connection>,
}

impl From<DiscoveryError> for CallEnd {
    fn from(error: DiscoveryError) -> Self {
        Self {
            result: Err(error),
            connection: None,
        }
    }
}

/// A call under way. It owns its connection, which is closed when this is dropped.
pub(super) type PendingCall = Pin<Box<dyn Future<Output = CallEnd>>>;

/// Calls under way that had no response in time, at most.
const OVERDUE_CALLS: usize = 2;

/// Calls that had no response in time and are still under way, the earliest first. A crowded service works through its
/// calls in turn: one that is given up and made again has lost its turn, and the service answers it all the same.
#[derive(Default)]
pub(super) struct OverdueCalls(VecDeque<PendingCall>);

impl OverdueCalls {
    /// Keeps one more, instead of the earliest where there are too many: its connection may have fallen silent.
    pub(super) fn push(&mut self, call: PendingCall) {
        if self.0.len() == OVERDUE_CALLS {
            self.0.pop_front();
        }
        self.0.push_back(call);
    }

    /// Gives all of them up.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Waits until one of them brings an update; those that fail instead are dropped.
    pub(super) async fn next_update(&mut self) -> (EndpointUpdate, Option<Connection>) {
        poll_fn(|cx| {
            let mut update = None;
            self.0.retain_mut(|call| match call.as_mut().poll(cx) {
                _ if update.is_some() => true,
                Poll::Pending => true,
                Poll::Ready(end) => {
                    update = end.result.ok().map(|update| (update, end.connection));
                    false
                }
            });
            update.map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}

/// Makes a call to the service at `address`, on the connection at hand if that can be used, else on a new one.
pub(super) fn make_call(
    address: SocketAddr,
    connection: Option<Connection>,
    path: String,
) -> PendingCall {
    Box::pin(async move {
        match connect(address, connection).await {
            Ok(mut connection) => {
                let result = exchange(&mut connection, &path).await;
                CallEnd {
                    result,
                    connection: Some(connection),
                }
            }
            Err(error) => error.into(),
        }
    })
}

async fn connect(
    address: SocketAddr,
    connection: Option<Connection>,
) -> Result<Connection, DiscoveryError> {
    if let Some(mut connection) = connection
        && connection.is_usable().await
    {
        return Ok(connection);
    }
    let connect_by = Instant::now() + CONNECT_TIMEOUT;
    let connection = Connection::open(address, None, connect_by).await;
    connection.map_err(|error| match error {
        ConnectError::TimedOut => DiscoveryError::TimedOut,
        error => DiscoveryError::NoConnection(error),
    })
}

async fn exchange(
    connection: &mut Connection,
    path: &str,
) -> Result<EndpointUpdate, DiscoveryError> {
    let mut request = Request::new(RequestBody::Buffered(Full::default()));
    *request.uri_mut() = path.parse().expect("a path of letters and digits");
    let response = connection
        .exchange(request, MAX_BODY, false, &Cell::new(false))
        .await
        .map_err(|error| match error {
            ConnectionError::MalformedResponse => DiscoveryError::Truncated,
            error => DiscoveryError::ConnectionFailed(error),
        })?;
    if response.status != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status));
    }
    Ok(EndpointUpdate::decode(&serde_json::from_slice(
        &response.body,
    )?)?)
}
