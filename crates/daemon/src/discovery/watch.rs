//! The watch: consecutive polls, each of which delivers its update to the decision actor.

use crate::discovery::LOG_TARGET;
use crate::discovery::error::DiscoveryError;
use crate::discovery::overdue::LateUpdate;
use crate::discovery::poller::{PollMode, Poller};
use crate::discovery::source::DiscoverySource;
use crate::discovery::timing::MIN_CALL_INTERVAL;
use crate::discovery::update::EndpointUpdate;
use crate::lifecycle::state_store::StateStore;
use crate::messages::Event;
use crate::net::outbound_connection::OutboundConnection;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Watches the endpoint list.
pub(super) struct EndpointWatch {
    /// Makes the polls.
    pub(super) poller: Poller,
    /// Kind of the discovery service.
    pub(super) source: DiscoverySource,
    /// Mailbox of the decision actor.
    pub(super) decisions: mpsc::Sender<Event>,
    /// Receives the listed names, and that the process is ready.
    pub(super) state_store: Rc<StateStore>,
}

/// The decision actor has ended, and discovery ends with it.
pub(super) struct DecisionActorEnded;

/// The reason why a watch ended.
pub(super) enum WatchEnd {
    /// The address of the discovery service has changed.
    AddressChanged,
    /// A poll and its immediate retries failed.
    Failed(DiscoveryError),
    /// See [`DecisionActorEnded`].
    DecisionActorEnded,
}

impl EndpointWatch {
    /// Polls until a poll and its immediate retries fail, or the decision actor ends. The first poll uses `connection` if there is one.
    pub(super) async fn run(&mut self, mut connection: Option<OutboundConnection>) -> WatchEnd {
        let mut mode = self.poller.initial_mode();
        let mut retries = 0;
        loop {
            let is_ready = self.state_store.current().ready;
            let call = self.poller.next_call(mode, is_ready);
            let started = Instant::now();
            let previous_response = self.poller.last_response();
            let is_watch = call.is_watch;
            match self.poller.poll(&mut connection, call).await {
                Ok(update) => {
                    mode = PollMode::Watch;
                    retries = 0;
                    let changed_since = self.earliest_change(is_watch, previous_response);
                    if self.deliver(update, changed_since).await.is_err() {
                        return WatchEnd::DecisionActorEnded;
                    }
                    sleep_until(started + MIN_CALL_INTERVAL).await;
                }
                // Retries on another connection. Prevents a backoff after a link lost a single call, or after a response
                // was truncated whose update the service counts as delivered.
                Err(error) if retries < error.immediate_retries(self.source.timing()) => {
                    log::warn!(target: LOG_TARGET, "discovery poll failed, retrying: {error}");
                    mode = PollMode::CatchUp;
                    retries += 1;
                }
                Err(error) => return WatchEnd::Failed(error),
            }
        }
    }

    /// Returns the earliest time at which the changes of the latest response may have happened; none if it is unknown,
    /// as for the first response. The service responds to a watch as soon as there is a change, so the time of a watch's
    /// own response is returned. The changes of any other poll may have happened since the response before.
    fn earliest_change(
        &self,
        is_watch: bool,
        previous_response: Option<Instant>,
    ) -> Option<Instant> {
        if is_watch && previous_response.is_some() {
            self.poller.last_response()
        } else {
            previous_response
        }
    }

    /// Delivers the update of an overdue call unless it is outdated. Returns the call's connection.
    pub(super) async fn accept_late(
        &mut self,
        late: LateUpdate,
    ) -> Result<Option<OutboundConnection>, DecisionActorEnded> {
        let previous_response = self.poller.last_response();
        if let Some(update) = self.poller.accept_late(late.update) {
            self.deliver(update, previous_response).await?;
        }
        Ok(late.connection)
    }

    /// Sends an update to the decision actor. Its changes may have happened at any time after `changed_since`.
    async fn deliver(
        &mut self,
        mut update: EndpointUpdate,
        changed_since: Option<Instant>,
    ) -> Result<(), DecisionActorEnded> {
        update.changed_since = changed_since;
        self.poller.set_version(update.version);
        let names = update
            .endpoints
            .iter()
            .map(|endpoint| endpoint.uid.as_str());
        self.state_store.record_listed_names(names);
        self.state_store.set_ready();
        self.send(Event::EndpointsChanged(update)).await
    }

    /// Reports a failed poll to the decision actor.
    pub(super) async fn report_failure(&self) -> Result<(), DecisionActorEnded> {
        self.send(Event::DiscoveryFailed).await
    }

    async fn send(&self, event: Event) -> Result<(), DecisionActorEnded> {
        self.decisions
            .send(event)
            .await
            .map_err(|_| DecisionActorEnded)
    }
}
