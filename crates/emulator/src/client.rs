//! Emulated clients: a pool of connections to proxies, with one request at a time on each.
mod request;

use crate::clock::Clock;
use crate::event_log::EventLog;
use crate::protocol::RETRY_AFTER;
use crate::wire::{ConnectionState, Message, MessageKind, Peer, ReadError};
use birchhub_audit::{Event, RequestOutcome};
pub use request::{ClientRequest, SlowSend};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::select;
use tokio::time::timeout;

/// Time for which a client keeps reading after its timeout, so that a late response is recorded as late.
const LATE_RESPONSE_SECONDS: f64 = 0.25;
/// Time after a send within which a close by the proxy may have crossed the request on the wire. A restart of a proxy
/// takes longer.
const CROSSED_CLOSE_SECONDS: f64 = 0.005;
/// Timeout for connecting to a proxy, which runs on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The emulated clients of one thread, with a pool of idle connections to each proxy.
pub struct Client {
    event_log: EventLog,
    idle: RefCell<HashMap<SocketAddr, Vec<Peer>>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(event_log: EventLog) -> Self {
        Self {
            event_log,
            idle: RefCell::default(),
        }
    }

    /// Sends a request to the proxy at this address and waits for its outcome. Records both in the event log.
    pub async fn send(&self, request: &ClientRequest, address: SocketAddr) -> RequestOutcome {
        let mut exchange = Exchange {
            client: self,
            request,
            address,
            is_recorded: false,
        };
        let outcome = exchange.run().await;
        self.event_log.record(Event::RequestEnded {
            request_id: request.request_id,
            outcome,
        });
        outcome
    }

    /// Whether an idle connection to this address is open.
    pub fn has_open_connection(&self, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        let peers = idle.get_mut(&address);
        peers.is_some_and(|peers| {
            peers.retain_mut(|peer| peer.state() == ConnectionState::Open);
            !peers.is_empty()
        })
    }

    fn clock(&self) -> &Clock {
        &self.event_log.clock
    }

    /// Takes an open idle connection out of the pool and discards closed ones.
    fn pooled_connection(&self, address: SocketAddr) -> Option<Peer> {
        let mut idle = self.idle.borrow_mut();
        let peers = idle.get_mut(&address)?;
        // A connection that was closed or received bytes while it was idle cannot be reused.
        while let Some(mut peer) = peers.pop() {
            if peer.state() == ConnectionState::Open {
                return Some(peer);
            }
        }
        None
    }
}

/// Result of a request on one connection.
enum ConnectionOutcome {
    /// The outcome of the request; no further connection is tried.
    Final(RequestOutcome),
    /// The proxy closed a pooled connection while the request was written, without reading the request.
    ClosedBeforeRead,
}

/// A request in flight, on a pooled connection, a new connection or first one and then the other.
struct Exchange<'a> {
    client: &'a Client,
    request: &'a ClientRequest,
    address: SocketAddr,
    /// Whether the request was recorded as sent. It is recorded once, even if two connections are used.
    is_recorded: bool,
}

impl Exchange<'_> {
    async fn run(&mut self) -> RequestOutcome {
        if let Some(peer) = self.client.pooled_connection(self.address)
            && let ConnectionOutcome::Final(outcome) = self.send_on(peer, true).await
        {
            return outcome;
        }
        if self.request.needs_open_connection {
            self.record_sent();
            return RequestOutcome::Unreachable;
        }
        let connecting = timeout(CONNECT_TIMEOUT, Peer::connect(self.address));
        let Ok(Ok(peer)) = connecting.await else {
            // If the request was written to a pooled connection first, the proxy ended after that, and whether it had read
            // the request is unknown.
            let outcome = match self.is_recorded {
                true => RequestOutcome::Lost,
                false => RequestOutcome::Unreachable,
            };
            self.record_sent();
            return outcome;
        };
        match self.send_on(peer, false).await {
            ConnectionOutcome::Final(outcome) => outcome,
            ConnectionOutcome::ClosedBeforeRead => RequestOutcome::Lost,
        }
    }

    fn record_sent(&mut self) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        self.client.event_log.record(Event::RequestSent {
            request_id: self.request.request_id,
            rpc: self.request.rpc,
            proxy: self.request.proxy,
            client_timeout: self.request.client_timeout as f32,
        });
    }

    /// Sends all pieces of a slow request except the last, and returns the last piece. For other requests it sends nothing
    /// and returns all bytes.
    async fn send_early_pieces<'b>(&self, peer: &mut Peer, bytes: &'b [u8]) -> &'b [u8] {
        let Some(slow_send) = self.request.slow_send else {
            return bytes;
        };
        let clock = self.client.clock();
        let size = bytes.len().div_ceil(slow_send.pieces.max(1)).max(1);
        let (early, last) = bytes.split_at((bytes.len() - 1) / size * size);
        for piece in early.chunks(size) {
            let _ = peer.write(piece).await;
            let next_piece_at = clock.now() + slow_send.pause_seconds;
            clock.sleep_until(next_piece_at).await;
        }
        last
    }

    /// Sends the request on a connection and reads the response.
    async fn send_on(&mut self, mut peer: Peer, is_pooled: bool) -> ConnectionOutcome {
        let bytes = self.request.encode();
        let last_piece = self.send_early_pieces(&mut peer, &bytes).await;
        // A proxy that closed the connection between the pieces never received the complete request.
        let is_closed = self.request.slow_send.is_some() && peer.state() == ConnectionState::Closed;
        // Recorded before the last bytes are written, so that no attempt at a backend precedes its request in the log.
        self.record_sent();
        if is_closed {
            return ConnectionOutcome::Final(RequestOutcome::Unreachable);
        }
        let sent_at = self.client.clock().now();
        // A write error is reported by the read of the response.
        let _ = peer.write(last_piece).await;
        match self.read_response(&mut peer, sent_at).await {
            Err(outcome) => ConnectionOutcome::Final(outcome),
            Ok(Ok(message)) => ConnectionOutcome::Final(self.finish(peer, &message)),
            Ok(Err(ReadError::Malformed)) => ConnectionOutcome::Final(RequestOutcome::Malformed),
            // The proxy closed an idle connection while the request was sent. A close after CROSSED_CLOSE_SECONDS may come
            // from a proxy that has read the request; then only the client's retry rules decide whether it is sent again.
            Ok(Err(ReadError::Closed | ReadError::Broken))
                if is_pooled
                    && peer.is_buffer_empty()
                    && self.client.clock().now() < sent_at + CROSSED_CLOSE_SECONDS =>
            {
                ConnectionOutcome::ClosedBeforeRead
            }
            Ok(Err(_)) => ConnectionOutcome::Final(RequestOutcome::Lost),
        }
    }

    /// Reads the response. Returns the request's outcome as the error if the client cancels or times out first.
    async fn read_response(
        &self,
        peer: &mut Peer,
        sent_at: f64,
    ) -> Result<Result<Message, ReadError>, RequestOutcome> {
        let clock = self.client.clock();
        let cancel_at = self
            .request
            .cancel_after
            .map_or(f64::INFINITY, |after| sent_at + after);
        let give_up_at = sent_at + self.request.client_timeout + LATE_RESPONSE_SECONDS;
        select! {
            biased;
            read = peer.read(MessageKind::Response, clock) => Ok(read),
            () = clock.sleep_until(give_up_at.min(cancel_at)) => {
                Err(if cancel_at <= give_up_at { RequestOutcome::Cancelled } else { RequestOutcome::TimedOut })
            }
        }
    }

    /// Classifies a response and returns the connection to the pool if it can be reused.
    fn finish(&self, mut peer: Peer, message: &Message) -> RequestOutcome {
        match peer.state() {
            ConnectionState::UnexpectedBytes => return RequestOutcome::Malformed,
            ConnectionState::Open if !message.is_last() => {
                let mut idle = self.client.idle.borrow_mut();
                idle.entry(self.address).or_default().push(peer);
            }
            ConnectionState::Open | ConnectionState::Closed => {}
        }
        classify(self.request, message)
    }
}

/// Classifies a response. The body of a response with status 200 must start with the id of the request.
fn classify(request: &ClientRequest, message: &Message) -> RequestOutcome {
    match message.status {
        200 => {
            let expected = format!("{:016x} ", request.request_id);
            match message.body.starts_with(expected.as_bytes()) {
                true => RequestOutcome::Ok,
                false => RequestOutcome::Malformed,
            }
        }
        429 | 503 => {
            let retry_after = message.header(RETRY_AFTER);
            RequestOutcome::Rejected(retry_after.and_then(|value| value.parse().ok()))
        }
        status => RequestOutcome::Aborted(status),
    }
}
