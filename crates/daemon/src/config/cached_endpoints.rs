//! The cached endpoint list in the configuration file.

use crate::discovery::update::{EndpointUpdate, ListedEndpoint};
use crate::discovery::wire::DecodeError;

/// The cached endpoint list. It may be out of date.
pub(crate) enum CachedEndpoints {
    /// The file has none, or it was not decoded.
    Absent,
    /// The list.
    List(EndpointUpdate),
    /// The list can't be decoded. The proxy then waits for the first list from discovery: an error in a list that discovery
    /// soon replaces must not prevent a whole fleet from starting.
    Malformed(DecodeError),
}

impl CachedEndpoints {
    /// Decodes the list from JSON text.
    pub(super) fn decode(text: &str) -> Self {
        match EndpointUpdate::parse(text) {
            Ok(list) => Self::List(list),
            Err(error) => Self::Malformed(error),
        }
    }

    /// Returns the list, if there is one.
    pub(crate) fn list(&self) -> Option<&EndpointUpdate> {
        match self {
            Self::List(list) => Some(list),
            Self::Absent | Self::Malformed(_) => None,
        }
    }

    /// Returns the endpoints of the list, if there are any.
    pub(crate) fn endpoints(&self) -> Option<&[ListedEndpoint]> {
        let list = self.list()?;
        (!list.endpoints.is_empty()).then_some(&list.endpoints)
    }
}
