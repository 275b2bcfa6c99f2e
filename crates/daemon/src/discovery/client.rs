//! The task of the discovery client, which determines when the endpoint list is watched.
//!
//! It has one connection with one poll in flight, and after timeouts a few overdue polls on connections of their own.

use crate::discovery::LOG_TARGET;
use crate::discovery::error::DiscoveryError;
use crate::discovery::poller::Poller;
use crate::discovery::source::DiscoverySource;
use crate::discovery::timing::{AGENT_RETRY_INTERVAL, OUTAGE_LOG_INTERVAL};
use crate::discovery::watch::{DecisionActorEnded, EndpointWatch, WatchEnd};
use crate::event_loop::WorkQueue;
use crate::lifecycle::state_store::StateStore;
use crate::messages::Event;
use crate::net::outbound_connection::OutboundConnection;
use std::future::ready;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::select;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep};

/// The parts of the process that the discovery client uses.
pub(crate) struct DiscoveryContext {
    /// Address of the discovery service, which a reload may change.
    pub address: watch::Receiver<SocketAddr>,
    /// Mailbox of the decision actor.
    pub decision_actor: mpsc::Sender<Event>,
    /// Notified when the balancer requests a watch.
    pub watch_requested: Rc<Notify>,
    /// Version of the cached endpoint list.
    pub cached_version: Option<u64>,
    /// Kind of the discovery service.
    pub source: DiscoverySource,
    /// Shares the event loop among all peers.
    pub work: Rc<WorkQueue>,
    /// The state of the process.
    pub state_store: Rc<StateStore>,
}

/// Watches the endpoint list: that of a central service when the balancer requests it, that of a local agent always.
pub(crate) struct DiscoveryClient {
    address: watch::Receiver<SocketAddr>,
    source: DiscoverySource,
    watch_requested: Rc<Notify>,
    watch: EndpointWatch,
    /// Time of the last log line about an outage of a local agent.
    outage_logged_at: Option<Instant>,
}

impl DiscoveryClient {
    /// Creates a client that knows the cached endpoint list.
    pub(crate) fn new(context: DiscoveryContext) -> Self {
        let poller = Poller::new(
            context.address.clone(),
            context.source,
            context.cached_version,
            &context.work,
        );
        Self {
            address: context.address,
            source: context.source,
            watch_requested: context.watch_requested,
            watch: EndpointWatch {
                poller,
                source: context.source,
                decision_actor: context.decision_actor,
                state_store: context.state_store,
            },
            outage_logged_at: None,
        }
    }

    /// Watches the endpoint list until the decision actor has ended.
    pub(crate) async fn run(mut self) {
        let mut starts_at_once = self.is_local_agent();
        while let Ok(end) = self.watch_once(starts_at_once).await {
            let address_changed = matches!(end, WatchEnd::AddressChanged);
            starts_at_once = self.is_local_agent() || address_changed;
            if self.handle_end(end).await.is_err() {
                return;
            }
        }
    }

    fn is_local_agent(&self) -> bool {
        self.source == DiscoverySource::LocalAgent
    }

    /// Runs one watch, which starts at once or else when the balancer requests it.
    async fn watch_once(&mut self, starts_at_once: bool) -> Result<WatchEnd, DecisionActorEnded> {
        let connection = if starts_at_once {
            None
        } else {
            self.wait_for_start().await?
        };
        Ok(select! {
            biased;
            Ok(()) = self.address.changed() => WatchEnd::AddressChanged,
            end = self.watch.run(connection) => end,
        })
    }

    /// Waits until the balancer requests a watch, the address changes, or an overdue poll receives an update. Returns
    /// the connection of that overdue poll, on which the watch continues.
    async fn wait_for_start(&mut self) -> Result<Option<OutboundConnection>, DecisionActorEnded> {
        select! {
            () = self.watch_requested.notified() => Ok(None),
            Ok(()) = self.address.changed() => {
                self.watch.poller.reset();
                Ok(None)
            }
            late = self.watch.poller.next_late_update() => self.watch.accept_late(late).await,
        }
    }

    async fn handle_end(&mut self, end: WatchEnd) -> Result<(), DecisionActorEnded> {
        match end {
            WatchEnd::AddressChanged => self.handle_address_change().await,
            WatchEnd::Failed(error) => self.handle_failure(&error).await,
            WatchEnd::DecisionActorEnded => Err(DecisionActorEnded),
        }
    }

    async fn handle_address_change(&mut self) -> Result<(), DecisionActorEnded> {
        self.watch.poller.reset();
        if self.is_local_agent() {
            self.watch.report_agent_change().await?;
        }
        Ok(())
    }

    async fn handle_failure(&mut self, error: &DiscoveryError) -> Result<(), DecisionActorEnded> {
        self.log_failure(error);
        self.discard_pending_request().await;
        self.watch.report_failure().await?;
        if self.is_local_agent() {
            sleep(AGENT_RETRY_INTERVAL).await;
        }
        Ok(())
    }

    /// Logs a failed poll. Limits the rate of log lines about a local agent, which is polled without a backoff.
    fn log_failure(&mut self, error: &DiscoveryError) {
        let is_due = self
            .outage_logged_at
            .is_none_or(|at| at.elapsed() > OUTAGE_LOG_INTERVAL);
        if !is_due {
            return;
        }
        log::warn!(
            target: LOG_TARGET,
            "discovery poll failed, keeping the last endpoint list: {error}"
        );
        if self.is_local_agent() {
            self.outage_logged_at = Some(Instant::now());
        }
    }

    /// Discards a request that the balancer made during the watch. Prevents the next watch from starting without the
    /// balancer's backoff.
    async fn discard_pending_request(&self) {
        select! {
            biased;
            () = self.watch_requested.notified() => {}
            () = ready(()) => {}
        }
    }
}
