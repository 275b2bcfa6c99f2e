//! Speed of a backend's cores over time, and the clock of the work that they do.
//!
//! All cores have the same speed, so one clock tells when each execution ends. The speed rises linearly from the
//! initial to the full capacity while the backend warms up, and is scaled by stalls and by what neighbours on the
//! machine take. Its integral is a parabola and then a line, so both directions are solved exactly.

/// The work clock of one core.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    /// Full speed, in standard cores.
    speed: f64,
    /// Share of the full speed at the start, between 0 and 1.
    initial_capacity: f64,
    warm_up_seconds: f64,
    /// When the process started, in seconds.
    started_at: f64,
    /// The time up to which `work_done` counts, in seconds.
    at: f64,
    /// Work of a core that was busy since the start, in seconds of a standard core.
    work_done: f64,
    /// Share of the machine that neighbours leave, between 0 and 1.
    machine_share: f64,
    /// Number of stalls in progress.
    stalls: usize,
}

impl CapacityModel {
    /// Starts the clock at `now`, in seconds: warming up if `cold`, otherwise with the full speed.
    pub fn new(
        speed: f64,
        initial_capacity: f64,
        warm_up_seconds: f64,
        now: f64,
        cold: bool,
    ) -> Self {
        let started_at = if cold { now } else { f64::NEG_INFINITY };
        Self {
            speed,
            initial_capacity,
            warm_up_seconds,
            started_at,
            at: now,
            work_done: 0.0,
            machine_share: 1.0,
            stalls: 0,
        }
    }

    /// Returns the growth of the warm share per second while warming up.
    fn slope(&self) -> f64 {
        if self.warm_up_seconds > 0.0 {
            (1.0 - self.initial_capacity) / self.warm_up_seconds
        } else {
            0.0
        }
    }

    /// Returns when the backend has its full speed, in seconds.
    fn warm_at(&self) -> f64 {
        self.started_at + self.warm_up_seconds
    }

    /// Returns the share of the full speed that the backend has by its age, between 0 and 1.
    pub fn warm_share(&self, now: f64) -> f64 {
        if now >= self.warm_at() {
            1.0
        } else {
            self.initial_capacity + self.slope() * (now - self.started_at).max(0.0)
        }
    }

    /// Whether the backend has not reached its full speed.
    pub fn is_warming_up(&self, now: f64) -> bool {
        now < self.warm_at()
    }

    /// Returns the speed apart from the warm share, in standard cores.
    fn scale(&self) -> f64 {
        if self.stalls > 0 {
            0.0
        } else {
            self.speed * self.machine_share
        }
    }

    /// Returns the integral of the warm share over a period.
    fn warm_share_integral(&self, from: f64, to: f64) -> f64 {
        let bend = self.warm_at().clamp(from, to);
        let ramp = (bend - from) * (self.warm_share(from) + self.warm_share(bend)) / 2.0;
        // At the bend itself the share is 1 from either side.
        ramp + (to - bend)
    }

    /// Advances the clock to `now`. A time before the last one changes nothing.
    pub fn advance(&mut self, now: f64) {
        if now > self.at {
            self.work_done += self.scale() * self.warm_share_integral(self.at, now);
            self.at = now;
        }
    }

    /// Returns the work of a core that was busy all the time, in seconds of a standard core.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// Returns when the clock will read `work_done`, in seconds; `None` during a stall.
    pub fn time_of(&self, work_done: f64) -> Option<f64> {
        let scale = self.scale();
        if work_done <= self.work_done {
            return Some(self.at);
        }
        if scale <= 0.0 {
            return None;
        }
        let needed = (work_done - self.work_done) / scale;
        let ramp = if self.is_warming_up(self.at) {
            self.warm_share_integral(self.at, self.warm_at())
        } else {
            0.0
        };
        if needed >= ramp {
            return Some(self.at.max(self.warm_at()) + (needed - ramp));
        }
        // Solved for the smaller root in the form that loses no digits when the slope is slight.
        let share = self.warm_share(self.at);
        let slope = self.slope();
        Some(self.at + 2.0 * needed / (share + (share * share + 2.0 * slope * needed).sqrt()))
    }

    /// Begins or ends a stall. Work goes on when the last of several overlapping stalls has ended.
    pub fn stall(&mut self, now: f64, stalled: bool) {
        self.advance(now);
        self.stalls = if stalled {
            self.stalls + 1
        } else {
            self.stalls.saturating_sub(1)
        };
    }

    /// Multiplies the share of the machine by `factor`.
    pub fn scale_by(&mut self, now: f64, factor: f64) {
        self.advance(now);
        self.machine_share *= factor;
    }
}
