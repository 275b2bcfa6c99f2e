//! How late the event loop is, and which peer keeps it: the delay of its heartbeat and the longest turn of a task.
use super::peer::PeerId;
use super::usage::BusiestPeer;
use std::cell::Cell;
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::time::Duration;
use tokio::time::Instant;

/// Delay of the event loop from which on it is logged: the protocol allows each time limit to be as much late.
const LOGGED_DELAY: Duration = Duration::from_millis(50);

/// The longest turn of a peer's task.
#[derive(Clone, Copy, Debug)]
struct Turn {
    peer: PeerId,
    duration: Duration,
}

/// Measures the event loop.
#[derive(Default)]
pub(crate) struct LoopMonitor {
    longest_delay: Cell<Duration>,
    /// The longest turn since the start.
    longest_turn: Cell<Option<Turn>>,
    /// The longest turn since the last heartbeat.
    recent_turn: Cell<Option<Turn>>,
    /// The busiest peer of the latest window in which work had to wait.
    busiest: Cell<Option<BusiestPeer>>,
}

impl LoopMonitor {
    /// Records a heartbeat that was late by `delay`.
    pub(crate) fn record_heartbeat(&self, delay: Duration) {
        let turn = self.recent_turn.take();
        self.longest_delay.update(|longest| longest.max(delay));
        if delay < LOGGED_DELAY {
            return;
        }
        let peer = turn.map_or_else(String::new, |turn| turn.peer.to_string());
        let longest_turn = turn.map_or(Duration::ZERO, |turn| turn.duration);
        log::warn!(delay:?, longest_turn:?, peer:%; "event loop is late");
    }

    /// Records the busiest peer of a window in which work had to wait.
    pub(super) fn record_busiest(&self, busiest: BusiestPeer) {
        self.busiest.set(Some(busiest));
    }

    /// Returns what was measured so far.
    pub(crate) fn report(&self) -> LoopReport {
        LoopReport {
            longest_delay: self.longest_delay.get(),
            longest_turn: self.longest_turn.get(),
            busiest: self.busiest.get(),
        }
    }

    fn record_turn(&self, turn: Turn) {
        for longest in [&self.longest_turn, &self.recent_turn] {
            if longest
                .get()
                .is_none_or(|longest| longest.duration < turn.duration)
            {
                longest.set(Some(turn));
            }
        }
    }
}

/// The measurements of the event loop since the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoopReport {
    longest_delay: Duration,
    longest_turn: Option<Turn>,
    busiest: Option<BusiestPeer>,
}

impl fmt::Display for LoopReport {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "longest-delay-us={}", self.longest_delay.as_micros())?;
        if let Some(Turn { peer, duration }) = self.longest_turn {
            let microseconds = duration.as_micros();
            write!(
                to,
                ", longest-turn-us={microseconds}, longest-turn-peer={peer}"
            )?;
        }
        if let Some(busiest) = self.busiest {
            write!(to, ", {busiest}")?;
        }
        Ok(())
    }
}

/// Runs a peer's future, and records how long each of its turns takes.
pub(crate) async fn measure_turns<F: Future>(
    monitor: &LoopMonitor,
    peer: PeerId,
    future: F,
) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        let began = Instant::now();
        let result = future.as_mut().poll(cx);
        let duration = began.elapsed();
        monitor.record_turn(Turn { peer, duration });
        result
    })
    .await
}
