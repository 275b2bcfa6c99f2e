//! Admission rate: the fraction of RPCs that may go to a random backend, by how attempts end.
//!
//! After the additive increase and multiplicative decrease of TCP congestion control. What differs:
//! the signal is whether attempts are answered promptly, and the rate also recovers with time, since
//! at a low rate few attempts are left that could show the end of a fault.

/// Increase with each prompt response, as a fraction of all RPCs.
const INCREASE_PER_PROMPT_RESPONSE: f64 = 0.015;
/// Decrease with each attempt that ended otherwise, as a fraction of the rate.
const DECREASE_FRACTION: f64 = 0.15;
/// Increase in each second, as a fraction of all RPCs.
const RECOVERY_PER_SECOND: f64 = 0.04;

/// The rate when it was last changed, from which the present rate follows.
pub(crate) struct AdmissionRate {
    rate: f64,
    changed_at: f64,
}

impl Default for AdmissionRate {
    fn default() -> Self {
        Self {
            rate: 1.0,
            changed_at: 0.0,
        }
    }
}

impl AdmissionRate {
    /// Returns the fraction of all RPCs that is admitted now.
    pub(crate) fn read(&self, now: f64) -> f64 {
        let elapsed = (now - self.changed_at).max(0.0);
        (self.rate + elapsed * RECOVERY_PER_SECOND).min(1.0)
    }

    /// Raises the rate after a prompt response.
    pub(crate) fn increase(&mut self, now: f64) {
        self.rate = self.read(now) + INCREASE_PER_PROMPT_RESPONSE;
        self.changed_at = now;
    }

    /// Cuts the rate after an attempt that was slow, timed out or was rejected.
    pub(crate) fn decrease(&mut self, now: f64) {
        self.rate = self.read(now) * (1.0 - DECREASE_FRACTION);
        self.changed_at = now;
    }
}
