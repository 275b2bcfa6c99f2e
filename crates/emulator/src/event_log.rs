//! Where stand-ins tell what happened.
use crate::clock::Clock;
use birchhub_audit::{Entry, Event};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

const WAITING: usize = 1 << 16; // entries between a thread and the ledger's: some seconds of a busy rehearsal

/// A way into the ledger, one for each thread or task. When the ledger can't keep up, telling waits, and the kit's own
/// lateness shows it.
#[derive(Clone)]
pub struct EventLog {
    pub clock: Clock,
    to: SyncSender<Entry>,
}

impl EventLog {
    pub fn new(clock: Clock) -> (Self, Receiver<Entry>) {
        let (to, entries) = sync_channel(WAITING);
        (Self { clock, to }, entries)
    }

    /// It happens now.
    pub fn record(&self, event: Event) {
        self.record_at(self.clock.now(), event);
    }

    pub fn record_at(&self, at: f64, event: Event) {
        // A ledger that has ended keeps nothing more; what ends with it need not know.
        let _ = self.to.send(Entry { at, event });
    }
}
