//! Connections of proxies to the emulated discovery service.
use super::endpoints::{ListCall, ListResponse};
use super::{DiscoveryService, ServiceCapacity};
use crate::wire::{MessageKind, Peer, response};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::SemaphorePermit;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// How the service ends a connection.
enum ConnectionEnd {
    /// The connection is closed.
    Close,
    /// The service is down: the connection is reset.
    Reset,
}

impl From<io::Error> for ConnectionEnd {
    /// Closes a connection after a write error.
    fn from(_: io::Error) -> Self {
        Self::Close
    }
}

impl DiscoveryService {
    /// Accepts the connections of one proxy. Never returns.
    pub(super) async fn accept_connections(self: Rc<Self>, proxy: u16, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.is_down() => Peer::new(stream).reset(),
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve_connection(proxy, Peer::new(stream)));
                }
                Err(error) => {
                    log::warn!("discovery service: accept failed, retrying: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves one connection until it ends.
    async fn serve_connection(self: Rc<Self>, proxy: u16, mut peer: Peer) {
        loop {
            match self.serve_call(proxy, &mut peer).await {
                Ok(()) => {}
                Err(ConnectionEnd::Close) => return,
                Err(ConnectionEnd::Reset) => return peer.reset(),
            }
        }
    }

    /// Reads one call and responds to it.
    async fn serve_call(&self, proxy: u16, peer: &mut Peer) -> Result<(), ConnectionEnd> {
        let clock = self.event_log.clock;
        let message = select! {
            message = peer.read(MessageKind::Request, &clock) => message,
            () = self.wait_until_down() => return Err(ConnectionEnd::Reset),
        };
        let message = message.map_err(|_| ConnectionEnd::Close)?;
        let Some(call) = ListCall::parse(&message) else {
            peer.write(&response(404, &[], b"no such list\n")).await?;
            return Err(ConnectionEnd::Close);
        };
        let capacity = self.capacity.borrow().clone();
        let mut slot = None;
        if let Some(capacity) = &capacity {
            slot = capacity.try_acquire();
            if slot.is_none() {
                return self.reject(peer).await;
            }
        }
        if let Some(since) = call.since {
            if self.with_snapshot(proxy, |list| list.version == since) {
                // A waiting watch uses no capacity, so its slot is released.
                slot = None;
            }
            select! {
                () = self.wait_for_change(proxy, since, call.max_wait) => {}
                () = self.wait_until_down() => return Err(ConnectionEnd::Reset),
                () = peer.closed() => return Err(ConnectionEnd::Close),
            }
        }
        // A version that this service has not issued yet comes from another instance of the service: the response is then
        // the complete list.
        let since = call
            .since
            .filter(|since| self.with_snapshot(proxy, |list| *since <= list.version));
        let response = self.process(proxy, since, capacity.as_ref(), slot).await?;
        self.respond(proxy, peer, since, response).await
    }

    /// Rejects a call for lack of capacity.
    async fn reject(&self, peer: &mut Peer) -> Result<(), ConnectionEnd> {
        self.rejected_calls.set(self.rejected_calls.get() + 1);
        peer.write(&response(503, &[], b"too many calls\n")).await?;
        Ok(())
    }

    /// Prepares the response to a call. If the capacity is limited, this needs a slot and takes processing time.
    async fn process<'a>(
        &self,
        proxy: u16,
        since: Option<u64>,
        capacity: Option<&'a ServiceCapacity>,
        mut slot: Option<SemaphorePermit<'a>>,
    ) -> Result<ListResponse, ConnectionEnd> {
        if let Some(capacity) = capacity {
            if slot.is_none() {
                slot = capacity.acquire().await;
            }
            let endpoints = self.response(proxy, since).notifications.len() as u32;
            select! {
                () = sleep(capacity.processing_time(endpoints)) => {}
                () = self.wait_until_down() => return Err(ConnectionEnd::Reset),
            }
        }
        let response = self.response(proxy, since);
        drop(slot);
        Ok(response)
    }

    /// Writes a response and records the states that it notifies the proxy of.
    async fn respond(
        &self,
        proxy: u16,
        peer: &mut Peer,
        since: Option<u64>,
        list: ListResponse,
    ) -> Result<(), ConnectionEnd> {
        let headers = [("Content-Type", "application/json")];
        let body = list.body.to_string();
        peer.write(&response(200, &headers, body.as_bytes()))
            .await?;
        self.answered_calls.set(self.answered_calls.get() + 1);
        self.record_notifications(proxy, since.is_none(), list.notifications);
        Ok(())
    }

    /// Waits until a fault takes the service down.
    async fn wait_until_down(&self) {
        let mut changed = self.changed.subscribe();
        while !self.is_down() {
            let _ = changed.changed().await;
        }
    }

    /// Waits until the proxy's list has another version than `since`, for at most `max_wait`.
    async fn wait_for_change(&self, proxy: u16, since: u64, max_wait: Duration) {
        let deadline = Instant::now() + max_wait;
        let mut changed = self.changed.subscribe();
        while self.with_snapshot(proxy, |list| list.version == since) {
            select! {
                _ = changed.changed() => {}
                () = sleep_until(deadline) => return,
            }
        }
    }
}
