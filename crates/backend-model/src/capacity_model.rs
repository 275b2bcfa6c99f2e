//! How fast a node's cores work: all at the same pace, so that one clock of work done tells when each run ends.
//!
//! The pace rises linearly from `initial_capacity` to 1 over `warm_up_seconds` seconds after the start, and is scaled by speed, by
//! slowness, and by what neighbours leave. Its integral is a parabola and then a line, so both directions are solved exactly.

/// The work clock of one core.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    speed: f64,
    initial_capacity: f64,
    warm_up_seconds: f64,
    started: f64,
    /// Up to here, s, `done` is settled.
    at: f64,
    /// Work that a core busy since the start would have done, s of a standard core.
    done: f64,
    /// Part of the machine that neighbours leave, 0 to 1.
    left: f64,
    stalls: usize,
}

impl CapacityModel {
    /// `cold`: it starts now; else it has been warm for ever.
    pub fn new(
        speed: f64,
        initial_capacity: f64,
        warm_up_seconds: f64,
        now: f64,
        cold: bool,
    ) -> Self {
        let started = if cold { now } else { f64::NEG_INFINITY };
        Self {
            speed,
            initial_capacity,
            warm_up_seconds,
            started,
            at: now,
            done: 0.0,
            left: 1.0,
            stalls: 0,
        }
    }

    fn slope(&self) -> f64 {
        if self.warm_up_seconds > 0.0 {
            (1.0 - self.initial_capacity) / self.warm_up_seconds
        } else {
            0.0
        }
    }

    fn warm_at(&self) -> f64 {
        self.started + self.warm_up_seconds
    }

    /// Part of its capacity that it has by its age alone, 0 to 1.
    pub fn warmth(&self, now: f64) -> f64 {
        if now >= self.warm_at() {
            1.0
        } else {
            self.initial_capacity + self.slope() * (now - self.started).max(0.0)
        }
    }

    /// Whether it is not warm yet.
    pub fn is_cold(&self, now: f64) -> bool {
        now < self.warm_at()
    }

    fn scale(&self) -> f64 {
        if self.stalls > 0 {
            0.0
        } else {
            self.speed * self.left
        }
    }

    /// Integral of the warmth.
    fn area(&self, from: f64, to: f64) -> f64 {
        let bend = self.warm_at().clamp(from, to);
        let ramp = (bend - from) * (self.warmth(from) + self.warmth(bend)) / 2.0;
        // At the bend itself the warmth is 1 from either side.
        ramp + (to - bend)
    }

    /// Brings the clock to `now`; a time before the last one changes nothing.
    pub fn settle(&mut self, now: f64) {
        if now > self.at {
            self.done += self.scale() * self.area(self.at, now);
            self.at = now;
        }
    }

    /// Work done by a core that was busy all the time, as last settled.
    pub fn done(&self) -> f64 {
        self.done
    }

    /// When the clock will read this, if nothing changes; `None` while it stands still.
    pub fn when(&self, done: f64) -> Option<f64> {
        let scale = self.scale();
        if done <= self.done {
            return Some(self.at);
        }
        if scale <= 0.0 {
            return None;
        }
        let need = (done - self.done) / scale;
        let ramp = if self.is_cold(self.at) {
            self.area(self.at, self.warm_at())
        } else {
            0.0
        };
        if need >= ramp {
            return Some(self.at.max(self.warm_at()) + (need - ramp));
        }
        // Solved for the smaller root in the form that loses no digits when the slope is slight.
        let (warmth, slope) = (self.warmth(self.at), self.slope());
        Some(self.at + 2.0 * need / (warmth + (warmth * warmth + 2.0 * slope * need).sqrt()))
    }

    /// Stalls lie over one another: it goes on when the last has ended.
    pub fn stall(&mut self, now: f64, stalled: bool) {
        self.settle(now);
        self.stalls = if stalled {
            self.stalls + 1
        } else {
            self.stalls.saturating_sub(1)
        };
    }

    /// Takes away or gives back a factor of the machine; what is taken twice is given back twice.
    pub fn scale_by(&mut self, now: f64, factor: f64) {
        self.settle(now);
        self.left *= factor;
    }
}
