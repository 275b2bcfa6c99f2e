//! The kinds of discovery sources.

use crate::discovery::timing::{CENTRAL_SERVICE, LOCAL_AGENT, PollTiming};
use birchhub::interface::Settings;

/// Where the endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoverySource {
    /// A central service, which a proxy polls when the balancer requests it.
    CentralService,
    /// An agent on the same machine, to which lists are pushed. The proxy always watches it, even while polls fail.
    LocalAgent,
}

impl DiscoverySource {
    /// Returns the kind of source that the settings select.
    pub(crate) fn of(settings: &Settings) -> Self {
        if settings.polls_endpoint_list {
            Self::CentralService
        } else {
            Self::LocalAgent
        }
    }

    /// Returns the time limits on the polls of this source.
    pub(super) fn timing(self) -> &'static PollTiming {
        match self {
            Self::CentralService => &CENTRAL_SERVICE,
            Self::LocalAgent => &LOCAL_AGENT,
        }
    }
}
