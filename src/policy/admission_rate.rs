//! Admission rate: the fraction of RPCs that may go to a random backend, adapted to the results of
//! attempts.
//!
//! It follows the additive increase and multiplicative decrease (AIMD) of TCP congestion control.
//! Two things differ: the signal is whether attempts get a prompt response, and the rate also
//! recovers with time, because at a low rate few attempts remain that could show the end of a
//! fault.

/// Increase of the rate after each prompt response, as a fraction of all RPCs.
const INCREASE_PER_PROMPT_RESPONSE: f64 = 0.015;
/// Decrease of the rate after each attempt that was slow, timed out or was rejected, as a fraction
/// of the rate.
const DECREASE_FRACTION: f64 = 0.15;
/// Increase of the rate per second, as a fraction of all RPCs.
const RECOVERY_PER_SECOND: f64 = 0.04;

/// Rate at the time of its last change, from which the current rate is computed.
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
    /// Returns the fraction of all RPCs that is currently admitted.
    pub(crate) fn read(&self, now: f64) -> f64 {
        let elapsed = (now - self.changed_at).max(0.0);
        (self.rate + elapsed * RECOVERY_PER_SECOND).min(1.0)
    }

    /// Increases the rate after a prompt response.
    pub(crate) fn increase(&mut self, now: f64) {
        self.rate = self.read(now) + INCREASE_PER_PROMPT_RESPONSE;
        self.changed_at = now;
    }

    /// Decreases the rate after an attempt that was slow, timed out or was rejected.
    pub(crate) fn decrease(&mut self, now: f64) {
        self.rate = self.read(now) * (1.0 - DECREASE_FRACTION);
        self.changed_at = now;
    }
}
