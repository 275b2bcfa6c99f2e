//! The configuration: its file, reload, what is active, and shadow evaluation of other settings.

pub(crate) mod active;
pub(crate) mod file;
pub(crate) mod reload;
pub(crate) mod shadow;
