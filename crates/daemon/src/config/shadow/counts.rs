//! The counts of the shadow evaluation: RPCs that the two instances handle differently, by kind of difference.
use crate::config::shadow::actions::Action;
use std::fmt;

/// Counts of RPCs, by what the shadow would have done differently from the active instance.
#[derive(Debug, Default)]
pub(super) struct ShadowCounts {
    /// RPCs that both instances received.
    pub compared: u64,
    /// Attempted, but queued by the shadow.
    would_queue: u64,
    /// Queued, but attempted by the shadow.
    would_attempt: u64,
    /// Attempted or queued, but rejected by the shadow before any attempt.
    would_reject: u64,
    /// Rejected before any attempt, but attempted or queued by the shadow.
    would_accept: u64,
    /// Retried, but rejected or failed by the shadow.
    would_give_up: u64,
    /// Rejected or failed after an attempt, but retried by the shadow.
    would_retry: u64,
    /// Rejected, but failed by the shadow, or the reverse.
    would_respond_differently: u64,
    /// Attempted at another backend by the shadow, which may be due to random choices.
    other_backend: u64,
    /// Health checks that the active instance sent.
    pub health_checks: u64,
    /// Health checks that the shadow would have sent.
    pub shadow_health_checks: u64,
}

impl ShadowCounts {
    /// Counts the first difference between the actions of the two instances on an RPC in one call. `had_attempt` tells
    /// whether both had attempted the RPC before that call.
    pub(super) fn count_difference(
        &mut self,
        performed: &[Action],
        shadow: &[Action],
        had_attempt: bool,
    ) {
        use Action::{Attempt, Fail, Reject};
        let same = performed
            .iter()
            .zip(shadow)
            .take_while(|(performed, shadow)| performed == shadow)
            .count();
        let is_retry = had_attempt || same > 0;
        let count = match (performed.get(same), shadow.get(same)) {
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
