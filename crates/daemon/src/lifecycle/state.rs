//! The state of this proxy process, as all actors read it: a plain value and what follows from it.

use crate::lifecycle::admin_state::{AdminState, unix_ms};
use crate::lifecycle::graceful_shutdown::GracefulShutdown;
use crate::lifecycle::process_group::Siblings;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the start of a standby at which idle connections are closed. New connections arrive for another 0.2 s, and
/// by then nearly all connections in use have had their last response, so few closes cross with an RPC.
const STANDBY_IDLE_GRACE: Duration = Duration::from_secs(1);
/// Time after the start of a standby at which connections with an incomplete message are closed. No message may be left
/// during the last 2 s of the 4 s that a standby may take.
const STANDBY_INCOMPLETE_GRACE: Duration = Duration::from_millis(1900);
/// Upper bound of the time since a stored standby began, in seconds: a wall clock that was set may give any value.
const MAX_STANDBY_SECONDS: f64 = 1e6;

/// The stage of a process between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServingPhase {
    /// The process has no endpoint list and can't decide RPCs.
    AwaitingEndpoints,
    /// The process waits until its siblings have released their share of the sockets.
    AwaitingSiblings,
    /// The process accepts clients.
    Accepting,
    /// The process has received SIGTERM.
    ShuttingDown,
}

/// When connections that carry no complete RPC are closed. Ordered by `idle`, then by `incomplete_message`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DrainDeadlines {
    /// Deadline of connections between messages.
    pub idle: Instant,
    /// Deadline of connections that have received a part of a message.
    pub incomplete_message: Instant,
}

/// The progress of this process, and the administrative state of the proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyState {
    /// Whether RPCs can be decided.
    pub ready: bool,
    /// Whether client connections are accepted.
    pub accepting: bool,
    /// The shutdown, once SIGTERM was received.
    pub shutdown: Option<GracefulShutdown>,
    /// Whether the clients' listening socket was inherited: it belongs to the platform and outlives this process.
    pub inherited_listener: bool,
    /// The other processes of this proxy.
    pub siblings: Siblings,
    /// The administrative state, which all processes of this proxy share.
    pub admin_state: AdminState,
    /// Number of changes of `admin_state` that this process has applied.
    pub admin_generation: u64,
    /// Start of the standby in `admin_state`, as an instant: the wall clock, by which it is stored, may step.
    standby_began: Option<Instant>,
}

impl ProxyState {
    /// Returns the state of a process that starts.
    pub(crate) fn new(inherited_listener: bool) -> Self {
        Self {
            inherited_listener,
            ..Self::default()
        }
    }

    /// Replaces the administrative state. Returns whether it differs from the former one.
    pub(crate) fn set_admin_state(&mut self, admin_state: AdminState) -> bool {
        if self.admin_state == admin_state {
            return false;
        }
        if self.admin_state.standby_since != admin_state.standby_since {
            self.standby_began = admin_state.standby_since.map(instant_of);
        }
        self.admin_state = admin_state;
        self.admin_generation += 1;
        true
    }

    /// Whether this process shuts down while a sibling accepts clients on the same socket. A sibling that is still starting
    /// or also shuts down is no successor: clients would reach no process.
    pub(crate) fn has_successor(&self) -> bool {
        self.shutdown.is_some() && self.inherited_listener && self.siblings.accepting > 0
    }

    /// Returns the stage of this process.
    pub(crate) fn serving_phase(&self) -> ServingPhase {
        if self.shutdown.is_some() {
            ServingPhase::ShuttingDown
        } else if !self.ready {
            ServingPhase::AwaitingEndpoints
        } else if !self.accepting {
            ServingPhase::AwaitingSiblings
        } else {
            ServingPhase::Accepting
        }
    }

    /// Whether this process accepts clients and is not shutting down.
    pub(crate) fn accepts_clients(&self) -> bool {
        self.accepting && self.shutdown.is_none()
    }

    /// The result of the proxy's own health check: whether clients may use this proxy, whichever of its processes they
    /// reach.
    pub(crate) fn is_healthy(&self) -> bool {
        self.ready
            && (self.shutdown.is_none() || self.has_successor())
            && self.admin_state.standby_since.is_none()
    }

    /// Whether each response is the last one on its connection.
    pub(crate) fn closes_after_response(&self) -> bool {
        self.shutdown.is_some() || self.admin_state.standby_since.is_some()
    }

    /// Returns the time at which a shutdown stops accepting connections.
    pub(crate) fn accept_deadline(&self) -> Option<Instant> {
        let has_successor = self.has_successor();
        self.shutdown
            .map(|shutdown| shutdown.accept_deadline(has_successor))
    }

    /// Returns the time by which a shutdown has answered every RPC.
    pub(crate) fn response_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|shutdown| shutdown.response_deadline())
    }

    /// Returns the time at which a shutdown exits, even if clients are still connected.
    pub(crate) fn exit_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|shutdown| shutdown.exit_deadline())
    }

    /// Returns the deadlines that a shutdown or a standby sets for connections, the earlier ones if both are in force.
    pub(crate) fn drain_deadlines(&self) -> Option<DrainDeadlines> {
        let of_shutdown = self.shutdown.map(|shutdown| DrainDeadlines {
            idle: shutdown.idle_deadline(),
            // An incomplete message may become an RPC for as long as that RPC could be answered.
            incomplete_message: shutdown.response_deadline(),
        });
        let of_standby = self.standby_began.map(|began| DrainDeadlines {
            idle: began + STANDBY_IDLE_GRACE,
            incomplete_message: began + STANDBY_INCOMPLETE_GRACE,
        });
        of_shutdown.into_iter().chain(of_standby).min()
    }
}

/// Converts a Unix time in ms into an instant by the current wall clock. A time in the future becomes now.
fn instant_of(unix_time_ms: f64) -> Instant {
    let age_seconds = ((unix_ms() - unix_time_ms) / 1e3).clamp(0.0, MAX_STANDBY_SECONDS);
    let now = Instant::now();
    now.checked_sub(Duration::from_secs_f64(age_seconds))
        .unwrap_or(now)
}

/// Formats the state as one line for the log and for `/status`. The text is part of the admin protocol and must not
/// change.
impl fmt::Display for ProxyState {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let standby = if self.admin_state.standby_since.is_some() {
            ", on standby"
        } else {
            ""
        };
        write!(
            formatter,
            "{} members banned{standby}, {} other processes",
            self.admin_state.count_in_maintenance(),
            self.siblings.alive
        )
    }
}
