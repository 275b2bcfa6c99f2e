//! The events that other actors send to the decision actor.

use crate::config::update::ConfigUpdate;
use crate::discovery::update::EndpointUpdate;
use crate::downstream::request::ReceivedRpc;
use crate::downstream::response::ProxyResponse;
use crate::net::body::StreamedBody;
use crate::net::inbound_stream::ClientLiveness;
use crate::upstream::result::ExchangeResult;
use birchhub::interface::{AttemptOutcome, LoadReport};
use tokio::sync::oneshot;

/// Identifies an attempt of an RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AttemptId {
    /// Id of the RPC.
    pub rpc: u64,
    /// Index of the attempt among those of the RPC, from 0.
    pub index: usize,
}

/// An event that the decision actor handles.
pub(crate) enum Event {
    /// An RPC was received from a client.
    RpcReceived {
        /// Id that the RPC service assigned.
        id: u64,
        /// The parsed RPC.
        rpc: Box<ReceivedRpc>,
        /// Tells whether the client is still connected.
        liveness: ClientLiveness,
        /// Receives the response.
        responder: oneshot::Sender<ProxyResponse>,
    },
    /// The client of the RPC with this id disconnected before it received its response.
    ClientDisconnected(u64),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: ExchangeResult,
    },
    /// The last byte of a streamed request was sent to the backend.
    RequestSent {
        /// The attempt that sends the request.
        attempt: AttemptId,
    },
    /// The head of a streamed response was received.
    ResponseStarted {
        /// The attempt that received the response.
        attempt: AttemptId,
        /// The body of the response.
        body: StreamedBody,
    },
    /// A health check ended.
    HealthChecked {
        /// Id of the backend.
        backend: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came with the response.
        report: Option<LoadReport>,
    },
    /// The discovery client received an update of the endpoint list.
    EndpointsChanged(EndpointUpdate),
    /// A sibling process has handed over its endpoint list.
    EndpointsHandedOver(EndpointUpdate),
    /// A reload has selected another local agent. Later updates are from that one.
    AgentChanged,
    /// A poll of the discovery service failed.
    DiscoveryFailed,
    /// A reload changed the settings. All later events in the mailbox use the new ones.
    SettingsChanged(Box<ConfigUpdate>),
}
