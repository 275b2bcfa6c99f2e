//! What a proxy's decisions ask of the simulation: the commands, noted in order.
use birchhub::interface::Platform;

/// What the module asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Command {
    StartAttempt {
        attempt: u64,
        backend: u32,
        timeout: f64,
    },
    CancelAttempt {
        attempt: u64,
        attempt_index: usize,
    },
    Reject {
        attempt: u64,
        retry_after: f64,
    },
    Fail {
        attempt: u64,
    },
    HealthCheck {
        backend: u32,
    },
    WatchEndpoints,
    ScheduleTimer {
        delay: f64,
    },
}

/// The module's door outward: notes what it asks for, in order.
#[derive(Default)]
pub(crate) struct SimulationPlatform {
    pub(super) now: f64,
    pub commands: Vec<Command>,
}

impl Platform for SimulationPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, attempt: u64, backend: u32, timeout: f64) {
        self.commands.push(Command::StartAttempt {
            attempt,
            backend,
            timeout,
        });
    }
    fn cancel_attempt(&mut self, attempt: u64, attempt_index: usize) {
        self.commands.push(Command::CancelAttempt {
            attempt,
            attempt_index,
        });
    }
    fn reject(&mut self, attempt: u64, retry_after: f64) {
        self.commands.push(Command::Reject {
            attempt,
            retry_after,
        });
    }
    fn fail(&mut self, attempt: u64) {
        self.commands.push(Command::Fail { attempt });
    }
    fn health_check(&mut self, backend: u32) {
        self.commands.push(Command::HealthCheck { backend });
    }
    fn watch_endpoints(&mut self) {
        self.commands.push(Command::WatchEndpoints);
    }
    fn schedule_timer(&mut self, delay: f64) {
        self.commands.push(Command::ScheduleTimer { delay });
    }
}
