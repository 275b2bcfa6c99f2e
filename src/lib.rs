//! The decisions of birchhub, without I/O and without a clock. `policy` decides, `interface` is what it is
//! called with and `balancer` hands it the events; the other modules hold state, indexes and estimators, and
//! decide nothing.
pub mod balancer;
mod check_tokens;
mod endpoint;
mod endpoint_index;
mod estimates;
mod ewma;
mod fleet;
pub mod interface;
mod keyed_queue;
mod limits;
mod method;
mod pending_queue;
pub mod policy;
mod report_quality;
mod rng;
mod rpc_state;
mod slow_start_budget;
mod tenant;
