//! What a proxy's decisions ask of the simulation: the commands, noted in order.
use birchhub::interface::Platform;

/// What the module asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Wish {
    Pick {
        attempt: u64,
        backend: u32,
        time_out: f64,
    },
    Cancel {
        attempt: u64,
        pick: usize,
    },
    PushBack {
        attempt: u64,
        come_back: f64,
    },
    Abort {
        attempt: u64,
    },
    Probe {
        backend: u32,
    },
    Watch,
    Wake {
        delay: f64,
    },
}

/// The module's door outward: notes what it asks for, in order.
#[derive(Default)]
pub(crate) struct Door {
    pub(super) now: f64,
    pub wishes: Vec<Wish>,
}

impl Platform for Door {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, attempt: u64, backend: u32, time_out: f64) {
        self.wishes.push(Wish::Pick {
            attempt,
            backend,
            time_out,
        });
    }
    fn cancel_attempt(&mut self, attempt: u64, pick: usize) {
        self.wishes.push(Wish::Cancel { attempt, pick });
    }
    fn reject(&mut self, attempt: u64, come_back: f64) {
        self.wishes.push(Wish::PushBack { attempt, come_back });
    }
    fn fail(&mut self, attempt: u64) {
        self.wishes.push(Wish::Abort { attempt });
    }
    fn health_check(&mut self, backend: u32) {
        self.wishes.push(Wish::Probe { backend });
    }
    fn watch_endpoints(&mut self) {
        self.wishes.push(Wish::Watch);
    }
    fn schedule_timer(&mut self, delay: f64) {
        self.wishes.push(Wish::Wake { delay });
    }
}
