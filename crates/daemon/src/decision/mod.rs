//! The actor around the decision package: every call on the package is made here, and what it asks for is carried
//! out here.

pub(crate) mod actor;
mod endpoints;
mod heartbeat;
mod in_flight;
mod platform;
mod start_times;
mod updates;
