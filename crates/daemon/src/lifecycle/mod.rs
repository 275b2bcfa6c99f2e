//! The life cycle of a proxy process: start, graceful shutdown, sibling processes and administrative state.
//!
//! [`state_store::StateStore`] owns the [`state::ProxyState`]; every other actor reads it by subscription. A sibling is
//! another process of the same proxy, while one replaces the other. Siblings share a folder
//! ([`process_group::ProcessGroup`]) in which each publishes whether it accepts clients, and which holds the
//! administrative state of all.

pub(crate) mod admin_api;
pub(crate) mod admin_state;
pub(crate) mod graceful_shutdown;
pub(crate) mod listeners;
mod pending_changes;
pub(crate) mod process_group;
pub(crate) mod shutdown;
pub(crate) mod start_error;
pub(crate) mod startup;
pub(crate) mod state;
pub(crate) mod state_store;
