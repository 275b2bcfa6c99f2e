//! The life cycle of a proxy process: start, graceful shutdown, sibling processes and administrative state.
//!
//! [`state_store::StateStore`] owns the [`state::ProxyState`], and all other actors subscribe to it. While one process
//! of a proxy replaces another, the two are siblings. They share a folder ([`process_group::ProcessGroup`]) in which
//! each process publishes whether it accepts clients, and which contains the administrative state of all of them.

pub(crate) mod admin_api;
pub(crate) mod admin_state;
pub(crate) mod first_endpoint_list;
pub(crate) mod graceful_shutdown;
pub(crate) mod listeners;
mod pending_changes;
pub(crate) mod process_group;
pub(crate) mod shutdown;
pub(crate) mod start_error;
pub(crate) mod startup;
pub(crate) mod state;
pub(crate) mod state_store;
