//! A proxy process from its start to its graceful shutdown, its sibling processes and its administrative state.
//!
//! [`state_store::StateStore`] is the one owner of [`state::ProxyState`]; every other actor reads it by subscription.
//! A process of the same proxy that replaces this one is a sibling: both share a folder ([`siblings::ProcessGroup`]),
//! in which each tells whether it accepts clients, and which holds the administrative state of both.

pub(crate) mod admin_api;
pub(crate) mod admin_state;
pub(crate) mod graceful_shutdown;
pub(crate) mod listeners;
pub(crate) mod shutdown;
pub(crate) mod siblings;
pub(crate) mod start_error;
pub(crate) mod startup;
pub(crate) mod state;
pub(crate) mod state_store;
