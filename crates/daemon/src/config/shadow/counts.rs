//! The counts of shadow evaluation: RPCs on which the two instances differ, by kind of difference.
use crate::config::shadow::actions::Action;
use std::fmt;

/// RPCs on which the two instances differed, by what the shadow would have done in place of what was done.
#[derive(Debug, Default)]
pub(super) struct ShadowCounts {
    /// RPCs that both had.
    pub compared: u64,
    /// Attempted, where the shadow would have queued it.
    would_queue: u64,
    /// Queued, where the shadow would have attempted it.
    would_attempt: u64,
    /// Attempted or queued, where the shadow would have rejected it before any attempt.
    would_reject: u64,
    /// Rejected before any attempt, where the shadow would have attempted or queued it.
    would_accept: u64,
    /// Retried, where the shadow would have given up.
    would_give_up: u64,
    /// Given up after an attempt, where the shadow would have retried.
    would_retry: u64,
    /// Rejected where the shadow would have failed it, or the reverse.
    would_respond_differently: u64,
    /// Attempted at another backend, which may be chance and is no difference.
    other_backend: u64,
    /// Health checks that were sent.
    pub health_checks: u64,
    /// Health checks that the shadow would have sent.
    pub shadow_health_checks: u64,
}

impl ShadowCounts {
    /// Counts the first difference between what was done on an RPC in a call and what the shadow would have done;
    /// `had_attempt` if both had attempted the RPC before that call.
    pub(super) fn count_difference(
        &mut self,
        performed: &[Action],
        would: &[Action],
        had_attempt: bool,
    ) {
        use Action::{Attempt, Fail, Reject};
        let same = performed
            .iter()
            .zip(would)
            .take_while(|(did, would)| did == would)
            .count();
        let is_retry = had_attempt || same > 0;
        let count = match (performed.get(same), would.get(same)) {
            (Some(Attempt(_)), Some(Attempt(_))) => &mut self.other_backend,
            (Some(Attempt(_)), Some(_)) if is_retry => &mut self.would_give_up,
            (Some(_), Some(Attempt(_))) if is_retry => &mut self.would_retry,
            (Some(Attempt(_)) | None, Some(Reject | Fail)) => &mut self.would_reject,
            (Some(Reject | Fail), Some(Attempt(_)) | None) => &mut self.would_accept,
            (Some(Attempt(_)), None) => &mut self.would_queue,
            (None, Some(Attempt(_))) => &mut self.would_attempt,
            _ => &mut self.would_respond_differently,
        };
        *count += 1;
    }
}

impl fmt::Display for ShadowCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            compared,
            would_queue,
            would_attempt,
            would_reject,
            would_accept,
            would_give_up,
            would_retry,
            would_respond_differently,
            other_backend,
            health_checks,
            shadow_health_checks,
        } = self;
        write!(f, "{compared} RPCs compared: queued {would_queue}, ")?;
        write!(f, "attempted {would_attempt}, rejected {would_reject}, ")?;
        write!(f, "accepted {would_accept}, given up {would_give_up}, ")?;
        write!(f, "retried {would_retry}, ")?;
        write!(f, "answered differently {would_respond_differently}; ")?;
        write!(
            f,
            "other backend {other_backend}; health checks {health_checks}, "
        )?;
        write!(f, "would be {shadow_health_checks}")
    }
}
