//! Hooks: faults and tasks that a soak adds to a rehearsal and that no scenario has.
use birchhub_emulator::relay::FaultWindow;
use birchhub_emulator::{Clock, SlowSend};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// How a slow client sends its request: half a second in all.
const SLOW_SEND: SlowSend = SlowSend {
    pieces: 6,
    pause_seconds: 0.1,
};

/// Starts a thread that runs beside the clients and ends by itself; it is given the clock and the proxies' addresses.
pub type BackgroundTask = Box<dyn FnOnce(Clock, Vec<SocketAddr>) -> JoinHandle<()>>;

/// Additions to a scenario.
#[derive(Clone, Debug, Default)]
pub struct Hooks {
    /// Environment variables of each proxy's process, by proxy.
    pub environment: HashMap<u16, Vec<(String, String)>>,
    /// Windows in which the connections of all proxies to a backend are disturbed, by backend.
    pub links: HashMap<u32, Vec<FaultWindow>>,
    /// Fraction of the clients' requests that is sent slowly, from 0 to 1.
    pub slow: f64,
    /// Fraction of the clients that use their open connections to a proxy which has received SIGTERM for as long as these stay
    /// open, from 0 to 1.
    pub staying: f64,
    /// Whether each proxy receives SIGTERM at the end and is given the time to shut down gracefully.
    pub ends_gracefully: bool,
}

impl Hooks {
    /// Returns how a request with this random number is sent, if slowly.
    pub(crate) fn slow_send_of(&self, random: u64) -> Option<SlowSend> {
        // The lower bits already choose the proxy: using them again would slow down the requests to one proxy only.
        let part = (random >> 32) as f64 / f64::from(u32::MAX);
        (part < self.slow).then_some(SLOW_SEND)
    }

    /// Whether the client of a request with this random number uses its open connections to a proxy that ends.
    pub(crate) fn is_staying(&self, random: u64) -> bool {
        // Bits that choose neither the proxy nor the slow clients.
        let part = f64::from((random >> 16) as u16) / f64::from(u16::MAX);
        part < self.staying
    }
}
