//! The poller: polls the discovery service, one poll at a time, and keeps the state on which the next poll depends.

use crate::discovery::call::{Call, CallEnd, start_call};
use crate::discovery::error::DiscoveryError;
use crate::discovery::overdue::{LateUpdate, OverdueCalls};
use crate::discovery::source::DiscoverySource;
use crate::discovery::timing::FIRST_SNAPSHOT_TIMEOUTS;
use crate::discovery::update::EndpointUpdate;
use crate::discovery::wire;
use crate::event_loop::{Peer, PeerId, WorkQueue};
use crate::net::outbound_connection::OutboundConnection;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Polls the discovery service. The call of a poll that times out stays in flight as overdue, and the first response to
/// any of the calls is used.
pub(super) struct Poller {
    address: watch::Receiver<SocketAddr>,
    source: DiscoverySource,
    /// The service's share of the event loop.
    peer: Rc<Peer>,
    /// Version of the last list from the service at the current address; `None` if there is none to continue from.
    version: Option<u64>,
    consecutive_timeouts: usize,
    overdue: OverdueCalls,
    /// Time of the last response, from any address.
    last_response: Option<Instant>,
}

/// Whether the next poll is a long poll.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PollMode {
    /// An ordinary poll: the service responds at once with all changes so far.
    CatchUp,
    /// A long poll: the service holds it until there is a change.
    LongPoll,
}

impl Poller {
    /// Creates a poller that knows the list up to `version`.
    pub(super) fn new(
        address: watch::Receiver<SocketAddr>,
        source: DiscoverySource,
        version: Option<u64>,
        work: &Rc<WorkQueue>,
    ) -> Self {
        Self {
            address,
            source,
            peer: Peer::new(PeerId::Discovery, work),
            version,
            consecutive_timeouts: 0,
            overdue: OverdueCalls::new(source.timing().min_overdue_wait),
            last_response: None,
        }
    }

    /// Resets the poller after a change of the address. Versions of another service are not comparable, so the next
    /// poll requests a snapshot.
    pub(super) fn reset(&mut self) {
        self.version = None;
        self.consecutive_timeouts = 0;
        self.overdue.clear();
    }

    /// Returns the time of the last response.
    pub(super) fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    /// Sets the version that the next poll continues from.
    pub(super) fn set_version(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Returns the mode of the first poll of a watch. After a timeout it is no long poll, since that would take longer
    /// to time out again.
    pub(super) fn initial_mode(&self) -> PollMode {
        if self.source == DiscoverySource::LocalAgent || self.consecutive_timeouts > 0 {
            PollMode::CatchUp
        } else {
            PollMode::LongPoll
        }
    }

    /// Returns the next call: for a snapshot if no version is known, or else for changes. `has_endpoints` tells whether
    /// the process has an endpoint list.
    pub(super) fn next_call(&self, mode: PollMode, has_endpoints: bool) -> Call {
        match self.version {
            None => self.snapshot_call(has_endpoints),
            Some(version) => self.changes_call(version, mode),
        }
    }

    fn snapshot_call(&self, has_endpoints: bool) -> Call {
        let is_first = self.source == DiscoverySource::CentralService && !has_endpoints;
        let timeouts = if is_first {
            FIRST_SNAPSHOT_TIMEOUTS
        } else {
            self.source.timing().snapshot
        };
        Call {
            path: wire::snapshot_path(),
            is_long_poll: false,
            timeout: self.next_timeout(timeouts),
        }
    }

    fn changes_call(&self, version: u64, mode: PollMode) -> Call {
        let timing = self.source.timing();
        match mode {
            PollMode::CatchUp => Call {
                path: wire::changes_path(version, Duration::ZERO),
                is_long_poll: false,
                timeout: self.next_timeout(timing.catch_up),
            },
            PollMode::LongPoll => Call {
                path: wire::changes_path(version, timing.hold),
                is_long_poll: true,
                timeout: timing.hold + timing.response_margin,
            },
        }
    }

    /// Returns the timeout of the next call, by the number of consecutive timeouts so far.
    fn next_timeout(&self, timeouts: &[Duration]) -> Duration {
        timeouts[self.consecutive_timeouts % timeouts.len()]
    }

    /// Makes a call on `connection` if there is one, and stores the connection there if the next call can use it. If an
    /// overdue call receives its response first, returns that response.
    ///
    /// The service holds a long poll until there is a newer version. A response that is early and not newer may be a
    /// repetition of the previous one, and the response to this call may follow: the connection is not used again. The
    /// version tells this without a pause between two calls, in which a change would have to wait.
    pub(super) async fn poll(
        &mut self,
        connection: &mut Option<OutboundConnection>,
        call: Call,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let started = Instant::now();
        let deadline = started + call.timeout;
        let address = *self.address.borrow();
        let mut current = start_call(address, connection.take(), call.path, self.peer.clone());
        let end = select! {
            biased;
            end = &mut current => end,
            late = self.overdue.next_update() => late.into(),
            () = sleep_until(deadline) => {
                self.overdue.push(current, started);
                DiscoveryError::TimedOut.into()
            }
        };
        let result = end.result.and_then(|update| self.check_version(update));
        match &result {
            Ok(update) => {
                let is_early = call.is_long_poll && started.elapsed() < self.source.timing().hold;
                let may_be_repeated = is_early && self.version == Some(update.version);
                self.record_response();
                *connection = end.connection.filter(|_| !may_be_repeated);
            }
            Err(DiscoveryError::TimedOut) => self.consecutive_timeouts += 1,
            Err(_) => self.consecutive_timeouts = 0,
        }
        result
    }

    /// Waits for an update from an overdue call.
    pub(super) async fn next_late_update(&mut self) -> LateUpdate {
        self.overdue.next_update().await
    }

    /// Returns the update of an overdue call, or `None` if it is older than the last update.
    pub(super) fn accept_late(&mut self, update: EndpointUpdate) -> Option<EndpointUpdate> {
        let update = self.check_version(update).ok()?;
        self.record_response();
        Some(update)
    }

    /// Records a response. Drops all overdue calls, which would return the same changes.
    fn record_response(&mut self) {
        self.overdue.clear();
        self.consecutive_timeouts = 0;
        self.last_response = Some(Instant::now());
    }

    /// Rejects a list that is older than the last one, so that it does not undo newer changes, and makes the next poll
    /// request a snapshot. A snapshot is current, whatever its version.
    fn check_version(&mut self, update: EndpointUpdate) -> Result<EndpointUpdate, DiscoveryError> {
        match self.version {
            Some(known) if update.version < known => {
                self.version = None;
                // Their responses would contain changes since a version that the service does not have.
                self.overdue.clear();
                Err(DiscoveryError::OutdatedVersion {
                    received: update.version,
                    known,
                })
            }
            _ => Ok(update),
        }
    }
}

impl From<LateUpdate> for CallEnd {
    fn from(late: LateUpdate) -> Self {
        Self {
            result: Ok(late.update),
            connection: late.connection,
        }
    }
}
