//! Which peer used most of the event loop lately, for the log and `GET /status`.
use super::peer::PeerId;
use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Length of the window in which use is summed up.
const WINDOW: Duration = Duration::from_secs(1);

/// What a peer used in a window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerUsage {
    window: u64,
    units: u64,
}

/// The peer that used most in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BusiestPeer {
    /// The peer.
    pub id: PeerId,
    /// What it used, in units.
    pub units: u64,
    /// The number of its messages since it connected.
    pub messages: u64,
}

impl fmt::Display for BusiestPeer {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            id,
            units,
            messages,
        } = self;
        write!(
            to,
            "busiest-peer={id}, busiest-units={units}, busiest-messages={messages}"
        )
    }
}

/// The use of all peers in the current window.
pub(super) struct UsageWindow {
    number: Cell<u64>,
    ends_at: Cell<Instant>,
    units: Cell<u64>,
    waits: Cell<u64>,
    busiest: Cell<Option<BusiestPeer>>,
}

impl UsageWindow {
    /// Begins the first window now.
    pub(super) fn new() -> Self {
        Self {
            number: Cell::new(1),
            ends_at: Cell::new(Instant::now() + WINDOW),
            units: Cell::new(0),
            waits: Cell::new(0),
            busiest: Cell::new(None),
        }
    }

    /// Counts work of a peer.
    pub(super) fn record(&self, usage: &Cell<PeerUsage>, units: u64, id: PeerId, messages: u64) {
        let number = self.number.get();
        let earlier = Some(usage.get()).filter(|earlier| earlier.window == number);
        let total = earlier.map_or(0, |earlier| earlier.units) + units;
        usage.set(PeerUsage {
            window: number,
            units: total,
        });
        self.units.update(|all| all + units);
        if self
            .busiest
            .get()
            .is_none_or(|busiest| busiest.units < total)
        {
            self.busiest.set(Some(BusiestPeer {
                id,
                units: total,
                messages,
            }));
        }
    }

    /// Counts work that had to wait for a later round.
    pub(super) fn record_wait(&self) {
        self.waits.update(|waits| waits + 1);
    }

    /// Ends the window if it is over. Logs it, and returns its busiest peer, if work had to wait in it.
    pub(super) fn end_if_over(&self) -> Option<BusiestPeer> {
        let now = Instant::now();
        if now < self.ends_at.get() {
            return None;
        }
        self.ends_at.set(now + WINDOW);
        self.number.update(|number| number + 1);
        let units = self.units.replace(0);
        let waits = self.waits.replace(0);
        let busiest = self.busiest.take().filter(|_| waits > 0)?;
        log::info!(
            waits, units, busiest:% = busiest.id, busiest_units = busiest.units,
            busiest_messages = busiest.messages;
            "work of peers waited for its share of the event loop"
        );
        Some(busiest)
    }
}
