//! Replay of the balancer's calls in the shadow evaluation, which must not affect any RPC.
use crate::config::shadow::{RecordedCall, ShadowEvaluator};
use crate::decision::actor::DecisionActor;
use std::panic::{AssertUnwindSafe, catch_unwind};

impl DecisionActor {
    /// Replays the last call of the balancer in the shadow evaluation if that is enabled. A panic disables it.
    pub(super) fn replay_to_shadow(
        &mut self,
        replay: impl FnOnce(&mut ShadowEvaluator, RecordedCall),
    ) {
        let Some(shadow) = &mut self.shadow else {
            return;
        };
        let call = RecordedCall {
            now: self.platform.now,
            actions: self.platform.take_recorded(),
        };
        if catch_unwind(AssertUnwindSafe(|| replay(shadow, call))).is_err() {
            log::error!("shadow evaluation panicked, disabled until the next start");
            self.disable_shadow();
        }
    }

    /// Disables the shadow evaluation.
    pub(super) fn disable_shadow(&mut self) {
        self.shadow = None;
        self.platform.stop_recording();
    }
}
