//! All decisions of birchhub: Join-Idle-Queue load balancing and the mechanisms that complement it.
//!
//! Each mechanism is one module. Start reading at `dispatch`, which combines the others to decide
//! which RPC goes to which backend; `rules` defines what is never permitted. `crate::balancer`
//! forwards events to the mechanisms. Times and durations are in seconds. `docs/design.md` explains
//! the design.
pub(crate) mod admission;
pub(crate) mod admission_rate;
pub(crate) mod deadlines;
pub(crate) mod discovery;
pub(crate) mod dispatch;
pub(crate) mod fairness;
pub(crate) mod fallback;
pub(crate) mod health_checks;
pub(crate) mod idle_queue;
pub(crate) mod idle_signal;
pub(crate) mod load_reports;
pub(crate) mod outlier_detection;
pub(crate) mod retry_budget;
pub(crate) mod rules;
pub(crate) mod slow_start;
pub(crate) mod throttle;
