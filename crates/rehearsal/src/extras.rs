//! What a soak adds to a rehearsal: faults that no scenario has.
use birchhub_emulator::relay::Window;
use birchhub_emulator::{Clock, SlowSend};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// How a slow client sends its request: half a second in all.
const SLOW_SEND: SlowSend = SlowSend {
    pieces: 6,
    pause_seconds: 0.1,
};

/// Plays beside the clients; it is given the clock and where the proxies listen, and ends by itself.
pub type Companion = Box<dyn FnOnce(Clock, Vec<SocketAddr>) -> JoinHandle<()>>;

/// What is added to a scenario.
#[derive(Clone, Debug, Default)]
pub struct Extras {
    /// Variables of the environment of each proxy's process.
    pub environment: HashMap<u16, Vec<(String, String)>>,
    /// By node: what disturbs the connections of all proxies to it.
    pub links: HashMap<u32, Vec<Window>>,
    /// Of the clients' requests, the fraction that is sent slowly.
    pub slow: f64,
    /// Each proxy is told to end at the end, and given its time for that.
    pub ends_gracefully: bool,
}

impl Extras {
    /// How a request with this chance is sent, if slowly.
    pub(crate) fn slow_send_of(&self, chance: u64) -> Option<SlowSend> {
        // Its lower bits deal it out among the proxies.
        let part = (chance >> 32) as f64 / f64::from(u32::MAX);
        (part < self.slow).then_some(SLOW_SEND)
    }
}
