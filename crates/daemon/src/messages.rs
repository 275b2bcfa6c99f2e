//! The events that the other actors send to the decision actor.

use crate::config::update::ConfigUpdate;
use crate::discovery::update::EndpointUpdate;
use crate::downstream::request::ReceivedRpc;
use crate::downstream::request_ids::RequestIdGuard;
use crate::downstream::response::ProxyResponse;
use crate::net::body::StreamedBody;
use crate::net::inbound_stream::ClientLiveness;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::{AttemptOutcome, LoadReport};
use tokio::sync::oneshot;

/// Names one attempt of one RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AttemptId {
    /// The RPC's number.
    pub rpc: u64,
    /// Counts the attempts of the RPC, from 0.
    pub index: usize,
}

/// What happened, for the decision actor.
pub(crate) enum Event {
    /// A client sent an RPC.
    RpcReceived {
        /// The number that the listener gave it.
        id: u64,
        /// The RPC as it was parsed.
        rpc: Box<ReceivedRpc>,
        /// Keeps its `Request-Id` reserved until no attempt of it is out.
        opened: RequestIdGuard,
        /// Whether the client is still connected.
        client: ClientLiveness,
        /// Takes the response.
        answer: oneshot::Sender<ProxyResponse>,
    },
    /// The client of this RPC disconnected before it had its response.
    ClientDisconnected(u64),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: ExchangeResult,
    },
    /// The last byte of a long request was taken to be sent.
    RequestSent {
        /// The attempt that sends it.
        attempt: AttemptId,
    },
    /// A streamed response starts.
    ResponseStarted {
        /// The attempt that brought it.
        attempt: AttemptId,
        /// Its body, for the client.
        body: StreamedBody,
    },
    /// A health check ended.
    HealthChecked {
        /// The backend's number.
        backend: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came with the response.
        report: Option<LoadReport>,
    },
    /// Discovery brought a list or changes of it.
    EndpointsChanged(EndpointUpdate),
    /// A call to the list service failed.
    DiscoveryFailed,
    /// Other settings, in force for all events behind this one in the mailbox.
    SettingsChanged(Box<ConfigUpdate>),
}
