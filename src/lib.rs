//! Load balancing and admission control of the birchhub proxy: which RPC goes to which backend, and
//! when.
//!
//! The crate performs no I/O and reads no clock. A platform passes events to [`balancer`], and the
//! decisions take effect through [`interface::Platform`]. [`policy`] contains every decision, one
//! module per mechanism; the other modules maintain its state, indexes and estimates.
mod attempt;
mod attempt_window;
mod backend;
mod backend_index;
pub mod balancer;
mod estimates;
mod ewma;
mod fleet;
mod health_check_tokens;
pub mod interface;
mod keyed_queue;
mod limits;
mod load_level;
mod method;
mod pending_queue;
pub mod policy;
mod queue_position;
mod report_quality;
mod rng;
mod rpc_state;
mod slow_start_budget;
mod tenant;
#[cfg(test)]
mod test_fixtures;
