//! The platform of the shadow: records the requested actions and performs none.
use crate::config::shadow::actions::{Action, RecordedActions};
use birchhub::interface::Platform;

/// Records the actions that the shadow requests.
#[derive(Default)]
pub(super) struct ShadowPlatform {
    /// Time of the call that is being replayed, in seconds.
    pub now: f64,
    /// Actions that were requested since the last comparison.
    pub recorded: RecordedActions,
    /// Due time of the shadow's next timer event, in seconds.
    pub timer_at: Option<f64>,
}

impl Platform for ShadowPlatform {
    fn now(&self) -> f64 {
        self.now
    }

    fn start_attempt(&mut self, rpc: u64, backend: u32, _timeout: f64) {
        self.recorded.record(rpc, Action::Attempt(backend));
    }

    fn cancel_attempt(&mut self, _rpc: u64, _attempt: usize) {}

    fn reject(&mut self, rpc: u64, _retry_after: f64) {
        self.recorded.record(rpc, Action::Reject);
    }

    fn fail(&mut self, rpc: u64) {
        self.recorded.record(rpc, Action::Fail);
    }

    fn health_check(&mut self, _backend: u32) {
        self.recorded.record_health_check();
    }

    fn watch_endpoints(&mut self) {}

    fn schedule_timer(&mut self, delay: f64) {
        let at = self.now + delay;
        self.timer_at = Some(self.timer_at.map_or(at, |earlier| earlier.min(at)));
    }
}
