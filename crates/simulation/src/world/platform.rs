//! The platform of the decision module in simulated time: it notes the commands that the decisions give.
use birchhub::interface::Platform;

/// A command of the decision module. `request_id` is the number of a client's request, `attempt_index` counts its attempts at backends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Command {
    /// Sends the RPC to a backend, for at most `timeout` s.
    StartAttempt {
        request_id: u64,
        backend: u32,
        timeout: f64,
    },
    /// Withdraws the RPC from a backend.
    CancelAttempt {
        request_id: u64,
        attempt_index: usize,
    },
    /// Answers the client that it may retry after so many s; 0 names no time.
    Reject { request_id: u64, retry_after: f64 },
    /// Answers the client that the RPC has failed.
    Fail { request_id: u64 },
    /// Checks the health of a backend.
    HealthCheck { backend: u32 },
    /// Calls the endpoint list service.
    WatchEndpoints,
    /// Calls the module's timer after `delay` s.
    ScheduleTimer { delay: f64 },
}

/// Notes the commands of the decision module in their order.
#[derive(Default)]
pub(crate) struct SimulationPlatform {
    /// The time by the proxy's own clock, s.
    pub(super) now: f64,
    /// The commands of the running call.
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
