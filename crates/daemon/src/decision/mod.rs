//! The decision actor and its platform: calls the balancer for each event of the process, and performs the actions
//! that the balancer requests.

pub(crate) mod actor;
mod balancer_calls;
mod client_events;
mod endpoint_ids;
mod endpoints;
mod exchange_events;
mod heartbeat;
mod in_flight;
mod list_confirmation;
mod platform;
mod shadow_replay;
mod start_times;
mod timers;
mod updates;
