//! The discovery client: failed polls, the time until an update applies, a change of the service's address, and a local
//! agent. Scripted discovery services force the races, and their logs show the polls that they have received.
mod applied_updates;
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod failed_polls;
mod harness;
mod local_agent;
mod outage;
mod update_limit;
