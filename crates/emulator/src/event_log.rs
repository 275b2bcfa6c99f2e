//! The channel through which all parts of the emulator record events for the ledger.
use crate::clock::Clock;
use birchhub_audit::{Entry, Event};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Entries that may wait for the ledger: some seconds of a busy rehearsal.
const QUEUE_CAPACITY: usize = 1 << 16;

/// A sender of events to the ledger; each thread or task has a clone. When the queue is full, recording waits, which
/// shows as lateness of the emulator.
#[derive(Clone)]
pub struct EventLog {
    /// The clock of the rehearsal.
    pub clock: Clock,
    entries: SyncSender<Entry>,
}

impl EventLog {
    /// Creates a log and the receiver of its entries.
    pub fn new(clock: Clock) -> (Self, Receiver<Entry>) {
        let (sender, entries) = sync_channel(QUEUE_CAPACITY);
        let event_log = Self {
            clock,
            entries: sender,
        };
        (event_log, entries)
    }

    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        self.record_at(self.clock.now(), event);
    }

    /// Records an event that happened at this time, in seconds of the clock.
    pub fn record_at(&self, at: f64, event: Event) {
        // The receiver is gone at the end of a rehearsal; events after that are not needed.
        let _ = self.entries.send(Entry { at, event });
    }
}
