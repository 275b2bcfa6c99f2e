//! All decisions of birchhub: Join-Idle-Queue load balancing and the mechanisms beside it (docs/design.md),
//! one module each. `dispatch` says which RPC goes where, `rules` what is never done, `crate::balancer` tells
//! them of events. In comments a "part" is a fraction; times are in seconds.
pub(crate) mod admission;
pub(crate) mod admission_rate;
pub(crate) mod deadlines;
pub(crate) mod discovery;
pub(crate) mod dispatch;
pub(crate) mod fairness;
pub(crate) mod fallback;
pub(crate) mod health_checks;
pub(crate) mod idle_queue;
pub(crate) mod load_reports;
pub(crate) mod outlier_detection;
pub(crate) mod retry_budget;
pub(crate) mod rules;
pub(crate) mod slow_start;
pub(crate) mod throttle;
