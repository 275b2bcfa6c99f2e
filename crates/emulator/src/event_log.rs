//! Event log of the emulator: a channel from all its threads and tasks to the writer of the ledger.
use crate::clock::Clock;
use birchhub_audit::{Entry, Event};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Capacity of the channel in entries: several seconds of a rehearsal under load.
const QUEUE_CAPACITY: usize = 1 << 16;

/// Sends events to the writer of the ledger. Each thread or task has a clone. Recording blocks while the channel is full,
/// which is measured as lateness of the emulator.
#[derive(Clone)]
pub struct EventLog {
    /// The clock of the rehearsal.
    pub clock: Clock,
    entries: SyncSender<Entry>,
}

impl EventLog {
    /// Creates an event log and the receiver of its entries.
    pub fn new(clock: Clock) -> (Self, Receiver<Entry>) {
        let (sender, entries) = sync_channel(QUEUE_CAPACITY);
        let event_log = Self {
            clock,
            entries: sender,
        };
        (event_log, entries)
    }

    /// Records an event at the current time.
    pub fn record(&self, event: Event) {
        self.record_at(self.clock.now(), event);
    }

    /// Records an event at a given time, in seconds of the clock.
    pub fn record_at(&self, at: f64, event: Event) {
        // The receiver is dropped at the end of a rehearsal; later events are not needed.
        let _ = self.entries.send(Entry { at, event });
    }
}
