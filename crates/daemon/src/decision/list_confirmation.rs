//! Whether the endpoint list may be used: whether a local agent, to which lists are pushed, can have a newer one.
//!
//! A proxy must act on all that its agent has, from the first moment of a process. A list from another source, such as the
//! cached one of the configuration or that of a previous agent, is therefore not used until the agent has responded. A
//! central service is polled instead, and the rules allow for the list that a process has until a poll succeeds.
use crate::discovery::source::DiscoverySource;

/// Whether the endpoint list may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ListConfirmation {
    /// The list is at least as new as that of the source.
    Confirmed,
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

    /// Returns whether backends of the list may receive new RPCs.
    pub(super) fn is_usable(self) -> bool {
        self != Self::Unconfirmed
    }
}

#[cfg(test)]
mod tests;
