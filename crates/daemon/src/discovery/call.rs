//! A single HTTP call to the discovery service: its connection, request and response.

use crate::discovery::error::DiscoveryError;
use crate::discovery::timing::{CONNECT_TIMEOUT, MAX_BODY_BYTES};
use crate::discovery::update::EndpointUpdate;
use crate::event_loop::Peer;
use crate::net::body::RequestBody;
use crate::net::connect::ConnectError;
use crate::net::outbound_connection::{BodyBuffering, OutboundConnection};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A call that has not started.
pub(super) struct Call {
    /// Path and query of the request.
    pub path: String,
    /// Whether this is a long poll: the service delays its response until there is a change.
    pub is_long_poll: bool,
    /// Time after which the call counts as timed out and the next one may start.
    pub timeout: Duration,
}

/// The end of a call.
pub(super) struct CallEnd {
    /// The update that was received.
    pub result: Result<EndpointUpdate, DiscoveryError>,
    /// The connection of the call, if it can be used for the next one.
    pub connection: Option<OutboundConnection>,
}

impl From<DiscoveryError> for CallEnd {
    fn from(error: DiscoveryError) -> Self {
        Self {
            result: Err(error),
            connection: None,
        }
    }
}

/// A call in flight. It owns its connection, which is closed when the call is dropped.
pub(super) type PendingCall = Pin<Box<dyn Future<Output = CallEnd>>>;

/// Returns a call to the service at `address`. It uses `connection` if that is still usable, or else a new connection,
/// whose reads are charged to `peer`.
pub(super) fn start_call(
    address: SocketAddr,
    connection: Option<OutboundConnection>,
    path: String,
    peer: Rc<Peer>,
) -> PendingCall {
    Box::pin(async move {
        match connect(address, connection, peer).await {
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
    connection: Option<OutboundConnection>,
    peer: Rc<Peer>,
) -> Result<OutboundConnection, DiscoveryError> {
    if let Some(mut connection) = connection
        && connection.is_usable().await
    {
        return Ok(connection);
    }
    let connect_by = Instant::now() + CONNECT_TIMEOUT;
    let connection = OutboundConnection::open(address, None, connect_by, peer).await;
    connection.map_err(|error| match error {
        ConnectError::TimedOut => DiscoveryError::TimedOut,
        error => DiscoveryError::ConnectFailed(error),
    })
}

async fn exchange(
    connection: &mut OutboundConnection,
    path: &str,
) -> Result<EndpointUpdate, DiscoveryError> {
    let mut request = Request::new(RequestBody::Buffered(Full::default()));
    *request.uri_mut() = path.parse().expect("the path and query are a valid URI");
    let buffering = BodyBuffering::Complete {
        limit: MAX_BODY_BYTES,
    };
    let head = connection.send(request, &Cell::new(false)).await?;
    let response = connection.receive(head, buffering).await?;
    if response.status != StatusCode::OK {
        return Err(DiscoveryError::UnexpectedStatus(response.status));
    }
    let body = serde_json::from_slice(&response.body)?;
    Ok(EndpointUpdate::decode(&body)?)
}
