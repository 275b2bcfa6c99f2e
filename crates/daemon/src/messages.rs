//! What the other actors tell the decision actor.

use crate::config::reload::ConfigUpdate;
use crate::discovery::update::EndpointUpdate;
use crate::downstream::listener::RequestIdGuard;
use crate::downstream::request::ReceivedRpc;
use crate::downstream::response::ProxyResponse;
use crate::net::body::StreamedBody;
use crate::net::sockets::ClientLiveness;
use birchhub::interface::{AttemptOutcome, LoadReport};
use bytes::Bytes;
use tokio::sync::oneshot;

pub(crate) enum Event {
    RpcReceived {
        id: u64,
        rpc: Box<ReceivedRpc>,
        opened: RequestIdGuard,
        client: ClientLiveness,
        answer: oneshot::Sender<ProxyResponse>,
    },
    ClientDisconnected(u64),
    AttemptEnded {
        rpc: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        body: Bytes,
    },
    /// The last byte of a long request was taken.
    RequestSent {
        rpc: u64,
        attempt: usize,
    },
    /// A long answer begins.
    ResponseStarted {
        rpc: u64,
        attempt: usize,
        flow: StreamedBody,
    },
    HealthChecked {
        backend: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    },
    EndpointsChanged(EndpointUpdate),
    DiscoveryFailed,
    /// Other settings: for all that stands behind this in the mailbox.
    SettingsChanged(Box<ConfigUpdate>),
}
