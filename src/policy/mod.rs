//! All decisions of birchhub: Join-Idle-Queue load balancing and the mechanisms beside it.
//!
//! Each mechanism is one module. `dispatch` is the place to start: it asks the others which RPC goes
//! to which backend; `rules` holds what is never done. `crate::balancer` passes events on to them.
//! Times and durations are in seconds; `docs/design.md` explains the design.
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
