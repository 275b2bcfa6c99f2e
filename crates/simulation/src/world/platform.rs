//! The decisions' platform in simulated time, which records the commands that they give.
use birchhub::interface::Platform;

/// A command of the decisions. `request_id` identifies a client's request, `attempt_index` one of its attempts at backends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Command {
    /// Starts an attempt at a backend, for at most `timeout` seconds.
    StartAttempt {
        request_id: u64,
        backend: u32,
        timeout: f64,
    },
    /// Cancels an attempt.
    CancelAttempt {
        request_id: u64,
        attempt_index: usize,
    },
    /// Rejects the RPC; the client may retry after this many seconds, 0 for no time.
    Reject { request_id: u64, retry_after: f64 },
    /// Fails the RPC.
    Fail { request_id: u64 },
    /// Checks the health of a backend.
    HealthCheck { backend: u32 },
    /// Polls the endpoint list service.
    WatchEndpoints,
    /// Fires the decisions' timer after `delay` seconds.
    ScheduleTimer { delay: f64 },
}

/// Records the commands of the decisions in their order.
#[derive(Default)]
pub(crate) struct SimulationPlatform {
    /// The time by the proxy's own clock, in seconds.
    pub(super) now: f64,
    /// The commands of the current call.
    pub commands: Vec<Command>,
}

impl Platform for SimulationPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, request_id: u64, backend: u32, timeout: f64) {
        self.commands.push(Command::StartAttempt {
            request_id,
            backend,
            timeout,
        });
    }
    fn cancel_attempt(&mut self, request_id: u64, attempt_index: usize) {
        self.commands.push(Command::CancelAttempt {
            request_id,
            attempt_index,
        });
    }
    fn reject(&mut self, request_id: u64, retry_after: f64) {
        self.commands.push(Command::Reject {
            request_id,
            retry_after,
        });
    }
    fn fail(&mut self, request_id: u64) {
        self.commands.push(Command::Fail { request_id });
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
