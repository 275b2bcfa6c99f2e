//! Whether the endpoint list may be used: whether a local agent, to which lists are pushed, can have a newer one.
//!
//! A proxy must act on all that its agent has, from the first moment of a process. A list from another source, such as the
//! cached one of the configuration or that of a previous agent, is therefore not used until the agent has responded. A
//! central service is polled instead, and the rules allow for the list that a process has until a poll succeeds.
use crate::discovery::source::DiscoverySource;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which the list of the previous agent is used after a reload has selected another one. What the new agent has
/// must be applied 4 s after SIGHUP; the rest of that time is left for reading the configuration.
const MOVED_SOURCE_GRACE: Duration = Duration::from_millis(3500);

/// Whether the endpoint list may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ListConfirmation {
    /// The list is at least as new as that of the source.
    Confirmed,
    /// The source has changed since the last update; the list is used until this time.
    UsableUntil(Instant),
    /// The source may have a newer list, so no backend receives new RPCs.
    Unconfirmed,
}

impl ListConfirmation {
    /// Returns the state of a process that starts with a cached list.
    pub(super) fn at_start(source: DiscoverySource) -> Self {
        match source {
            DiscoverySource::CentralService => Self::Confirmed,
            DiscoverySource::LocalAgent => Self::Unconfirmed,
        }
    }

    /// Returns the state after a reload has selected another source. A further reload does not extend the time.
    pub(super) fn after_move(self, now: Instant) -> Self {
        match self {
            Self::Confirmed => Self::UsableUntil(now + MOVED_SOURCE_GRACE),
            unchanged => unchanged,
        }
    }

    /// Returns the time from which on the list must not be used, if it may still be used but is not confirmed.
    pub(super) fn expires_at(self) -> Option<Instant> {
        match self {
            Self::UsableUntil(end) => Some(end),
            Self::Confirmed | Self::Unconfirmed => None,
        }
    }

    /// Returns whether backends of the list may receive new RPCs.
    pub(super) fn is_usable(self) -> bool {
        self != Self::Unconfirmed
    }
}

#[cfg(test)]
mod tests;
