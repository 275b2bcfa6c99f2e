//! The state of this proxy process, as all actors read it: a plain value, and what follows from it.

use crate::lifecycle::admin_state::{AdminState, unix_ms};
use crate::lifecycle::graceful_shutdown::GracefulShutdown;
use crate::lifecycle::siblings::Siblings;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// For which an idle connection stays after standby: new connections come for 0.2 s more; by then nearly all in use
/// have had their last response, and few closes cross with an RPC.
const STANDBY_IDLE_GRACE: Duration = Duration::from_secs(1);
/// For which a connection with a partial message stays after standby: nothing of the last 2 s of 4 may stay.
const STANDBY_PARTIAL_GRACE: Duration = Duration::from_millis(1900);
/// The longest time since a standby that is reckoned with, in seconds: a clock that was set may tell anything.
const MAX_STANDBY_SECONDS: f64 = 1e6;

/// Where this process stands between its start and its end, and what its administrators set.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyState {
    /// RPCs can be decided.
    pub ready: bool,
    /// Connections of clients are accepted.
    pub accepting: bool,
    /// Set once SIGTERM has come.
    pub shutdown: Option<GracefulShutdown>,
    /// The clients' socket was inherited: it belongs to the platform and outlives this process.
    pub inherited_listener: bool,
    /// Other processes of this proxy.
    pub siblings: Siblings,
    /// What administrators set, for all processes of this proxy.
    pub admin_state: AdminState,
    /// Counts the changes of `admin_state` that this process has seen.
    pub admin_generation: u64,
    /// When the standby in `admin_state` began: the wall clock, by which it is stored, may step.
    standby_began: Option<Instant>,
}

impl ProxyState {
    /// The state of a process that starts.
    pub(crate) fn new(inherited_listener: bool) -> Self {
        Self {
            inherited_listener,
            ..Self::default()
        }
    }

    /// Replaces what administrators set; false if it is the same.
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

    /// A sibling accepts clients where this process shuts down. One that is still starting, or shuts down as well, is
    /// no successor: clients would reach nobody.
    pub(crate) fn has_successor(&self) -> bool {
        self.shutdown.is_some() && self.inherited_listener && self.siblings.accepting > 0
    }

    /// This process accepts clients and is not shutting down.
    pub(crate) fn accepts_clients(&self) -> bool {
        self.accepting && self.shutdown.is_none()
    }

    /// The answer of the health check: clients may come to this proxy, whichever of its processes they reach.
    pub(crate) fn is_healthy(&self) -> bool {
        self.ready
            && (self.shutdown.is_none() || self.has_successor())
            && self.admin_state.standby_since.is_none()
    }

    /// Every response is the last on its connection.
    pub(crate) fn closes_after_response(&self) -> bool {
        self.shutdown.is_some() || self.admin_state.standby_since.is_some()
    }

    /// Until when connections are accepted; without a shutdown there is no such time.
    pub(crate) fn accept_deadline(&self) -> Option<Instant> {
        let has_successor = self.has_successor();
        self.shutdown
            .map(|shutdown| shutdown.accept_deadline(has_successor))
    }

    /// By when every RPC has its response, once this process shuts down.
    pub(crate) fn response_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|shutdown| shutdown.response_deadline())
    }

    /// By when this process exits, whoever is still connected, once it shuts down.
    pub(crate) fn exit_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|shutdown| shutdown.exit_deadline())
    }

    /// By when an idle connection is closed, and by when one whose message is not complete; neither without a shutdown
    /// or standby.
    pub(crate) fn connection_deadlines(&self) -> Option<(Instant, Instant)> {
        // A partial message may become an RPC for as long as that can be answered.
        let of_shutdown = self
            .shutdown
            .map(|shutdown| (shutdown.idle_deadline(), shutdown.response_deadline()));
        let of_standby = self
            .standby_began
            .map(|began| (began + STANDBY_IDLE_GRACE, began + STANDBY_PARTIAL_GRACE));
        of_shutdown.into_iter().chain(of_standby).min()
    }
}

/// The monotonic time that a Unix time in ms stands for, by what the wall clock reads now; now for a time to come.
fn instant_of(ms: f64) -> Instant {
    let seconds = ((unix_ms() - ms) / 1e3).clamp(0.0, MAX_STANDBY_SECONDS);
    let now = Instant::now();
    now.checked_sub(Duration::from_secs_f64(seconds))
        .unwrap_or(now)
}

/// One line for the log and for `/status`, whose text is fixed.
impl fmt::Display for ProxyState {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let standby = if self.admin_state.standby_since.is_some() {
            ", on standby"
        } else {
            ""
        };
        write!(
            to,
            "{} members banned{standby}, {} other processes",
            self.admin_state.count_in_maintenance(),
            self.siblings.alive
        )
    }
}
