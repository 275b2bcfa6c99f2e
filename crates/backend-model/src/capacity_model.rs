//! Speed of the cores of a backend over time, and a work clock that integrates it.
//!
//! All cores have the same speed, so one clock determines when each execution ends. While the backend warms up, the
//! speed rises linearly from the initial to the full capacity; stalls and neighbours on the machine scale it. The
//! integral is a parabola during warm-up and a line afterwards, so the clock and its inverse have closed forms.

/// Work clock of a core: the work that a core would have done if it had been busy since the start.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    /// Full speed, in standard cores.
    speed: f64,
    /// Share of the full speed at the start, between 0 and 1.
    initial_capacity: f64,
    warm_up_seconds: f64,
    /// When the process started, in seconds; negative infinity after a warm start.
    started_at: f64,
    /// Time up to which `work_done` is computed, in seconds.
    advanced_to: f64,
    /// Reading of the work clock, in seconds of a standard core.
    work_done: f64,
    /// Share of the machine that neighbours leave, between 0 and 1.
    machine_share: f64,
    /// Number of stalls in progress.
    stalls: usize,
}

impl CapacityModel {
    /// Creates a clock that starts at `now`, in seconds. If `cold`, it starts with the initial capacity and warms up.
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
            advanced_to: now,
            work_done: 0.0,
            machine_share: 1.0,
            stalls: 0,
        }
    }

    /// Returns the increase of the warm share per second during warm-up.
    fn warm_up_rate(&self) -> f64 {
        if self.warm_up_seconds > 0.0 {
            (1.0 - self.initial_capacity) / self.warm_up_seconds
        } else {
            0.0
        }
    }

    /// Returns when the warm-up ends, in seconds.
    fn warm_at(&self) -> f64 {
        self.started_at + self.warm_up_seconds
    }

    /// Returns the share of the full speed that the warm-up has reached, between 0 and 1.
    pub fn warm_share(&self, now: f64) -> f64 {
        if now >= self.warm_at() {
            1.0
        } else {
            self.initial_capacity + self.warm_up_rate() * (now - self.started_at).max(0.0)
        }
    }

    /// Whether the backend is still warming up.
    pub fn is_warming_up(&self, now: f64) -> bool {
        now < self.warm_at()
    }

    /// Returns the speed without the effect of the warm-up, in standard cores.
    fn warm_speed(&self) -> f64 {
        if self.stalls > 0 {
            0.0
        } else {
            self.speed * self.machine_share
        }
    }

    /// Returns the integral of the warm share over a period.
    fn warm_share_integral(&self, from: f64, to: f64) -> f64 {
        let ramp_end = self.warm_at().clamp(from, to);
        let ramp = (ramp_end - from) * (self.warm_share(from) + self.warm_share(ramp_end)) / 2.0;
        // The share is 1 after the ramp.
        ramp + (to - ramp_end)
    }

    /// Advances the clock to `now`, in seconds. An earlier time than the last one has no effect.
    pub fn advance(&mut self, now: f64) {
        if now > self.advanced_to {
            self.work_done += self.warm_speed() * self.warm_share_integral(self.advanced_to, now);
            self.advanced_to = now;
        }
    }

    /// Returns the reading of the clock, in seconds of a standard core.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// Returns when the clock reaches `work_done`, in seconds; `None` during a stall.
    pub fn time_of(&self, work_done: f64) -> Option<f64> {
        let speed = self.warm_speed();
        if work_done <= self.work_done {
            return Some(self.advanced_to);
        }
        if speed <= 0.0 {
            return None;
        }
        let needed = (work_done - self.work_done) / speed;
        let ramp = if self.is_warming_up(self.advanced_to) {
            self.warm_share_integral(self.advanced_to, self.warm_at())
        } else {
            0.0
        };
        if needed >= ramp {
            return Some(self.advanced_to.max(self.warm_at()) + (needed - ramp));
        }
        // This form of the quadratic formula avoids cancellation when the rate is small.
        let share = self.warm_share(self.advanced_to);
        let rate = self.warm_up_rate();
        Some(
            self.advanced_to
                + 2.0 * needed / (share + (share * share + 2.0 * rate * needed).sqrt()),
        )
    }

    /// Begins or ends a stall. The clock continues after the last of overlapping stalls.
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
