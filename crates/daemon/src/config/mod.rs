//! The configuration of the proxy: its file and environment variables, its reload on SIGHUP, and the shadow evaluation
//! of settings that are not active.

pub(crate) mod active_config;
pub(crate) mod cached_endpoints;
pub(crate) mod error;
pub(crate) mod file;
pub(crate) mod inherited_listener;
pub(crate) mod keys;
pub(crate) mod name_table;
mod prepared_reload;
pub(crate) mod reload;
pub(crate) mod shadow;
pub(crate) mod update;
