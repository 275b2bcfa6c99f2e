//! The state of this proxy process, as all actors read it, and the properties that derive from it.

use crate::lifecycle::admin_state::{AdminState, unix_ms};
use crate::lifecycle::graceful_shutdown::GracefulShutdown;
use crate::lifecycle::process_group::Siblings;
use birchhub::interface::OrderedRpcs;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the start of a standby at which idle connections are closed. New connections arrive for 0.2 s after the
/// start. By the end of this time nearly all connections in use have had their last response, so that few closes race
/// with an RPC.
const STANDBY_IDLE_GRACE: Duration = Duration::from_secs(1);
/// Time after the start of a standby at which connections with an incomplete message are closed. A standby may take
/// 4 s, and no message may be in progress during the last 2 s.
const STANDBY_INCOMPLETE_GRACE: Duration = Duration::from_millis(1900);
/// Upper bound of the time since the start of a stored standby, in seconds. If the wall clock was set since, the
/// difference may have any value.
const MAX_STANDBY_SECONDS: f64 = 1e6;

/// The stage of a process between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServingPhase {
    /// The process waits for an endpoint list.
    AwaitingEndpoints,
    /// The process waits until its siblings have reduced their socket budgets.
    AwaitingSiblings,
    /// The process accepts clients.
    Accepting,
    /// The process has received SIGTERM.
    ShuttingDown,
}

/// When a shutdown or a standby closes connections without a complete RPC. Ordered by `idle`, then by
/// `incomplete_message`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DrainDeadlines {
    /// Deadline of connections between messages.
    pub idle: Instant,
    /// Deadline of connections on which a message was received in part.
    pub incomplete_message: Instant,
}

/// The progress of this process, and the administrative state of the proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyState {
    /// Whether the process has an endpoint list that it may use.
    pub has_endpoints: bool,
    /// Whether clients may use the process: it has an endpoint list, or has waited for one as long as it may.
    pub ready: bool,
    /// Whether client connections are accepted.
    pub accepting: bool,
    /// The graceful shutdown; `None` before SIGTERM.
    pub shutdown: Option<GracefulShutdown>,
    /// Whether the clients' listening socket was inherited: it belongs to the platform and outlives this process.
    pub inherited_listener: bool,
    /// The other processes of this proxy.
    pub siblings: Siblings,
    /// Whether a sibling that starts waits for the endpoint list of this process.
    pub endpoint_list_requested: bool,
    /// Whether this process runs RPCs of methods that are ordered by key.
    pub ordered_rpcs: OrderedRpcs,
    /// The administrative state, which all processes of this proxy share.
    pub admin_state: AdminState,
    /// Number of changes of `admin_state` in this process.
    pub admin_generation: u64,
    /// Start of the standby in `admin_state`, as a monotonic time: the wall clock of the stored time may step.
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

    /// Replaces the administrative state. Returns whether it has changed.
    pub(crate) fn set_admin_state(&mut self, admin_state: AdminState) -> bool {
        if self.admin_state == admin_state {
            return false;
        }
        if self.admin_state.standby_since != admin_state.standby_since {
            self.standby_began = admin_state.standby_since.map(to_instant);
        }
        self.admin_state = admin_state;
        self.admin_generation += 1;
        true
    }

    /// Returns whether this process shuts down while a sibling accepts clients on the same socket. A sibling that is
    /// still starting, or also shuts down, is no successor: clients would not reach any process.
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

    /// Returns whether this process accepts clients and is not shutting down.
    pub(crate) fn accepts_clients(&self) -> bool {
        self.accepting && self.shutdown.is_none()
    }

    /// Returns the result of the proxy's own health check: whether clients may use this proxy, whichever of its
    /// processes they reach.
    pub(crate) fn is_healthy(&self) -> bool {
        self.ready
            && (self.shutdown.is_none() || self.has_successor())
            && self.admin_state.standby_since.is_none()
    }

    /// Returns whether connections are closed after their next response.
    pub(crate) fn closes_after_response(&self) -> bool {
        self.shutdown.is_some() || self.admin_state.standby_since.is_some()
    }

    /// Returns the time from which on a shutdown accepts no connections.
    pub(crate) fn accept_deadline(&self) -> Option<Instant> {
        let has_successor = self.has_successor();
        self.shutdown
            .map(|shutdown| shutdown.accept_deadline(has_successor))
    }

    /// Returns the time by which every RPC has a response during a shutdown.
    pub(crate) fn response_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|shutdown| shutdown.response_deadline())
    }

    /// Returns the time at which the process exits in a shutdown, even if clients are still connected.
    pub(crate) fn exit_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|shutdown| shutdown.exit_deadline())
    }

    /// Returns the deadlines that a shutdown or a standby sets for connections, or the earlier ones during both.
    pub(crate) fn drain_deadlines(&self) -> Option<DrainDeadlines> {
        let of_shutdown = self.shutdown.map(|shutdown| DrainDeadlines {
            idle: shutdown.idle_deadline(),
            // An incomplete message may become an RPC until the time by which that RPC must have a response.
            incomplete_message: shutdown.response_deadline(),
        });
        let of_standby = self.standby_began.map(|began| DrainDeadlines {
            idle: began + STANDBY_IDLE_GRACE,
            incomplete_message: began + STANDBY_INCOMPLETE_GRACE,
        });
        of_shutdown.into_iter().chain(of_standby).min()
    }
}

/// Converts a Unix time in ms to an instant by the current wall clock. A time in the future becomes the present time.
fn to_instant(unix_time_ms: f64) -> Instant {
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
