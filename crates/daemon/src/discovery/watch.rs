//! A watch of the endpoint list: consecutive polls, each of which delivers its update to the decision actor.

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

/// Watches the endpoint list for the decision actor.
pub(super) struct EndpointWatch {
    /// Polls the discovery service.
    pub(super) poller: Poller,
    /// Kind of the discovery service.
    pub(super) source: DiscoverySource,
    /// Mailbox of the decision actor.
    pub(super) decision_actor: mpsc::Sender<Event>,
    /// Records the listed names, and that the process is ready.
    pub(super) state_store: Rc<StateStore>,
}

/// The decision actor has ended, so the discovery client ends too.
pub(super) struct DecisionActorEnded;

/// Why a watch ended.
pub(super) enum WatchEnd {
    /// The address of the discovery service has changed.
    AddressChanged,
    /// A poll and its immediate retries failed.
    Failed(DiscoveryError),
    /// See [`DecisionActorEnded`].
    DecisionActorEnded,
}

impl EndpointWatch {
    /// Polls until a poll and its immediate retries fail, or the decision actor ends. The first poll uses `connection`
    /// if there is one.
    pub(super) async fn run(&mut self, mut connection: Option<OutboundConnection>) -> WatchEnd {
        let mut mode = self.poller.initial_mode();
        let mut retries = 0;
        loop {
            let has_endpoints = self.state_store.current().has_endpoints;
            let call = self.poller.next_call(mode, has_endpoints);
            let started = Instant::now();
            let previous_response = self.poller.last_response();
            let is_long_poll = call.is_long_poll;
            match self.poller.poll(&mut connection, call).await {
                Ok(update) => {
                    mode = PollMode::LongPoll;
                    retries = 0;
                    let changed_since = self.earliest_change(is_long_poll, previous_response);
                    if self.deliver(update, changed_since).await.is_err() {
                        return WatchEnd::DecisionActorEnded;
                    }
                    sleep_until(started + MIN_CALL_INTERVAL).await;
                }
                // Retries at once, on another connection: a link may have lost a single call, or a response was
                // truncated whose update the service considers as delivered. Neither should cost a backoff.
                Err(error) if retries < error.immediate_retries(self.source.timing()) => {
                    log::warn!(target: LOG_TARGET, "discovery poll failed, retrying: {error}");
                    mode = PollMode::CatchUp;
                    retries += 1;
                }
                Err(error) => return WatchEnd::Failed(error),
            }
        }
    }

    /// Returns the earliest time at which the changes in the last response may have happened, or `None` if that is
    /// unknown, as for the first response. The service responds to a long poll as soon as there is a change, so the
    /// changes happened at the time of its response. Those of any other poll may have happened at any time since the
    /// previous response.
    fn earliest_change(
        &self,
        is_long_poll: bool,
        previous_response: Option<Instant>,
    ) -> Option<Instant> {
        if is_long_poll && previous_response.is_some() {
            self.poller.last_response()
        } else {
            previous_response
        }
    }

    /// Delivers the update of an overdue call unless it is out of date. Returns the connection of the call.
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

    /// Sends an update, whose changes may have happened at any time since `changed_since`, to the decision actor.
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
        self.state_store.record_endpoint_list();
        self.send(Event::EndpointsChanged(update)).await
    }

    /// Reports to the decision actor that the local agent is another one from now on.
    pub(super) async fn report_agent_change(&self) -> Result<(), DecisionActorEnded> {
        self.send(Event::AgentChanged).await
    }

    /// Reports a failed poll to the decision actor.
    pub(super) async fn report_failure(&self) -> Result<(), DecisionActorEnded> {
        self.send(Event::DiscoveryFailed).await
    }

    async fn send(&self, event: Event) -> Result<(), DecisionActorEnded> {
        self.decision_actor
            .send(event)
            .await
            .map_err(|_| DecisionActorEnded)
    }
}
