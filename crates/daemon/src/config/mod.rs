//! The configuration: its file and variables, what of it is active, its reload, and shadow evaluation of other settings.

pub(crate) mod active;
pub(crate) mod error;
pub(crate) mod file;
pub(crate) mod inherited_listener;
pub(crate) mod reload;
pub(crate) mod shadow;
pub(crate) mod update;
